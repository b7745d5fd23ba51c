/**
 * Sends a call to one backend server and determines the outcome of the attempt.
 */

import type * as http from 'node:http'
import * as answerEnd from '../../transport/answer-end.js'
import * as availability from '../../state/availability.js'
import * as backendPool from '../../state/backend-pool.js'
import * as rankSilence from '../../state/rank-silence.js'
import * as routingTable from '../../state/routing-table.js'
import * as backendCall from './backend-call.js'
import * as wholeResponse from './whole-response.js'
import * as retries from './retries.js'
import * as shutdown from './shutdown.js'
import * as streamAttempt from './stream-attempt.js'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as call from './call.js'
import type * as context from './context.js'

/** A connection within a region opens within a few ms; a lost first packet is retransmitted only after a second. */
const CONNECT_TIMEOUT_MS = 300
/**
 * A silent resumable stream is moved to another backend server before clients give up, which they do after two seconds
 * without an event.
 */
const EVENT_TIMEOUT_MS = 1_100
/**
 * A request without a response is sent to another backend server after this multiple of the service's usual time. When
 * the whole service is slow, for example under high load, moving a request discards its work and gains nothing.
 */
const FIRST_RESPONSE_TIMEOUT_FACTOR = 4
const MIN_FIRST_RESPONSE_TIMEOUT_MS = 700

/** A request at a rank whose host has stopped is moved after this time, whatever the usual time is. */
const STOPPED_HOST_TIMEOUT_MS = 700

/** Interval at which a silent attempt is checked again. */
const SILENCE_CHECK_MS = 100

type StopReason = 'deadline' | 'client' | 'silent'

export async function tryBackend (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, tokens: number,
  progress: streamAttempt.StreamProgress, isRetryAllowed: boolean, tried: readonly string[]
): Promise<call.AttemptOutcome> {
  const startedAtMs = ctx.nowMs()
  const watch = new AttemptWatch(ctx, request, backend, isRetryAllowed)
  const isResumed = progress.lastEventId !== undefined
  try {
    const outcome = await runAttempt(ctx, request, backend, progress, watch)
    noteOutcome(ctx, request, backend, outcome)
    if (outcome.kind !== 'not_run') ctx.suspects.noteRun(request, backend.row, ctx.nowMs() - startedAtMs)
    // A stream that goes on where an earlier attempt broke off shows nothing of what crashed that one.
    if (watch.hasEndedWhole && !isResumed) ctx.suspects.noteWhole(request)
    if (outcome.kind === 'failed' && watch.stopReason === undefined) {
      const noted = ctx.suspects.noteBroken(request, backend.row, tried, watch.hasResponded)
      // Before a response, the next attempt depends on whether this request may have crashed the backend server.
      if (!watch.hasResponded) await noted
      else noted.catch((error: Error) => { ctx.log.emit('requestFault', { request: request.id, detail: error.stack }) })
    }
    ctx.metrics.attempts.inc({ outcome: outcome.kind })
    ctx.log.emit('attemptEnded', {
      request: request.id,
      backend: backend.row.id,
      outcome: outcome.kind,
      ...('reason' in outcome ? { reason: outcome.reason } : {}),
      ...('status' in outcome ? { status: outcome.status } : {}),
      durationMs: Math.round(ctx.nowMs() - startedAtMs),
      lastEventId: progress.lastEventId
    })
    return outcome
  } finally {
    watch.close()
    ctx.suspects.end(tried)
    backendPool.noteFinished(backend, tokens)
    ctx.queue.placeWaiting()
  }
}

async function runAttempt (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend,
  progress: streamAttempt.StreamProgress, watch: AttemptWatch
): Promise<call.AttemptOutcome> {
  const sentAtMs = ctx.nowMs()
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
  const { response, request: sent } = result
  const status = response.statusCode ?? 0
  const head = ctx.codec.readResponse(response)
  ctx.limits.noteResponse(backend.row, wholeResponse.statedLimit(request.head.attemptId, head), sentAtMs)
  if (!wholeResponse.isOfAnotherRequest(request.head.attemptId, head)) noteHead(ctx, request, backend, head)
  const rejection = wholeResponse.checkResponse(request.head.attemptId, status, head)
  if (rejection !== undefined) {
    dropResponse(response)
    return rejection
  }
  const headers = ctx.codec.returnedHeaders(response)
  if (request.route.isStream && status >= 200 && status < 300) {
    const problem = streamAttempt.continuationProblem(response, progress)
    if (problem !== undefined) {
      dropResponse(response)
      return { kind: 'failed', reason: problem }
    }
    const outcome = await streamAttempt.relayStream(response, {
      response: request.response,
      request: sent,
      progress,
      headers: ctx.shutdown.isDraining ? [...headers, 'Connection', 'close'] : headers,
      status,
      nowMs: ctx.nowMs,
      onEvent: () => {
        watch.noteEvent()
        const group = backend.row.group
        if (group !== undefined) backendPool.noteProgress(ctx.pool, group.name, undefined, ctx.nowMs())
      },
      signal: watch.signal
    })
    watch.hasEndedWhole = outcome.kind === 'delivered' && answerEnd.hasFraming(response)
    return outcome.kind === 'failed' && watch.signal.aborted ? watch.outcome(true) : outcome
  }
  const whole = await wholeResponse.readWholeResponse(sent, response, ctx.responseBuffers)
  if (whole.kind === 'whole') {
    watch.noteEvent()
    watch.hasEndedWhole = status < 500 && whole.framing === 'length'
  }
  if (whole.kind === 'whole') return { kind: 'response', status, headers, body: whole.body, framing: whole.framing }
  return watch.signal.aborted ? watch.outcome(true) : { kind: 'failed', reason: whole.reason }
}

/** Applies what a response says about its backend server. */
function noteHead (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, head: callCodec.ResponseHead
): void {
  if (head.load !== undefined) backendPool.noteLoad(backend, head.load, ctx.nowMs())
  if (head.isLeaving) ctx.onLeaving(backend.row)
  if (head.pauseMs !== undefined) {
    availability.notePause(backend, head.pauseMs, ctx.nowMs())
    ctx.log.emit('backendPaused', { request: request.id, backend: backend.row.id, pauseMs: head.pauseMs })
  }
  if (head.faultyBackendId !== undefined && head.faultyBackendId !== backend.row.id) {
    backendPool.noteGroupBroken(ctx.pool, backend, ctx.nowMs())
  }
}

function dropResponse (response: http.IncomingMessage): void {
  response.on('error', () => {})
  response.destroy()
}

/** Ends an attempt at the deadline, when the client disconnects, or when the backend server is silent for too long. */
class AttemptWatch {
  stopReason: StopReason | undefined
  readonly #ctx: context.GatewayContext
  readonly #backend: backendPool.Backend
  readonly #controller = new AbortController()
  readonly #deadlineTimer: NodeJS.Timeout
  readonly #isRetryAllowed: boolean
  readonly #sentAtMs: number
  readonly #call: call.Call
  #silenceTimeoutMs: number
  #silentSinceMs: number
  /** Whether an event or a whole response has arrived. */
  hasResponded = false
  /** Whether the response has ended in a way that a crash can't bring about. */
  hasEndedWhole = false
  readonly #callSignal: AbortSignal
  readonly #onAborted: () => void
  #silenceTimer: NodeJS.Timeout | undefined

  constructor (ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, isRetryAllowed: boolean) {
    this.#ctx = ctx
    this.#backend = backend
    this.#deadlineTimer = setTimeout(() => { this.#stop('deadline') }, Math.max(0, request.deadlineAtMs - ctx.nowMs()))
    this.#isRetryAllowed = isRetryAllowed && routingTable.mayRepeat(request.route)
    this.#silenceTimeoutMs = Math.max(
      MIN_FIRST_RESPONSE_TIMEOUT_MS,
      FIRST_RESPONSE_TIMEOUT_FACTOR * backendPool.firstResponseMs(ctx.pool, request.service)
    )
    this.#sentAtMs = ctx.nowMs()
    this.#silentSinceMs = this.#sentAtMs
    this.#call = request
    this.#callSignal = request.signal
    this.#onAborted = () => { this.#stop(shutdown.isStopping(request.signal) ? 'deadline' : 'client') }
    if (request.signal.aborted) this.#onAborted()
    else request.signal.addEventListener('abort', this.#onAborted, { once: true })
    this.#restartSilenceTimer()
  }

  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** Called when an event or a whole response has arrived. */
  noteEvent (): void {
    if (!this.hasResponded) {
      this.hasResponded = true
      this.#ctx.suspects.noteBegun(this.#call)
      this.#silenceTimeoutMs = EVENT_TIMEOUT_MS
      backendPool.noteFirstResponse(this.#ctx.pool, this.#call.service, this.#ctx.nowMs() - this.#sentAtMs)
    }
    backendPool.noteHeard(this.#backend, this.#ctx.nowMs())
    this.#restartSilenceTimer()
  }

  #restartSilenceTimer (): void {
    clearTimeout(this.#silenceTimer)
    if (!this.#isRetryAllowed) return
    this.#silentSinceMs = this.#ctx.nowMs()
    this.#checkSilenceIn(Math.min(this.#silenceTimeoutMs, STOPPED_HOST_TIMEOUT_MS))
  }

  #checkSilenceIn (delayMs: number): void {
    this.#silenceTimer = setTimeout(() => { this.#checkSilence() }, delayMs)
  }

  /**
   * Ends the attempt only if another one may follow. A rank is not at fault when its whole group is stalled, and
   * without a retry left in the budget a late response is better than none.
   */
  #checkSilence (): void {
    const ctx = this.#ctx
    const nowMs = ctx.nowMs()
    const remainingMs = this.#silentSinceMs + this.#silenceTimeoutMs - nowMs
    const isOverdue = remainingMs <= 0 || rankSilence.isSilent(ctx.pool, this.#backend, nowMs)
    if (!isOverdue) this.#checkSilenceIn(Math.min(remainingMs, SILENCE_CHECK_MS))
    else if (backendPool.isGroupStalled(ctx.pool, this.#backend, nowMs)) this.#checkSilenceIn(SILENCE_CHECK_MS)
    else if (retries.hasTimeLeft(ctx, this.#call) && this.#call.retries.take()) this.#stop('silent')
    else this.#restartSilenceTimer()
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
    clearTimeout(this.#silenceTimer)
    this.#callSignal.removeEventListener('abort', this.#onAborted)
  }

  #stop (reason: StopReason): void {
    this.stopReason ??= reason
    this.#controller.abort()
  }
}

function noteOutcome (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, outcome: call.AttemptOutcome
): void {
  const result = resultOf(outcome)
  if (result === undefined) return
  if (backendPool.noteResult(ctx.pool, backend, result, ctx.nowMs())) {
    ctx.log.emit('backendEjected', {
      backend: backend.row.id, untilInMs: Math.round(backend.ejectedUntilMs - ctx.nowMs()), request: request.id
    })
  }
}

function resultOf (outcome: call.AttemptOutcome): backendPool.AttemptResult | undefined {
  switch (outcome.kind) {
    case 'delivered': return 'succeeded'
    case 'response': return outcome.status >= 500 ? 'failed' : 'succeeded'
    case 'not_run': return outcome.cause
    case 'failed': return 'failed'
    case 'timed_out':
    case 'client_gone': return undefined
  }
}
