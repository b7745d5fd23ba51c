/**
 * Orders to the ranks of a group, and when they are sent again.
 */

import * as rankState from './rank-state.js'
import type * as rankControl from '../protocol/rank-control.js'

export interface AddressedOrder {
  rank: number
  order: rankControl.RankOrder
}

/** Interval after which an order is sent again to a rank. */
export const REPEAT_ORDER_MS = 60
/** Orders to all ranks of a group take the lead's host about this much longer for each rank above the typical size. */
const DELAY_PER_EXTRA_RANK_MS = 1

/** Additional time that orders to many ranks take, compared with a group of typical size. */
export function largeGroupDelayMs (ranks: number): number {
  return Math.max(0, ranks - rankState.TYPICAL_GROUP_SIZE) * DELAY_PER_EXTRA_RANK_MS
}

/** The order for those of the ranks to which none was sent within the repeat interval. */
export function ordersDue (
  orderedAtMs: Map<number, number>, ranks: readonly number[], order: rankControl.RankOrder, nowMs: number,
  repeatMs = REPEAT_ORDER_MS
): AddressedOrder[] {
  const due: AddressedOrder[] = []
  const extraMs = largeGroupDelayMs(ranks.length)
  for (const rank of ranks) {
    if (isDue(orderedAtMs, rank, repeatMs + extraMs, nowMs)) due.push({ rank, order })
  }
  return due
}

/** Whether no order was sent to the rank within the interval; then it counts as sent now. */
export function isDue (orderedAtMs: Map<number, number>, rank: number, intervalMs: number, nowMs: number): boolean {
  if (nowMs - (orderedAtMs.get(rank) ?? -Infinity) < intervalMs) return false
  orderedAtMs.set(rank, nowMs)
  return true
}
