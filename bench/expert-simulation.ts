/**
 * Simulates one placement policy over a workload: planning, weight fetches under the store's rate limit, and the skew
 * of sampled steps.
 */

import type * as expertBaselines from './expert-baselines.js'
import * as expertWorkload from './expert-workload.js'
import * as experiment from './experiment.js'
import * as expertPlanner from '../src/state/expert-planner.js'
import type * as groupShape from '../src/state/group-shape.js'

export interface SimulationOptions {
  shape: groupShape.GroupShape
  layers: number
  periods: number
  periodMs: number
  stepMs: number
  expertBytes: number
  /** Fetches per second that the weight store serves to the group. */
  fetchesPerSecond: number
}

export interface SimulationResult {
  skewP50: number
  skewP99: number
  gigabytes: number
  moves: number
  /** Steps during which weights were fetched. */
  disturbedSteps: number
  /** Fetches that the weight store refused by its rate limit. */
  refusals: number
}

const STEPS_SAMPLED = 16
const TOKENS_PER_RANK = 512
/** Added to the seed for the noise of single steps, so that the noise is independent of the popularity. */
const NOISE_SEED_OFFSET = 1_000_000
const TICK_MS = 100
/** Shortest pause after a refused fetch. */
const RETRY_AFTER_MS = 1_000

export function simulate (
  options: SimulationOptions, kind: expertWorkload.WorkloadOptions['kind'], seed: number, policy: expertBaselines.Policy
): SimulationResult {
  const { shape, layers, periods } = options
  const workload = createWorkload(options, kind, seed)
  // Every policy starts with a plan for the initial popularity; otherwise the static map would be an unfair baseline.
  let current = workload.expected().map(layer => expertPlanner.planFromScratch(shape, layer))
  let next: { layers: groupShape.LayerSlots[], readyAtMs: number } | undefined
  let smoothed: number[][] | undefined
  const result: SimulationResult = { skewP50: 0, skewP99: 0, gigabytes: 0, moves: 0, disturbedSteps: 0, refusals: 0 }
  const skews: number[] = []
  for (let period = 0; period < periods; period++) {
    workload.advance()
    const counts = workload.expected().map(layer => layer.map(() => 0))
    for (let sample = 0; sample < STEPS_SAMPLED; sample++) {
      const nowMs = (period + sample / STEPS_SAMPLED) * options.periodMs
      if (next !== undefined && nowMs >= next.readyAtMs) {
        current = next.layers
        next = undefined
      }
      let largest = 0
      let mean = 0
      for (let layer = 0; layer < layers; layer++) {
        const step = workload.sampleStep(layer)
        step.forEach((count, expert) => { counts[layer]![expert]! += count })
        // A step runs the layers one after another, so its time is the sum of the layers' maxima.
        largest += Math.max(...expertPlanner.rankLoads(shape, current[layer]!, step))
        mean += step.reduce((sum, count) => sum + count, 0) / shape.ranks
      }
      skews.push(largest / mean)
    }
    const previous = smoothed
    smoothed = expertPlanner.smoothCounts(previous, counts)
    const changes = previous === undefined ? undefined : expertPlanner.layerChanges(previous, smoothed)
    // No new plan while the weights of the last one are being fetched.
    if (next !== undefined) continue
    const planned = policy(current, smoothed, changes)
    const perRank = new Array<number>(shape.ranks).fill(0)
    planned.forEach((slots, layer) => {
      for (const { rank } of expertPlanner.movedExperts(shape, current[layer]!, slots)) perRank[rank]! += 1
    })
    const moves = perRank.reduce((sum, count) => sum + count, 0)
    if (moves === 0) {
      current = planned
      continue
    }
    const fetched = fetchAll(perRank, options.fetchesPerSecond)
    next = { layers: planned, readyAtMs: (period + 1) * options.periodMs + fetched.durationMs }
    result.moves += moves
    result.refusals += fetched.refusals
    result.disturbedSteps += Math.ceil(fetched.durationMs / options.stepMs)
  }
  result.gigabytes = result.moves * options.expertBytes / 1e9
  result.skewP50 = experiment.percentile(skews, 0.5)
  result.skewP99 = experiment.percentile(skews, 0.99)
  return result
}

export function createWorkload (
  { shape, layers }: SimulationOptions, kind: expertWorkload.WorkloadOptions['kind'], seed: number
): expertWorkload.Workload {
  return expertWorkload.createWorkload(
    { kind, layers, experts: shape.experts, tokensPerStep: shape.ranks * TOKENS_PER_RANK },
    expertWorkload.createRandom(seed), expertWorkload.createRandom(seed + NOISE_SEED_OFFSET))
}

/**
 * Each rank's fetch window grows by one and halves on a refusal; the store serves a fixed number in each tick and
 * refuses the rest.
 *
 * @param perRank number of experts that each rank fetches.
 */
function fetchAll (perRank: number[], fetchesPerSecond: number): { durationMs: number, refusals: number } {
  const ranks = perRank.map(waiting => ({ waiting, window: 1, pausedUntilMs: 0 }))
  const perTick = fetchesPerSecond * TICK_MS / 1_000
  let refusals = 0
  let nowMs = 0
  for (; ranks.some(rank => rank.waiting > 0); nowMs += TICK_MS) {
    let served = 0
    // Another rank is first in each tick, so that none is favoured.
    const first = nowMs / TICK_MS % ranks.length
    for (let index = 0; index < ranks.length; index++) {
      const rank = ranks[(first + index) % ranks.length]!
      if (rank.pausedUntilMs > nowMs) continue
      const wanted = Math.min(rank.waiting, Math.floor(rank.window))
      const granted = Math.max(0, Math.min(wanted, Math.floor(perTick - served)))
      served += granted
      rank.waiting -= granted
      if (granted === wanted) {
        if (wanted > 0) rank.window += 1
        continue
      }
      refusals += wanted - granted
      rank.window = Math.max(1, rank.window / 2)
      rank.pausedUntilMs = nowMs + RETRY_AFTER_MS * (1 + index % 5 / 4)
    }
  }
  return { durationMs: nowMs, refusals }
}
