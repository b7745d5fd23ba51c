/**
 * One gateway's part of a retry budget that all gateways share: its own requests times the ratio, plus an equal part of
 * the extra. The sum over all gateways stays within the limit without messages between them.
 */

export interface BudgetOptions {
  /** Retries per request. */
  ratio: number
  /** Retries per window in addition to the ratio, for all gateways together. */
  extra: number
  windowMs: number
  /** Maximum number of gateways that may be alive during a window. */
  gateways: number
}

export interface SharedRetryBudget {
  requestsAtMs: number[]
  repeatsAtMs: number[]
}

/** Leaves a margin, because retries are counted when they arrive at a backend server, later than they are sent. */
const SAFETY_FACTOR = 0.9

export function createBudget (): SharedRetryBudget {
  return { requestsAtMs: [], repeatsAtMs: [] }
}

export function noteRequest (budget: SharedRetryBudget, nowMs: number): void {
  budget.requestsAtMs.push(nowMs)
}

/** What a gateway has used of its part in the current window. */
export interface BudgetUse {
  requests: number
  repeats: number
  /** Number of retries that are allowed in the window. */
  limit: number
}

export function budgetUse (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): BudgetUse {
  const fromMs = nowMs - options.windowMs
  dropBefore(budget.requestsAtMs, fromMs)
  dropBefore(budget.repeatsAtMs, fromMs)
  const requests = budget.requestsAtMs.length
  return {
    requests,
    repeats: budget.repeatsAtMs.length,
    limit: (requests * options.ratio + options.extra / options.gateways) * SAFETY_FACTOR
  }
}

/** Takes one retry from the budget. @returns whether the retry is allowed in the current window. */
export function takeRepeat (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): boolean {
  const { repeats, limit } = budgetUse(budget, options, nowMs)
  if (repeats + 1 > limit) return false
  budget.repeatsAtMs.push(nowMs)
  return true
}

function dropBefore (times: number[], fromMs: number): void {
  let count = 0
  while (count < times.length && times[count]! < fromMs) count += 1
  if (count > 0) times.splice(0, count)
}
