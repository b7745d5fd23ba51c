/**
 * Budget of retries: a share of recent requests, so that retries cannot multiply the load of an outage.
 */

export interface RetryBudget {
  /** Retries that may be made now. */
  tokens: number
  refilledAtMs: number
}

/** Retries per request. With the refill below, amplification stays under 1.1 at the entry's usual load. */
const RETRIES_PER_REQUEST = 0.09
/** Bounds the retries after a quiet time; no larger store of them builds up before an outage. */
const MAX_TOKENS = 10
/** An entry with little traffic can still retry now and then. */
const REFILL_PERIOD_MS = 10_000
const REFILL_MAX_TOKENS = 3

export function createRetryBudget (nowMs: number): RetryBudget {
  return { tokens: REFILL_MAX_TOKENS, refilledAtMs: nowMs }
}

/** Counts a request, at its first attempt. */
export function noteRequest (budget: RetryBudget, nowMs: number): void {
  const refill = (nowMs - budget.refilledAtMs) / REFILL_PERIOD_MS
  budget.refilledAtMs = nowMs
  if (budget.tokens < REFILL_MAX_TOKENS) budget.tokens = Math.min(REFILL_MAX_TOKENS, budget.tokens + refill)
  budget.tokens = Math.min(MAX_TOKENS, budget.tokens + RETRIES_PER_REQUEST)
}

/** Takes one retry from the budget, if it has one. */
export function takeRetry (budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
