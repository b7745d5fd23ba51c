/**
 * Interface to the inference engine beside an agent, which is one rank of a lock-step group.
 */

/** Experts that each rank holds, indexed by set of layers, then by rank. */
export type ExpertMap = number[][][]

/** Status that a rank reports. */
export interface RankReport {
  running: number
  waiting: number
  cacheTokensUsed: number
  /** Slowdown factor; above 1 means slower than nominal. */
  slowdown: number
  /** Last pass that was begun; an idle group begins none. */
  step: number
  /** Version of the map in use. */
  mapVersion: number
  /** Version of a map whose experts are completely loaded beside those of the map in use. */
  preparedVersion: number | undefined
  armed: { version: number, step: number } | undefined
  /** Step before which the rank holds the group. */
  heldStep: number | undefined
  group: RankGroup | undefined
  /** Start of the rank's instance; undefined if it doesn't state it. */
  startedAtUnixMs: number | undefined
  /** The rank accepts no new work soon. */
  isLeaving: boolean
}

export interface RankGroup {
  name: string
  /** Increases when the group forms again. */
  epoch: number
  rank: number
  /** Number of ranks in the group. */
  size: number
  isOpen: boolean
}

/** How often requests on this rank chose each expert since the rank started, indexed by set. */
export interface ExpertCounts {
  epoch: number
  step: number
  counts: number[][]
}

/** The part of the map in use that one rank holds, indexed by set. */
export interface PlacedExperts {
  version: number
  experts: number[][]
}

export type RankOrder =
  /** Load the experts of a map beside the one in use. */
  | { kind: 'prepare', version: number, map: ExpertMap }
  /** Switch to a prepared map at the beginning of a pass. */
  | { kind: 'arm', version: number, step: number }
  | { kind: 'disarm', version: number }
  /** The group begins neither this pass nor a later one until `go`. */
  | { kind: 'hold', step: number }
  | { kind: 'go', step: number }

export type OrderOutcome =
  /** The order is being carried out, or its result already holds. */
  | 'accepted'
  /** The order doesn't fit the rank's state. */
  | 'refused'
  /** The rank has seen orders of a later lead. */
  | 'fenced'
  /** No answer: the order may be carried out now, seconds later or not at all. */
  | 'unknown'

export interface RankControl {
  /** Undefined when the rank does not answer. */
  report (signal: AbortSignal): Promise<RankReport | undefined>
  /** @param sets number of sets of layers that the counts are divided into. */
  counts (sets: number, signal: AbortSignal): Promise<ExpertCounts | undefined>
  placedExperts (signal: AbortSignal): Promise<PlacedExperts | undefined>
  /** @param fence term of the lead that sends the order; a rank refuses orders with a lower one than it has seen. */
  order (order: RankOrder, epoch: number, fence: number | undefined, signal: AbortSignal): Promise<OrderOutcome>
}
