/**
 * Placement policies that the experiments compare: the planner with its cost weight, and its baselines.
 */

import * as expertPlanner from '../src/state/expert-planner.js'
import type * as groupShape from '../src/state/group-shape.js'

/** Returns the placement for the next period from the current one and the token counts of each layer and expert. */
export type Policy = (
  current: groupShape.LayerSlots[], counts: number[][], changes?: number[]
) => groupShape.LayerSlots[]

/** Keeps the first placement. */
export function staticMap (): Policy {
  return current => current
}

/** Plans every layer from scratch in every period, however many experts that moves. */
export function fullReplan (shape: groupShape.GroupShape): Policy {
  return (_, counts) => counts.map(layer => expertPlanner.planFromScratch(shape, layer))
}

/** The project's planner. */
export function costAware (shape: groupShape.GroupShape, options: expertPlanner.PlannerOptions): Policy {
  return (current, counts, changes) =>
    expertPlanner.planExperts(shape, current, counts, options, changes).layers ?? current
}

/**
 * Greedy policy that ignores cost: in the layer with the highest skew, the busiest expert of the most loaded rank gets
 * a replica on the least loaded rank where that lowers the skew, in place of the least busy replicated expert there.
 * Repeated up to a number of moves in each period.
 *
 * @param hasCarryOver whether all unused moves of earlier periods may be made later, as after a jump.
 */
export function greedy (shape: groupShape.GroupShape, movesPerPeriod: number, hasCarryOver = false): Policy {
  let allowance = 0
  return (current, counts) => {
    const layers = current.map(slots => [...slots])
    const skews = layers.map((slots, layer) => expertPlanner.layerSkew(shape, slots, counts[layer]!))
    allowance = movesPerPeriod === Infinity ? Infinity : allowance + movesPerPeriod
    for (; allowance >= 1; allowance--) {
      const layer = skews.indexOf(Math.max(...skews))
      if (skews[layer] === -1) break
      // A layer that no move improves is skipped until the next period.
      skews[layer] = replicateHottest(shape, layers[layer]!, counts[layer]!, skews[layer]!) ?? -1
    }
    if (!hasCarryOver) allowance = Math.min(allowance, movesPerPeriod)
    return layers
  }
}

/** Makes one move that lowers the layer's skew. @returns the new skew; undefined when no move lowers it. */
function replicateHottest (
  shape: groupShape.GroupShape, slots: groupShape.LayerSlots, counts: readonly number[], skew: number
): number | undefined {
  const loads = [...expertPlanner.rankLoads(shape, slots, counts)]
  const hottest = loads.indexOf(Math.max(...loads))
  const replicas = new Map<number, number>()
  for (const expert of slots) replicas.set(expert, (replicas.get(expert) ?? 0) + 1)
  const shareOf = (expert: number): number => counts[expert]! / replicas.get(expert)!
  const slotsOf = (rank: number): number[] =>
    Array.from({ length: shape.slotsPerRank }, (_, slot) => rank * shape.slotsPerRank + slot)
  const busiestExpert = slotsOf(hottest).map(slot => slots[slot]!).sort((a, b) => shareOf(b) - shareOf(a))[0]!
  const byLoad = loads.map((_, rank) => rank).sort((a, b) => loads[a]! - loads[b]!)
  for (const rank of byLoad) {
    const replacedSlot = slotsOf(rank).filter(slot => replicas.get(slots[slot]!)! > 1 && slots[slot] !== busiestExpert)
      .sort((a, b) => shareOf(slots[a]!) - shareOf(slots[b]!))[0]
    if (replacedSlot === undefined) continue
    const replacedExpert = slots[replacedSlot]!
    slots[replacedSlot] = busiestExpert
    const newSkew = expertPlanner.layerSkew(shape, slots, counts)
    if (newSkew < skew) return newSkew
    slots[replacedSlot] = replacedExpert
  }
  return undefined
}
