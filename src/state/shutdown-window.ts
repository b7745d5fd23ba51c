/**
 * What a process that stops may still accept.
 *
 * Load pattern: clients with cached addresses and open connections go on sending until the process is gone, and all
 * entries of a system may stop within one shutdown time, so that a refused client has nowhere to go. A request that
 * ends in time is served; one that would be cut off is refused at once, so that its client can go elsewhere.
 */

export interface ShutdownWindow {
  startedAtMs: number
  /** All requests have their answer by then. */
  answerByMs: number
  /** The process exits then at the latest. */
  exitByMs: number
}

/** Share of the shutdown time after which each open request is answered, whatever its backend server does. */
const ANSWER_FRACTION = 0.91
/** The rest is for the exit itself, before the platform kills the process. */
const EXIT_FRACTION = 0.94

export function openWindow (shutdownMs: number, nowMs: number): ShutdownWindow {
  return {
    startedAtMs: nowMs,
    answerByMs: nowMs + shutdownMs * ANSWER_FRACTION,
    exitByMs: nowMs + shutdownMs * EXIT_FRACTION
  }
}

/**
 * Latest time to send a request to a backend server so that its answer arrives before the process exits.
 *
 * @param deadlineAtMs time at which the request is answered in any case.
 * @param neededMs time that the backend server needs.
 */
export function latestStartMs (window: ShutdownWindow, deadlineAtMs: number, neededMs: number): number {
  return deadlineAtMs <= window.answerByMs ? Infinity : window.answerByMs - neededMs
}
