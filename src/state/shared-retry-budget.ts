/**
 * One gateway's part of a retry budget that all gateways share: its own requests times the ratio, plus an equal part of
 * the extra. The sum over all gateways stays within the limit without messages between them.
 *
 * Load pattern: during an outage each request is retried. Retries wait until backend servers are back and are then sent
 * together, and gateways are killed and started several times within a window.
 */

export interface BudgetOptions {
  /** Retries per request. */
  ratio: number
  /** Retries per window in addition to the ratio, for all gateways together. */
  extra: number
  windowMs: number
  /** Maximum number of gateways that may be alive now. */
  gateways: number
  /** Since when all retries of this host are known: what an earlier process on it has sent is not. */
  recordsSinceMs: number
}

/** A retry that the budget allows. It counts until a window has passed after it was sent. */
export interface RetryGrant {
  /** Undefined until the retry is sent. */
  sentAtMs: number | undefined
}

export interface SharedRetryBudget {
  requestsAtMs: number[]
  grants: Set<RetryGrant>
  /** Highest number of gateways within the last window, and when it was last seen. */
  gateways: number
  gatewaysAtMs: number
}

/** Leaves a margin, because retries are counted when they arrive at a backend server, later than they are sent. */
const SAFETY_FACTOR = 0.9
/** Time until retries of an earlier process have arrived and all gateways know of a new one. */
const START_MARGIN_MS = 500

export function createBudget (): SharedRetryBudget {
  return { requestsAtMs: [], grants: new Set(), gateways: 0, gatewaysAtMs: -Infinity }
}

export function noteRequest (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): void {
  budget.requestsAtMs.push(nowMs)
  // Retries may be rare, so requests are dropped here too, many at a time.
  if (budget.requestsAtMs[0]! < nowMs - 2 * options.windowMs) dropOldRequests(budget, options, nowMs)
  noteGateways(budget, options, nowMs)
}

/** What a gateway has used of its part in the current window. */
export interface BudgetUse {
  requests: number
  /** Retries that were sent in the window or are still to be sent. */
  repeats: number
  /** Number of retries that are allowed in the window. */
  limit: number
}

export function budgetUse (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): BudgetUse {
  const fromMs = nowMs - options.windowMs
  dropOldRequests(budget, options, nowMs)
  for (const grant of budget.grants) {
    if (grant.sentAtMs !== undefined && grant.sentAtMs < fromMs) budget.grants.delete(grant)
  }
  noteGateways(budget, options, nowMs)
  const requests = budget.requestsAtMs.length
  return {
    requests,
    repeats: budget.grants.size,
    limit: (requests * options.ratio + partOfExtra(budget, options, nowMs)) * SAFETY_FACTOR
  }
}

/** A gateway that has just started has no part, because an earlier process on its host may have used it. */
function partOfExtra (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): number {
  if (nowMs - options.recordsSinceMs < options.windowMs + START_MARGIN_MS) return 0
  return options.extra / budget.gateways
}

/** Takes one retry from the budget. @returns undefined when the current window allows none. */
export function grantRetry (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): RetryGrant | undefined {
  const { repeats, limit } = budgetUse(budget, options, nowMs)
  if (repeats + 1 > limit) return undefined
  const grant: RetryGrant = { sentAtMs: undefined }
  budget.grants.add(grant)
  return grant
}

/** Returns a retry that will not be sent. */
export function releaseRetry (budget: SharedRetryBudget, grant: RetryGrant): void {
  budget.grants.delete(grant)
}

function dropOldRequests (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): void {
  const fromMs = nowMs - options.windowMs
  budget.requestsAtMs = budget.requestsAtMs.filter(atMs => atMs >= fromMs)
}

/** Gateways that have left may have used their parts within the window. */
function noteGateways (budget: SharedRetryBudget, options: BudgetOptions, nowMs: number): void {
  if (options.gateways < budget.gateways && nowMs - budget.gatewaysAtMs <= options.windowMs) return
  budget.gateways = options.gateways
  budget.gatewaysAtMs = nowMs
}
