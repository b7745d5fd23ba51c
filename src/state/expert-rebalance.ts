/**
 * Small changes of a group's expert map that even out the ranks' loads, within what the ranks can load in addition to
 * the map in use.
 *
 * Load pattern: popularity jumps every few seconds, and a pass takes as long as its most loaded rank. A plan holds few
 * copies, those that relieve the most loaded ranks most, so that it is in force before popularity jumps again.
 */

import type * as rankControl from '../protocol/rank-control.js'

export interface RebalanceLimits {
  ranks: number
  /** Maximum number of experts of a set at a rank. */
  placesPerRank: number
  /** Maximum number of experts of a set that are new to a rank. */
  maxNewPerRankAndSet: number
  /** Maximum number of experts that are new to a rank, over all sets; bounds the duration of the copies. */
  maxNewPerRank: number
  /**
   * Time that each rank takes for a token, relative to a healthy rank. A slow rank delays the whole group, so it gets
   * less of the load.
   */
  slowdowns: readonly number[]
  /** Minimum reduction of a set's highest rank load, in units of the mean load of a rank, that is worth a copy. */
  minGainPerCopy: number
  /** Minimum reduction of the mean skew of the sets that is worth a switch. */
  minGainPerPlan: number
}

export interface RebalancePlan {
  map: rankControl.ExpertMap
  copies: number
  /** Sum of the skews of all sets: the load of the most loaded rank over the mean load. */
  skewBefore: number
  skewAfter: number
}

/**
 * Reduction of a set's highest rank load that pays back one copy at each rank before popularity changes again, in units
 * of the mean load of a rank. All ranks copy at the same time, so the passes are slow for as long as with one copy.
 */
const MIN_GAIN_PER_ROUND = 0.48
/** The same for one copy in a small group. */
const MAX_GAIN_PER_COPY = 0.06

/**
 * Minimum gain that is worth a copy in a group of this size.
 *
 * Load pattern: in a group of 32 ranks a copy relieves one of many ranks that are nearly as loaded. With a threshold
 * that suits 8 ranks, plans end at a skew of 1.5, and passes are too slow for the next change of popularity.
 */
export function minGainPerCopy (ranks: number): number {
  return Math.min(MAX_GAIN_PER_COPY, MIN_GAIN_PER_ROUND / ranks)
}
/**
 * Minimum gain of a plan.
 *
 * Load pattern: popularity changes while a switch is in progress, and the plan that fits has to wait for its end. A
 * group whose lead looks for a gain of a few percent every 400 ms is hardly ever ready for a change.
 */
export const MIN_GAIN_PER_PLAN = 0.08
/** Time in which the copies of one plan are made; passes are slow until then, and take longer meanwhile. */
const COPY_BUDGET_MS = 200
/** With more copies, a plan takes the lead longer than it gains. */
const MAX_NEW_COPIES = 4
const BITS_PER_BYTE = 8

/**
 * Number of experts that a plan may copy to one rank.
 *
 * Load pattern: popularity changes every 3 to 4 s, and an expert takes 150 ms to copy. The first copy at each rank
 * takes most of the skew away; with four, the group runs on the outdated map for 450 ms longer. The next plan does the
 * rest.
 */
export function maxNewCopies (expertMegabytes: number, linkMegabitsPerSecond: number): number {
  const copyMs = expertMegabytes * BITS_PER_BYTE * 1_000 / linkMegabitsPerSecond
  return Math.max(1, Math.min(MAX_NEW_COPIES, Math.floor(COPY_BUDGET_MS / copyMs)))
}

/** Exponent of the smooth maximum: high enough for the most loaded ranks to dominate it. */
const SMOOTHING_EXPONENT = 10

/**
 * Repeatedly adds the copy with the largest gain over all sets, until none gains enough or fits the limits.
 *
 * @param counts tokens of each expert, by set.
 */
export function rebalance (
  map: rankControl.ExpertMap, counts: readonly (readonly number[])[], limits: RebalanceLimits
): RebalancePlan {
  const placements = map.map((ranks, set) => new SetPlacement(ranks, counts[set]!, limits))
  const skewBefore = placements.reduce((sum, placement) => sum + placement.skew, 0)
  const newAtRank = new Array<number>(limits.ranks).fill(0)
  let copies = 0
  for (;;) {
    let best: { placement: SetPlacement, change: PlacementChange } | undefined
    for (const placement of placements) {
      const change = placement.bestChange(newAtRank)
      if (change !== undefined && (best === undefined || change.gain > best.change.gain)) best = { placement, change }
    }
    if (best === undefined) break
    best.placement.apply(best.change)
    newAtRank[best.change.target]! += 1
    copies += 1
  }
  const skewAfter = placements.reduce((sum, placement) => sum + placement.skew, 0)
  if (copies === 0 || (skewBefore - skewAfter) / map.length < limits.minGainPerPlan) {
    return { map, copies: 0, skewBefore, skewAfter: skewBefore }
  }
  return { map: placements.map(placement => placement.expertsByRank()), copies, skewBefore, skewAfter }
}

/** Map of a newly formed group: experts are assigned to the ranks in turn. */
export function initialMap (sets: number, experts: number, ranks: number): rankControl.ExpertMap {
  return Array.from({ length: sets }, () => Array.from({ length: ranks }, (_, rank) =>
    Array.from({ length: Math.ceil((experts - rank) / ranks) }, (_, index) => rank + index * ranks)))
}

/** Number of least loaded ranks considered for a copy; more of them take the lead's time and find no better one. */
const MAX_TARGETS = 12

/** The load raised to the power of `SMOOTHING_EXPONENT`. */
function smoothingPower (load: number): number {
  const square = load * load
  const fourth = square * square
  return fourth * fourth * square
}

interface PlacementChange {
  expert: number
  /** Rank that gets the expert. */
  target: number
  /** Expert that the target drops to make room; -1 when a place is free. */
  evicted: number
  /** Rank that drops the expert; -1 when all of its ranks keep it. */
  source: number
  gain: number
}

class SetPlacement {
  /** Ranks that hold each expert. */
  readonly #holders: number[][]
  /** Experts that each rank holds, now and in the map in use. */
  readonly #ranks: number[][]
  readonly #before: number[][]
  /** Tokens of each expert, in units of the mean number of tokens of a rank. */
  readonly #tokens: number[]
  readonly #loads: number[]
  readonly #limits: RebalanceLimits
  /** Sum of the loads' powers at the last search. */
  #powerSum = 0
  #cachedChange: PlacementChange | undefined
  #isCached = false

  constructor (ranks: readonly (readonly number[])[], counts: readonly number[], limits: RebalanceLimits) {
    this.#limits = limits
    const total = counts.reduce((sum, count) => sum + count, 0) || 1
    this.#tokens = counts.map(count => count * limits.ranks / total)
    this.#ranks = ranks.map(experts => [...experts])
    this.#before = ranks.map(experts => [...experts])
    this.#holders = counts.map(() => [])
    ranks.forEach((experts, rank) => { for (const expert of experts) this.#holders[expert]!.push(rank) })
    this.#loads = ranks.map((experts, rank) =>
      experts.reduce((sum, expert) => sum + this.#share(expert), 0) * this.#slowdown(rank))
  }

  /** Time of the slowest rank over the mean of healthy ranks. */
  get skew (): number {
    return Math.max(...this.#loads)
  }

  expertsByRank (): number[][] {
    return this.#ranks.map(experts => [...experts].sort((a, b) => a - b))
  }

  bestChange (newAtRank: readonly number[]): PlacementChange | undefined {
    if (this.#isCached &&
      (this.#cachedChange === undefined || this.#canReceive(this.#cachedChange.target, newAtRank))) {
      return this.#cachedChange
    }
    this.#cachedChange = this.#search(newAtRank)
    this.#isCached = true
    return this.#cachedChange
  }

  apply (change: PlacementChange): void {
    if (change.evicted >= 0) this.#drop(change.target, change.evicted)
    this.#add(change.target, change.expert)
    if (change.source >= 0) this.#drop(change.source, change.expert)
    this.#isCached = false
  }

  #search (newAtRank: readonly number[]): PlacementChange | undefined {
    const mostLoaded = this.#loads.indexOf(this.skew)
    const before = this.#smoothMax()
    const byLoad = this.#loads.map((_, rank) => rank).sort((a, b) => this.#loads[a]! - this.#loads[b]!)
    let best: PlacementChange | undefined
    for (const expert of this.#ranks[mostLoaded]!) {
      const targets = byLoad
        .filter(rank => !this.#ranks[rank]!.includes(expert) && this.#canReceive(rank, newAtRank))
        .slice(0, MAX_TARGETS)
      for (const target of targets) {
        const evictions = this.#ranks[target]!.length < this.#limits.placesPerRank
          ? [-1]
          : this.#ranks[target]!.filter(other => this.#holders[other]!.length > 1)
        for (const evicted of evictions) {
          for (const source of [-1, mostLoaded]) {
            const change = { expert, target, evicted, source, gain: 0 }
            change.gain = before - this.#smoothMaxAfter(change)
            if (change.gain > (best?.gain ?? this.#limits.minGainPerCopy)) best = change
          }
        }
      }
    }
    return best
  }

  #canReceive (rank: number, newAtRank: readonly number[]): boolean {
    if (newAtRank[rank]! >= this.#limits.maxNewPerRank) return false
    const isNew = this.#ranks[rank]!.filter(expert => !this.#before[rank]!.includes(expert)).length
    return isNew < this.#limits.maxNewPerRankAndSet
  }

  /** Recomputes only the ranks that hold the moved or the evicted expert, which are few in a large group. */
  #smoothMaxAfter (change: PlacementChange): number {
    const { expert, target, evicted, source } = change
    const changedLoads = new Map<number, number>()
    const add = (rank: number, tokens: number): void => {
      changedLoads.set(rank, (changedLoads.get(rank) ?? this.#loads[rank]!) + tokens * this.#slowdown(rank))
    }
    if (evicted >= 0) {
      const holders = this.#holders[evicted]!
      const [shareBefore, shareAfter] = [this.#share(evicted), this.#tokens[evicted]! / (holders.length - 1)]
      for (const holder of holders) add(holder, holder === target ? -shareBefore : shareAfter - shareBefore)
    }
    const holders = this.#holders[expert]!
    const count = holders.length + (source >= 0 ? 0 : 1)
    const [shareBefore, shareAfter] = [this.#share(expert), this.#tokens[expert]! / count]
    for (const holder of holders) add(holder, holder === source ? -shareBefore : shareAfter - shareBefore)
    add(target, shareAfter)
    let sum = this.#powerSum
    for (const [rank, load] of changedLoads) sum += smoothingPower(load) - smoothingPower(this.#loads[rank]!)
    return Math.max(0, sum) ** (1 / SMOOTHING_EXPONENT)
  }

  #smoothMax (): number {
    this.#powerSum = this.#loads.reduce((sum, load) => sum + smoothingPower(load), 0)
    return this.#powerSum ** (1 / SMOOTHING_EXPONENT)
  }

  #slowdown (rank: number): number {
    return this.#limits.slowdowns[rank] ?? 1
  }

  #share (expert: number): number {
    return this.#tokens[expert]! / this.#holders[expert]!.length
  }

  #add (rank: number, expert: number): void {
    const holders = this.#holders[expert]!
    const before = holders.length === 0 ? 0 : this.#share(expert)
    holders.push(rank)
    this.#ranks[rank]!.push(expert)
    const after = this.#share(expert)
    for (const holder of holders) {
      this.#loads[holder]! += (holder === rank ? after : after - before) * this.#slowdown(holder)
    }
  }

  #drop (rank: number, expert: number): void {
    const holders = this.#holders[expert]!
    const before = this.#share(expert)
    holders.splice(holders.indexOf(rank), 1)
    this.#ranks[rank]!.splice(this.#ranks[rank]!.indexOf(expert), 1)
    this.#loads[rank]! -= before * this.#slowdown(rank)
    if (holders.length === 0) return
    const after = this.#share(expert)
    for (const holder of holders) this.#loads[holder]! += (after - before) * this.#slowdown(holder)
  }
}
