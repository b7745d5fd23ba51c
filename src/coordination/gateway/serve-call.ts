/**
 * Handles one request of a client: admits it, queues it for a backend server, tries further backend servers as long as
 * that is safe, and sends the final response.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as routingTable from '../../state/routing-table.js'
import * as backendPool from '../../state/backend-pool.js'
import * as serviceTimes from '../../state/service-times.js'
import * as waitQueue from '../../state/wait-queue.js'
import * as attempt from './attempt.js'
import * as callModule from './call.js'
import * as callEnd from './call-end.js'
import * as callHistory from './call-history.js'
import * as readBody from './read-body.js'
import * as retries from './retries.js'
import * as replies from './reply.js'
import * as shutdown from './shutdown.js'
import * as streamAttempt from './stream-attempt.js'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as crashSuspects from '../../state/crash-suspects.js'
import type * as context from './context.js'

/** Time reserved before the client's deadline for the response to reach the client. */
const RESPONSE_TRANSIT_MS = 10
/** Time to the deadline of a client that doesn't state how long it waits. */
const DEFAULT_REMAINING_MS = 30_000
/** Timers can't be longer than 24 days. */
const MAX_REMAINING_MS = 86_400_000
/** Most first responses arrive within this multiple of the smoothed time to the first response. */
const RESPONSE_SPREAD = 1.5
/** A request that was declined is not offered to further backend servers after this many attempts. */
const MAX_OFFERS = 6
/** Delay before a request that a backend server did not accept is sent to another one. */
const OFFER_RETRY_DELAY_MS = 15

export async function serveCall (
  ctx: context.GatewayContext, request: http.IncomingMessage, response: http.ServerResponse
): Promise<void> {
  const arrivedAtMs = ctx.nowMs()
  const head = ctx.codec.readRequest(request)
  const reply = new replies.Reply(ctx, response, head.attemptId ?? 'none', arrivedAtMs)
  const signal = ctx.shutdown.open(response)
  const routing = ctx.routing()
  if (routing === undefined) {
    // It is unknown when the configuration arrives, and the client may retry only once.
    const remainingMs = remainingMsOf(head)
    reply.refuse('no_configuration', waitQueue.retryAfterMs(undefined, remainingMs, ctx.random()))
    return
  }
  const limits = routing.configuration.limits
  const body = await readBody.readBody(request, limits.maxBodyBytes, remainingMsOf(head), signal)
  if (body.kind === 'aborted') {
    callEnd.endAborted(signal, reply, false, 'before the request was complete')
    return
  }
  if (body.kind === 'too_large') {
    reply.reject(413, 'body_too_large')
    return
  }
  if (body.kind === 'too_slow') {
    reply.reject(408, 'body_too_slow')
    return
  }
  const admission = admit(ctx, ctx.routing() ?? routing, {
    request, response, head, body: body.body, arrivedAtMs, signal
  })
  if (admission.kind === 'rejected') {
    reply.reject(admission.status, admission.reason)
    return
  }
  const { call } = admission
  if (ctx.shutdown.latestStartMs(call, callModule.expectedServiceMs(call)) < ctx.nowMs()) {
    reply.refuse('process_stopping', ctx.shutdown.retryAfterMs(call.clientDeadlineAtMs - ctx.nowMs()))
    return
  }
  retries.noteRequest(ctx, call.service)
  try {
    await runCall(ctx, call, reply)
  } finally {
    call.retries.close()
  }
}

function remainingMsOf (head: callCodec.CallHead): number {
  return Math.min(head.remainingMs ?? DEFAULT_REMAINING_MS, MAX_REMAINING_MS)
}

interface ReceivedRequest {
  request: http.IncomingMessage
  response: http.ServerResponse
  head: callCodec.CallHead
  body: Buffer
  arrivedAtMs: number
  signal: AbortSignal
}

type Admission =
  | { kind: 'admitted', call: callModule.Call }
  | { kind: 'rejected', status: number, reason: string }

function admit (ctx: context.GatewayContext, routing: routingTable.RoutingTable, received: ReceivedRequest): Admission {
  const { request, head, arrivedAtMs } = received
  const path = (request.url ?? '/').split('?')[0]!
  const route = routingTable.findRoute(routing, request.headers.host ?? '', path)
  if (route === undefined) return { kind: 'rejected', status: 404, reason: 'no_route' }
  const team = routingTable.findTeam(routing, route, head.key)
  if (team.kind === 'unknown_key') return { kind: 'rejected', status: 401, reason: 'unknown_key' }
  const service = routingTable.chooseTarget(route, ctx.random())
  if (service === undefined) return { kind: 'rejected', status: 502, reason: 'route_without_service' }
  const clientDeadlineAtMs = arrivedAtMs + remainingMsOf(head)
  return {
    kind: 'admitted',
    call: {
      ...received,
      id: head.attemptId ?? 'none',
      route,
      service,
      engine: routing.services.get(service)?.engine,
      team: team.kind === 'team' ? team.team.name : undefined,
      priority: (team.kind === 'team' ? team.team.priority : undefined) ?? route.priority,
      deadlineAtMs: Math.min(clientDeadlineAtMs, arrivedAtMs + route.timeoutMs) - RESPONSE_TRANSIT_MS,
      clientDeadlineAtMs,
      features: featuresOf(received, service),
      retries: new retries.CallRetries(ctx, { id: head.attemptId ?? 'none', service })
    }
  }
}

/** Bytes of a body that tell requests apart. */
const HASHED_BODY_BYTES = 4_096

function featuresOf ({ request, head, body }: ReceivedRequest, service: string): crashSuspects.Features {
  const hash = crypto.createHash('sha1')
    .update(`${head.key ?? ''} ${request.method ?? ''} ${request.url ?? ''} ${head.sharedPartIds.join()} `)
    .update(body.subarray(0, HASHED_BODY_BYTES))
  return {
    request: `request ${hash.digest('base64url')}`,
    parts: [...new Set(head.sharedPartIds)].map(id => `part ${service} ${id}`)
  }
}

async function runCall (ctx: context.GatewayContext, call: callModule.Call, reply: replies.Reply): Promise<void> {
  const history = callHistory.createHistory(call.head.lastEventId)
  try {
    await offerUntilDone(ctx, call, history, reply)
  } finally {
    const isWhole = history.isDelivered && call.head.lastEventId === undefined
    if (history.timing !== undefined) serviceTimes.noteEnded(ctx.shutdown.times, history.timing, isWhole, ctx.nowMs())
  }
}

async function offerUntilDone (
  ctx: context.GatewayContext, call: callModule.Call, history: callHistory.CallHistory, reply: replies.Reply
): Promise<void> {
  const tokens = call.head.promptTokens +
    (call.engine === undefined ? 0 : callModule.expectedOutputTokens(call.head, call.engine))
  const serviceMs = callModule.expectedServiceMs(call)
  for (;;) {
    const entered = await ctx.suspects.enter(call, latestStartMs(ctx, call, history, serviceMs))
    if (entered !== 'open') {
      callEnd.endSuspected(call, history, reply, entered)
      return
    }
    const queuedAtMs = ctx.nowMs()
    // A request that was held back until another one was answered may no longer fit into the shutdown.
    if (ctx.shutdown.latestStartMs(call, serviceMs) < queuedAtMs) {
      ctx.suspects.leave(call)
      const retryAfterMs = ctx.shutdown.retryAfterMs(call.clientDeadlineAtMs - queuedAtMs)
      callEnd.giveUp(call, history, reply, 'process_stopping', retryAfterMs)
      return
    }
    const firstResponseMs = backendPool.firstResponseMs(ctx.pool, call.service)
    const placed = await ctx.queue.acquire({
      call: {
        id: call.id,
        priority: call.priority,
        arrivedAtMs: call.arrivedAtMs,
        latestTimelyStartMs: call.arrivedAtMs + call.route.targetLatencyMs - firstResponseMs * RESPONSE_SPREAD,
        latestStartMs: latestStartMs(ctx, call, history, serviceMs),
        clientDeadlineAtMs: call.clientDeadlineAtMs,
        isReturning: isReturning(call)
      },
      service: call.service,
      excluded: history.excluded,
      tokens,
      latestStartMs: () => latestStartMs(ctx, call, history, serviceMs),
      signal: call.signal
    })
    if (placed.kind !== 'placed') ctx.suspects.leave(call)
    if (placed.kind === 'aborted') {
      callEnd.endWaiting(call, history, reply)
      return
    }
    if (placed.kind === 'refused') {
      callEnd.giveUp(call, history, reply, placed.reason, placed.retryAfterMs)
      return
    }
    const { backend } = placed
    const tried = ctx.suspects.start(call)
    if (tried === undefined) {
      backendPool.noteFinished(backend, tokens)
      ctx.queue.placeWaiting()
      continue
    }
    ctx.log.emit('backendChosen', {
      request: call.id,
      route: call.route.name,
      team: call.team,
      backend: backend.row.id,
      waitedMs: Math.round(ctx.nowMs() - queuedAtMs),
      configurationVersion: ctx.routing()?.configuration.version,
      running: backend.load?.running,
      ownInFlight: backend.inFlight,
      loadAgeMs: backend.load === undefined ? undefined : Math.round(ctx.nowMs() - backend.loadAtMs),
      remainingMs: Math.round(call.deadlineAtMs - ctx.nowMs()),
      lastEventId: history.progress.lastEventId
    })
    call.retries.noteSent()
    history.timing ??= serviceTimes.noteStarted(ctx.shutdown.times, call.route.name, serviceMs, ctx.nowMs())
    const outcome = await attempt.tryBackend(
      ctx, call, backend, tokens, history.progress, history.runs + 1 < call.route.maxServers, tried
    )
    const next = handleOutcome(ctx, call, history, outcome, backend.row.id, reply)
    if (next === 'done') return
    if (next === 'again_later') await new Promise(resolve => { setTimeout(resolve, OFFER_RETRY_DELAY_MS) })
  }
}

/**
 * Latest time to start the request so that the client still gets a result: before its deadline and, for a stream,
 * before the client gives up because no event arrives.
 */
function latestStartMs (
  ctx: context.GatewayContext, call: callModule.Call, history: callHistory.CallHistory, serviceMs: number
): number {
  const byDeadlineMs = Math.min(call.deadlineAtMs - serviceMs, ctx.shutdown.latestStartMs(call, serviceMs))
  if (!call.route.isStream) return byDeadlineMs
  const lastEventAtMs = history.progress.lastEventAtMs ?? call.arrivedAtMs
  const firstResponseMs = backendPool.firstResponseMs(ctx.pool, call.service)
  return Math.min(byDeadlineMs, lastEventAtMs + routingTable.clientStreamTimeoutMs(call.route) - firstResponseMs)
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

type NextStep = 'done' | 'again' | 'again_later'

function handleOutcome (
  ctx: context.GatewayContext, call: callModule.Call, history: callHistory.CallHistory,
  outcome: callModule.AttemptOutcome, backendId: string, reply: replies.Reply
): NextStep {
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
        outcome.wasSent || history.runs > 0, shutdown.isStopping(call.signal) ? 'process_stopping' : 'deadline'
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
      return retryOrEnd(ctx, call, history, reply)
    case 'not_run':
      history.lastFailure = outcome.reason
      history.excluded.add(backendId)
      if (outcome.cause === 'unreachable') call.retries.noteUnreachable()
      return offerAgainOrEnd(ctx, call, history, reply, outcome.cause === 'unreachable')
    case 'failed':
      history.runs += 1
      history.lastFailure = outcome.reason
      history.excluded.add(backendId)
      return retryOrEnd(ctx, call, history, reply, outcome.isRetryGranted)
  }
}

/** Continues after an attempt that may have run. @param isGranted whether the budget already granted the retry. */
function retryOrEnd (
  ctx: context.GatewayContext, call: callModule.Call, history: callHistory.CallHistory, reply: replies.Reply,
  isGranted = false
): NextStep {
  const mayRun = routingTable.mayRepeat(call.route) && history.runs < call.route.maxServers &&
    streamAttempt.canContinue(history.progress)
  if (mayRun && isGranted) return 'again'
  if (mayRun && retries.hasTimeLeft(ctx, call) && call.retries.take()) return 'again'
  callEnd.sendFailure(history, reply)
  return 'done'
}

/**
 * Continues after an attempt that has certainly not run. If it did not reach a backend server, no retry is taken from
 * the budget.
 */
function offerAgainOrEnd (
  ctx: context.GatewayContext, call: callModule.Call, history: callHistory.CallHistory, reply: replies.Reply,
  wasUnreachable: boolean
): NextStep {
  const mayOffer = history.offers < MAX_OFFERS && retries.hasTimeLeft(ctx, call)
  if (mayOffer && (wasUnreachable || call.retries.take())) return 'again_later'
  callEnd.giveUp(call, history, reply, 'not_taken', 200)
  return 'done'
}
