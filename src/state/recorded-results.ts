/**
 * Keeps the results of non-repeatable requests by attempt, so that retries get the same result. Both the lifetime and
 * the total size are bounded.
 */

export interface RecordedResult {
  status: number
  headers: Record<string, string | string[]>
  body: Buffer
  recordedAtMs: number
}

export interface RecordedResults {
  /** In the order of recording. */
  byAttempt: Map<string, RecordedResult>
  sizeBytes: number
}

/** A caller that retries after this time gets `may_have_run`. */
export const RESULT_LIFETIME_MS = 600_000
/** A quarter of the memory that a node may use for control. */
export const MAX_RECORDED_BYTES = 8 * 1024 * 1024
/** A larger result is forwarded to the caller but not kept. */
export const MAX_RESULT_BYTES = 1024 * 1024

export function createRecordedResults (): RecordedResults {
  return { byAttempt: new Map(), sizeBytes: 0 }
}

/** Keeps a result and removes the oldest ones beyond `MAX_RECORDED_BYTES`. */
export function recordResult (results: RecordedResults, attemptId: string, result: RecordedResult): void {
  if (result.body.length > MAX_RESULT_BYTES || results.byAttempt.has(attemptId)) return
  results.byAttempt.set(attemptId, result)
  results.sizeBytes += result.body.length
  for (const oldest of results.byAttempt.keys()) {
    if (results.sizeBytes <= MAX_RECORDED_BYTES) break
    dropResult(results, oldest)
  }
}

/** Finds the result of an attempt and removes expired ones. */
export function findResult (results: RecordedResults, attemptId: string, nowMs: number): RecordedResult | undefined {
  for (const [oldest, result] of results.byAttempt) {
    if (result.recordedAtMs > nowMs - RESULT_LIFETIME_MS) break
    dropResult(results, oldest)
  }
  return results.byAttempt.get(attemptId)
}

function dropResult (results: RecordedResults, attemptId: string): void {
  results.sizeBytes -= results.byAttempt.get(attemptId)?.body.length ?? 0
  results.byAttempt.delete(attemptId)
}
