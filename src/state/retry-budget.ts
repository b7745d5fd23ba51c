/**
 * Retry budget: limits retries to a share of recent requests, so that they cannot multiply the load during an outage.
 */

export interface RetryBudget {
  /** Number of retries that are allowed now. */
  tokens: number
  refilledAtMs: number
}

/** With the refill below, the amplification of load stays under 1.1 at the typical load of an entry. */
const RETRIES_PER_REQUEST = 0.09
/** Bounds the tokens that accumulate before an outage. */
const MAX_TOKENS = 10
/** The refill lets an entry with little traffic retry occasionally. */
const REFILL_PERIOD_MS = 10_000
const REFILL_MAX_TOKENS = 3

export function createRetryBudget (nowMs: number): RetryBudget {
  return { tokens: REFILL_MAX_TOKENS, refilledAtMs: nowMs }
}

/** Counts a request. Called at its first attempt. */
export function noteRequest (budget: RetryBudget, nowMs: number): void {
  const refill = (nowMs - budget.refilledAtMs) / REFILL_PERIOD_MS
  budget.refilledAtMs = nowMs
  if (budget.tokens < REFILL_MAX_TOKENS) budget.tokens = Math.min(REFILL_MAX_TOKENS, budget.tokens + refill)
  budget.tokens = Math.min(MAX_TOKENS, budget.tokens + RETRIES_PER_REQUEST)
}

/** Takes one retry from the budget. @returns whether the retry is allowed. */
export function takeRetry (budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
