/**
 * Plans new expert maps for a group and switches its ranks to them while this agent leads the group.
 */

import * as expertRebalance from '../../state/expert-rebalance.js'
import * as mapChanges from '../../state/map-changes.js'
import * as rankState from '../../state/rank-state.js'
import * as rankSwitch from '../../state/rank-switch.js'
import * as countCollector from './count-collector.js'
import * as orderSender from './order-sender.js'
import type * as rankCall from '../../protocol/rank-call.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as switchOrders from '../../state/switch-orders.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as runtime from '../runtime.js'
import type * as rankCaller from './rank-caller.js'

export interface MapLeadOptions {
  runtime: runtime.Runtime
  caller: rankCaller.RankCaller
  /** Executes a call on this agent's own rank. */
  callOwnRank: (call: rankCall.RankCall) => Promise<rankCall.RankCallAnswer>
  /** Direct access to a rank on another host, used while its agent is silent. */
  rankAt: (address: string) => rankControl.RankControl
  addressesOf: (rank: number) => orderSender.RankAddresses
  engine: () => routingTable.EngineModel | undefined
  /** The initial map, or one that this agent received an order to prepare; undefined for other versions. */
  mapOf: (epoch: number, version: number) => rankControl.ExpertMap | undefined
  /** Whether this agent still leads in this term. */
  isLeading: (term: number) => boolean
  /** Called when a rank refused an order because another agent leads in a later term. */
  onFenced: () => void
  signal: AbortSignal
}

/** Time between two collections of counts while popularity stays the same. */
const PLAN_INTERVAL_MS = 400
/** Time after a change of popularity or the opening of a group in which its ranks run and count a pass. */
const CHANGE_SETTLING_MS = 120
/** Time after which counts are collected again when no rank had run a pass. */
const RECOLLECT_MS = 40
const DIRECT_READ_INTERVAL_MS = 200
const PACE_INTERVAL_MS = 1_000
/** Time in addition to two repeats of a rank's state after which the rank is read directly. */
const SILENT_RANK_MARGIN_MS = 200

export class MapLead {
  readonly #options: MapLeadOptions
  readonly #sender: orderSender.OrderSender
  readonly #collector: countCollector.CountCollector
  readonly #ranks = new Map<number, rankSwitch.RankState>()
  readonly #directReadAtMs = new Map<number, number>()
  #state: rankSwitch.SwitchState | undefined
  /** The group at the last advance. */
  #own: rankControl.RankGroup | undefined
  #group = ''
  #term = 0
  #map: { version: number, epoch: number, map: rankControl.ExpertMap } | undefined
  /** Difference between the proposed map and the one in use. */
  #changes: rankCall.PrepareChanges | undefined
  #previousLead: rankSwitch.PreviousLead | undefined
  /** Counts for the next plan. */
  #collectedCounts: { counts: number[][], epoch: number, popularityChanges: number } | undefined
  #collectedAtMs = -Infinity
  /** Changes of popularity so far: what was collected before the last one is outdated. */
  #popularityChanges = 0
  /** Whether a map was given up since the last switch. */
  #hasGivenUpMap = false
  /** Mean over the sets of the most loaded rank's load, by the last counts; undefined before the first ones. */
  #skew: number | undefined
  #paceAtMs = -Infinity
  readonly #fencedRanks = new Set<number>()
  #isCollecting = false
  #isAdvanceScheduled = false
  #isPlanningStopped = false

  constructor (options: MapLeadOptions) {
    this.#options = options
    this.#sender = new orderSender.OrderSender({ ...options, onState: state => { this.noteRank(state) } })
    this.#collector = new countCollector.CountCollector({ ...options, nowMs: options.runtime.nowMs })
  }

  /** Called when this agent becomes the lead. @param previous the agent that led before. */
  startTerm (group: rankControl.RankGroup, term: number, previous: rankSwitch.PreviousLead | undefined): void {
    this.#previousLead = previous
    this.#group = group.name
    this.#term = term
    this.#state = undefined
    this.#map = undefined
    this.#changes = undefined
    this.#own = undefined
    this.#skew = undefined
    this.#ranks.clear()
    this.#fencedRanks.clear()
  }

  /** Stops proposing maps; a switch that has begun continues. */
  stopPlanning (): void {
    this.#isPlanningStopped = true
  }

  /** Whether some ranks may have a map or a hold that others don't have yet. */
  get isSwitching (): boolean {
    const kind = this.#state?.phase.kind
    return kind === 'holding' || kind === 'arming' || kind === 'releasing'
  }

  /** Records the state of a rank, which may let a switch in progress go on at once. */
  noteRankDuringSwitch (state: rankSwitch.RankState, own: rankControl.RankGroup): void {
    this.noteRank(state)
    const kind = this.#state?.phase.kind
    if (kind !== undefined && kind !== 'idle' && kind !== 'recovering') this.#advanceSoon(own)
  }

  noteRank (state: rankSwitch.RankState): void {
    const known = this.#ranks.get(state.rank)
    if (known === undefined || known.readAtMs <= state.readAtMs) this.#ranks.set(state.rank, state)
  }

  /** Called when the requests of this agent's own rank have begun to choose other experts. */
  notePopularityChange (): void {
    const model = this.#options.engine()
    this.#popularityChanges += 1
    this.#collectedCounts = undefined
    this.#collectSoon(CHANGE_SETTLING_MS)
    if (this.#own === undefined || model === undefined || !this.#options.isLeading(this.#term)) return
    this.#options.runtime.log.emit('popularityChanged', { epoch: this.#own.epoch, phase: this.#state?.phase.kind })
    this.#giveUpOutdatedMap(this.#own)
    this.#collector.start(this.#own, model)
  }

  /**
   * The copies of a plan from counts of before a change would delay the plan that fits. Where requests differ so much
   * that popularity seems to change all the time, every second map is completed.
   */
  #giveUpOutdatedMap (own: rankControl.RankGroup): void {
    const { runtime: { log, metrics, nowMs } } = this.#options
    if (this.#hasGivenUpMap || this.#state === undefined) return
    const version = rankSwitch.giveUpPreparation(this.#state, nowMs())
    if (version === undefined) return
    this.#hasGivenUpMap = true
    log.emit('mapOutdated', { version, epoch: own.epoch })
    metrics.mapSwitches.inc({ outcome: 'outdated' })
  }

  #collectSoon (delayMs: number): void {
    this.#collectedAtMs = this.#options.runtime.nowMs() - PLAN_INTERVAL_MS + delayMs
  }

  /** Called periodically and after each update of a rank while this agent leads. */
  advance (own: rankControl.RankGroup): void {
    const { runtime: { nowMs, log, metrics } } = this.#options
    if (!this.#options.isLeading(this.#term)) return
    if (this.#state?.epoch !== own.epoch || this.#state.size !== own.size) {
      this.#state = rankSwitch.createSwitchState(own.epoch, own.size, own.rank, this.#term, nowMs(), this.#previousLead)
      this.#map = undefined
      this.#skew = undefined
      this.#fencedRanks.clear()
    }
    if (!own.isOpen) return
    this.#own = own
    this.#fenceAll(own)
    this.#state.mapInUse = this.#knownMap(own)
    const step = rankSwitch.advance(this.#state, this.#ranks, nowMs())
    for (const hold of step.strayHolds) {
      log.emit('strayHold', { epoch: own.epoch, term: this.#term, ...hold, ageMs: Math.round(hold.ageMs) })
    }
    if (step.entered !== undefined) {
      log.emit(step.entered === 'idle' ? 'mapSwitchEnded' : 'mapSwitchPhase', {
        epoch: own.epoch, term: this.#term, phase: this.#state.phase.kind, ...withoutMap(this.#state.phase)
      })
      if (step.entered === 'idle') {
        metrics.mapSwitches.inc({ outcome: 'ended' })
        this.#hasGivenUpMap = false
      }
    }
    this.#sendOrders(step.orders, own)
    if (!rankSwitch.isIdle(this.#state)) this.#readSilentRanks(own)
    this.#reportPace(this.#state)
    this.#collectCounts(own)
    if (rankSwitch.isIdle(this.#state) && this.#collectedCounts !== undefined) this.#plan(own)
  }

  #reportPace (state: rankSwitch.SwitchState): void {
    const { runtime: { nowMs, log, metrics } } = this.#options
    if (nowMs() - this.#paceAtMs < PACE_INTERVAL_MS) return
    this.#paceAtMs = nowMs()
    metrics.passMs.set(state.passes.passMs)
    if (this.#skew !== undefined) metrics.expertSkew.set(this.#skew)
    log.emit('groupPace', {
      epoch: state.epoch,
      step: state.passes.begun?.step,
      passMs: Math.round(state.passes.passMs),
      skew: this.#skew,
      slowdown: Math.max(...[...this.#ranks.values()].map(rank => rank.slowdown)),
      phase: state.phase.kind
    })
  }

  /** Sends the current term to every rank, so that ranks refuse orders of earlier leads. */
  #fenceAll (own: rankControl.RankGroup): void {
    // No rank is held at step 0, so the order has no other effect.
    const order: rankControl.RankOrder = { kind: 'go', step: 0 }
    const orders: switchOrders.AddressedOrder[] = []
    for (let rank = 0; rank < own.size; rank++) {
      if (this.#fencedRanks.has(rank)) continue
      this.#fencedRanks.add(rank)
      orders.push({ rank, order })
    }
    if (orders.length > 0) this.#sendOrders(orders, own)
  }

  #sendOrders (orders: readonly switchOrders.AddressedOrder[], own: rankControl.RankGroup): void {
    const term = this.#term
    this.#sender.send(orders, {
      group: this.#group,
      own,
      term,
      compact: order => this.#compactOrder(order),
      onOutcome: (rank, order, outcome) => {
        if (term !== this.#term) return
        if (outcome === 'fenced') this.#options.onFenced()
        else if (this.#state?.epoch === own.epoch) {
          if (outcome === 'unknown') rankSwitch.noteUnanswered(this.#state, rank)
          if (outcome === 'refused' && order.kind === 'prepare') this.#giveUpMap(rank, order.version, this.#state)
          this.#advanceSoon(own)
        }
      }
    })
  }

  #giveUpMap (rank: number, version: number, state: rankSwitch.SwitchState): void {
    const { runtime: { log, nowMs } } = this.#options
    if (state.phase.kind !== 'preparing' || state.phase.version !== version) return
    log.emit('mapRefused', { rank, version, epoch: state.epoch })
    rankSwitch.notePrepareRefused(state, version, nowMs())
  }

  /** Advances once for all answers that arrive together. */
  #advanceSoon (own: rankControl.RankGroup): void {
    if (this.#isAdvanceScheduled) return
    this.#isAdvanceScheduled = true
    setImmediate(() => {
      this.#isAdvanceScheduled = false
      if (this.#state?.epoch === own.epoch) this.advance(own)
    })
  }

  #knownMap (own: rankControl.RankGroup): rankControl.ExpertMap | undefined {
    const version = rankSwitch.versionInUse(this.#ranks, own.epoch) ?? 0
    if (this.#map?.epoch === own.epoch && this.#map.version === version) return this.#map.map
    return this.#options.mapOf(own.epoch, version)
  }

  /** Replaces the whole map of a prepare order by its difference from the map in use, where that is known. */
  #compactOrder (order: rankControl.RankOrder): rankControl.RankOrder | rankCall.PrepareChanges {
    return order.kind === 'prepare' && this.#changes?.version === order.version ? this.#changes : order
  }

  /** Reads a rank directly while its agent is silent. */
  #readSilentRanks (own: rankControl.RankGroup): void {
    const { addressesOf, runtime: { nowMs } } = this.#options
    const silentMs = 2 * rankState.stateRepeatMs(own.size) + SILENT_RANK_MARGIN_MS
    for (let rank = 0; rank < own.size; rank++) {
      const readAtMs = this.#ranks.get(rank)?.readAtMs ?? -Infinity
      const { rank: address } = addressesOf(rank)
      if (rank === own.rank || address === undefined || nowMs() - readAtMs < silentMs) continue
      if (nowMs() - (this.#directReadAtMs.get(rank) ?? -Infinity) < DIRECT_READ_INTERVAL_MS) continue
      this.#directReadAtMs.set(rank, nowMs())
      this.#sender.readDirectly(rank, address, this.#group, this.#state?.phase.kind)
    }
  }

  /** Collects counts only while no switch is in progress: a plan from older counts would follow outdated popularity. */
  #collectCounts (own: rankControl.RankGroup): void {
    const { engine, runtime: { nowMs } } = this.#options
    const model = engine()
    if (model === undefined || model.expertSets === 0 || this.#state?.phase.kind !== 'idle') return
    if (this.#isPlanningStopped || this.#isCollecting || nowMs() - this.#collectedAtMs < PLAN_INTERVAL_MS) return
    this.#isCollecting = true
    this.#collectedAtMs = nowMs()
    const popularityChanges = this.#popularityChanges
    this.#collector.collect(own, model).then(counts => {
      if (popularityChanges !== this.#popularityChanges) return
      this.#collectedCounts = counts && { counts, epoch: own.epoch, popularityChanges }
      // A group that has just opened has run no pass yet, and its initial map is the most uneven one.
      if (counts === undefined) this.#collectSoon(RECOLLECT_MS)
      this.advance(own)
    }).finally(() => { this.#isCollecting = false })
  }

  async #plan (own: rankControl.RankGroup): Promise<void> {
    const { runtime: { log, nowMs }, engine } = this.#options
    const [collected, model] = [this.#collectedCounts, engine()]
    this.#collectedCounts = undefined
    if (model === undefined || collected?.epoch !== own.epoch || !await this.#loadMapInUse(own, model)) return
    const state = this.#state
    if (this.#isPlanningStopped || state === undefined || !rankSwitch.isIdle(state) || state.epoch !== own.epoch) return
    if (this.#map === undefined || collected.popularityChanges !== this.#popularityChanges) return
    const startedAtMs = nowMs()
    const plan = expertRebalance.rebalance(this.#map.map, collected.counts, {
      ranks: own.size,
      placesPerRank: model.placesPerRank,
      maxNewPerRankAndSet: model.spareCopies,
      maxNewPerRank: expertRebalance.maxNewCopies(model.expertMegabytes, model.linkMegabitsPerSecond),
      slowdowns: Array.from({ length: own.size }, (_, rank) => Math.max(1, this.#ranks.get(rank)?.slowdown ?? 1)),
      minGainPerCopy: expertRebalance.minGainPerCopy(own.size),
      minGainPerPlan: expertRebalance.MIN_GAIN_PER_PLAN
    })
    this.#skew = plan.skewBefore / model.expertSets
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
      skewBefore: this.#skew,
      skewAfter: plan.skewAfter / model.expertSets,
      planMs: Math.round(nowMs() - startedAtMs)
    })
    this.advance(own)
  }

  /** Finds the map in use: the last proposed one, the initial one, or that of the ranks. @returns false if unknown. */
  async #loadMapInUse (own: rankControl.RankGroup, model: routingTable.EngineModel): Promise<boolean> {
    const version = rankSwitch.versionInUse(this.#ranks, own.epoch) ?? 0
    if (this.#map?.epoch === own.epoch && this.#map.version === version) return true
    const prepared = this.#options.mapOf(own.epoch, version)
    if (prepared !== undefined) {
      this.#map = { version, epoch: own.epoch, map: prepared }
      return true
    }
    const answers = await this.#callAllRanks(own, { kind: 'placed' })
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

  async #callAllRanks (
    own: rankControl.RankGroup, call: rankCall.RankCall
  ): Promise<Map<number, rankCall.RankCallAnswer>> {
    const { addressesOf, caller, callOwnRank, signal } = this.#options
    const answers = new Map<number, rankCall.RankCallAnswer>()
    await Promise.all(Array.from({ length: own.size }, async (_, rank) => {
      const { agent } = addressesOf(rank)
      const answer = rank === own.rank
        ? await callOwnRank(call)
        : agent === undefined ? undefined : await caller.call(agent, call, signal)
      if (answer !== undefined) answers.set(rank, answer)
    }))
    return answers
  }
}

function withoutMap (phase: rankSwitch.SwitchPhase): Record<string, unknown> {
  return Object.fromEntries(Object.entries(phase).filter(([name]) => name !== 'map' && name !== 'kind'))
}
