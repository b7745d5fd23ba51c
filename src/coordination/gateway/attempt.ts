/**
 * Sends a call to one backend server and judges what comes back.
 */

import * as backendPool from '../../state/backend-pool.js'
import * as routingTable from '../../state/routing-table.js'
import * as backendCall from './backend-call.js'
import * as wholeResponse from './whole-response.js'
import * as repeats from './retries.js'
import * as streamAttempt from './stream-attempt.js'
import type * as call from './call.js'
import type * as context from './context.js'

/** Connections within a region open within a few ms; a lost first packet is sent again after a second. */
const CONNECT_TIMEOUT_MS = 300
/** A resumable stream moves before clients give up, which is after two seconds without an event. */
const EVENT_PATIENCE_MS = 1_100
/**
 * A request without a response moves after this multiple of the service's usual time. Load pattern: when a whole
 * service is slow, moving a request throws its work away and gains nothing.
 */
const FIRST_RESPONSE_PATIENCE = 4
const MIN_FIRST_PATIENCE_MS = 700

const STALL_CHECK_MS = 100

type StopReason = 'deadline' | 'client' | 'silent'

export async function tryBackend (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, tokens: number,
  progress: streamAttempt.StreamProgress, mayMove: boolean
): Promise<call.AttemptOutcome> {
  const started = ctx.nowMs()
  const watch = new AttemptWatch(ctx, request, backend, mayMove)
  try {
    const outcome = await runAttempt(ctx, request, backend, progress, watch)
    noteOutcome(ctx, request, backend, outcome, watch.stopReason)
    ctx.metrics.attempts.inc({ outcome: outcome.kind })
    ctx.log.emit('attemptEnded', {
      request: request.id,
      backend: backend.row.id,
      outcome: outcome.kind,
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
      ...('status' in outcome ? { status: outcome.status } : {}),
      durationMs: Math.round(ctx.nowMs() - started),
      lastEventId: progress.lastEventId
    })
    return outcome
  } finally {
    watch.close()
    backendPool.noteFinished(backend, tokens)
    ctx.queue.placeWaiting()
  }
}

async function runAttempt (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend,
  progress: streamAttempt.StreamProgress, watch: AttemptWatch
): Promise<call.AttemptOutcome> {
  const result = await backendCall.callBackend({
    address: backend.row.address,
    method: request.request.method ?? 'GET',
    path: request.request.url ?? '/',
    headers: ctx.codec.forwardedHeaders(request.request, {
      backendId: backend.row.id,
      team: request.team,
      remainingMs: request.deadlineAtMs - ctx.nowMs(),
      lastEventId: progress.lastEventId
    }),
    body: request.body,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    signal: watch.signal
  })
  if (result.kind === 'aborted') return watch.outcome(result.wasSent)
  if (result.kind === 'unreachable') return { kind: 'not_run', reason: result.reason, cause: 'unreachable' }
  if (result.kind === 'broken') return { kind: 'failed', reason: result.reason }
  const { response, connection } = result
  const status = response.statusCode ?? 0
  const head = ctx.codec.readResponse(response)
  if (head.load !== undefined) backendPool.noteLoad(backend, head.load, ctx.nowMs())
  const judgement = wholeResponse.checkResponse(request.head.attemptId, status, head)
  if (judgement !== undefined) {
    response.on('error', () => {})
    response.destroy()
    return judgement
  }
  const headers = ctx.codec.returnedHeaders(response)
  if (request.route.isStream && status >= 200 && status < 300) {
    const outcome = await streamAttempt.relayStream(response, {
      response: request.response,
      connection,
      progress,
      headers,
      status,
      nowMs: ctx.nowMs,
      onEvent: () => {
        watch.noteEvent()
        const group = backend.row.group
        if (group !== undefined) backendPool.noteProgress(ctx.pool, group.name, undefined, ctx.nowMs())
      },
      signal: watch.signal
    })
    return outcome.kind === 'failed' && watch.signal.aborted ? watch.outcome(true) : outcome
  }
  const whole = await wholeResponse.readWholeResponse(response, connection)
  if (whole.kind === 'whole') watch.noteEvent()
  if (whole.kind === 'whole') return { kind: 'response', status, headers, body: whole.body, framing: whole.framing }
  return watch.signal.aborted ? watch.outcome(true) : { kind: 'failed', reason: whole.reason }
}

/** Ends an attempt at the deadline, when the client leaves, or when the backend server is silent for too long. */
class AttemptWatch {
  stopReason: StopReason | undefined
  readonly #ctx: context.GatewayContext
  readonly #backend: backendPool.Backend
  readonly #controller = new AbortController()
  readonly #deadlineTimer: NodeJS.Timeout
  readonly #mayMove: boolean
  readonly #sentAtMs: number
  readonly #call: call.Call
  #patienceMs: number
  #hasResponded = false
  readonly #clientSignal: AbortSignal
  readonly #onClientGone: () => void
  #patienceTimer: NodeJS.Timeout | undefined

  constructor (ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, mayMove: boolean) {
    this.#ctx = ctx
    this.#backend = backend
    this.#deadlineTimer = setTimeout(() => { this.#stop('deadline') }, Math.max(0, request.deadlineAtMs - ctx.nowMs()))
    this.#mayMove = mayMove && routingTable.mayRepeat(request.route)
    this.#patienceMs = Math.max(
      MIN_FIRST_PATIENCE_MS, FIRST_RESPONSE_PATIENCE * backendPool.firstResponseMs(ctx.pool, request.service))
    this.#sentAtMs = ctx.nowMs()
    this.#call = request
    this.#clientSignal = request.signal
    this.#onClientGone = () => { this.#stop('client') }
    if (request.signal.aborted) this.#stop('client')
    else request.signal.addEventListener('abort', this.#onClientGone, { once: true })
    this.#waitOn()
  }

  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** An event arrived, or a whole response. */
  noteEvent (): void {
    if (!this.#hasResponded) {
      this.#hasResponded = true
      this.#patienceMs = EVENT_PATIENCE_MS
      backendPool.noteFirstResponse(this.#ctx.pool, this.#call.service, this.#ctx.nowMs() - this.#sentAtMs)
    }
    this.#waitOn()
  }

  #waitOn (): void {
    clearTimeout(this.#patienceTimer)
    if (!this.#mayMove) return
    this.#patienceTimer = setTimeout(() => { this.#moveOn() }, this.#patienceMs)
  }

  /**
   * Ends the attempt only for another one: a rank of a group that stands still as a whole is not at fault itself, and
   * without a repeat left in the budget a late response is better than none.
   */
  #moveOn (): void {
    const isStalled = backendPool.isGroupStalled(this.#ctx.pool, this.#backend, this.#ctx.nowMs())
    if (isStalled) this.#patienceTimer = setTimeout(() => { this.#moveOn() }, STALL_CHECK_MS)
    else if (repeats.hasTimeLeft(this.#ctx, this.#call) && repeats.takeRetry(this.#ctx, this.#call)) this.#stop('silent')
    else this.#waitOn()
  }

  outcome (wasSent: boolean): call.AttemptOutcome {
    if (this.stopReason === 'client') return { kind: 'client_gone' }
    if (this.stopReason === 'deadline') return { kind: 'timed_out', wasSent }
    return wasSent
      ? { kind: 'failed', reason: 'the backend server is silent', isRetryGranted: this.stopReason === 'silent' }
      : { kind: 'not_run', reason: 'no connection in time', cause: 'unreachable' }
  }

  close (): void {
    clearTimeout(this.#deadlineTimer)
    clearTimeout(this.#patienceTimer)
    this.#clientSignal.removeEventListener('abort', this.#onClientGone)
  }

  #stop (reason: StopReason): void {
    this.stopReason ??= reason
    this.#controller.abort()
  }
}

function noteOutcome (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, outcome: call.AttemptOutcome,
  stopReason: StopReason | undefined
): void {
  const verdict = verdictOf(outcome)
  if (verdict === undefined) return
  if (backendPool.noteResult(ctx.pool, backend, verdict, ctx.nowMs())) {
    ctx.log.emit('backendEjected', {
      backend: backend.row.id, untilInMs: Math.round(backend.ejectedUntilMs - ctx.nowMs()), request: request.id
    })
  }
  // A connection that breaks under a request may be a crash of the backend server that the request caused.
  if (outcome.kind === 'failed' && stopReason === undefined) ctx.onBrokenConnection(request.fingerprint, backend.row)
}

function verdictOf (outcome: call.AttemptOutcome): backendPool.AttemptResult | undefined {
  switch (outcome.kind) {
    case 'delivered': return 'succeeded'
    case 'response': return outcome.status >= 500 ? 'failed' : 'succeeded'
    case 'not_run': return outcome.cause
    case 'failed': return 'failed'
    case 'timed_out':
    case 'client_gone': return undefined
  }
}
