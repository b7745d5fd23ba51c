/**
 * Decides whether a request may be sent to another backend server: by its remaining time and its service's retry
 * budget.
 */

import * as sharedRetryBudget from '../../state/shared-retry-budget.js'
import type * as callModule from './call.js'
import type * as context from './context.js'

/** Time from sending a request to an idle backend server until its first event or whole response. */
const FIRST_RESPONSE_MS = 120

export function hasTimeLeft (ctx: context.GatewayContext, call: callModule.Call): boolean {
  return call.deadlineAtMs - ctx.nowMs() > FIRST_RESPONSE_MS
}

/** Takes a retry from the service's budget. @returns false when the budget is exhausted. */
export function takeRetry (ctx: context.GatewayContext, call: callModule.Call): boolean {
  const budget = budgetOf(ctx, call.service)
  const options = ctx.budgetOptions()
  const isAllowed = sharedRetryBudget.takeRepeat(budget, options, ctx.nowMs())
  if (isAllowed) ctx.metrics.repeats.inc({ service: call.service })
  const { requests, repeats, limit } = sharedRetryBudget.budgetUse(budget, options, ctx.nowMs())
  ctx.log.emit(isAllowed ? 'repeatGranted' : 'repeatDenied', {
    request: call.id,
    service: call.service,
    requests,
    repeats,
    limit: Math.round(limit * 10) / 10,
    gateways: options.gateways
  })
  return isAllowed
}

export function budgetOf (ctx: context.GatewayContext, service: string): sharedRetryBudget.SharedRetryBudget {
  let budget = ctx.budgets.get(service)
  if (budget === undefined) {
    budget = sharedRetryBudget.createBudget()
    ctx.budgets.set(service, budget)
  }
  return budget
}
