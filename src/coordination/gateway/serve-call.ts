/**
 * Handles one request of a client: reads and admits it, and has it offered to backend servers.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as routingTable from '../../state/routing-table.js'
import * as waitQueue from '../../state/wait-queue.js'
import * as requestBody from '../../transport/request-body.js'
import * as callEnd from './call-end.js'
import * as offerCall from './offer-call.js'
import * as retries from './retries.js'
import * as replies from './reply.js'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as crashSuspects from '../../state/crash-suspects.js'
import type * as heldBytes from '../../transport/held-bytes.js'
import type * as callModule from './call.js'
import type * as context from './context.js'

/** Time reserved before the client's deadline for the response to reach the client. */
const RESPONSE_TRANSIT_MS = 10
/** Time to the deadline of a client that doesn't state how long it waits. */
const DEFAULT_REMAINING_MS = 30_000
/** Timers can't be longer than 24 days. */
const MAX_REMAINING_MS = 86_400_000
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
  const { maxBodyBytes } = routing.configuration.limits
  if (requestBody.isDeclaredTooLarge(request, maxBodyBytes)) {
    reply.reject(413, 'body_too_large')
    return
  }
  const target = findTarget(routing, request, head)
  if (target.kind === 'rejected') {
    reply.reject(target.status, target.reason)
    return
  }
  // A request whose body is not there by the route's timeout can't be served any more.
  const timeoutMs = Math.min(remainingMsOf(head), target.route.timeoutMs)
  const body = await requestBody.readBody(request, { maxBytes: maxBodyBytes, timeoutMs, signal })
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
  if (body.kind === 'no_memory') {
    const remainingMs = arrivedAtMs + remainingMsOf(head) - ctx.nowMs()
    reply.refuse('no_memory', waitQueue.retryAfterMs(undefined, remainingMs, ctx.random()))
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
  if (ctx.shutdown.latestAcceptMs(call) < ctx.nowMs()) {
    reply.refuse('process_stopping', ctx.shutdown.retryAfterMs(call.clientDeadlineAtMs - ctx.nowMs()))
    return
  }
  retries.noteRequest(ctx, call.service)
  try {
    await offerCall.offerCall(ctx, call, reply)
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
  body: heldBytes.HeldBytes
  arrivedAtMs: number
  signal: AbortSignal
}

interface Rejection {
  kind: 'rejected'
  status: number
  reason: string
}

interface Target {
  kind: 'target'
  route: routingTable.Route
  /** Undefined for a public route. */
  team: routingTable.Team | undefined
}

/** What the head of a request says about where it goes. */
function findTarget (
  routing: routingTable.RoutingTable, request: http.IncomingMessage, head: callCodec.CallHead
): Target | Rejection {
  const path = (request.url ?? '/').split('?')[0]!
  const route = routingTable.findRoute(routing, request.headers.host ?? '', path)
  if (route === undefined) return { kind: 'rejected', status: 404, reason: 'no_route' }
  const team = routingTable.findTeam(routing, route, head.key)
  if (team.kind === 'unknown_key') return { kind: 'rejected', status: 401, reason: 'unknown_key' }
  return { kind: 'target', route, team: team.kind === 'team' ? team.team : undefined }
}

type Admission =
  | { kind: 'admitted', call: callModule.Call }
  | Rejection

/** @param routing the configuration may have changed while the body arrived. */
function admit (ctx: context.GatewayContext, routing: routingTable.RoutingTable, received: ReceivedRequest): Admission {
  const { request, head, arrivedAtMs } = received
  const target = findTarget(routing, request, head)
  if (target.kind === 'rejected') return target
  const { route, team } = target
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
      team: team?.name,
      priority: team?.priority ?? route.priority,
      deadlineAtMs: Math.min(clientDeadlineAtMs, arrivedAtMs + route.timeoutMs) - RESPONSE_TRANSIT_MS,
      clientDeadlineAtMs,
      features: featuresOf(received, service),
      retries: new retries.CallRetries(ctx, { id: head.attemptId ?? 'none', service })
    }
  }
}

/** Bytes of a body that tell requests apart. */
const HASHED_BODY_BYTES = 4_096
/** Parts that a request is known by. They are kept for a while after it has run. */
const MAX_KNOWN_PARTS = 64
/** A longer name is known by its hash. */
const MAX_PART_NAME_CHARACTERS = 64

function featuresOf ({ request, head, body }: ReceivedRequest, service: string): crashSuspects.Features {
  const hash = crypto.createHash('sha1')
    .update(`${head.key ?? ''} ${request.method ?? ''} ${request.url ?? ''} ${head.sharedPartIds.join()} `)
    .update(body.first(HASHED_BODY_BYTES))
  return {
    request: `request ${hash.digest('base64url')}`,
    parts: [...new Set(head.sharedPartIds)].slice(0, MAX_KNOWN_PARTS).map(id => `part ${service} ${shortName(id)}`)
  }
}

function shortName (id: string): string {
  return id.length <= MAX_PART_NAME_CHARACTERS ? id : crypto.createHash('sha1').update(id).digest('base64url')
}
