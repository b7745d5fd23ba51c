/**
 * Popularity of experts over time and the token counts of single steps, for the experiments with the expert planner.
 */

import * as uniform from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'

export type Random = () => number

export interface WorkloadOptions {
  /** `drift` changes all popularities a little in every period, `jump` those of a few experts at random times. */
  kind: 'drift' | 'jump'
  layers: number
  experts: number
  tokensPerStep: number
  /** Standard deviation of the logarithm of popularity at the start. */
  baseSpread?: number
  /** Standard deviation of the change of that logarithm in a period. */
  driftPerPeriod?: number
  /** Probability of a jump in a period. */
  jumpProbability?: number
}

export interface Workload {
  /** Moves on to the next period. */
  advance (): void
  /** Expected tokens of one step, for each layer and expert. */
  expected (): number[][]
  /** Tokens of one step, for one layer. */
  sampleStep (layer: number): number[]
}

const BASE_SPREAD = 0.8
const DRIFT_PER_PERIOD = 0.06
/** Share of the offset from the base that decays in a period, so that the spread stays the same over a long run. */
const MEAN_REVERSION = 0.003
const JUMP_PROBABILITY = 0.08
/** 6 of 64 experts. */
const JUMP_FRACTION = 0.1
const JUMP_FACTOR = 4

/** @param seed whole number; the same seed gives the same workload. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => uniform.uniformFloat64(generator)
}

/**
 * @param random source of the popularity.
 * @param noise source of the noise of single steps, separate so that sampling does not change the popularity.
 */
export function createWorkload (options: WorkloadOptions, random: Random, noise: Random): Workload {
  const base = matrix(() => normal(random) * (options.baseSpread ?? BASE_SPREAD))
  const offset = matrix(() => 0)
  let jump = matrix(() => 0)
  let shares: number[][] = []
  update()
  return {
    advance,
    expected: () => shares.map(layer => layer.map(share => share * options.tokensPerStep)),
    // Normal approximation of a Poisson distribution; the counts of a step are in the hundreds or higher.
    sampleStep: layer => shares[layer]!.map(share => {
      const expected = share * options.tokensPerStep
      return Math.max(0, Math.round(expected + Math.sqrt(expected) * normal(noise)))
    })
  }

  function advance (): void {
    if (options.kind === 'drift') {
      offset.forEach(layer => layer.forEach((value, expert) => {
        layer[expert] = value * (1 - MEAN_REVERSION) + normal(random) * (options.driftPerPeriod ?? DRIFT_PER_PERIOD)
      }))
    } else if (random() < (options.jumpProbability ?? JUMP_PROBABILITY)) {
      jump = matrix(() => 0)
      for (const layer of jump) {
        for (let count = 0; count < Math.round(options.experts * JUMP_FRACTION); count++) {
          layer[Math.floor(random() * options.experts)] = Math.log(JUMP_FACTOR)
        }
      }
    }
    update()
  }

  /** Recomputes the shares by softmax of base, offset and jump. */
  function update (): void {
    shares = base.map((layer, index) => {
      const weights = layer.map((value, expert) => Math.exp(value + offset[index]![expert]! + jump[index]![expert]!))
      const total = weights.reduce((sum, weight) => sum + weight, 0)
      return weights.map(weight => weight / total)
    })
  }

  function matrix (value: () => number): number[][] {
    return Array.from({ length: options.layers }, () => Array.from({ length: options.experts }, value))
  }
}

/** Draws from the standard normal distribution (Box-Muller). */
function normal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
