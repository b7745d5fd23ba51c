/**
 * Local search for the placement of one layer's experts. It lowers a smooth maximum of the ranks' loads: with the
 * plain maximum, a change on one of several equally loaded ranks gains nothing, and loads just below the maximum are
 * ignored although noise and drift can make one of them the next maximum.
 */

import type * as groupShape from './group-shape.js'

export interface SearchOptions {
  /** Cost of moving one expert, in units of the layer's skew. */
  costPerMove: number
  maxMoves: number
  /** 1 for drifting popularity, less when popularity is stable and small gains last. */
  instability: number
}

export interface SearchResult {
  slots: groupShape.LayerSlots
  moves: number
  /** Reduction of the skew minus the cost of the moves. */
  gain: number
}

/**
 * Factor of the loads, in units of the mean load, in the exponents of the smooth maximum; a higher value is closer to
 * the plain maximum. 20 and 80 gave no better placements.
 */
const SHARPNESS = 40
/**
 * Lower values that are tried as well for a very uneven layer, as after a jump in popularity: with them, the smooth
 * maximum reflects all overloaded ranks. The best result is kept.
 */
const COARSE_SHARPNESSES = [20, 10, 5]
/** A layer with a higher skew counts as very uneven. */
const MIN_COARSE_SKEW = 1.3
/** Keeps the exponentials finite; the sharpness is reduced for a very uneven placement. */
const MAX_EXPONENT = 300
/** A move may gain less than its cost, since often several ranks must be relieved before the maximum falls. */
const MIN_GAIN_TO_COST = 0.2
/**
 * Minimum reduction of the smooth skew by one move while popularity drifts, even if moves cost nothing. Smaller gains
 * do not last, and the search for them takes most of the time.
 */
const MIN_SMOOTH_GAIN = 3e-4
/** Bounds the time that planning takes; the plan of the next period continues from the result. */
const MAX_MOVES = 48
/** Moves without a better result after which the search ends. */
const MAX_MOVES_WITHOUT_IMPROVEMENT = 30

/**
 * Applies the best change repeatedly, and returns the placement with the lowest skew plus cost.
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
  const minGain = Math.max(MIN_SMOOTH_GAIN * instability, costPerMove * MIN_GAIN_TO_COST)
  for (let moves = 0; moves < Math.min(maxMoves, MAX_MOVES);) {
    // No further move can gain more than the whole excess over an even load.
    if (before - 1 - costPerMove * (moves + 1) <= best.gain || moves - best.moves > MAX_MOVES_WITHOUT_IMPROVEMENT) break
    const moved = search.improve(minGain)
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
  /** By how much the weights of an expert's ranks decrease in total when the expert gets one more replica. */
  readonly #relief: Float64Array
  /** Factor by which the weights of an expert's other ranks increase when one of its replicas is removed. */
  readonly #removedFactor: Float64Array
  /** Sum of the weights of the ranks that hold each expert. */
  readonly #holderWeight: Float64Array
  /** Slots of each expert on its least and its most loaded rank. */
  readonly #leastLoadedSlot: Uint16Array
  readonly #mostLoadedSlot: Uint16Array
  /** Experts sorted by `#relief`, highest first. */
  readonly #expertOrder: Uint16Array
  /** Sum of the weights of all ranks. */
  #weightSum = 0
  #maxLoad = 0
  #smoothSkew = 0
  /** Best change found so far: the slot, the slot that it exchanges with (-1 if none), and the expert that it gets. */
  #bestSlot = -1
  #bestOtherSlot = -1
  #bestExpert = -1
  /** Decrease of the sum of weights by that change; at first the decrease that a change must exceed. */
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
    this.#holderWeight = new Float64Array(experts)
    this.#leastLoadedSlot = new Uint16Array(experts)
    this.#mostLoadedSlot = new Uint16Array(experts)
    this.#expertOrder = Uint16Array.from({ length: experts }, (_, expert) => expert)
    this.#computeLoads()
    this.#sharpness = Math.min(sharpness, MAX_EXPONENT / this.#maxLoad)
    this.#computeWeights()
  }

  /** Applies the change with the largest gain per move. @returns experts moved; 0 when no change gains enough. */
  improve (gainPerMove: number): number {
    this.#bestSlot = -1
    // The smooth skew falls by `gainPerMove` when the sum of weights falls by this amount.
    this.#bestGain = this.#weightSum * (1 - Math.exp(-this.#sharpness * gainPerMove))
    this.#expertOrder.sort((a, b) => this.#relief[b]! - this.#relief[a]!)
    this.#findReplacement()
    this.#findExchange()
    if (this.#bestSlot < 0) return 0
    const before = this.#smoothSkew
    const [old, otherOld] = [
      this.slots[this.#bestSlot]!, this.#bestOtherSlot < 0 ? -1 : this.slots[this.#bestOtherSlot]!
    ]
    this.#assign(this.#bestSlot, this.#bestExpert)
    if (this.#bestOtherSlot >= 0) this.#assign(this.#bestOtherSlot, old)
    this.#computeLoads()
    this.#computeWeights()
    if (this.#smoothSkew < before) return this.#bestOtherSlot < 0 ? 1 : 2
    // The gain is only an estimate where one rank holds both experts, so a change without a gain is undone.
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
    this.#holderWeight.fill(0)
    for (let slot = 0; slot < this.slots.length; slot++) {
      const expert = this.slots[slot]!
      const weight = this.#weights[this.#rankOf[slot]!]!
      const isFirst = this.#holderWeight[expert] === 0
      this.#holderWeight[expert]! += weight
      if (isFirst || weight < this.#weights[this.#rankOf[this.#leastLoadedSlot[expert]!]!]!) {
        this.#leastLoadedSlot[expert] = slot
      }
      if (isFirst || weight > this.#weights[this.#rankOf[this.#mostLoadedSlot[expert]!]!]!) {
        this.#mostLoadedSlot[expert] = slot
      }
    }
    for (let expert = 0; expert < this.#holderWeight.length; expert++) {
      const [tokens, replicas] = [this.#tokens[expert]!, this.#replicas[expert]!]
      const share = tokens / replicas
      const added = tokens / (replicas + 1)
      this.#shareFactor[expert] = Math.exp(sharpness * share)
      this.#addedFactor[expert] = Math.exp(sharpness * added)
      this.#relief[expert] = this.#holderWeight[expert]! * (1 - Math.exp(sharpness * (added - share)))
      this.#removedFactor[expert] = replicas > 1 ? Math.exp(sharpness * (tokens / (replicas - 1) - share)) : Infinity
    }
  }

  /** Finds the best replacement of one slot's expert: the expert `cold` loses a replica and `hot` gets one more. */
  #findReplacement (): void {
    const maxRelief = this.#relief[this.#expertOrder[0]!]!
    for (let cold = 0; cold < this.#replicas.length; cold++) {
      if (this.#replicas[cold]! < 2) continue
      const shareFactor = this.#shareFactor[cold]!
      const removedFactor = this.#removedFactor[cold]!
      const increase = this.#holderWeight[cold]! * (removedFactor - 1)
      const minWeight = this.#weights[this.#rankOf[this.#leastLoadedSlot[cold]!]!]!
      const maxWeight = this.#weights[this.#rankOf[this.#mostLoadedSlot[cold]!]!]!
      if (maxWeight * removedFactor - increase + maxRelief <= this.#bestGain) continue
      for (let index = 0; index < this.#expertOrder.length; index++) {
        const hot = this.#expertOrder[index]!
        const relief = this.#relief[hot]! - increase
        if (maxWeight * removedFactor + relief <= this.#bestGain) break
        // The gain is linear in the weight of the rank, so the best slot is on the least or the most loaded rank.
        const slope = removedFactor - this.#addedFactor[hot]! / shareFactor
        if ((slope > 0 ? maxWeight : minWeight) * slope + relief <= this.#bestGain || hot === cold) continue
        this.#chooseSlot(cold, hot, slope, relief)
      }
    }
  }

  /** Selects the best slot of the expert `cold` on a rank that does not hold `hot` yet. */
  #chooseSlot (cold: number, hot: number, slope: number, relief: number): void {
    for (let slot = 0; slot < this.slots.length; slot++) {
      if (this.slots[slot] !== cold) continue
      const rank = this.#rankOf[slot]!
      const gain = this.#weights[rank]! * slope + relief
      if (gain <= this.#bestGain || this.#hasExpert(rank, hot)) continue
      this.#bestGain = gain
      this.#bestSlot = slot
      this.#bestExpert = hot
      this.#bestOtherSlot = -1
    }
  }

  /** Finds the best exchange of experts between two ranks; the more popular expert should be on the more loaded one. */
  #findExchange (): void {
    const factors = this.#shareFactor
    for (let hot = 0; hot < factors.length; hot++) {
      const maxWeight = this.#weights[this.#rankOf[this.#mostLoadedSlot[hot]!]!]!
      if (maxWeight <= 2 * this.#bestGain) continue
      for (let cold = 0; cold < factors.length; cold++) {
        const ratio = factors[cold]! / factors[hot]!
        if (ratio >= 1) continue
        const minWeight = this.#weights[this.#rankOf[this.#leastLoadedSlot[cold]!]!]!
        if ((maxWeight * (1 - ratio) + minWeight * (1 - 1 / ratio)) / 2 > this.#bestGain) {
          this.#chooseSlots(hot, cold, ratio)
        }
      }
    }
  }

  /** Selects the best pair of slots of two experts on ranks that do not hold the other expert yet. */
  #chooseSlots (hot: number, cold: number, ratio: number): void {
    for (let hotSlot = 0; hotSlot < this.slots.length; hotSlot++) {
      const hotRank = this.#rankOf[hotSlot]!
      if (this.slots[hotSlot] !== hot || this.#hasExpert(hotRank, cold)) continue
      for (let coldSlot = 0; coldSlot < this.slots.length; coldSlot++) {
        if (this.slots[coldSlot] !== cold) continue
        const coldRank = this.#rankOf[coldSlot]!
        const gain = (this.#weights[hotRank]! * (1 - ratio) + this.#weights[coldRank]! * (1 - 1 / ratio)) / 2
        if (gain <= this.#bestGain || this.#hasExpert(coldRank, hot)) continue
        this.#bestGain = gain
        this.#bestSlot = hotSlot
        this.#bestExpert = cold
        this.#bestOtherSlot = coldSlot
      }
    }
  }

  #hasExpert (rank: number, expert: number): boolean {
    const first = rank * this.#shape.slotsPerRank
    for (let slot = first; slot < first + this.#shape.slotsPerRank; slot++) if (this.slots[slot] === expert) return true
    return false
  }
}
