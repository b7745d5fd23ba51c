/**
 * Detects crashes of the agent's backend server and reports the fingerprints of the requests that were running.
 */

export interface Crash {
  fingerprints: string[]
  /** Number of the crash among those that this agent detected, from 1. */
  number: number
}

export interface CrashDetector {
  /** Records the fingerprints of the running requests when a connection to the backend server broke. */
  noteFailure (fingerprints: readonly string[]): void
  /**
   * Records the result of a health check. A broken connection is a crash only when the backend server is down too:
   * otherwise the request may have been cancelled, or only the connection lost.
   */
  noteHealth (isReachable: boolean): void
}

/** A failed health check confirms a crash only within this time after the connection failure. */
const CONFIRM_WINDOW_MS = 2_000

/** @param nowMs clock for intervals. */
export function createCrashDetector (nowMs: () => number, onCrash: (crash: Crash) => void): CrashDetector {
  let failed: string[] = []
  let failedAtMs = -Infinity
  let crashes = 0
  return {
    noteFailure (fingerprints) {
      if (nowMs() - failedAtMs > CONFIRM_WINDOW_MS) failed = []
      if (failed.length === 0) failedAtMs = nowMs()
      // Connections break one after the other, so the first list is the most complete; later ones add to it.
      failed = [...failed, ...fingerprints.filter(fingerprint => !failed.includes(fingerprint))]
    },
    noteHealth (isReachable) {
      if (isReachable || failed.length === 0 || nowMs() - failedAtMs > CONFIRM_WINDOW_MS) return
      crashes += 1
      onCrash({ fingerprints: failed, number: crashes })
      failed = []
    }
  }
}
