/**
 * Holds that the switch of a group does not wait for.
 *
 * Fault pattern: a hold order without an answer is sent again, the switch goes on with the second one, and the first is
 * executed seconds later. If the group was idle meanwhile, the held pass has not begun, and it never begins: a hold
 * doesn't expire.
 */

import * as switchOrders from './switch-orders.js'
import type * as rankState from './rank-state.js'
import type * as switchState from './switch-state.js'

/** A hold that the switch does not wait for. */
export interface StrayHold {
  rank: number
  step: number
  /** Phase in which it was found. */
  phase: switchState.SwitchPhase['kind']
  /** Age of the reading that shows it. */
  ageMs: number
}

/** @returns the holds that no phase waits for and that the last advance had not found. */
export function noteStrayHolds (
  state: switchState.SwitchState, known: readonly rankState.RankState[], nowMs: number
): StrayHold[] {
  const { kind: phase } = state.phase
  const found = new Map(strayHoldsOf(state, known).map(rank => {
    const hold = { rank: rank.rank, step: rank.heldStep!, phase, ageMs: nowMs - rank.readAtMs }
    return [`${hold.rank} ${hold.step} ${phase}`, hold] as const
  }))
  const added = [...found].filter(([key]) => !state.strayHolds.has(key)).map(([, hold]) => hold)
  state.strayHolds = new Set(found.keys())
  return added
}

/** Ranks with a hold that the phase does not wait for, as far as they were read since it began. */
function strayHoldsOf (state: switchState.SwitchState, known: readonly rankState.RankState[]): rankState.RankState[] {
  const { phase } = state
  const holder = 'holder' in phase ? phase.holder : undefined
  return known.filter(rank => rank.heldStep !== undefined && rank.rank !== holder && rank.readAtMs > phase.sinceMs)
}

/**
 * Ends holds that the switch does not wait for. Called in phases in which no rank is armed, or all are for the same
 * pass, or the holder stops the group until they are.
 */
export function endStrayHolds (
  state: switchState.SwitchState, known: readonly rankState.RankState[], nowMs: number
): switchOrders.AddressedOrder[] {
  return strayHoldsOf(state, known)
    .filter(({ rank }) => switchOrders.isDue(state.strayGoAtMs, rank, switchOrders.REPEAT_ORDER_MS, nowMs))
    .map(({ rank, heldStep }) => ({ rank, order: { kind: 'go', step: heldStep! } }))
}
