/**
 * Which entry of a region writes the claims of the others, and when. Any choice is safe, since each row is written
 * under a condition; the choice only decides how many claims share a transaction.
 */

import * as rendezvous from './rendezvous.js'

export interface ClaimSharing {
  /** Claims a second of this entry: a moving average. */
  ratePerSecond: number
  countedAtMs: number
  /** Entries that did not answer in time, by incarnation, until this time. */
  avoidedUntilMs: Map<string, number>
}

/** The writing entry changes with each slot, so that the work is spread over all of them. */
export const WRITER_ROTATION_MS = 1_000
/** Long enough for a claim or two not to count as a rate, short enough to follow a surge. */
const RATE_WINDOW_MS = 5_000
/** An entry that did not answer is tried again after its heartbeats had time to end. */
const AVOIDANCE_MS = 5_000

export function createClaimSharing (): ClaimSharing {
  return { ratePerSecond: 0, countedAtMs: -Infinity, avoidedUntilMs: new Map() }
}

/** Counts one claim of this entry. */
export function countClaim (sharing: ClaimSharing, nowMs: number): void {
  const decay = Math.exp((sharing.countedAtMs - nowMs) / RATE_WINDOW_MS)
  sharing.ratePerSecond = sharing.ratePerSecond * decay + 1_000 / RATE_WINDOW_MS
  sharing.countedAtMs = nowMs
}

export function avoidEntry (sharing: ClaimSharing, incarnation: string, nowMs: number): void {
  sharing.avoidedUntilMs.set(incarnation, nowMs + AVOIDANCE_MS)
}

/** The entry answers again. */
export function readmitEntry (sharing: ClaimSharing, incarnation: string): void {
  sharing.avoidedUntilMs.delete(incarnation)
}

/**
 * Entry that writes the claim, by incarnation: this one while the region's claims need no sharing. Each entry takes
 * the others to have as many claims as itself, so entries that write alone stay below the bound together.
 * @param entries incarnations of the entries that are alive, this one included.
 * @param shareAbove claims a second in the region.
 */
export function chooseWriter (
  sharing: ClaimSharing, self: string, entries: readonly string[], shareAbove: number,
  nowMs: number, wallClockMs: number, hash64: rendezvous.Hash64
): string {
  if (sharing.ratePerSecond * entries.length < shareAbove) return self
  for (const [incarnation, untilMs] of sharing.avoidedUntilMs) {
    if (untilMs <= nowMs) sharing.avoidedUntilMs.delete(incarnation)
  }
  const slot = Math.floor(wallClockMs / WRITER_ROTATION_MS)
  const candidates = entries.filter(incarnation => !sharing.avoidedUntilMs.has(incarnation))
  return rendezvous.rankMembers(`claims/${slot}`, candidates.map(id => ({ id, weight: 1 })), hash64)[0]?.id ?? self
}
