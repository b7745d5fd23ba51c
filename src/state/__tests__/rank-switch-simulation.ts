/**
 * Simulation of a lock-step group and the orders sent to it, for tests of the switch. Orders are executed at once,
 * after seconds, or never, with or without an answer; leads fail at any moment and others take over.
 */

import * as pureRand from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat32'
import * as rankState from '../rank-state.js'
import * as rankSwitch from '../rank-switch.js'
import type * as rankControl from '../../protocol/rank-control.js'

export interface Faults {
  /** Share of the orders that are executed 2 to 12 s later, without an answer. */
  late: number
  /** Share of the orders that are executed at once but whose answer is lost. */
  answerLost: number
  /** Share of the orders that never arrive. */
  dropped: number
  /** Probability per second that the lead fails or freezes. */
  leadFailure: number
  /** Minimum time between two failures of leads. */
  leadFailureSpacingMs: number
  /** Share of the failures of leads in which the whole host freezes, so that its rank accepts no orders for 4 s. */
  hostFreeze: number
  /** Whether the lead's host freezes as soon as a hold order was sent, and again after the spacing. */
  freezeAtHold: boolean
  /** Probability per second that a rank restarts. */
  rankRestart: number
  /** Share of the datagrams with a rank's state that are lost on the way to the lead. */
  lostReports: number
  /** Share of the time in which the group has no work and begins no pass. */
  idle: number
  /** Probability per second that popularity changes, so that a map which is being prepared is given up. */
  popularityChange: number
}

interface Rank {
  mapVersion: number
  mapContent: string
  prepared: { version: number, content: string, readyAtMs: number } | undefined
  highestVersion: number
  armed: { version: number, step: number } | undefined
  heldStep: number | undefined
  highestTerm: number
}

interface PendingOrder {
  atMs: number
  rank: number
  order: rankControl.RankOrder
  epoch: number
  term: number
}

interface Lead {
  state: rankSwitch.SwitchState
  term: number
  rank: number
  previousLead: rankSwitch.PreviousLead | undefined
  failedAtMs: number | undefined
}

const TICK_MS = 10
const PASS_MS = 40
const EXPERT_COPY_MS = 100
const PROPOSAL_INTERVAL_MS = 300
const TAKEOVER_DELAY_MS = 1_000
const READ_INTERVAL_MS = 100
const GROUP_FORMING_MS = 600
const ANSWER_TIMEOUT_MS = 150
const HOST_FREEZE_MS = 4_000

export interface SimulationResult {
  passes: number
  switches: number
  /** Maximum time without a pass while the group had work and was open. */
  longestStallMs: number
  /** Steps at which ranks had different maps. */
  mixedSteps: number[]
}

export class RankSwitchSimulation {
  readonly #size: number
  readonly #faults: Faults
  readonly #rng
  #nowMs = 0
  #epoch = 1
  #step = 0
  #openAtMs = 0
  #isIdle = false
  #ranks: Rank[]
  #pending: PendingOrder[] = []
  #unanswered: { atMs: number, rank: number }[] = []
  #states = new Map<number, rankSwitch.RankState>()
  /** State that each rank's agent has sent last. */
  #sentStates = new Map<number, rankSwitch.RankState>()
  #lead: Lead
  #proposals = 0
  #lastProposeMs = 0
  #lastPassMs = 0
  #lastFailureMs = -Infinity
  #frozen: { rank: number, untilMs: number } | undefined
  #result: SimulationResult = { passes: 0, switches: 0, longestStallMs: 0, mixedSteps: [] }

  constructor (seed: number, size: number, faults: Faults) {
    this.#size = size
    this.#faults = faults
    this.#rng = pureRand.xoroshiro128plus(seed)
    this.#ranks = Array.from({ length: size }, newRank)
    this.#lead = this.#newLead(1, 0)
  }

  run (durationMs: number): SimulationResult {
    while (this.#nowMs < durationMs) this.#tick()
    return this.#result
  }

  #random (): number {
    return uniform.uniformFloat32(this.#rng)
  }

  #occurs (perSecond: number): boolean {
    return this.#random() < perSecond * TICK_MS / 1_000
  }

  #newLead (term: number, rank: number): Lead {
    this.#states = new Map()
    const state = rankSwitch.createSwitchState(this.#epoch, this.#size, rank, term, this.#nowMs)
    return { state, term, rank, previousLead: undefined, failedAtMs: undefined }
  }

  #tick (): void {
    this.#nowMs += TICK_MS
    if (this.#occurs(0.5)) this.#isIdle = this.#random() < this.#faults.idle
    if (this.#occurs(this.#faults.rankRestart)) this.#restartRank()
    const mayFail = this.#nowMs - this.#lastFailureMs > this.#faults.leadFailureSpacingMs
    if (mayFail && this.#lead.failedAtMs === undefined && this.#occurs(this.#faults.leadFailure)) {
      this.#failLead(this.#random() < this.#faults.hostFreeze)
    }
    if (this.#lead.failedAtMs !== undefined && this.#nowMs - this.#lead.failedAtMs > TAKEOVER_DELAY_MS) {
      const candidates = this.#ranks.map((_, rank) => rank).filter(rank => !this.#isFrozen(rank))
      const successor = candidates[Math.floor(this.#random() * candidates.length)]!
      const previousLead = { rank: this.#lead.rank, term: this.#lead.term }
      this.#lead = this.#newLead(this.#lead.term + 1, successor)
      this.#lead.previousLead = previousLead
      this.#lead.state.previousLead = previousLead
      // The ranks record the term of the new lead and refuse orders of earlier terms.
      this.#ranks.forEach((rank, index) => { if (!this.#isFrozen(index)) rank.highestTerm = this.#lead.term })
    }
    for (const order of this.#pending.filter(pending => pending.atMs <= this.#nowMs)) this.#execute(order)
    this.#pending = this.#pending.filter(pending => pending.atMs > this.#nowMs)
    for (const { rank } of this.#unanswered.filter(({ atMs }) => atMs <= this.#nowMs)) {
      rankSwitch.noteUnanswered(this.#lead.state, rank)
    }
    this.#unanswered = this.#unanswered.filter(({ atMs }) => atMs > this.#nowMs)
    if (this.#lead.failedAtMs === undefined) this.#leadTick()
    this.#passTick()
  }

  #leadTick (): void {
    const { state } = this.#lead
    if (state.epoch !== this.#epoch) {
      this.#lead.state = rankSwitch.createSwitchState(
        this.#epoch, this.#size, this.#lead.rank, this.#lead.term, this.#nowMs, this.#lead.previousLead)
    }
    this.#lead.state.mapInUse = [[[0]]]
    if (this.#nowMs % READ_INTERVAL_MS === 0) for (let rank = 0; rank < this.#size; rank++) this.#report(rank)
    const actions = rankSwitch.advance(this.#lead.state, this.#states, this.#nowMs)
    if (actions.entered === 'idle') this.#result.switches += 1
    for (const { rank, order } of actions.orders) {
      this.#send(rank, order)
      const mayFail = this.#nowMs - this.#lastFailureMs > this.#faults.leadFailureSpacingMs
      if (order.kind === 'hold' && this.#faults.freezeAtHold && mayFail) {
        this.#failLead(true)
        return
      }
    }
    if (this.#occurs(this.#faults.popularityChange)) rankSwitch.giveUpPreparation(this.#lead.state, this.#nowMs)
    if (rankSwitch.isIdle(this.#lead.state) && this.#nowMs - this.#lastProposeMs > PROPOSAL_INTERVAL_MS) {
      this.#lastProposeMs = this.#nowMs
      this.#proposals += 1
      rankSwitch.propose(this.#lead.state, [[[this.#proposals]]], this.#nowMs)
    }
  }

  #failLead (isHostFrozen: boolean): void {
    this.#lead.failedAtMs = this.#nowMs
    this.#lastFailureMs = this.#nowMs
    if (isHostFrozen) this.#frozen = { rank: this.#lead.rank, untilMs: this.#nowMs + HOST_FREEZE_MS }
  }

  #isFrozen (rank: number): boolean {
    return this.#frozen?.rank === rank && this.#nowMs < this.#frozen.untilMs
  }

  /** The agent of a rank sends its state when it has changed, and repeats it at intervals. */
  #report (rank: number): void {
    if (this.#isFrozen(rank)) return
    const [state, sent] = [this.#stateOf(rank), this.#sentStates.get(rank)]
    const isDue = sent === undefined || rankState.isChanged(sent, state) ||
      state.readAtMs - sent.readAtMs >= rankState.stateRepeatMs(this.#size)
    if (!isDue) return
    this.#sentStates.set(rank, state)
    if (this.#random() >= this.#faults.lostReports) this.#states.set(rank, state)
  }

  #read (rank: number): void {
    if (!this.#isFrozen(rank)) this.#states.set(rank, this.#stateOf(rank))
  }

  #stateOf (rank: number): rankSwitch.RankState {
    const { mapVersion, prepared, armed, heldStep } = this.#ranks[rank]!
    return {
      rank,
      epoch: this.#epoch,
      isOpen: this.#nowMs >= this.#openAtMs,
      step: this.#step,
      mapVersion,
      preparedVersion: prepared !== undefined && prepared.readyAtMs <= this.#nowMs ? prepared.version : undefined,
      armed,
      heldStep,
      slowdown: 1,
      readAtMs: this.#nowMs
    }
  }

  #send (rank: number, order: rankControl.RankOrder): void {
    const sent: PendingOrder = { atMs: this.#nowMs, rank, order, epoch: this.#lead.state.epoch, term: this.#lead.term }
    if (this.#isFrozen(rank)) return
    const draw = this.#random()
    const { late, answerLost, dropped } = this.#faults
    if (draw < late) this.#pending.push({ ...sent, atMs: this.#nowMs + 2_000 + this.#random() * 10_000 })
    else if (draw < late + dropped) return
    else this.#execute(sent)
    if (draw >= late + dropped + answerLost) this.#read(rank)
    else this.#unanswered.push({ atMs: this.#nowMs + ANSWER_TIMEOUT_MS, rank })
  }

  /** Executes an order, or refuses it, as a rank does. */
  #execute ({ rank: index, order, epoch, term }: PendingOrder): void {
    const rank = this.#ranks[index]!
    if (epoch !== this.#epoch || this.#nowMs < this.#openAtMs || term < rank.highestTerm) return
    rank.highestTerm = term
    switch (order.kind) {
      case 'prepare':
        if (order.version <= rank.highestVersion || rank.armed !== undefined) return
        rank.highestVersion = order.version
        rank.prepared = {
          version: order.version, content: JSON.stringify(order.map), readyAtMs: this.#nowMs + EXPERT_COPY_MS
        }
        return
      case 'arm':
        if (rank.prepared?.version !== order.version || rank.prepared.readyAtMs > this.#nowMs ||
          order.step <= this.#step) {
          return
        }
        rank.armed = { version: order.version, step: order.step }
        return
      case 'disarm':
        if (rank.armed?.version === order.version) rank.armed = undefined
        return
      case 'hold':
        if (rank.heldStep !== undefined || order.step <= this.#step) return
        rank.heldStep = order.step
        return
      case 'go':
        if (rank.heldStep === order.step) rank.heldStep = undefined
    }
  }

  #passTick (): void {
    const isOpen = this.#nowMs >= this.#openAtMs
    if (!isOpen || this.#isIdle) {
      this.#lastPassMs = this.#nowMs
      return
    }
    this.#result.longestStallMs = Math.max(this.#result.longestStallMs, this.#nowMs - this.#lastPassMs)
    const next = this.#step + 1
    if (this.#nowMs - this.#lastPassMs < PASS_MS ||
      this.#ranks.some(rank => rank.heldStep !== undefined && rank.heldStep <= next)) {
      return
    }
    this.#step = next
    this.#lastPassMs = this.#nowMs
    this.#result.passes += 1
    for (const rank of this.#ranks) {
      if (rank.armed === undefined || rank.armed.step > next || rank.prepared === undefined) continue
      rank.mapVersion = rank.armed.version
      rank.mapContent = rank.prepared.content
      rank.armed = undefined
      rank.prepared = undefined
    }
    const maps = new Set(this.#ranks.map(rank => `${rank.mapVersion} ${rank.mapContent}`))
    if (maps.size > 1) this.#result.mixedSteps.push(next)
  }

  #restartRank (): void {
    this.#epoch += 1
    this.#openAtMs = this.#nowMs + GROUP_FORMING_MS
    this.#ranks = Array.from({ length: this.#size }, newRank)
    this.#states = new Map()
  }
}

function newRank (): Rank {
  return {
    mapVersion: 0,
    mapContent: '',
    prepared: undefined,
    highestVersion: 0,
    armed: undefined,
    heldStep: undefined,
    highestTerm: 0
  }
}
