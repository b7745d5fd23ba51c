/**
 * Baselines of the expert planner. Each gives the placement for the next period.
 */

import * as expertPlanner from '../src/state/expert-planner.js'
import type * as groupShape from '../src/state/group-shape.js'

export type Policy = (
  current: groupShape.LayerSlots[], counts: number[][], changes?: number[]
) => groupShape.LayerSlots[]

export function staticMap (): Policy {
  return current => current
}

export function fullReplan (shape: groupShape.GroupShape): Policy {
  return (_, counts) => counts.map(layer => expertPlanner.planFromScratch(shape, layer))
}

export function costAware (shape: groupShape.GroupShape, options: expertPlanner.PlannerOptions): Policy {
  return (current, counts, changes) =>
    expertPlanner.planExperts(shape, current, counts, options, changes).layers ?? current
}

/**
 * Greedy without cost: in the layer with the most skew, the busiest expert of the most loaded rank gets a replica on
 * the least loaded rank where that helps, which gives up its least busy expert. Repeated up to a number of moves in
 * each period.
 *
 * @param carries whether moves that a period leaves over may all be made later, as after a jump.
 */
export function greedy (shape: groupShape.GroupShape, movesPerPeriod: number, carries = false): Policy {
  let allowance = 0
  return (current, counts) => {
    const layers = current.map(slots => [...slots])
    const skews = layers.map((slots, layer) => expertPlanner.layerSkew(shape, slots, counts[layer]!))
    allowance = movesPerPeriod === Infinity ? Infinity : allowance + movesPerPeriod
    for (; allowance >= 1; allowance--) {
      const layer = skews.indexOf(Math.max(...skews))
      if (skews[layer] === -1) break
      // A layer that no longer gains is left alone until the next period.
      skews[layer] = replicateHottest(shape, layers[layer]!, counts[layer]!, skews[layer]!) ?? -1
    }
    if (!carries) allowance = Math.min(allowance, movesPerPeriod)
    return layers
  }
}

/** @returns the skew that a helpful move reaches; undefined when no move helps. */
function replicateHottest (
  shape: groupShape.GroupShape, slots: groupShape.LayerSlots, counts: readonly number[], skew: number
): number | undefined {
  const loads = [...expertPlanner.rankLoads(shape, slots, counts)]
  const hottest = loads.indexOf(Math.max(...loads))
  const replicas = new Map<number, number>()
  for (const expert of slots) replicas.set(expert, (replicas.get(expert) ?? 0) + 1)
  const shareOf = (expert: number): number => counts[expert]! / replicas.get(expert)!
  const onRank = (rank: number): number[] =>
    Array.from({ length: shape.slotsPerRank }, (_, slot) => rank * shape.slotsPerRank + slot)
  const hot = onRank(hottest).map(slot => slots[slot]!).sort((a, b) => shareOf(b) - shareOf(a))[0]!
  const byLoad = loads.map((_, rank) => rank).sort((a, b) => loads[a]! - loads[b]!)
  for (const rank of byLoad) {
    const free = onRank(rank).filter(slot => replicas.get(slots[slot]!)! > 1 && slots[slot] !== hot)
      .sort((a, b) => shareOf(slots[a]!) - shareOf(slots[b]!))[0]
    if (free === undefined) continue
    const cold = slots[free]!
    slots[free] = hot
    const reached = expertPlanner.layerSkew(shape, slots, counts)
    if (reached < skew) return reached
    slots[free] = cold
  }
  return undefined
}
