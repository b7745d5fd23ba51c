/**
 * Ejection of failing backend servers, with a limit on the share that is ejected, and their return to rotation.
 */

import * as serverView from './server-view.js'

/**
 * How an attempt ended. `unreachable`: no connection could be made; `refused`: the agent accepted no work, which is not
 * a failure of the server.
 */
export type AttemptResult = 'answered' | 'refused' | 'failed' | 'unreachable'

export interface EjectionOptions {
  /** Consecutive failures after which a server is ejected. */
  failures: number
  /** Maximum share of the servers of a service that are ejected at a time; 1 sets no limit. */
  maxShare: number
  /** Duration of the first ejection; each further one takes twice as long. */
  baseMs: number
  /** Maximum duration of an ejection. */
  maxMs: number
}

export const DEFAULT_EJECTION_OPTIONS: EjectionOptions = { failures: 3, maxShare: 0.5, baseMs: 2_000, maxMs: 30_000 }

/** Records the result of an attempt and ejects the server when it has failed too often. */
export function noteResult (
  view: serverView.ServerView,
  record: serverView.ServerRecord,
  result: AttemptResult,
  nowMs: number,
  options: EjectionOptions = DEFAULT_EJECTION_OPTIONS
): void {
  if (result === 'answered') {
    record.consecutiveFailures = 0
    record.ejections = 0
    return
  }
  if (result === 'refused' || record.ejectedUntilMs > nowMs) return
  record.consecutiveFailures += 1
  // One failed connection is enough, and so is one failure of a server that has just returned.
  const isSuspect = result === 'unreachable' || record.ejections > 0
  if (!isSuspect && record.consecutiveFailures < options.failures) return
  if (!mayEject(view, record, nowMs, options)) return
  record.ejections += 1
  record.consecutiveFailures = 0
  record.ejectedUntilMs = nowMs + Math.min(options.maxMs, options.baseMs * 2 ** (record.ejections - 1))
  record.returnedAtMs = record.ejectedUntilMs
}

/** Whether the maximum share permits one more ejection for each target that the server serves. */
function mayEject (
  view: serverView.ServerView, record: serverView.ServerRecord, nowMs: number, options: EjectionOptions
): boolean {
  return record.identity.serves.every(target => {
    let serving = 0
    let ejected = 0
    for (const other of view.servers.values()) {
      if (!serverView.servesTarget(other.identity, target)) continue
      serving += 1
      if (other.ejectedUntilMs > nowMs) ejected += 1
    }
    return ejected + 1 <= serving * options.maxShare
  })
}
