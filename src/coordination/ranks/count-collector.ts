/**
 * Collects for a lead how often the requests of all ranks chose each expert. In a large group, one agent of each
 * failure domain adds up the counts of its domain.
 *
 * Load pattern: the counts of 128 ranks take two thirds of a second on the link of the lead's host in each cycle.
 */

import * as countWindow from '../../state/count-window.js'
import type * as rankCall from '../../protocol/rank-call.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as orderSender from './order-sender.js'
import type * as rankCaller from './rank-caller.js'

export interface CountCollectorOptions {
  nowMs: () => number
  caller: rankCaller.RankCaller
  /** Executes a call on this agent's own rank. */
  callOwnRank: (call: rankCall.RankCall) => Promise<rankCall.RankCallAnswer>
  addressesOf: (rank: number) => orderSender.RankAddresses
  signal: AbortSignal
}

/** Maximum window over which counts are taken. */
const MAX_COUNTS_WINDOW_MS = 1_200
/** Largest group that uses the maximum window; a larger one collects enough requests for a plan sooner. */
const MAX_WINDOW_RANKS = 12
const MIN_COUNTS_WINDOW_MS = 500
/** Differences between the times that the first call of a window takes to reach the ranks. */
const START_DELAY_MS = 40
/** Ranks of a failure domain from which one agent adds up their counts. */
const MIN_SUMMED_RANKS = 8

export class CountCollector {
  readonly #options: CountCollectorOptions
  #rounds = 0
  #startedAtMs = -Infinity

  constructor (options: CountCollectorOptions) {
    this.#options = options
  }

  /**
   * Sums over all ranks how often requests chose each expert within the window, or since the last call of `start` if
   * that is shorter. @returns undefined when no rank answers, or none has run a pass since then.
   */
  async collect (own: rankControl.RankGroup, model: routingTable.EngineModel): Promise<number[][] | undefined> {
    const windowMs = Math.max(
      MIN_COUNTS_WINDOW_MS, Math.min(MAX_COUNTS_WINDOW_MS, MAX_COUNTS_WINDOW_MS * MAX_WINDOW_RANKS / own.size)
    )
    const sinceStartMs = this.#options.nowMs() - this.#startedAtMs + START_DELAY_MS
    const sum = await this.#request(own, model, Math.min(windowMs, sinceStartMs))
    const hasCounts = sum?.some(set => set.some(count => count > 0)) === true
    return hasCounts || sinceStartMs > windowMs ? sum : undefined
  }

  /**
   * Has all ranks begin a new window.
   *
   * Load pattern: the ranks of a large group read their counts every 300 ms. A plan right after a change of popularity
   * used counts of both sides of it, and its copies delayed the plan that fits.
   */
  start (own: rankControl.RankGroup, model: routingTable.EngineModel): void {
    this.#startedAtMs = this.#options.nowMs()
    // A window without a length adds a sample at each rank and has no counts.
    this.#request(own, model, 0).catch(() => {})
  }

  async #request (
    own: rankControl.RankGroup, model: routingTable.EngineModel, windowMs: number
  ): Promise<number[][] | undefined> {
    const { caller, callOwnRank, addressesOf, signal } = this.#options
    const counts: rankCall.RankCall & { kind: 'counts' } = { kind: 'counts', sets: model.expertSets, windowMs }
    const byDomain = new Map<string, string[]>()
    for (let rank = 0; rank < own.size; rank++) {
      const { agent, failureDomain } = addressesOf(rank)
      if (rank === own.rank || agent === undefined) continue
      byDomain.set(failureDomain, [...byDomain.get(failureDomain) ?? [], agent])
    }
    this.#rounds += 1
    const calls = [callOwnRank(counts)]
    for (const agents of byDomain.values()) {
      if (agents.length < MIN_SUMMED_RANKS) {
        for (const agent of agents) calls.push(caller.call(agent, counts, signal) as Promise<rankCall.RankCallAnswer>)
        continue
      }
      // Another agent in each round, so that one that does not answer costs one round.
      const summing = agents[this.#rounds % agents.length]!
      const others = agents.filter(agent => agent !== summing)
      const sum: rankCall.RankCall = { kind: 'sum_counts', agents: others, experts: model.expertsPerSet, counts }
      calls.push(caller.call(summing, sum, signal) as Promise<rankCall.RankCallAnswer>)
    }
    const packed = (await Promise.all(calls)).flatMap((answer?: rankCall.RankCallAnswer) =>
      answer?.kind === 'counts' && answer.counts !== undefined ? [answer.counts] : [])
    return countWindow.sumCounts(packed, own.epoch, model.expertSets, model.expertsPerSet)
  }
}
