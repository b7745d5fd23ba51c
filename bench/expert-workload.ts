/**
 * Popularity of experts over time, and the token counts of single steps, for the planner's experiment.
 */

import * as uniform from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'

export type Random = () => number

export interface WorkloadOptions {
  kind: 'drift' | 'jump'
  layers: number
  experts: number
  tokensPerStep: number
  /** Standard deviation of the logarithm of popularity at the start. */
  baseSpread?: number
  /** Standard deviation of the logarithm's change in a period. */
  driftPerPeriod?: number
  jumpProbability?: number
}

export interface Workload {
  /** Goes on to the next period. */
  advance (): void
  /** Expected tokens of one step, for each layer and expert. */
  expected (): number[][]
  /** Tokens of one step, for one layer. */
  sampleStep (layer: number): number[]
}

const BASE_SPREAD = 0.8
const DRIFT_PER_PERIOD = 0.06
/** Pull to the base, so that the spread stays the same over a long run. */
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

/** @param noise random numbers of single steps; with a source of their own, sampling does not change the popularity. */
export function createWorkload (options: WorkloadOptions, random: Random, noise: Random): Workload {
  const base = matrix(() => normal(random) * (options.baseSpread ?? BASE_SPREAD))
  const offset = matrix(() => 0)
  let surge = matrix(() => 0)
  let shares: number[][] = []
  update()
  return {
    advance,
    expected: () => shares.map(layer => layer.map(share => share * options.tokensPerStep)),
    // A normal variate stands in for a Poisson one; counts of a step are in the hundreds and more.
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
      surge = matrix(() => 0)
      for (const layer of surge) {
        for (let count = 0; count < Math.round(options.experts * JUMP_FRACTION); count++) {
          layer[Math.floor(random() * options.experts)] = Math.log(JUMP_FACTOR)
        }
      }
    }
    update()
  }

  function update (): void {
    shares = base.map((layer, index) => {
      const weights = layer.map((value, expert) => Math.exp(value + offset[index]![expert]! + surge[index]![expert]!))
      const total = weights.reduce((sum, weight) => sum + weight, 0)
      return weights.map(weight => weight / total)
    })
  }

  function matrix (value: () => number): number[][] {
    return Array.from({ length: options.layers }, () => Array.from({ length: options.experts }, value))
  }
}

function normal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
