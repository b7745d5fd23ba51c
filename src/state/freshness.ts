/**
 * Whether a node may act on its copy of the configuration: it may not once it was cut off or paused, until a round
 * trip begun afterwards confirms the copy. A message read after a pause proves nothing, because it may have waited
 * in a buffer.
 */

export interface Freshness {
  isConfirmed: boolean
  /** A confirmation counts only when its round trip began at this time or later. */
  unconfirmedSinceMs: number
  /** When the node last heard from the table service or from a peer. */
  heardAtMs: number
  /** When the node last noticed that it runs. */
  tickedAtMs: number
}

/** A change accepted right after the last contact must not be missing 5 s later. */
export const MAX_CONFIGURATION_DELAY_MS = 5_000
/** A longer gap between ticks counts as a pause. */
export const PAUSE_THRESHOLD_MS = 1_000
/** What was read may have waited for a pause that is too short to be noticed, so that time comes off the bound. */
export const CUT_OFF_TIMEOUT_MS = MAX_CONFIGURATION_DELAY_MS - PAUSE_THRESHOLD_MS

export function createFreshness (nowMs: number): Freshness {
  return { isConfirmed: false, unconfirmedSinceMs: nowMs, heardAtMs: nowMs, tickedAtMs: nowMs }
}

/** Notices a pause or a cut-off that has lasted until now. */
export function detectInterruption (freshness: Freshness, nowMs: number, knowsPeers: boolean): void {
  const wasPaused = nowMs - freshness.tickedAtMs > PAUSE_THRESHOLD_MS
  const isCutOff = knowsPeers && nowMs - freshness.heardAtMs > CUT_OFF_TIMEOUT_MS
  if (wasPaused || (isCutOff && freshness.isConfirmed)) {
    freshness.isConfirmed = false
    freshness.unconfirmedSinceMs = nowMs
  }
  freshness.tickedAtMs = nowMs
}

/** Notes a message from a peer. */
export function noteMessage (freshness: Freshness, nowMs: number, knowsPeers: boolean): void {
  detectInterruption(freshness, nowMs, knowsPeers)
  freshness.heardAtMs = nowMs
}

/** Takes a confirmation from a round trip that began at `startedAtMs`. @returns whether it counts. */
export function confirm (freshness: Freshness, startedAtMs: number, nowMs: number, knowsPeers: boolean): boolean {
  detectInterruption(freshness, nowMs, knowsPeers)
  if (startedAtMs < freshness.unconfirmedSinceMs) return false
  freshness.isConfirmed = true
  freshness.heardAtMs = Math.max(freshness.heardAtMs, startedAtMs)
  return true
}

export interface PeerAnswer {
  /** The peer itself may act on its copy. */
  isConfirmed: boolean
}

/**
 * Whether answers of peers confirm a copy that has taken the newest of what they hold. Without a confirmed peer a
 * majority of the known peers and the node itself must have answered: otherwise nodes that were all paused at once
 * during a table outage could never serve again, and two stale nodes could confirm each other.
 */
export function isConfirmedByPeers (askedPeers: number, answers: readonly PeerAnswer[]): boolean {
  if (answers.some(answer => answer.isConfirmed)) return true
  return 2 * (answers.length + 1) > askedPeers + 1
}
