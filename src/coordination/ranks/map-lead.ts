/**
 * Plans and switches the expert maps of a group while this agent leads it.
 */

import * as countWindow from '../../state/count-window.js'
import * as expertRebalance from '../../state/expert-rebalance.js'
import * as mapChanges from '../../state/map-changes.js'
import * as rankSwitch from '../../state/rank-switch.js'
import * as rankWatch from './rank-watch.js'
import type * as rankCall from '../../protocol/rank-call.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as runtime from '../runtime.js'
import type * as rankCaller from './rank-caller.js'

/** Another rank of the group, as the status of its agent names it. */
export interface RankAddresses {
  /** Undefined while the agent is silent. */
  agent: string | undefined
  rank: string | undefined
}

export interface MapLeadOptions {
  runtime: runtime.Runtime
  caller: rankCaller.RankCaller
  /** Carries out a call at this agent's own rank. */
  callOwnRank: (call: rankCall.RankCall) => Promise<rankCall.RankCallAnswer>
  /** A rank on another host, for when its agent is silent. */
  rankAt: (address: string) => rankControl.RankControl
  addressesOf: (rank: number) => RankAddresses
  engine: () => routingTable.EngineModel | undefined
  /** The initial map, or one that this agent was told to prepare; undefined for others. */
  mapOf: (epoch: number, version: number) => rankControl.ExpertMap | undefined
  /** Whether this agent leads with the number. */
  isLeading: (term: number) => boolean
  /** Another agent leads with a higher number. */
  onFenced: () => void
  signal: AbortSignal
}

/** Least time between two looks at the counts; shorter ones hold too little new. */
const PLAN_INTERVAL_MS = 400
/** Counts are compared with those of up to this long ago. */
const WINDOW_MS = 1_200
/** Ranks whose requests of that time are enough to plan from; a larger group has them sooner. */
const WINDOW_RANKS = 12
const MIN_WINDOW_MS = 500
const MAX_NEW_PER_RANK = 4
const LEAST_GAIN_PER_COPY = 0.02
const SILENT_RANK_MS = 400
const DIRECT_READ_INTERVAL_MS = 200
const REMOTE_REPORT_AGE_MS = 300

export class MapLead {
  readonly #options: MapLeadOptions
  readonly #ranks = new Map<number, rankSwitch.RankState>()
  readonly #directReadAtMs = new Map<number, number>()
  #state: rankSwitch.SwitchState | undefined
  #group = ''
  #term = 0
  #map: { version: number, epoch: number, map: rankControl.ExpertMap } | undefined
  /** How the proposed map differs from the one in use. */
  #changes: rankCall.PrepareChanges | undefined
  #earlier: rankSwitch.PreviousLead | undefined
  /** Counts for the next plan. */
  #collected: { counts: number[][], epoch: number } | undefined
  #collectedAtMs = -Infinity
  readonly #fencedRanks = new Set<number>()
  #isCollecting = false
  #isStopping = false

  constructor (options: MapLeadOptions) {
    this.#options = options
  }

  /** Begins to lead with this number. @param earlier the agent that led before. */
  startTerm (group: rankControl.RankGroup, term: number, earlier: rankSwitch.PreviousLead | undefined): void {
    this.#earlier = earlier
    this.#group = group.name
    this.#term = term
    this.#state = undefined
    this.#map = undefined
    this.#changes = undefined
    this.#ranks.clear()
    this.#fencedRanks.clear()
  }

  /** Proposes no further map; a switch that has begun goes on. */
  stopPlanning (): void {
    this.#isStopping = true
  }

  /** Whether ranks may have a map or a hold that the others don't have yet. */
  get isSwitching (): boolean {
    const kind = this.#state?.phase.kind
    return kind === 'holding' || kind === 'arming' || kind === 'releasing'
  }

  noteRank (state: rankSwitch.RankState): void {
    const known = this.#ranks.get(state.rank)
    if (known === undefined || known.readAtMs <= state.readAtMs) this.#ranks.set(state.rank, state)
  }

  /** Called again and again, and after each news of a rank, while this agent leads. */
  advance (own: rankControl.RankGroup): void {
    const { runtime: { nowMs, log, metrics } } = this.#options
    if (!this.#options.isLeading(this.#term)) return
    if (this.#state?.epoch !== own.epoch || this.#state.size !== own.size) {
      this.#state = rankSwitch.createSwitchState(own.epoch, own.size, own.rank, this.#term, nowMs(), this.#earlier)
      this.#map = undefined
      this.#fencedRanks.clear()
    }
    if (!own.isOpen) return
    this.#fenceAll(own)
    this.#state.mapInUse = this.#knownMap(own)
    const step = rankSwitch.advance(this.#state, this.#ranks, nowMs())
    if (step.entered !== undefined) {
      log.emit(step.entered === 'idle' ? 'mapSwitchEnded' : 'mapSwitchPhase', {
        epoch: own.epoch, term: this.#term, phase: this.#state.phase.kind, ...withoutMap(this.#state.phase)
      })
      if (step.entered === 'idle') metrics.mapSwitches.inc({ outcome: 'ended' })
    }
    for (const { rank, order } of step.orders) this.#give(rank, order, own)
    if (!rankSwitch.isIdle(this.#state)) this.#readSilentRanks(own)
    this.#collectInTime(own)
    if (rankSwitch.isIdle(this.#state) && this.#collected !== undefined) this.#plan(own)
  }

  /** Raises the number that each rank has seen, so that it refuses orders of an earlier lead from now on. */
  #fenceAll (own: rankControl.RankGroup): void {
    for (let rank = 0; rank < own.size; rank++) {
      if (this.#fencedRanks.has(rank)) continue
      this.#fencedRanks.add(rank)
      // No rank is held before this step, so the order changes nothing else.
      this.#give(rank, { kind: 'go', step: 0 }, own)
    }
  }

  #knownMap (own: rankControl.RankGroup): rankControl.ExpertMap | undefined {
    const version = this.#ranks.get(own.rank)?.mapVersion ?? 0
    if (this.#map?.epoch === own.epoch && this.#map.version === version) return this.#map.map
    return this.#options.mapOf(own.epoch, version)
  }

  async #give (rank: number, order: rankControl.RankOrder, own: rankControl.RankGroup): Promise<void> {
    const { caller, addressesOf, callOwnRank: ownCall, rankAt, runtime: { nowMs, log }, signal } = this.#options
    const callWith = (given: rankControl.RankOrder | rankCall.PrepareChanges): rankCall.RankCall =>
      ({ kind: 'order', group: this.#group, epoch: own.epoch, term: this.#term, order: given })
    const { agent, rank: address } = addressesOf(rank)
    const sentAtMs = nowMs()
    let outcome: rankControl.OrderOutcome | undefined
    // The lead's host may stand still with the order; a rank of another host can be released without it.
    const isDirect = order.kind === 'hold' && rank !== own.rank && address !== undefined
    if (!isDirect && (rank === own.rank || agent !== undefined)) {
      let answer = rank === own.rank
        ? await ownCall(callWith(order))
        : await caller.call(agent!, callWith(this.#withoutWholeMap(order)), signal)
      if (answer?.kind === 'map_unknown') answer = await caller.call(agent!, callWith(order), signal)
      if (answer?.kind === 'ordered') {
        outcome = answer.outcome
        if (answer.state !== undefined) this.noteRank({ ...answer.state, readAtMs: nowMs() - answer.ageMs })
      } else if (answer?.kind === 'rejected') outcome = 'fenced'
    }
    if (outcome === undefined && rank !== own.rank && address !== undefined) {
      outcome = await rankAt(address).order(order, own.epoch, this.#term, signal)
      // The group stands still until the lead knows that the order was carried out.
      // The same holds for a refusal: its pass has begun, and another step is to be held.
      if (agent !== undefined) await this.#askState(rank, agent)
    }
    log.emit('rankOrder', {
      rank,
      order: order.kind,
      outcome,
      tookMs: Math.round(nowMs() - sentAtMs),
      version: 'version' in order ? order.version : undefined,
      step: 'step' in order ? order.step : undefined
    })
    if (outcome === 'fenced') this.#options.onFenced()
    else if (this.#state?.epoch === own.epoch) {
      if (outcome === 'unknown') rankSwitch.noteUnanswered(this.#state, rank)
      this.advance(own)
    }
  }

  #withoutWholeMap (order: rankControl.RankOrder): rankControl.RankOrder | rankCall.PrepareChanges {
    return order.kind === 'prepare' && this.#changes?.version === order.version ? this.#changes : order
  }

  /** A rank whose agent is silent is asked itself. */
  #readSilentRanks (own: rankControl.RankGroup): void {
    const { addressesOf, runtime: { nowMs } } = this.#options
    for (let rank = 0; rank < own.size; rank++) {
      const readAtMs = this.#ranks.get(rank)?.readAtMs ?? -Infinity
      const { rank: address } = addressesOf(rank)
      if (rank === own.rank || address === undefined || nowMs() - readAtMs < SILENT_RANK_MS) continue
      if (nowMs() - (this.#directReadAtMs.get(rank) ?? -Infinity) < DIRECT_READ_INTERVAL_MS) continue
      this.#directReadAtMs.set(rank, nowMs())
      this.#readDirectly(rank, address)
    }
  }

  async #askState (rank: number, agent: string): Promise<void> {
    const { caller, runtime: { nowMs }, signal } = this.#options
    const answer = await caller.call(agent, { kind: 'state' }, signal)
    if (answer?.kind === 'state' && answer.state?.rank === rank) {
      this.noteRank({ ...answer.state, readAtMs: nowMs() - answer.ageMs })
    }
  }

  async #readDirectly (rank: number, address: string): Promise<void> {
    const { rankAt, runtime: { nowMs, log }, signal } = this.#options
    // A report that is read from another host is some hundred ms old.
    const readAtMs = nowMs() - REMOTE_REPORT_AGE_MS
    const report = await rankAt(address).report(signal)
    const state = report === undefined ? undefined : rankWatch.rankStateOf({ report, readAtMs })
    if (state === undefined || report?.group?.name !== this.#group) {
      log.emit('rankUnreachable', { rank, address, phase: this.#state?.phase.kind, group: report?.group?.name })
    } else this.noteRank(state)
  }

  /** Counts are collected while no switch is on its way: a plan from older ones follows what was popular before. */
  #collectInTime (own: rankControl.RankGroup): void {
    const { engine, runtime: { nowMs } } = this.#options
    const model = engine()
    if (model === undefined || model.expertSets === 0 || this.#state?.phase.kind !== 'idle') return
    if (this.#isStopping || this.#isCollecting || nowMs() - this.#collectedAtMs < PLAN_INTERVAL_MS) return
    this.#isCollecting = true
    this.#collectedAtMs = nowMs()
    this.#recentCounts(own, model).then(counts => {
      this.#collected = counts === undefined ? undefined : { counts, epoch: own.epoch }
      this.advance(own)
    }).finally(() => { this.#isCollecting = false })
  }

  async #plan (own: rankControl.RankGroup): Promise<void> {
    const { runtime: { log, nowMs }, engine } = this.#options
    const [collected, model] = [this.#collected, engine()]
    this.#collected = undefined
    if (model === undefined || collected?.epoch !== own.epoch || !await this.#learnMap(own, model)) return
    const state = this.#state
    if (this.#isStopping || state === undefined || !rankSwitch.isIdle(state) || state.epoch !== own.epoch) return
    if (this.#map === undefined) return
    const startedAtMs = nowMs()
    const plan = expertRebalance.rebalance(this.#map.map, collected.counts, {
      ranks: own.size,
      placesPerRank: model.placesPerRank,
      maxNewPerRankAndSet: model.spareCopies,
      maxNewPerRank: MAX_NEW_PER_RANK,
      slowdowns: Array.from({ length: own.size }, (_, rank) => Math.max(1, this.#ranks.get(rank)?.slowdown ?? 1)),
      minGainPerCopy: LEAST_GAIN_PER_COPY
    })
    if (plan.copies === 0) return
    const version = rankSwitch.propose(state, plan.map, nowMs())
    this.#changes = {
      kind: 'prepare_changes',
      version,
      baseVersion: this.#map.version,
      changes: mapChanges.changesBetween(this.#map.map, plan.map),
      digest: mapChanges.digestOf(plan.map)
    }
    log.emit('mapPlanned', {
      epoch: own.epoch,
      version,
      copies: plan.copies,
      skewBefore: plan.skewBefore / model.expertSets,
      skewAfter: plan.skewAfter / model.expertSets,
      planMs: Math.round(nowMs() - startedAtMs)
    })
    this.advance(own)
  }

  /** Whether the map in use is known: it is the one last proposed, the initial one, or read from the ranks. */
  async #learnMap (own: rankControl.RankGroup, model: routingTable.EngineModel): Promise<boolean> {
    const version = this.#ranks.get(own.rank)?.mapVersion ?? 0
    if (this.#map?.epoch === own.epoch && this.#map.version === version) return true
    const prepared = this.#options.mapOf(own.epoch, version)
    if (prepared !== undefined) {
      this.#map = { version, epoch: own.epoch, map: prepared }
      return true
    }
    const answers = await this.#askAll(own, { kind: 'placed' })
    const map: rankControl.ExpertMap = Array.from({ length: model.expertSets }, () => [])
    for (let rank = 0; rank < own.size; rank++) {
      const answer = answers.get(rank)
      const placed = answer?.kind === 'placed' ? answer.placed : undefined
      if (placed?.version !== version || placed.experts.length !== model.expertSets) return false
      placed.experts.forEach((experts, set) => { map[set]![rank] = experts })
    }
    this.#map = { version, epoch: own.epoch, map }
    return true
  }

  /** What the requests of all ranks chose over the window. */
  async #recentCounts (
    own: rankControl.RankGroup, model: routingTable.EngineModel
  ): Promise<number[][] | undefined> {
    const windowMs = Math.max(MIN_WINDOW_MS, Math.min(WINDOW_MS, WINDOW_MS * WINDOW_RANKS / own.size))
    const answers = await this.#askAll(own, { kind: 'counts', sets: model.expertSets, windowMs })
    const packed = [...answers.values()].flatMap(answer =>
      answer.kind === 'counts' && answer.counts !== undefined ? [answer.counts] : [])
    return countWindow.sumCounts(packed, own.epoch, model.expertSets, model.expertsPerSet)
  }

  async #askAll (own: rankControl.RankGroup, call: rankCall.RankCall): Promise<Map<number, rankCall.RankCallAnswer>> {
    const { addressesOf, caller, callOwnRank: ownCall, signal } = this.#options
    const answers = new Map<number, rankCall.RankCallAnswer>()
    await Promise.all(Array.from({ length: own.size }, async (_, rank) => {
      const { agent } = addressesOf(rank)
      const answer = rank === own.rank
        ? await ownCall(call)
        : agent === undefined ? undefined : await caller.call(agent, call, signal)
      if (answer !== undefined) answers.set(rank, answer)
    }))
    return answers
  }
}

function withoutMap (phase: rankSwitch.SwitchPhase): Record<string, unknown> {
  return Object.fromEntries(Object.entries(phase).filter(([name]) => name !== 'map' && name !== 'kind'))
}
