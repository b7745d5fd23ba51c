/**
 * Offers an admitted request to backend servers, to further ones as long as that is safe, and sends the final response.
 * What runs is kept until another backend server has responded.
 */

import * as timers from 'node:timers/promises'
import * as backendPool from '../../state/backend-pool.js'
import * as routingTable from '../../state/routing-table.js'
import * as serviceTimes from '../../state/service-times.js'
import * as streamPace from '../../state/stream-pace.js'
import * as callTimes from './call-times.js'
import * as callEnd from './call-end.js'
import * as callHistory from './call-history.js'
import * as retries from './retries.js'
import * as runningAttempts from './running-attempts.js'
import * as shutdown from './shutdown.js'
import * as streamAttempt from './stream-attempt.js'
import type * as callModule from './call.js'
import type * as context from './context.js'
import type * as replies from './reply.js'

/** Most first responses arrive within this multiple of the smoothed time to the first response. */
const RESPONSE_SPREAD = 1.5
/** A request that was declined is not offered to further backend servers after this many attempts. */
const MAX_OFFERS = 6
/** Delay before a request that a backend server did not accept is sent to another one. */
const OFFER_RETRY_DELAY_MS = 15

/** A request that is being offered. */
interface Offer {
  ctx: context.GatewayContext
  call: callModule.Call
  history: callHistory.CallHistory
  running: runningAttempts.RunningAttempts
  reply: replies.Reply
  /** Expected time at a backend server. */
  serviceMs: number
  /** Sum of prompt and expected output tokens. */
  tokens: number
}

export async function offerCall (
  ctx: context.GatewayContext, call: callModule.Call, reply: replies.Reply
): Promise<void> {
  const history = callHistory.createHistory(call.head.lastEventId)
  const running = new runningAttempts.RunningAttempts(ctx, call)
  const tokens = call.head.promptTokens +
    (call.engine === undefined ? 0 : callTimes.expectedOutputTokens(call.head, call.engine))
  try {
    await offerUntilDone({
      ctx, call, history, running, reply, tokens, serviceMs: callTimes.expectedServiceMs(call)
    })
  } finally {
    running.stop()
    const isWhole = history.isDelivered && call.head.lastEventId === undefined
    if (history.timing !== undefined) serviceTimes.noteEnded(ctx.shutdown.times, history.timing, isWhole, ctx.nowMs())
    if (history.stream !== undefined) streamPace.noteEnded(ctx.shutdown.paces, history.stream, ctx.nowMs())
  }
}

async function offerUntilDone (offer: Offer): Promise<void> {
  const { call, running } = offer
  for (;;) {
    // While a further attempt was delayed, what runs may have responded or ended.
    if (running.wantsAnother) {
      const found = await findPlace(offer)
      if (found.kind === 'placed') startAttempt(offer, found)
      else if (running.isIdle) {
        found.endCall()
        return
      } else call.retries.close()
    }
    const next = await untilNextStep(offer)
    if (next === 'done') return
    if (next === 'again_later') await timers.setTimeout(OFFER_RETRY_DELAY_MS)
  }
}

interface FoundPlace {
  kind: 'placed'
  backend: backendPool.Backend
  /** Suspected features that the request tries out. */
  tried: readonly string[]
  waitedMs: number
}

/** Why there is no place; the call ends with it if nothing runs. */
interface NoPlace {
  kind: 'none'
  endCall: () => void
}

/** Waits for a free slot, no longer than another attempt is wanted. */
async function findPlace (offer: Offer): Promise<FoundPlace | NoPlace> {
  const { ctx, call, history, reply, running, tokens } = offer
  const signal = running.searchSignal()
  const candidate = { ...call, signal }
  for (;;) {
    const latestMs = latestStartMs(offer)
    const entered = await ctx.suspects.enter(candidate, () => Math.min(latestMs, latestStartInShutdownMs(offer)))
    if (entered !== 'open') {
      return { kind: 'none', endCall: () => { callEnd.endSuspected(call, history, reply, entered) } }
    }
    const queuedAtMs = ctx.nowMs()
    // A request that was held back until another one was answered may no longer fit into the shutdown.
    if (latestStartInShutdownMs(offer) < queuedAtMs) {
      ctx.suspects.leave(candidate)
      const retryAfterMs = ctx.shutdown.retryAfterMs(call.clientDeadlineAtMs - queuedAtMs)
      return {
        kind: 'none', endCall: () => { callEnd.giveUp(call, history, reply, 'process_stopping', retryAfterMs) }
      }
    }
    const firstResponseMs = backendPool.firstResponseMs(ctx.pool, call.service)
    const placed = await ctx.queue.acquire({
      call: {
        id: call.id,
        priority: call.priority,
        arrivedAtMs: call.arrivedAtMs,
        latestTimelyStartMs: call.arrivedAtMs + call.route.targetLatencyMs - firstResponseMs * RESPONSE_SPREAD,
        latestStartMs: latestStartMs(offer),
        clientDeadlineAtMs: call.clientDeadlineAtMs,
        isReturning: isReturning(call)
      },
      service: call.service,
      excluded: history.excluded,
      ...(running.count === 0 ? {} : { running: new Set(running.backendIds) }),
      tokens,
      latestStartMs: () => latestStartMs(offer),
      signal
    })
    if (placed.kind !== 'placed') {
      ctx.suspects.leave(candidate)
      return {
        kind: 'none',
        endCall: () => {
          if (placed.kind === 'aborted') callEnd.endWaiting(call, history, reply)
          else callEnd.giveUp(call, history, reply, placed.reason, placed.retryAfterMs)
        }
      }
    }
    const { backend } = placed
    const tried = signal.aborted ? undefined : ctx.suspects.start(candidate)
    if (tried !== undefined) return { kind: 'placed', backend, tried, waitedMs: Math.round(ctx.nowMs() - queuedAtMs) }
    backendPool.noteFinished(backend, tokens)
    ctx.queue.placeWaiting()
    if (signal.aborted) {
      ctx.suspects.leave(candidate)
      return { kind: 'none', endCall: () => { callEnd.endWaiting(call, history, reply) } }
    }
  }
}

function startAttempt (offer: Offer, { backend, tried, waitedMs }: FoundPlace): void {
  const { ctx, call, history, running, serviceMs, tokens } = offer
  ctx.log.emit('backendChosen', {
    request: call.id,
    route: call.route.name,
    team: call.team,
    backend: backend.row.id,
    waitedMs,
    configurationVersion: ctx.routing()?.configuration.version,
    running: backend.load?.running,
    ownInFlight: backend.inFlight,
    loadAgeMs: backend.load === undefined ? undefined : Math.round(ctx.nowMs() - backend.loadAtMs),
    remainingMs: Math.round(call.deadlineAtMs - ctx.nowMs()),
    lastEventId: history.progress.lastEventId,
    overdueAt: running.count === 0 ? undefined : running.backendIds
  })
  // Nothing has reached the client yet, and under high load a second place would be one that another request lacks.
  if (call.route.isStream && !history.progress.hasHead) running.stop()
  call.retries.noteSent()
  history.timing ??= serviceTimes.noteStarted(ctx.shutdown.times, call.route.name, serviceMs, ctx.nowMs())
  if (call.engine !== undefined && call.route.isStream) {
    history.stream ??= streamPace.noteStarted(
      ctx.shutdown.paces, call.service, callTimes.statedIntervalMs(call.engine), history.progress
    )
  }
  running.start(backend, { tokens, progress: history.progress, tried })
}

/**
 * Latest time to start the request so that the client still gets a result: before its deadline and, for a stream,
 * before the client gives up because no event arrives.
 */
function latestStartMs (offer: Offer): number {
  const { ctx, call, history, serviceMs } = offer
  const byDeadlineMs = Math.min(
    call.deadlineAtMs - Math.max(0, serviceMs - servedMs(history)), latestStartInShutdownMs(offer)
  )
  if (!call.route.isStream) return byDeadlineMs
  const lastEventAtMs = history.progress.lastEventAtMs ?? call.arrivedAtMs
  const firstResponseMs = backendPool.firstResponseMs(ctx.pool, call.service)
  return Math.min(byDeadlineMs, lastEventAtMs + routingTable.clientStreamTimeoutMs(call.route) - firstResponseMs)
}

function latestStartInShutdownMs ({ ctx, call, history }: Offer): number {
  return history.progress.hasHead
    ? ctx.shutdown.latestContinuationMs(call, servedMs(history))
    : ctx.shutdown.latestStartMs(call)
}

/** Time in which a stream that goes on elsewhere has got this far; the rest needs as much less. */
function servedMs ({ progress, timing }: callHistory.CallHistory): number {
  if (!progress.hasHead || progress.lastEventAtMs === undefined || timing === undefined) return 0
  return progress.lastEventAtMs - timing.startedAtMs
}

/**
 * A request that arrives with less than this fraction of the route's time left is a client's retry: a first attempt has
 * nearly all of it.
 */
const RETRY_REMAINING_FRACTION = 0.9

function isReturning (call: callModule.Call): boolean {
  return call.clientDeadlineAtMs - call.arrivedAtMs < call.route.timeoutMs * RETRY_REMAINING_FRACTION ||
    call.head.lastEventId !== undefined
}

/** `wait`: what runs may still respond. */
type NextStep = 'done' | 'again' | 'again_later' | 'wait'

/** Waits until another attempt is to be started or the request is done. */
async function untilNextStep (offer: Offer): Promise<Exclude<NextStep, 'wait'>> {
  for (;;) {
    const event = await offer.running.next()
    const next = event.kind === 'overdue' ? handleOverdue(offer) : handleOutcome(offer, event.outcome, event.backendId)
    if (next !== 'wait') return next
  }
}

/** A late response is better than none, so that without a further attempt what runs is kept. */
function handleOverdue (offer: Offer): NextStep {
  const { ctx, call, history, running } = offer
  if (history.progress.hasHead) ctx.shutdown.noteOverdueStream()
  const mayOffer = mayRunAgain(offer) && history.offers < MAX_OFFERS
  if (!running.areOverdue || !mayOffer || !retries.hasTimeLeft(ctx, call)) return 'wait'
  if (!call.retries.take()) {
    running.restartSilence()
    return 'wait'
  }
  running.blameSilent()
  for (const backendId of running.backendIds) history.excluded.add(backendId)
  return 'again'
}

function handleOutcome (offer: Offer, outcome: callModule.AttemptOutcome, backendId: string): NextStep {
  const { call, history, reply, running } = offer
  history.offers += 1
  switch (outcome.kind) {
    case 'delivered':
      history.isDelivered = true
      reply.delivered(outcome.status, call.route, history.progress)
      return 'done'
    case 'client_gone':
      reply.clientGone('while a backend server worked')
      return 'done'
    case 'timed_out':
      reply.timedOut(
        outcome.wasSent || history.runs + running.supersededRuns + running.count > 0,
        shutdown.isStopping(call.signal) ? 'process_stopping' : 'deadline'
      )
      return 'done'
    case 'response':
      if (outcome.status < 500 && !history.progress.hasHead) {
        history.isDelivered = true
        reply.forwardResponse(outcome, call.route, history.progress)
        return 'done'
      }
      history.runs += 1
      history.failedResponse = outcome
      history.lastFailure = `status ${outcome.status}`
      history.excluded.add(backendId)
      return retryOrEnd(offer)
    case 'not_run':
      history.lastFailure = outcome.reason
      history.excluded.add(backendId)
      if (outcome.cause === 'unreachable') call.retries.noteUnreachable()
      return offerAgainOrEnd(offer, outcome.cause === 'unreachable')
    case 'failed':
      history.runs += 1
      history.lastFailure = outcome.reason
      history.excluded.add(backendId)
      return retryOrEnd(offer)
    case 'superseded':
      return 'wait'
  }
}

/** Whether the request may be run by another backend server besides those that have run it or still do. */
function mayRunAgain ({ call, history, running }: Offer): boolean {
  const runs = history.runs + running.supersededRuns + running.count
  return routingTable.mayRepeat(call.route) && runs < call.route.maxServers &&
    streamAttempt.canContinue(history.progress)
}

/** Continues after an attempt that may have run. */
function retryOrEnd (offer: Offer): NextStep {
  const { ctx, call, history, reply, running } = offer
  const isWanted = running.count === 0 || running.areOverdue
  if (isWanted && mayRunAgain(offer) && retries.hasTimeLeft(ctx, call) && call.retries.take()) return 'again'
  if (running.count > 0) return 'wait'
  callEnd.sendFailure(history, reply)
  return 'done'
}

/**
 * Continues after an attempt that has certainly not run. If it did not reach a backend server, no retry is taken from
 * the budget.
 */
function offerAgainOrEnd (offer: Offer, wasUnreachable: boolean): NextStep {
  const { ctx, call, history, reply, running } = offer
  const isWanted = running.count === 0 || (running.areOverdue && mayRunAgain(offer))
  const mayOffer = isWanted && history.offers < MAX_OFFERS && retries.hasTimeLeft(ctx, call)
  if (mayOffer && (wasUnreachable || call.retries.take())) return 'again_later'
  if (running.count > 0) return 'wait'
  callEnd.giveUp(call, history, reply, 'not_taken', 200)
  return 'done'
}
