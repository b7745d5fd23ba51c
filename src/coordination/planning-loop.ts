/**
 * Periodic planning at the lead of a group: collects token counts, plans an expert map, and switches to it.
 */

import type * as environment from './environment.js'
import type * as groupPeers from './group-peers.js'
import type * as mapAgent from './map-agent.js'
import type * as mapProposer from './map-proposer.js'
import * as plannerWorker from './planner-worker.js'
import * as expertPlanner from '../state/expert-planner.js'

export interface PlanningOptions {
  periodMs: number
  planner: expertPlanner.PlannerOptions
}

/** @returns a function that starts one round of planning, unless a round is still running. */
export function startPlanning (
  env: environment.Environment, options: PlanningOptions, self: mapAgent.MapAgent, peers: groupPeers.GroupPeers,
  proposer: mapProposer.MapProposer, signal: AbortSignal
): (onBroken: (error: Error) => void) => void {
  const thread = plannerWorker.startPlannerThread(signal)
  /** Token counts of the previous round, and the incarnation of the group that they are of. */
  let totals: number[] | undefined
  let group = ''
  let smoothed: number[][] | undefined
  let isBusy = false
  return onBroken => {
    if (isBusy) return
    isBusy = true
    plan().catch(error => { if (!signal.aborted) onBroken(error as Error) }).finally(() => { isBusy = false })
  }

  async function plan (): Promise<void> {
    const replies = await Promise.all(Array.from({ length: peers.ranks }, (_, rank) =>
      peers.call(rank, { type: 'resolve', groupIncarnation: '', ballot: 0, version: 0 }, undefined, true)))
    const engine = await self.snapshot()
    const current = engine === undefined ? undefined : await self.mapOf(engine.version)
    // Without the counts of a rank the sums would be wrong, and without its agent no switch is possible.
    if (engine === undefined || current === undefined || replies.some(reply => reply?.answer.result !== 'status')) return
    const sums = replies[0]!.tokens.map((_, index) =>
      replies.reduce((sum, reply) => sum + (reply!.tokens[index] ?? 0), 0))
    const previousTotals = group === engine.groupIncarnation ? totals : undefined
    totals = sums
    group = engine.groupIncarnation
    if (previousTotals === undefined) {
      smoothed = undefined
      return
    }
    const experts = sums.length / current.layers.length
    const counts = current.layers.map((_, layer) => Array.from({ length: experts }, (_, expert) => {
      const index = layer * experts + expert
      return Math.max(0, sums[index]! - previousTotals[index]!)
    }))
    const previous = smoothed
    smoothed = expertPlanner.smoothCounts(previous, counts)
    const changes = previous === undefined ? undefined : expertPlanner.layerChanges(previous, smoothed)
    const shape = { ranks: peers.ranks, experts, slotsPerRank: current.slotsPerRank }
    const result = await thread.plan({
      shape, layers: current.layers, counts: smoothed, changes, options: options.planner
    })
    env.metrics.gauge('agent.expert_skew', result.skewBefore)
    if (result.layers === undefined) return
    env.log.emit('mapPlanned', { moves: result.moves, skewBefore: result.skewBefore, skewAfter: result.skewAfter })
    const outcome = await proposer.switchTo(result.layers, current.slotsPerRank, signal)
    env.metrics.count('agent.expert_switches', 1, { outcome })
  }
}
