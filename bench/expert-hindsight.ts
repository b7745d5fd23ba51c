/**
 * Offline search for the placements of a whole run: simulated annealing over the sequence of placements of one layer,
 * with the popularity of every period known in advance. It shows what a placement can reach, not what a planner can,
 * which does not know the future.
 */

import type * as groupShape from '../src/state/group-shape.js'
import type * as expertWorkload from './expert-workload.js'

export interface HindsightOptions {
  shape: groupShape.GroupShape
  /** Cost of one moved expert, in units of skew summed over periods. */
  costPerMove: number
  proposals: number
}

/** The cost is a smooth maximum of the rank loads, which approximates the maximum under the noise of single steps. */
const SMOOTH_MAXIMUM_SHARPNESS = 100
/** Relative to the mean load; subtracted in the exponent to keep the sums in range. */
const REFERENCE_LOAD = 1.5
const FIRST_TEMPERATURE = 0.002
const LAST_TEMPERATURE = 0.0002
const MEAN_INTERVAL_PERIODS = 8
/** Probability that a proposal exchanges the experts of two slots instead of replacing one. */
const EXCHANGE_PROBABILITY = 0.4
/** Probability that the slot is chosen from a highly loaded rank, since other proposals are mostly rejected. */
const LOADED_RANK_PROBABILITY = 0.5

/**
 * @param start placement in each period; that of the first period is kept.
 * @param counts expected tokens in each period.
 * @returns placements in each period.
 */
export function anneal (
  options: HindsightOptions, start: readonly groupShape.LayerSlots[], counts: readonly (readonly number[])[],
  random: expertWorkload.Random
): groupShape.LayerSlots[] {
  const { ranks, experts, slotsPerRank } = options.shape
  const periods = start.length
  const slots = start.map(layer => Uint8Array.from(layer))
  const rankOf = start[0]!.map((_, slot) => Math.floor(slot / slotsPerRank))
  const tokens = counts.map(period => {
    const total = period.reduce((sum, count) => sum + count, 0)
    return Float64Array.from(period, count => count * ranks / total)
  })
  const replicas = slots.map(layer => {
    const counted = new Uint8Array(experts)
    for (const expert of layer) counted[expert]! += 1
    return counted
  })
  const loads = slots.map((layer, period) => {
    const summed = new Float64Array(ranks)
    layer.forEach((expert, slot) => { summed[rankOf[slot]!]! += tokens[period]![expert]! / replicas[period]![expert]! })
    return summed
  })
  const sums = Float64Array.from(loads, period => period.reduce((sum, load) => sum + weightOf(load), 0))
  const delta = new Float64Array(ranks)
  const touched = new Uint16Array(ranks)
  const isTouched = new Uint8Array(ranks)
  let touchedCount = 0
  let temperature = FIRST_TEMPERATURE
  const cooling = (LAST_TEMPERATURE / FIRST_TEMPERATURE) ** (1 / options.proposals)
  for (let proposal = 0; proposal < options.proposals; proposal++) {
    temperature *= cooling
    propose()
  }
  return slots.map(layer => Array.from(layer))

  function propose (): void {
    const first = 1 + Math.floor(random() * (periods - 1))
    const length = 1 + Math.floor(-Math.log(1 - random()) * MEAN_INTERVAL_PERIODS)
    const end = random() < 0.3 ? periods : Math.min(periods, first + length)
    let slot = Math.floor(random() * rankOf.length)
    if (random() < LOADED_RANK_PROBABILITY) {
      for (let attempt = 0; attempt < 6; attempt++) {
        const other = Math.floor(random() * rankOf.length)
        if (loads[first]![rankOf[other]!]! > loads[first]![rankOf[slot]!]!) slot = other
      }
    }
    const other = random() < EXCHANGE_PROBABILITY ? Math.floor(random() * rankOf.length) : -1
    if (other >= 0) change(first, end, slot, other, -1)
    else {
      // Half of the replacements use the slot's expert before or after the interval, so that changes can shift in time.
      const adjacent = random() < 0.5 ? slots[random() < 0.5 || end === periods ? first - 1 : end]![slot]! : -1
      change(first, end, slot, -1, adjacent >= 0 ? adjacent : Math.floor(random() * experts))
    }
  }

  /**
   * Proposes a change of the periods from `first` until before `end`: the slot gets `expert` or, when `other` is not
   * -1, the two slots exchange their experts. A rejected change is undone.
   */
  function change (first: number, end: number, slot: number, other: number, expert: number): void {
    let cost = 0
    const before = countMoves(first, end, slot, other)
    const saved: number[] = []
    let period = first
    let isPossible = true
    for (; period < end && isPossible; period++) {
      const layer = slots[period]!
      const [old, otherOld] = [layer[slot]!, other < 0 ? -1 : layer[other]!]
      saved.push(old, otherOld)
      const wanted = other < 0 ? expert : otherOld
      isPossible = wanted === old || replicas[period]![old]! > 1 || other >= 0
      if (!isPossible) {
        saved.length -= 2
        break
      }
      cost += set(period, slot, other, wanted, other < 0 ? -1 : old)
    }
    const moves = countMoves(first, end, slot, other) - before
    const total = cost + options.costPerMove * moves
    if (isPossible && (total <= 0 || random() < Math.exp(-total / temperature))) return
    for (let undone = 0; undone < saved.length / 2; undone++) {
      set(first + undone, slot, other, saved[undone * 2]!, saved[undone * 2 + 1]!)
    }
  }

  /** Sets the expert of one slot or of two in a period. @returns the change of the period's smooth maximum. */
  function set (period: number, slot: number, other: number, expert: number, otherExpert: number): number {
    const layer = slots[period]!
    const old = layer[slot]!
    if (old === expert) return 0
    const [load, token, replica] = [loads[period]!, tokens[period]!, replicas[period]!]
    touchedCount = 0
    if (other >= 0) {
      const difference = token[expert]! / replica[expert]! - token[old]! / replica[old]!
      touch(rankOf[slot]!, difference)
      touch(rankOf[other]!, -difference)
      layer[other] = otherExpert
    } else {
      const oldShare = token[old]! / replica[old]!
      const newShare = token[expert]! / replica[expert]!
      const oldAfter = token[old]! / (replica[old]! - 1)
      const newAfter = token[expert]! / (replica[expert]! + 1)
      for (let index = 0; index < layer.length; index++) {
        if (layer[index] === old && index !== slot) touch(rankOf[index]!, oldAfter - oldShare)
        else if (layer[index] === expert) touch(rankOf[index]!, newAfter - newShare)
      }
      touch(rankOf[slot]!, newAfter - oldShare)
      replica[old]! -= 1
      replica[expert]! += 1
    }
    layer[slot] = expert
    const before = sums[period]!
    let sum = before
    for (let index = 0; index < touchedCount; index++) {
      const rank = touched[index]!
      sum -= weightOf(load[rank]!)
      load[rank]! += delta[rank]!
      sum += weightOf(load[rank]!)
      isTouched[rank] = 0
    }
    // After a fall by many orders of magnitude the sum is mostly rounding error of its former terms: sum up anew.
    sums[period] = sum > before * 1e-6 ? sum : load.reduce((total, value) => total + weightOf(value), 0)
    return Math.log(sums[period]! / before) / SMOOTH_MAXIMUM_SHARPNESS
  }

  /** Collects the change of a rank's load. */
  function touch (rank: number, difference: number): void {
    if (isTouched[rank] === 0) {
      isTouched[rank] = 1
      delta[rank] = 0
      touched[touchedCount++] = rank
    }
    delta[rank]! += difference
  }

  /** Number of experts that the slots' ranks fetch for the periods of the interval and the one after it. */
  function countMoves (first: number, end: number, slot: number, other: number): number {
    let moves = 0
    for (let period = first; period <= end && period < periods; period++) {
      moves += movesAt(period, rankOf[slot]!)
      if (other >= 0 && rankOf[other] !== rankOf[slot]) moves += movesAt(period, rankOf[other]!)
    }
    return moves
  }

  /** Number of experts that the rank fetches for the period. */
  function movesAt (period: number, rank: number): number {
    const [before, after] = [slots[period - 1]!, slots[period]!]
    const [start, end] = [rank * slotsPerRank, (rank + 1) * slotsPerRank]
    let moves = 0
    for (let slot = start; slot < end; slot++) {
      let isPresent = false
      for (let previous = start; previous < end; previous++) if (before[previous] === after[slot]) isPresent = true
      for (let earlier = start; earlier < slot; earlier++) if (after[earlier] === after[slot]) isPresent = true
      if (!isPresent) moves += 1
    }
    return moves
  }
}

function weightOf (load: number): number {
  return Math.exp(SMOOTH_MAXIMUM_SHARPNESS * (load - REFERENCE_LOAD))
}
