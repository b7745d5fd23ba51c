/**
 * The agent's registry of attempts: the ledger of their states, the recorded results, and the callers that wait for an
 * attempt to begin or to end.
 */

import type * as environment from './environment.js'
import * as attemptLedger from '../state/attempt-ledger.js'
import * as recordedResults from '../state/recorded-results.js'

export interface Resolution {
  state: attemptLedger.CancelResult
  result: recordedResults.RecordedResult | undefined
}

export interface AttemptRegistry {
  /** Begins an attempt. @param oldestOpen sequence number of the oldest attempt of the entry that is still open. */
  begin (id: attemptLedger.AttemptId, oldestOpen: number): attemptLedger.BeginResult
  /** Tombstones a refused attempt, so that no copy of it runs later. @returns false when a copy has already begun. */
  refuse (id: attemptLedger.AttemptId): boolean
  /** Tombstones a begun attempt of which the backend server received nothing. @returns whether it is tombstoned. */
  withdraw (id: attemptLedger.AttemptId): boolean
  /** Ends a running attempt and records its result, if there is one; no effect on one that has ended. */
  end (
    id: attemptLedger.AttemptId,
    state: 'completed' | 'failed',
    result?: Omit<recordedResults.RecordedResult, 'recordedAtMs'>
  ): void
  /**
   * Cancels an attempt that has not begun; otherwise returns its state and recorded result.
   * @param graceMs maximum wait for an attempt that may still be in transit.
   * @param waitMs maximum wait for the end of a running attempt.
   */
  resolve (id: attemptLedger.AttemptId, graceMs: number, waitMs: number): Promise<Resolution>
}

export function createAttemptRegistry (env: environment.Environment): AttemptRegistry {
  const ledger = attemptLedger.createLedger()
  const results = recordedResults.createRecordedResults()
  const running = new Set<string>()
  const waiting = new Map<string, Set<() => void>>()

  return {
    begin (id, oldestOpen) {
      const begun = attemptLedger.beginAttempt(ledger, id, oldestOpen)
      if (begun === 'begun') {
        running.add(attemptLedger.formatAttemptId(id))
        notifyWaiters(id)
      }
      return begun
    },
    refuse: id => attemptLedger.cancelAttempt(ledger, id) === 'tombstoned',
    withdraw (id) {
      running.delete(attemptLedger.formatAttemptId(id))
      const isTombstoned = attemptLedger.withdrawAttempt(ledger, id)
      notifyWaiters(id)
      return isTombstoned
    },
    end (id, state, result) {
      const attemptId = attemptLedger.formatAttemptId(id)
      if (!running.delete(attemptId)) return
      attemptLedger.completeAttempt(ledger, id, state)
      if (result !== undefined) {
        recordedResults.recordResult(results, attemptId, { ...result, recordedAtMs: env.nowMs() })
      }
      notifyWaiters(id)
    },
    async resolve (id, graceMs, waitMs) {
      const attemptId = attemptLedger.formatAttemptId(id)
      if (attemptLedger.attemptState(ledger, id) === 'unknown' && graceMs > 0) await waitForChange(attemptId, graceMs)
      const waitUntilMs = env.nowMs() + waitMs
      for (;;) {
        const result = recordedResults.findResult(results, attemptId, env.nowMs())
        if (result !== undefined) return { state: 'completed', result }
        // The ledger's watermark may be past an attempt that is still running.
        if (!running.has(attemptId)) return { state: attemptLedger.cancelAttempt(ledger, id), result: undefined }
        const remainingMs = waitUntilMs - env.nowMs()
        if (remainingMs <= 0) return { state: 'running', result: undefined }
        await waitForChange(attemptId, remainingMs)
      }
    }
  }

  function waitForChange (attemptId: string, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const waiters = waiting.get(attemptId) ?? new Set()
      waiting.set(attemptId, waiters)
      const done = (): void => {
        clearTimeout(timer)
        waiters.delete(done)
        if (waiters.size === 0 && waiting.get(attemptId) === waiters) waiting.delete(attemptId)
        resolve()
      }
      const timer = setTimeout(done, timeoutMs)
      waiters.add(done)
    })
  }

  function notifyWaiters (id: attemptLedger.AttemptId): void {
    for (const done of [...waiting.get(attemptLedger.formatAttemptId(id)) ?? []]) done()
  }
}
