/**
 * Whether a node may act on its copy of the configuration. After a pause or a loss of contact it may not, until a round
 * trip that began afterwards confirms the copy. A message read after a pause proves nothing, because it may have waited
 * in a buffer.
 */

export interface Freshness {
  isConfirmed: boolean
  /** A confirmation counts only when its round trip began at this time or later. */
  unconfirmedSinceMs: number
  /** Time of the last contact with the table service or a peer. */
  heardAtMs: number
  /** Time of the last check; a long gap between checks reveals a pause of the process. */
  tickedAtMs: number
}

/** A copy in use must not lack a change that was accepted more than 5 s ago, even after a loss of contact. */
export const MAX_CONFIGURATION_DELAY_MS = 5_000
/** A longer gap between checks counts as a pause. */
export const PAUSE_THRESHOLD_MS = 1_000
/**
 * Time without contact after which a node counts as cut off. The last message may have waited in a buffer during a
 * pause too short to be detected, so the longest such pause is subtracted.
 */
export const CUT_OFF_TIMEOUT_MS = MAX_CONFIGURATION_DELAY_MS - PAUSE_THRESHOLD_MS

export function createFreshness (nowMs: number): Freshness {
  return { isConfirmed: false, unconfirmedSinceMs: nowMs, heardAtMs: nowMs, tickedAtMs: nowMs }
}

/** Revokes the confirmation after a pause, or after a loss of contact that has lasted until now. */
export function detectInterruption (freshness: Freshness, nowMs: number, knowsPeers: boolean): void {
  const wasPaused = nowMs - freshness.tickedAtMs > PAUSE_THRESHOLD_MS
  const isCutOff = knowsPeers && nowMs - freshness.heardAtMs > CUT_OFF_TIMEOUT_MS
  if (wasPaused || (isCutOff && freshness.isConfirmed)) {
    freshness.isConfirmed = false
    freshness.unconfirmedSinceMs = nowMs
  }
  freshness.tickedAtMs = nowMs
}

/** Records a message from a peer. */
export function noteMessage (freshness: Freshness, nowMs: number, knowsPeers: boolean): void {
  detectInterruption(freshness, nowMs, knowsPeers)
  freshness.heardAtMs = nowMs
}

/** Records a confirmation by a round trip that began at `startedAtMs`. @returns whether it counts. */
export function confirm (freshness: Freshness, startedAtMs: number, nowMs: number, knowsPeers: boolean): boolean {
  detectInterruption(freshness, nowMs, knowsPeers)
  if (startedAtMs < freshness.unconfirmedSinceMs) return false
  freshness.isConfirmed = true
  freshness.heardAtMs = Math.max(freshness.heardAtMs, startedAtMs)
  return true
}

export interface PeerAnswer {
  /** Whether the peer itself may act on its copy. */
  isConfirmed: boolean
}

/**
 * Whether answers of peers confirm a copy that has been brought up to the latest revision among them. Without a
 * confirmed peer, answers from a majority of the known peers and the node itself are enough: otherwise nodes that were
 * all paused at once during a table outage could never serve again. Fewer are not enough, since two stale nodes could
 * then confirm each other.
 */
export function isConfirmedByPeers (askedPeers: number, answers: readonly PeerAnswer[]): boolean {
  if (answers.some(answer => answer.isConfirmed)) return true
  return 2 * (answers.length + 1) > askedPeers + 1
}
