/**
 * Placement of experts on the ranks of a group: which expert each slot holds, from smoothed token counts. A rank
 * processes a share of an expert's tokens in proportion to its replicas, and the most loaded rank sets the step time.
 */

import * as expertSearch from './expert-search.js'
import type * as groupShape from './group-shape.js'

export interface PlannerOptions {
  /**
   * Reduction of the skew (maximum over mean load) that justifies moving one gigabyte of weights per second. Set by the
   * deployment.
   */
  costWeight: number
  /** Size of the weights of one expert. */
  expertBytes: number
  /** How long a gain is expected to last. */
  horizonMs: number
  /**
   * Minimum gain in a layer's skew, after cost, for a change; keeps noise from moving experts. It is lower for a layer
   * with stable popularity, since a gain lasts there.
   */
  minimumGain: number
  /** Maximum number of experts moved in one plan, over all layers; a layer's moves are made together or not at all. */
  maxMoves: number
}

export interface ExpertPlan {
  /** Undefined when no change is worth its cost. */
  layers: groupShape.LayerSlots[] | undefined
  moves: number
  /** Mean over the layers, for the counts that the plan is based on. */
  skewBefore: number
  skewAfter: number
}

export const DEFAULT_PLANNER_OPTIONS: PlannerOptions = {
  costWeight: 0.03, expertBytes: 44_000_000, horizonMs: 600_000, minimumGain: 0.01, maxMoves: 4_000
}

/** Minimum weight of new counts, however noisy, so that counts older than a few periods have hardly any influence. */
const MIN_NEW_COUNTS_WEIGHT = 0.3
/**
 * Total variation between two periods from which popularity counts as fully unstable, since small gains do not last.
 * Drift of 6% per expert gives 0.024.
 */
const UNSTABLE_CHANGE = 0.02
const MIN_INSTABILITY = 0.05
const BYTES_PER_GIGABYTE = 1e9

/** Placement with the same number of replicas of every expert, as far as the slots divide evenly. */
export function uniformSlots (shape: groupShape.GroupShape): groupShape.LayerSlots {
  return Array.from({ length: shape.ranks * shape.slotsPerRank }, (_, slot) => slot % shape.experts)
}

/**
 * Exponential smoothing of counts. The weight of the new counts is the part of the change that sampling noise does not
 * explain: nearly all of it after drift or a jump, little while popularity is stable.
 */
export function smoothCounts (
  previous: readonly number[][] | undefined, counts: readonly (readonly number[])[]
): number[][] {
  return counts.map((layer, index) => {
    const before = previous?.[index]
    if (before === undefined) return [...layer]
    const share = newCountsWeight(before, layer)
    return layer.map((count, expert) => before[expert]! + share * (count - before[expert]!))
  })
}

/** Total variation between the distributions of two periods, for each layer. */
export function layerChanges (
  previous: readonly (readonly number[])[], counts: readonly (readonly number[])[]
): number[] {
  return counts.map((layer, index) => {
    const before = previous[index]!
    const totalBefore = sumOf(before)
    const total = sumOf(layer)
    return layer.reduce((sum, count, expert) => sum + Math.abs(count / total - before[expert]! / totalBefore), 0) / 2
  })
}

/** Weight of the new counts, from their change and the expected change between two samples of one distribution. */
function newCountsWeight (before: readonly number[], counts: readonly number[]): number {
  const totalBefore = sumOf(before)
  const total = sumOf(counts)
  const change = layerChanges([before], [counts])[0]!
  const noise = counts.reduce((sum, count, expert) =>
    // Mean absolute value of a normal variate with the variance of the difference.
    sum + Math.sqrt((count / total ** 2 + before[expert]! / totalBefore ** 2) / (2 * Math.PI)), 0)
  return change === 0 ? 1 : Math.max(MIN_NEW_COUNTS_WEIGHT, 1 - (noise / change) ** 2)
}

function sumOf (counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0) || 1
}

export function rankLoads (
  shape: groupShape.GroupShape, slots: groupShape.LayerSlots, counts: readonly number[]
): Float64Array {
  const replicas = countReplicas(shape, slots)
  const loads = new Float64Array(shape.ranks)
  for (let slot = 0; slot < slots.length; slot++) {
    const expert = slots[slot]!
    loads[Math.floor(slot / shape.slotsPerRank)]! += counts[expert]! / replicas[expert]!
  }
  return loads
}

/** Load of the most loaded rank over the mean load of all ranks; 1 for a layer without tokens. */
export function layerSkew (
  shape: groupShape.GroupShape, slots: groupShape.LayerSlots, counts: readonly number[]
): number {
  const loads = rankLoads(shape, slots, counts)
  let total = 0
  let maxLoad = 0
  for (const load of loads) {
    total += load
    maxLoad = Math.max(maxLoad, load)
  }
  return total === 0 ? 1 : maxLoad * shape.ranks / total
}

/** Experts that each rank must fetch for the change from one placement to the other. */
export function movedExperts (
  shape: groupShape.GroupShape, from: groupShape.LayerSlots, to: groupShape.LayerSlots
): { rank: number, expert: number }[] {
  const moved: { rank: number, expert: number }[] = []
  for (let rank = 0; rank < shape.ranks; rank++) {
    const [first, end] = [rank * shape.slotsPerRank, (rank + 1) * shape.slotsPerRank]
    const had = from.slice(first, end)
    for (const expert of new Set(to.slice(first, end))) if (!had.includes(expert)) moved.push({ rank, expert })
  }
  return moved
}

/**
 * Plans the best sequence of local moves for each layer: the one with the lowest sum of skew and cost. The cost is
 * `costWeight` times the moved gigabytes per second, spread over the horizon.
 *
 * @param changes result of `layerChanges` for the last period and this one; without it every layer counts as drifting.
 */
export function planExperts (
  shape: groupShape.GroupShape, current: readonly groupShape.LayerSlots[], counts: readonly (readonly number[])[],
  options: PlannerOptions,
  changes?: readonly number[]
): ExpertPlan {
  const gigabytesPerSecond = options.expertBytes / BYTES_PER_GIGABYTE / (options.horizonMs / 1_000)
  // The skew of the group is the mean over its layers, so the cost of a move is multiplied by their number before it is
  // compared with the gain in one layer's skew.
  const costPerMove = options.costWeight * gigabytesPerSecond * current.length
  const instabilities = current.map((_, layer) =>
    Math.max(MIN_INSTABILITY, Math.min(1, (changes?.[layer] ?? 1) / UNSTABLE_CHANGE)))
  const improved = current.map((slots, layer) => improveLayer(shape, slots, counts[layer]!, {
    costPerMove, maxMoves: options.maxMoves, instability: instabilities[layer]!
  }))
  const skewBefore = mean(improved.map(layer => layer.skewBefore))
  const worthwhile = improved.map((layer, index) => ({ ...layer, index }))
    .filter(layer => layer.moves > 0 && layer.gain >= options.minimumGain * instabilities[layer.index]!)
    .sort((a, b) => b.gain / b.moves - a.gain / a.moves)
  const layers = [...current]
  let moves = 0
  for (const layer of worthwhile) {
    if (moves + layer.moves > options.maxMoves) continue
    moves += layer.moves
    layers[layer.index] = layer.slots
  }
  if (moves === 0) return { layers: undefined, moves, skewBefore, skewAfter: skewBefore }
  const skewAfter = mean(layers.map((slots, layer) => layerSkew(shape, slots, counts[layer]!)))
  return { layers, moves, skewBefore, skewAfter }
}

interface ImprovedLayer {
  slots: groupShape.LayerSlots
  moves: number
  /** Reduction of the layer's skew minus the cost of the moves. */
  gain: number
  skewBefore: number
}

function improveLayer (
  shape: groupShape.GroupShape, current: groupShape.LayerSlots, counts: readonly number[],
  options: expertSearch.SearchOptions
): ImprovedLayer {
  const skewBefore = layerSkew(shape, current, counts)
  // No move can gain more than the difference from an even load, whose skew is 1.
  if (skewBefore - 1 <= options.costPerMove) return { slots: current, moves: 0, gain: 0, skewBefore }
  return { ...expertSearch.searchLayer(shape, current, counts, options), skewBefore }
}

/**
 * Placement that ignores the one in use. Each spare slot goes to the expert with the most tokens per replica; then the
 * replicas are assigned to the least loaded ranks, those with the most tokens first.
 */
export function planFromScratch (shape: groupShape.GroupShape, counts: readonly number[]): groupShape.LayerSlots {
  const replicas: number[] = new Array<number>(shape.experts).fill(1)
  for (let spare = shape.ranks * shape.slotsPerRank - shape.experts; spare > 0; spare--) {
    let expert = 0
    for (let other = 1; other < shape.experts; other++) {
      if (counts[other]! / replicas[other]! > counts[expert]! / replicas[expert]!) expert = other
    }
    replicas[expert]! += 1
  }
  const shares = replicas.flatMap((count, expert) => new Array<number>(count).fill(expert))
    .sort((a, b) => counts[b]! / replicas[b]! - counts[a]! / replicas[a]!)
  const loads = new Float64Array(shape.ranks)
  const used = new Array<number>(shape.ranks).fill(0)
  const slots = new Array<number>(shape.ranks * shape.slotsPerRank)
  for (const expert of shares) {
    let rank = -1
    for (let other = 0; other < shape.ranks; other++) {
      if (used[other]! < shape.slotsPerRank && (rank < 0 || loads[other]! < loads[rank]!)) rank = other
    }
    slots[rank * shape.slotsPerRank + used[rank]!] = expert
    used[rank]! += 1
    loads[rank]! += counts[expert]! / replicas[expert]!
  }
  return slots
}

function countReplicas (shape: groupShape.GroupShape, slots: groupShape.LayerSlots): Uint16Array {
  const replicas = new Uint16Array(shape.experts)
  for (const expert of slots) replicas[expert]! += 1
  return replicas
}

function mean (values: number[]): number {
  return values.length === 0 ? 1 : values.reduce((sum, value) => sum + value, 0) / values.length
}
