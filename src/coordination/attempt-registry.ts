/**
 * The agent's ledger of attempts with the recorded results, and those who wait for an attempt to begin or to end.
 */

import type * as environment from './environment.js'
import * as attemptLedger from '../state/attempt-ledger.js'
import * as recordedResults from '../state/recorded-results.js'

export interface Resolution {
  state: attemptLedger.CancelResult
  result: recordedResults.RecordedResult | undefined
}

export interface AttemptRegistry {
  begin (id: attemptLedger.AttemptId, oldestOpen: number): attemptLedger.BeginResult
  /** Tombstones an attempt that is refused. @returns false when a copy of it began before. */
  refuse (id: attemptLedger.AttemptId): boolean
  /** Tombstones a begun attempt of which the backend server got nothing. */
  withdraw (id: attemptLedger.AttemptId): boolean
  end (
    id: attemptLedger.AttemptId, state: 'completed' | 'failed', result?: Omit<recordedResults.RecordedResult, 'recordedAtMs'>
  ): void
  /**
   * Cancels an attempt that has not begun, or gives its state and recorded result.
   * @param graceMs wait for an attempt that may still be on its way.
   * @param waitMs wait for an attempt that runs.
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
        wake(id)
      }
      return begun
    },
    refuse: id => attemptLedger.cancelAttempt(ledger, id) === 'tombstoned',
    withdraw (id) {
      running.delete(attemptLedger.formatAttemptId(id))
      const isTombstoned = attemptLedger.withdrawAttempt(ledger, id)
      wake(id)
      return isTombstoned
    },
    end (id, state, result) {
      const attemptId = attemptLedger.formatAttemptId(id)
      if (!running.delete(attemptId)) return
      attemptLedger.completeAttempt(ledger, id, state)
      if (result !== undefined) {
        recordedResults.recordResult(results, attemptId, { ...result, recordedAtMs: env.nowMs() })
      }
      wake(id)
    },
    async resolve (id, graceMs, waitMs) {
      const attemptId = attemptLedger.formatAttemptId(id)
      if (attemptLedger.attemptState(ledger, id) === 'unknown' && graceMs > 0) await changed(attemptId, graceMs)
      const waitUntilMs = env.nowMs() + waitMs
      for (;;) {
        const result = recordedResults.findResult(results, attemptId, env.nowMs())
        if (result !== undefined) return { state: 'completed', result }
        // The watermark may have passed an attempt that still runs.
        if (!running.has(attemptId)) return { state: attemptLedger.cancelAttempt(ledger, id), result: undefined }
        const remainingMs = waitUntilMs - env.nowMs()
        if (remainingMs <= 0) return { state: 'running', result: undefined }
        await changed(attemptId, remainingMs)
      }
    }
  }

  function changed (attemptId: string, timeoutMs: number): Promise<void> {
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

  function wake (id: attemptLedger.AttemptId): void {
    for (const done of [...waiting.get(attemptLedger.formatAttemptId(id)) ?? []]) done()
  }
}
