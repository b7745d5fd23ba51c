/**
 * Recognises a crash of the agent's backend server and keeps the fingerprints that were running.
 */

export interface Crash {
  fingerprints: string[]
  /** Counts the crashes that this agent saw. */
  number: number
}

export interface CrashDetector {
  /** Takes the fingerprints that ran when a connection to the backend server broke. */
  noteFailure (fingerprints: readonly string[]): void
  /**
   * Takes the result of a health check. A broken connection is a crash only when the backend server is down too:
   * otherwise it may be a request that was given up, or a lost connection.
   */
  noteHealth (isReachable: boolean): void
}

/** A failure is set aside when the backend server still answers this long after it. */
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
      // Connections break one after the other, so the first snapshot is the most complete; later ones add to it.
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
