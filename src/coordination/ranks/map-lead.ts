/**
 * Plans new expert maps for a group and switches its ranks to them while this agent leads the group.
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

/** Addresses of another rank of the group, from the status of its agent. */
export interface RankAddresses {
  /** Undefined while the agent is silent. */
  agent: string | undefined
  rank: string | undefined
}

export interface MapLeadOptions {
  runtime: runtime.Runtime
  caller: rankCaller.RankCaller
  /** Executes a call on this agent's own rank. */
  callOwnRank: (call: rankCall.RankCall) => Promise<rankCall.RankCallAnswer>
  /** Direct access to a rank on another host, used while its agent is silent. */
  rankAt: (address: string) => rankControl.RankControl
  addressesOf: (rank: number) => RankAddresses
  engine: () => routingTable.EngineModel | undefined
  /** The initial map, or one that this agent received an order to prepare; undefined for other versions. */
  mapOf: (epoch: number, version: number) => rankControl.ExpertMap | undefined
  /** Whether this agent still leads in this term. */
  isLeading: (term: number) => boolean
  /** Called when a rank refused an order because another agent leads in a later term. */
  onFenced: () => void
  signal: AbortSignal
}

/** Minimum time between two collections of counts; a shorter one yields too few new counts. */
const PLAN_INTERVAL_MS = 400
/** Maximum window over which counts are taken. */
const MAX_COUNTS_WINDOW_MS = 1_200
/** Largest group that uses the maximum window; a larger one collects enough requests for a plan sooner. */
const MAX_WINDOW_RANKS = 12
const MIN_COUNTS_WINDOW_MS = 500
const MAX_NEW_COPIES_PER_RANK = 4
const MIN_GAIN_PER_COPY = 0.02
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
  /** Difference between the proposed map and the one in use. */
  #changes: rankCall.PrepareChanges | undefined
  #previousLead: rankSwitch.PreviousLead | undefined
  /** Counts for the next plan. */
  #collectedCounts: { counts: number[][], epoch: number } | undefined
  #collectedAtMs = -Infinity
  readonly #fencedRanks = new Set<number>()
  #isCollecting = false
  #isPlanningStopped = false

  constructor (options: MapLeadOptions) {
    this.#options = options
  }

  /** Called when this agent becomes the lead. @param previous the agent that led before. */
  startTerm (group: rankControl.RankGroup, term: number, previous: rankSwitch.PreviousLead | undefined): void {
    this.#previousLead = previous
    this.#group = group.name
    this.#term = term
    this.#state = undefined
    this.#map = undefined
    this.#changes = undefined
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

  noteRank (state: rankSwitch.RankState): void {
    const known = this.#ranks.get(state.rank)
    if (known === undefined || known.readAtMs <= state.readAtMs) this.#ranks.set(state.rank, state)
  }

  /** Called periodically and after each update of a rank while this agent leads. */
  advance (own: rankControl.RankGroup): void {
    const { runtime: { nowMs, log, metrics } } = this.#options
    if (!this.#options.isLeading(this.#term)) return
    if (this.#state?.epoch !== own.epoch || this.#state.size !== own.size) {
      this.#state = rankSwitch.createSwitchState(own.epoch, own.size, own.rank, this.#term, nowMs(), this.#previousLead)
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
    for (const { rank, order } of step.orders) this.#sendOrder(rank, order, own)
    if (!rankSwitch.isIdle(this.#state)) this.#readSilentRanks(own)
    this.#collectCounts(own)
    if (rankSwitch.isIdle(this.#state) && this.#collectedCounts !== undefined) this.#plan(own)
  }

  /** Sends the current term to every rank, so that ranks refuse orders of earlier leads. */
  #fenceAll (own: rankControl.RankGroup): void {
    for (let rank = 0; rank < own.size; rank++) {
      if (this.#fencedRanks.has(rank)) continue
      this.#fencedRanks.add(rank)
      // No rank is held at step 0, so the order has no other effect.
      this.#sendOrder(rank, { kind: 'go', step: 0 }, own)
    }
  }

  #knownMap (own: rankControl.RankGroup): rankControl.ExpertMap | undefined {
    const version = this.#ranks.get(own.rank)?.mapVersion ?? 0
    if (this.#map?.epoch === own.epoch && this.#map.version === version) return this.#map.map
    return this.#options.mapOf(own.epoch, version)
  }

  async #sendOrder (rank: number, order: rankControl.RankOrder, own: rankControl.RankGroup): Promise<void> {
    const { caller, addressesOf, callOwnRank, rankAt, runtime: { nowMs, log }, signal } = this.#options
    const orderCall = (sentOrder: rankControl.RankOrder | rankCall.PrepareChanges): rankCall.RankCall =>
      ({ kind: 'order', group: this.#group, epoch: own.epoch, term: this.#term, order: sentOrder })
    const { agent, rank: address } = addressesOf(rank)
    const sentAtMs = nowMs()
    let outcome: rankControl.OrderOutcome | undefined
    // A hold is sent to the rank directly. The lead's host may freeze with the order; a rank on another host can be
    // released without the lead's host.
    const isDirect = order.kind === 'hold' && rank !== own.rank && address !== undefined
    if (!isDirect && (rank === own.rank || agent !== undefined)) {
      let answer = rank === own.rank
        ? await callOwnRank(orderCall(order))
        : await caller.call(agent!, orderCall(this.#compactOrder(order)), signal)
      if (answer?.kind === 'map_unknown') answer = await caller.call(agent!, orderCall(order), signal)
      if (answer?.kind === 'ordered') {
        outcome = answer.outcome
        if (answer.state !== undefined) this.noteRank({ ...answer.state, readAtMs: nowMs() - answer.ageMs })
      } else if (answer?.kind === 'rejected') outcome = 'fenced'
    }
    if (outcome === undefined && rank !== own.rank && address !== undefined) {
      outcome = await rankAt(address).order(order, own.epoch, this.#term, signal)
      // The group is stalled until the lead knows that the order was carried out, so the state is requested at once.
      // The same applies to a refusal: the rank's pass has begun, and another step must be held.
      if (agent !== undefined) await this.#requestState(rank, agent)
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

  /** Replaces the whole map of a prepare order by its difference from the map in use, where that is known. */
  #compactOrder (order: rankControl.RankOrder): rankControl.RankOrder | rankCall.PrepareChanges {
    return order.kind === 'prepare' && this.#changes?.version === order.version ? this.#changes : order
  }

  /** Reads a rank directly while its agent is silent. */
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

  async #requestState (rank: number, agent: string): Promise<void> {
    const { caller, runtime: { nowMs }, signal } = this.#options
    const answer = await caller.call(agent, { kind: 'state' }, signal)
    if (answer?.kind === 'state' && answer.state?.rank === rank) {
      this.noteRank({ ...answer.state, readAtMs: nowMs() - answer.ageMs })
    }
  }

  async #readDirectly (rank: number, address: string): Promise<void> {
    const { rankAt, runtime: { nowMs, log }, signal } = this.#options
    // A report that is read from another host is some hundred ms old when it arrives.
    const readAtMs = nowMs() - REMOTE_REPORT_AGE_MS
    const report = await rankAt(address).report(signal)
    const state = report === undefined ? undefined : rankWatch.rankStateOf({ report, readAtMs })
    if (state === undefined || report?.group?.name !== this.#group) {
      log.emit('rankUnreachable', { rank, address, phase: this.#state?.phase.kind, group: report?.group?.name })
    } else this.noteRank(state)
  }

  /** Collects counts only while no switch is in progress: a plan from older counts would follow outdated popularity. */
  #collectCounts (own: rankControl.RankGroup): void {
    const { engine, runtime: { nowMs } } = this.#options
    const model = engine()
    if (model === undefined || model.expertSets === 0 || this.#state?.phase.kind !== 'idle') return
    if (this.#isPlanningStopped || this.#isCollecting || nowMs() - this.#collectedAtMs < PLAN_INTERVAL_MS) return
    this.#isCollecting = true
    this.#collectedAtMs = nowMs()
    this.#recentCounts(own, model).then(counts => {
      this.#collectedCounts = counts === undefined ? undefined : { counts, epoch: own.epoch }
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
    if (this.#map === undefined) return
    const startedAtMs = nowMs()
    const plan = expertRebalance.rebalance(this.#map.map, collected.counts, {
      ranks: own.size,
      placesPerRank: model.placesPerRank,
      maxNewPerRankAndSet: model.spareCopies,
      maxNewPerRank: MAX_NEW_COPIES_PER_RANK,
      slowdowns: Array.from({ length: own.size }, (_, rank) => Math.max(1, this.#ranks.get(rank)?.slowdown ?? 1)),
      minGainPerCopy: MIN_GAIN_PER_COPY
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

  /** Finds the map in use: the last proposed one, the initial one, or that of the ranks. @returns false if unknown. */
  async #loadMapInUse (own: rankControl.RankGroup, model: routingTable.EngineModel): Promise<boolean> {
    const version = this.#ranks.get(own.rank)?.mapVersion ?? 0
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

  /** Sums over all ranks how often requests chose each expert within the window. */
  async #recentCounts (
    own: rankControl.RankGroup, model: routingTable.EngineModel
  ): Promise<number[][] | undefined> {
    const windowMs = Math.max(
      MIN_COUNTS_WINDOW_MS, Math.min(MAX_COUNTS_WINDOW_MS, MAX_COUNTS_WINDOW_MS * MAX_WINDOW_RANKS / own.size)
    )
    const answers = await this.#callAllRanks(own, { kind: 'counts', sets: model.expertSets, windowMs })
    const packed = [...answers.values()].flatMap(answer =>
      answer.kind === 'counts' && answer.counts !== undefined ? [answer.counts] : [])
    return countWindow.sumCounts(packed, own.epoch, model.expertSets, model.expertsPerSet)
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
