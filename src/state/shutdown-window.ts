/**
 * What a process that stops may still accept.
 *
 * Load pattern: clients with cached addresses and open connections go on sending until the process is gone, and all
 * entries of a system may stop within one shutdown time, so that a refused client has nowhere to go. A request that
 * ends in time is served; one that would be cut off is refused at once, so that its client can go elsewhere.
 *
 * How long a response gets is not known beforehand. In the early part of a shutdown the usual time of its route
 * decides: a longer one has had most of the shutdown time when it is cut, and by the longest nearly all would be
 * refused. Later the longest decides.
 */

export interface ShutdownWindow {
  startedAtMs: number
  /** Until then the usual time of a response is enough to accept its request. */
  usualUntilMs: number
  /** All requests have their answer by then. */
  answerByMs: number
  /** The process exits then at the latest. */
  exitByMs: number
}

/** Early part of the shutdown time. */
const EARLY_FRACTION = 0.375
const MAX_EARLY_MS = 3_000
/** Share of the shutdown time after which each open request is answered, whatever its backend server does. */
const ANSWER_FRACTION = 0.91
/** The rest is for the exit itself, before the platform kills the process. */
const EXIT_FRACTION = 0.94

export function openWindow (shutdownMs: number, nowMs: number): ShutdownWindow {
  return {
    startedAtMs: nowMs,
    usualUntilMs: nowMs + Math.min(MAX_EARLY_MS, shutdownMs * EARLY_FRACTION),
    answerByMs: nowMs + shutdownMs * ANSWER_FRACTION,
    exitByMs: nowMs + shutdownMs * EXIT_FRACTION
  }
}

/** Time that a backend server needs for a request. */
export interface NeededTime {
  /** For nearly every request like it. */
  usualMs: number
  /** For the longest response that it may get. */
  longestMs: number
  /** Time to leave beside. */
  reserveMs?: number
}

/**
 * Latest time to send a request to a backend server so that its answer arrives before the process exits.
 *
 * @param deadlineAtMs time at which the request is answered in any case.
 */
export function latestStartMs (window: ShutdownWindow, deadlineAtMs: number, needed: NeededTime): number {
  if (deadlineAtMs <= window.answerByMs) return Infinity
  const { usualMs, longestMs, reserveMs = 0 } = needed
  const byMs = window.answerByMs - reserveMs
  return Math.max(byMs - longestMs, Math.min(byMs - usualMs, window.usualUntilMs))
}

/** An attempt that is silent counts as overdue after 1.1 s, and the next one needs some time for its first event. */
const RECOVERY_MS = 1_500
/** Time for which an attempt that was overdue shows that others may be. */
const SILENCE_MEMORY_MS = 10_000

export interface StreamRisk {
  /** Whether a client that is refused has another entry to go to. */
  hasReadyPeer: boolean
  /** When a stream was overdue for the last time; -Infinity if none was. */
  overdueAtMs: number
}

/**
 * Time to leave beside what a new stream needs, so that another backend server may continue it once and it still ends
 * in time: a stream that has begun can't be answered otherwise. A refusal costs little if there is another entry; if
 * there is none, only what was seen counts.
 */
export function streamReserveMs (risk: StreamRisk, nowMs: number): number {
  return risk.hasReadyPeer || nowMs - risk.overdueAtMs < SILENCE_MEMORY_MS ? RECOVERY_MS : 0
}
