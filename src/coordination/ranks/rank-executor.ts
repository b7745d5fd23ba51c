/**
 * Executes the calls of a group's lead at the agent beside a rank: orders, reads, and calls that it passes on to other
 * agents.
 */

import * as countWindow from '../../state/count-window.js'
import * as expertRebalance from '../../state/expert-rebalance.js'
import * as mapChanges from '../../state/map-changes.js'
import * as rankWatch from './rank-watch.js'
import type * as rankCall from '../../protocol/rank-call.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as rankSwitch from '../../state/rank-switch.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as runtime from '../runtime.js'
import type * as rankCaller from './rank-caller.js'

export interface RankExecutorOptions {
  runtime: runtime.Runtime
  rank: rankControl.RankControl
  caller: rankCaller.RankCaller
  /** Group of the rank; undefined while it does not answer. */
  group: () => rankControl.RankGroup | undefined
  engine: () => routingTable.EngineModel | undefined
  /** Whether an order of this term may be carried out. */
  isCurrentTerm: (term: number) => boolean
  /** Term of this agent's own lead; undefined while another agent leads. */
  ownTerm: () => number | undefined
  /** Called when the rank was ordered to prepare a map or to switch to it. */
  onOrder: () => void
  /** Called when the rank's requests have begun to choose other experts. */
  onPopularityChange: () => void
  signal: AbortSignal
}

/** Maximum number of maps kept: the one in use and later ones that were prepared but abandoned. */
const MAX_KEPT_MAPS = 6
/** A timer that fires a little early must not skip a reading. */
const TIMER_TOLERANCE_MS = 20
/** Less than the lead waits for the sum, so that one silent agent does not lose the counts of all. */
const COUNTS_TIMEOUT_MS = 400

export class RankExecutor {
  readonly #options: RankExecutorOptions
  readonly #maps: { epoch: number, version: number, map: rankControl.ExpertMap }[] = []
  readonly #counts = countWindow.createWindow()
  #countsReadAtMs = -Infinity

  constructor (options: RankExecutorOptions) {
    this.#options = options
    const timer = setInterval(() => { this.#readCounts() }, countWindow.SAMPLE_INTERVAL_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  async execute (call: rankCall.RankCall): Promise<rankCall.RankCallAnswer> {
    const { rank, group, ownTerm, signal } = this.#options
    switch (call.kind) {
      case 'counts': return await this.#readWindow(call)
      case 'sum_counts': return await this.#sumCounts(call)
      case 'placed': return { kind: 'placed', placed: await rank.placedExperts(signal) }
      case 'state': return { kind: 'state', ...await this.#readState() }
      case 'lead': return { kind: 'lead', term: call.group === group()?.name ? ownTerm() : undefined }
      case 'relay': return await this.#relay(call)
      case 'order': return await this.#carryOut(call)
    }
  }

  /** The initial map, or one that this agent received an order to prepare; undefined for other versions. */
  mapOf (epoch: number, version: number): rankControl.ExpertMap | undefined {
    const [engine, group] = [this.#options.engine(), this.#options.group()]
    if (version === 0 && engine !== undefined && group !== undefined) {
      return expertRebalance.initialMap(engine.expertSets, engine.expertsPerSet, group.size)
    }
    return this.#maps.find(known => known.epoch === epoch && known.version === version)?.map
  }

  async #carryOut (call: rankCall.RankCall & { kind: 'order' }): Promise<rankCall.RankCallAnswer> {
    const { rank, isCurrentTerm, signal } = this.#options
    if (!isCurrentTerm(call.term)) return { kind: 'rejected', reason: 'another agent leads' }
    const order = call.order.kind === 'prepare_changes' ? this.#expandOrder(call.epoch, call.order) : call.order
    if (order === undefined) return { kind: 'map_unknown' }
    if (order.kind === 'prepare') this.#keepMap(call.epoch, order)
    if (order.kind === 'prepare' || order.kind === 'arm') this.#options.onOrder()
    const outcome = await rank.order(order, call.epoch, call.term, signal)
    return { kind: 'ordered', outcome, ...await this.#readState() }
  }

  async #relay (call: rankCall.RankCall & { kind: 'relay' }): Promise<rankCall.RankCallAnswer> {
    const { caller, signal } = this.#options
    const answers = await Promise.all(call.targets.map(async ({ rank, address }) => {
      const answer = await caller.call(address, call.call, signal, call.timeoutMs)
      return answer === undefined ? [] : [{ rank, answer }]
    }))
    return { kind: 'relayed', answers: answers.flat() }
  }

  async #readWindow (call: rankCall.RankCall & { kind: 'counts' }): Promise<rankCall.RankCallAnswer> {
    const { rank, runtime: { nowMs, random }, signal } = this.#options
    const counts = await rank.counts(call.sets, signal)
    if (counts === undefined) return { kind: 'counts', counts }
    this.#noteCounts(counts)
    return { kind: 'counts', counts: countWindow.countsWithin(this.#counts, call.windowMs, nowMs(), random) }
  }

  async #sumCounts (call: rankCall.RankCall & { kind: 'sum_counts' }): Promise<rankCall.RankCallAnswer> {
    const { caller, group, signal, runtime: { random } } = this.#options
    const epoch = group()?.epoch
    const answers = await Promise.all([
      this.#readWindow(call.counts),
      ...call.agents.map(async agent => await caller.call(agent, call.counts, signal, COUNTS_TIMEOUT_MS))
    ])
    const packed = answers.flatMap(answer => answer?.kind === 'counts' && answer.counts !== undefined ? [answer.counts] : [])
    const sum = epoch === undefined ? undefined : countWindow.sumCounts(packed, epoch, call.counts.sets, call.experts)
    return { kind: 'counts', counts: sum === undefined ? undefined : countWindow.packSum(sum, epoch!, random) }
  }

  async #readCounts (): Promise<void> {
    const { engine, group, ownTerm, rank, runtime: { nowMs }, signal } = this.#options
    const model = engine()
    if (model === undefined || model.expertSets === 0 || group()?.isOpen !== true) return
    const intervalMs = countWindow.sampleIntervalMs(model.expertSets * model.expertsPerSet, ownTerm() !== undefined)
    if (nowMs() - this.#countsReadAtMs < intervalMs - TIMER_TOLERANCE_MS) return
    this.#countsReadAtMs = nowMs()
    const counts = await rank.counts(model.expertSets, signal)
    if (counts !== undefined) this.#noteCounts(counts)
  }

  #noteCounts (counts: rankControl.ExpertCounts): void {
    const { runtime: { nowMs }, onPopularityChange } = this.#options
    if (countWindow.addSample(this.#counts, counts, nowMs())) onPopularityChange()
  }

  /** @returns the order with the whole map; undefined when the base map is unknown or the digest differs. */
  #expandOrder (epoch: number, order: rankCall.PrepareChanges): rankControl.RankOrder | undefined {
    const base = this.mapOf(epoch, order.baseVersion)
    const map = base === undefined ? undefined : mapChanges.applyChanges(base, order.changes)
    if (map === undefined || mapChanges.digestOf(map) !== order.digest) return undefined
    return { kind: 'prepare', version: order.version, map }
  }

  /** Reads the rank's current state. */
  async #readState (): Promise<{ state: rankSwitch.RankState | undefined, ageMs: number }> {
    const { rank, runtime: { nowMs }, signal } = this.#options
    const readAtMs = nowMs()
    const report = await rank.report(signal)
    return {
      state: report === undefined ? undefined : rankWatch.rankStateOf({ report, readAtMs }),
      ageMs: nowMs() - readAtMs
    }
  }

  /** Keeps a prepared map, since this agent may become the lead and then needs the map in use. */
  #keepMap (epoch: number, order: rankControl.RankOrder & { kind: 'prepare' }): void {
    if (this.#maps.some(known => known.epoch === epoch && known.version === order.version)) return
    this.#maps.push({ epoch, version: order.version, map: order.map })
    if (this.#maps.length > MAX_KEPT_MAPS) this.#maps.shift()
  }
}
