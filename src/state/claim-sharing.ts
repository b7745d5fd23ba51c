/**
 * Chooses the entry of a region that writes the claims of all its entries, and when claims are shared. Any choice is
 * safe, since each row is written under a condition; the choice only decides how many claims share a transaction.
 */

import * as rendezvous from './rendezvous.js'

export interface ClaimSharing {
  /** Claims of this entry per second, as a moving average. */
  ratePerSecond: number
  countedAtMs: number
  /** Until when an entry that did not answer in time is avoided, by incarnation. */
  avoidedUntilMs: Map<string, number>
}

/** The writing entry changes after this time, so that the work is spread over all entries. */
export const WRITER_ROTATION_MS = 1_000
/** Long enough that one or two claims do not look like a high rate, short enough to follow a surge. */
const RATE_WINDOW_MS = 5_000
/** Long enough for the heartbeats of a dead entry to end before it is tried again. */
export const AVOIDANCE_MS = 5_000

export function createClaimSharing (): ClaimSharing {
  return { ratePerSecond: 0, countedAtMs: -Infinity, avoidedUntilMs: new Map() }
}

/** Counts one claim of this entry. */
export function countClaim (sharing: ClaimSharing, nowMs: number): void {
  const decay = Math.exp((sharing.countedAtMs - nowMs) / RATE_WINDOW_MS)
  sharing.ratePerSecond = sharing.ratePerSecond * decay + 1_000 / RATE_WINDOW_MS
  sharing.countedAtMs = nowMs
}

/** @returns whether the entry was not avoided before. */
export function avoidEntry (sharing: ClaimSharing, incarnation: string, nowMs: number): boolean {
  const isNew = (sharing.avoidedUntilMs.get(incarnation) ?? -Infinity) <= nowMs
  sharing.avoidedUntilMs.set(incarnation, nowMs + AVOIDANCE_MS)
  return isNew
}

/** Ends the avoidance of an entry that answers again. */
export function readmitEntry (sharing: ClaimSharing, incarnation: string): void {
  sharing.avoidedUntilMs.delete(incarnation)
}

/**
 * Incarnation of the entry that writes a claim: this entry while the region has too few claims to share. Each entry
 * assumes that the others have as many claims as itself, so entries that write their own stay below the bound together.
 *
 * @param entries incarnations of the live entries, this one included.
 * @param shareAbove claims per second in the region from which they are shared.
 */
export function chooseWriter (
  sharing: ClaimSharing, self: string, entries: readonly string[], shareAbove: number,
  nowMs: number, wallClockMs: number, hash64: rendezvous.Hash64
): string {
  if (sharing.ratePerSecond * entries.length < shareAbove) return self
  for (const [incarnation, untilMs] of sharing.avoidedUntilMs) {
    if (untilMs <= nowMs) sharing.avoidedUntilMs.delete(incarnation)
  }
  const rotation = Math.floor(wallClockMs / WRITER_ROTATION_MS)
  const candidates = entries.filter(incarnation => !sharing.avoidedUntilMs.has(incarnation))
  return rendezvous.rankMembers(`claims/${rotation}`, candidates.map(id => ({ id, weight: 1 })), hash64)[0]?.id ?? self
}
