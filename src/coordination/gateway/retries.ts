/**
 * Whether a request may be sent to a further backend server: the retry budget of its service and its time left.
 */

import * as sharedRetryBudget from '../../state/shared-retry-budget.js'
import type * as callModule from './call.js'
import type * as context from './context.js'

/** First event or whole response of an idle backend server, counted from the send. */
const FIRST_RESPONSE_MS = 120

export function hasTimeLeft (ctx: context.GatewayContext, call: callModule.Call): boolean {
  return call.deadlineAtMs - ctx.nowMs() > FIRST_RESPONSE_MS
}

/** Takes a repeat from the budget. @returns whether the budget has one. */
export function takeRetry (ctx: context.GatewayContext, call: callModule.Call): boolean {
  const allowed = sharedRetryBudget.takeRepeat(budgetOf(ctx, call.service), ctx.budgetOptions(), ctx.nowMs())
  if (allowed) ctx.metrics.repeats.inc({ service: call.service })
  else ctx.log.emit('repeatDenied', { request: call.id, service: call.service })
  return allowed
}

export function budgetOf (ctx: context.GatewayContext, service: string): sharedRetryBudget.SharedRetryBudget {
  let budget = ctx.budgets.get(service)
  if (budget === undefined) {
    budget = sharedRetryBudget.createBudget()
    ctx.budgets.set(service, budget)
  }
  return budget
}
