/**
 * Local search for the placement of one layer's experts. It lowers a smooth maximum of the ranks' loads: with the
 * plain maximum, a change on one of several equally loaded ranks gains nothing, and no load below the most loaded
 * rank's counts although noise and drift can make it the next maximum.
 */

import type * as groupShape from './group-shape.js'

export interface SearchOptions {
  /** Skew of the layer that one moved expert is worth. */
  costPerMove: number
  maxMoves: number
  /** 1 for drifting popularity, less when it stands still and small gains last. */
  instability: number
}

export interface SearchResult {
  slots: groupShape.LayerSlots
  moves: number
  /** Reduction of the skew minus the cost of the moves. */
  gain: number
}

/** Inverse width of the smooth maximum, in units of the mean load; 20 and 80 placed no better. */
const SHARPNESS = 40
/** For a layer far from even, as after a jump: a wide maximum counts all of its overload. The best result is taken. */
const COARSE_SHARPNESSES = [20, 10, 5]
const MIN_COARSE_SKEW = 1.3
/** Keeps the exponentials finite; a very uneven placement lowers the sharpness. */
const MAX_EXPONENT = 300
/** A move may gain less than its cost, since several ranks often have to be relieved before the maximum falls. */
const MIN_GAIN_TO_COST = 0.2
/** Least gain in smooth skew with drift, whatever the cost; smaller ones do not last, and take most of the time. */
const MIN_SMOOTH_GAIN = 3e-4
/** Bounds the time of a plan; the next period goes on from there. */
const MAX_MOVES = 48
/** Moves without a better result after which the search ends. */
const MAX_MOVES_WITHOUT_IMPROVEMENT = 30

/**
 * Makes the best change again and again, and returns the state with the least skew plus cost.
 *
 * @param counts tokens of each expert; not all zero.
 */
export function searchLayer (
  shape: groupShape.GroupShape, current: groupShape.LayerSlots, counts: readonly number[], options: SearchOptions
): SearchResult {
  const search = new LayerSearch(shape, current, counts, SHARPNESS)
  const isUneven = search.skew > MIN_COARSE_SKEW
  let best = runSearch(search, options)
  if (!isUneven) return best
  for (const sharpness of COARSE_SHARPNESSES) {
    const other = runSearch(new LayerSearch(shape, current, counts, sharpness), options)
    if (other.gain > best.gain) best = other
  }
  return best
}

function runSearch (search: LayerSearch, { costPerMove, maxMoves, instability }: SearchOptions): SearchResult {
  const before = search.skew
  const best: SearchResult = { slots: Array.from(search.slots), moves: 0, gain: 0 }
  const leastGain = Math.max(MIN_SMOOTH_GAIN * instability, costPerMove * MIN_GAIN_TO_COST)
  for (let moves = 0; moves < Math.min(maxMoves, MAX_MOVES);) {
    // No further move can gain more than the whole excess.
    if (before - 1 - costPerMove * (moves + 1) <= best.gain || moves - best.moves > MAX_MOVES_WITHOUT_IMPROVEMENT) break
    const moved = search.improve(leastGain)
    if (moved === 0) break
    moves += moved
    const gain = before - search.skew - costPerMove * moves
    if (gain > best.gain && moves <= maxMoves) Object.assign(best, { slots: Array.from(search.slots), moves, gain })
  }
  return best
}

class LayerSearch {
  readonly slots: Uint16Array
  readonly #shape: groupShape.GroupShape
  readonly #sharpness: number
  /** Tokens in units of the mean load of a rank. */
  readonly #tokens: Float64Array
  readonly #replicas: Uint16Array
  readonly #rankOf: Uint16Array
  readonly #loads: Float64Array
  /** Exponential of each rank's load, relative to the most loaded rank. */
  readonly #weights: Float64Array
  /** Exponentials of an expert's share on each of its ranks, and of that share with one replica more. */
  readonly #shareFactor: Float64Array
  readonly #addedFactor: Float64Array
  /** What a further replica of an expert takes off the sum of weights at the ranks that have it. */
  readonly #relief: Float64Array
  /** Factor by which a replica less raises the weights of the ranks that keep the expert, and their sum. */
  readonly #removedFactor: Float64Array
  readonly #held: Float64Array
  /** Slots of each expert on its least and its most loaded rank. */
  readonly #leastLoadedSlot: Uint16Array
  readonly #mostLoadedSlot: Uint16Array
  /** Experts with the largest relief first. */
  readonly #expertOrder: Uint16Array
  #weightSum = 0
  #maxLoad = 0
  #smoothSkew = 0
  #bestSlot = -1
  #bestOtherSlot = -1
  #expert = -1
  #bestGain = 0

  constructor (
    shape: groupShape.GroupShape, slots: groupShape.LayerSlots, counts: readonly number[],
    sharpness: number
  ) {
    const { ranks, experts, slotsPerRank } = shape
    this.#shape = shape
    this.slots = Uint16Array.from(slots)
    const total = counts.reduce((sum, count) => sum + count, 0)
    this.#tokens = Float64Array.from(counts, count => count * ranks / total)
    this.#replicas = new Uint16Array(experts)
    for (const expert of slots) this.#replicas[expert]! += 1
    this.#rankOf = Uint16Array.from(slots, (_, slot) => Math.floor(slot / slotsPerRank))
    this.#loads = new Float64Array(ranks)
    this.#weights = new Float64Array(ranks)
    this.#shareFactor = new Float64Array(experts)
    this.#addedFactor = new Float64Array(experts)
    this.#relief = new Float64Array(experts)
    this.#removedFactor = new Float64Array(experts)
    this.#held = new Float64Array(experts)
    this.#leastLoadedSlot = new Uint16Array(experts)
    this.#mostLoadedSlot = new Uint16Array(experts)
    this.#expertOrder = Uint16Array.from({ length: experts }, (_, expert) => expert)
    this.#computeLoads()
    this.#sharpness = Math.min(sharpness, MAX_EXPONENT / this.#maxLoad)
    this.#computeWeights()
  }

  /** Makes the change with the largest gain for each move. @returns experts moved; 0 when no change gains enough. */
  improve (gainPerMove: number): number {
    this.#bestSlot = -1
    // The smooth skew falls by the gain when the sum falls by this fraction.
    this.#bestGain = this.#weightSum * (1 - Math.exp(-this.#sharpness * gainPerMove))
    this.#expertOrder.sort((a, b) => this.#relief[b]! - this.#relief[a]!)
    this.#findReplacement()
    this.#findExchange()
    if (this.#bestSlot < 0) return 0
    const before = this.#smoothSkew
    const [old, otherOld] = [this.slots[this.#bestSlot]!, this.#bestOtherSlot < 0 ? -1 : this.slots[this.#bestOtherSlot]!]
    this.#assign(this.#bestSlot, this.#expert)
    if (this.#bestOtherSlot >= 0) this.#assign(this.#bestOtherSlot, old)
    this.#computeLoads()
    this.#computeWeights()
    if (this.#smoothSkew < before) return this.#bestOtherSlot < 0 ? 1 : 2
    // The gain is an estimate where one rank has both experts.
    this.#assign(this.#bestSlot, old)
    if (this.#bestOtherSlot >= 0) this.#assign(this.#bestOtherSlot, otherOld)
    return 0
  }

  #assign (slot: number, expert: number): void {
    this.#replicas[this.slots[slot]!]! -= 1
    this.#replicas[expert]! += 1
    this.slots[slot] = expert
  }

  /** Maximum over mean across ranks. */
  get skew (): number {
    return this.#maxLoad
  }

  #computeLoads (): void {
    this.#loads.fill(0)
    for (let slot = 0; slot < this.slots.length; slot++) {
      const expert = this.slots[slot]!
      this.#loads[this.#rankOf[slot]!]! += this.#tokens[expert]! / this.#replicas[expert]!
    }
    this.#maxLoad = 0
    for (let rank = 0; rank < this.#loads.length; rank++) this.#maxLoad = Math.max(this.#maxLoad, this.#loads[rank]!)
  }

  #computeWeights (): void {
    const sharpness = this.#sharpness
    this.#weightSum = 0
    for (let rank = 0; rank < this.#loads.length; rank++) {
      const weight = Math.exp(sharpness * (this.#loads[rank]! - this.#maxLoad))
      this.#weights[rank] = weight
      this.#weightSum += weight
    }
    this.#smoothSkew = this.#maxLoad + Math.log(this.#weightSum) / sharpness
    this.#held.fill(0)
    for (let slot = 0; slot < this.slots.length; slot++) {
      const expert = this.slots[slot]!
      const weight = this.#weights[this.#rankOf[slot]!]!
      const isFirst = this.#held[expert] === 0
      this.#held[expert]! += weight
      if (isFirst || weight < this.#weights[this.#rankOf[this.#leastLoadedSlot[expert]!]!]!) this.#leastLoadedSlot[expert] = slot
      if (isFirst || weight > this.#weights[this.#rankOf[this.#mostLoadedSlot[expert]!]!]!) this.#mostLoadedSlot[expert] = slot
    }
    for (let expert = 0; expert < this.#held.length; expert++) {
      const [tokens, replicas] = [this.#tokens[expert]!, this.#replicas[expert]!]
      const share = tokens / replicas
      const added = tokens / (replicas + 1)
      this.#shareFactor[expert] = Math.exp(sharpness * share)
      this.#addedFactor[expert] = Math.exp(sharpness * added)
      this.#relief[expert] = this.#held[expert]! * (1 - Math.exp(sharpness * (added - share)))
      this.#removedFactor[expert] = replicas > 1 ? Math.exp(sharpness * (tokens / (replicas - 1) - share)) : Infinity
    }
  }

  /** One slot takes another expert: a replica more of that, and one less of the expert that was there. */
  #findReplacement (): void {
    const mostRelief = this.#relief[this.#expertOrder[0]!]!
    for (let cold = 0; cold < this.#replicas.length; cold++) {
      if (this.#replicas[cold]! < 2) continue
      const shareFactor = this.#shareFactor[cold]!
      const removed = this.#removedFactor[cold]!
      const kept = this.#held[cold]! * (removed - 1)
      const lightest = this.#weights[this.#rankOf[this.#leastLoadedSlot[cold]!]!]!
      const heaviest = this.#weights[this.#rankOf[this.#mostLoadedSlot[cold]!]!]!
      if (heaviest * removed - kept + mostRelief <= this.#bestGain) continue
      for (let index = 0; index < this.#expertOrder.length; index++) {
        const hot = this.#expertOrder[index]!
        const relief = this.#relief[hot]! - kept
        if (heaviest * removed + relief <= this.#bestGain) break
        // The gain is linear in the weight of the rank, so one of the two ends is the best slot.
        const slope = removed - this.#addedFactor[hot]! / shareFactor
        if ((slope > 0 ? heaviest : lightest) * slope + relief <= this.#bestGain || hot === cold) continue
        this.#chooseSlot(cold, hot, slope, relief)
      }
    }
  }

  /** Takes the best slot of the expert `cold` on a rank that does not have the other expert yet. */
  #chooseSlot (cold: number, hot: number, slope: number, relief: number): void {
    for (let slot = 0; slot < this.slots.length; slot++) {
      if (this.slots[slot] !== cold) continue
      const rank = this.#rankOf[slot]!
      const gain = this.#weights[rank]! * slope + relief
      if (gain <= this.#bestGain || this.#hasExpert(rank, hot)) continue
      this.#bestGain = gain
      this.#bestSlot = slot
      this.#expert = hot
      this.#bestOtherSlot = -1
    }
  }

  /** Two ranks exchange an expert; the rank with the busier expert should be the more loaded one. */
  #findExchange (): void {
    const factors = this.#shareFactor
    for (let hot = 0; hot < factors.length; hot++) {
      const heaviest = this.#weights[this.#rankOf[this.#mostLoadedSlot[hot]!]!]!
      if (heaviest <= 2 * this.#bestGain) continue
      for (let cold = 0; cold < factors.length; cold++) {
        const ratio = factors[cold]! / factors[hot]!
        if (ratio >= 1) continue
        const lightest = this.#weights[this.#rankOf[this.#leastLoadedSlot[cold]!]!]!
        if ((heaviest * (1 - ratio) + lightest * (1 - 1 / ratio)) / 2 > this.#bestGain) this.#chooseSlots(hot, cold, ratio)
      }
    }
  }

  /** Takes the best pair of slots of two experts on ranks that do not have the other one yet. */
  #chooseSlots (hot: number, cold: number, ratio: number): void {
    for (let own = 0; own < this.slots.length; own++) {
      const ownRank = this.#rankOf[own]!
      if (this.slots[own] !== hot || this.#hasExpert(ownRank, cold)) continue
      for (let slot = 0; slot < this.slots.length; slot++) {
        if (this.slots[slot] !== cold) continue
        const rank = this.#rankOf[slot]!
        const gain = (this.#weights[ownRank]! * (1 - ratio) + this.#weights[rank]! * (1 - 1 / ratio)) / 2
        if (gain <= this.#bestGain || this.#hasExpert(rank, hot)) continue
        this.#bestGain = gain
        this.#bestSlot = own
        this.#expert = cold
        this.#bestOtherSlot = slot
      }
    }
  }

  #hasExpert (rank: number, expert: number): boolean {
    const first = rank * this.#shape.slotsPerRank
    for (let slot = first; slot < first + this.#shape.slotsPerRank; slot++) if (this.slots[slot] === expert) return true
    return false
  }
}
