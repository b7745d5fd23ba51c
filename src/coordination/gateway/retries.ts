/**
 * Decides whether a request may be sent to another backend server: by its remaining time and its service's retry
 * budget.
 */

import * as sharedRetryBudget from '../../state/shared-retry-budget.js'
import type * as context from './context.js'

/** Time from sending a request to an idle backend server until its first event or whole response. */
const FIRST_RESPONSE_MS = 120

export function hasTimeLeft (ctx: context.GatewayContext, call: { deadlineAtMs: number }): boolean {
  return Math.min(call.deadlineAtMs, ctx.shutdown.answerByMs) - ctx.nowMs() > FIRST_RESPONSE_MS
}

interface RetriedCall {
  /** Id of the client's attempt, for the log. */
  id: string
  service: string
}

/** Retries of one request, taken from its service's budget. */
export class CallRetries {
  readonly #ctx: context.GatewayContext
  readonly #call: RetriedCall
  /** The latest retry. */
  #grant: sharedRetryBudget.RetryGrant | undefined

  constructor (ctx: context.GatewayContext, call: RetriedCall) {
    this.#ctx = ctx
    this.#call = call
  }

  /**
   * Takes a retry from the budget, unless one was taken that has not been sent.
   * @returns false when the budget is exhausted.
   */
  take (): boolean {
    const { service } = this.#call
    if (this.#grant !== undefined && this.#grant.sentAtMs === undefined) return true
    const budget = budgetOf(this.#ctx, service)
    this.#grant = sharedRetryBudget.grantRetry(budget, this.#ctx.budgetOptions(), this.#ctx.nowMs())
    if (this.#grant !== undefined) this.#ctx.metrics.repeats.inc({ service })
    this.#log(this.#grant === undefined ? 'repeatDenied' : 'repeatGranted', budget)
    return this.#grant !== undefined
  }

  /** Called when an attempt begins. */
  noteSent (): void {
    if (this.#grant !== undefined) this.#grant.sentAtMs ??= this.#ctx.nowMs()
  }

  /** Called when an attempt did not reach a backend server, so that its retry can be used for the next one. */
  noteUnreachable (): void {
    if (this.#grant !== undefined) this.#grant.sentAtMs = undefined
  }

  /** Returns a retry that was not sent. Called when the request has ended. */
  close (): void {
    if (this.#grant === undefined || this.#grant.sentAtMs !== undefined) return
    sharedRetryBudget.releaseRetry(budgetOf(this.#ctx, this.#call.service), this.#grant)
    this.#grant = undefined
  }

  #log (event: 'repeatGranted' | 'repeatDenied', budget: sharedRetryBudget.SharedRetryBudget): void {
    const options = this.#ctx.budgetOptions()
    const { requests, repeats, limit } = sharedRetryBudget.budgetUse(budget, options, this.#ctx.nowMs())
    this.#ctx.log.emit(event, {
      request: this.#call.id,
      service: this.#call.service,
      requests,
      repeats,
      limit: Math.round(limit * 10) / 10,
      gateways: options.gateways
    })
  }
}

export function noteRequest (ctx: context.GatewayContext, service: string): void {
  sharedRetryBudget.noteRequest(budgetOf(ctx, service), ctx.budgetOptions(), ctx.nowMs())
}

function budgetOf (ctx: context.GatewayContext, service: string): sharedRetryBudget.SharedRetryBudget {
  let budget = ctx.budgets.get(service)
  if (budget === undefined) {
    budget = sharedRetryBudget.createBudget()
    ctx.budgets.set(service, budget)
  }
  return budget
}
