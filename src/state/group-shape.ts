/**
 * Size of a lock-step group, and the contents of its slots.
 */

export interface GroupShape {
  ranks: number
  experts: number
  slotsPerRank: number
}

/** Expert of each slot; slot s is on rank ⌊s / slotsPerRank⌋. */
export type LayerSlots = number[]
