/**
 * Sends a call to one backend server and determines the outcome of the attempt. A backend server that is silent does
 * not end the attempt: whether another one can take over shows only when that one has begun to respond.
 */

import type * as http from 'node:http'
import * as answerEnd from '../../transport/answer-end.js'
import * as availability from '../../state/availability.js'
import * as backendPool from '../../state/backend-pool.js'
import * as attemptWatch from './attempt-watch.js'
import * as backendCall from './backend-call.js'
import * as wholeResponse from './whole-response.js'
import * as streamAttempt from './stream-attempt.js'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as call from './call.js'
import type * as context from './context.js'

/** A connection within a region opens within a few ms; a lost first packet is retransmitted only after a second. */
const CONNECT_TIMEOUT_MS = 300

export interface AttemptOptions {
  /** Sum of prompt and expected output tokens. */
  tokens: number
  progress: streamAttempt.StreamProgress
  /** Suspected features that the attempt tries out. */
  tried: readonly string[]
  /** Called when the backend server has been silent for long, again and again until it is heard. */
  onOverdue: () => void
  /** Called when an event was forwarded that the client did not have. */
  onProgress: () => void
}

/** An attempt at a backend server that has not ended yet. */
export interface RunningAttempt {
  backend: backendPool.Backend
  outcome: Promise<call.AttemptOutcome>
  /** Whether the backend server has been silent for long. */
  isOverdue: () => boolean
  /** Waits for a whole silence again before asking for another attempt. */
  restartSilence: () => void
  /** The silence shows nothing of the features that the attempt tries out, and others may try them out. */
  endTrial: () => void
  /** Ends the attempt, because another one has responded. */
  supersede: () => void
}

export function startAttempt (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, options: AttemptOptions
): RunningAttempt {
  const watch = new attemptWatch.AttemptWatch(ctx, request, backend, options.onOverdue)
  let isTrial = true
  const endTrial = (): void => {
    if (isTrial) ctx.suspects.end(options.tried)
    isTrial = false
  }
  return {
    backend,
    outcome: finishAttempt(ctx, request, backend, options, watch).finally(() => {
      endTrial()
      backendPool.noteFinished(backend, options.tokens)
      ctx.queue.placeWaiting()
    }),
    endTrial,
    isOverdue: () => watch.isOverdue(),
    restartSilence: () => { watch.restartSilenceTimer() },
    supersede: () => { watch.stop('superseded') }
  }
}

async function finishAttempt (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, options: AttemptOptions,
  watch: attemptWatch.AttemptWatch
): Promise<call.AttemptOutcome> {
  const { progress, tried } = options
  const startedAtMs = ctx.nowMs()
  const isResumed = progress.lastEventId !== undefined
  try {
    const outcome = await runAttempt(ctx, request, backend, options, watch)
    const result = resultOf(outcome)
    if (result !== undefined) noteResult(ctx, request, backend, result)
    if (outcome.kind !== 'not_run') ctx.suspects.noteRun(request, backend.row, ctx.nowMs() - startedAtMs)
    // A stream that goes on where an earlier attempt broke off shows nothing of what crashed that one.
    if (watch.hasEndedWhole && !isResumed) ctx.suspects.noteWhole(request)
    if (outcome.kind === 'failed' && watch.stopReason === undefined) {
      const checked = ctx.suspects.noteBroken(request, backend.row, tried, watch.hasResponded)
      // Before a response, the next attempt depends on whether this request may have crashed the backend server.
      if (!watch.hasResponded) await checked
      else checked.catch((error: Error) => { ctx.log.emit('requestFault', { request: request.id, detail: error.stack }) })
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
  }
}

async function runAttempt (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, options: AttemptOptions,
  watch: attemptWatch.AttemptWatch
): Promise<call.AttemptOutcome> {
  const { progress } = options
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
      budget: ctx.responseBuffers,
      onEvents: isProgress => {
        watch.noteEvent()
        if (isProgress) options.onProgress()
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

/** Applies how a backend server has dealt with a request. */
export function noteResult (
  ctx: context.GatewayContext, request: call.Call, backend: backendPool.Backend, result: backendPool.AttemptResult
): void {
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
    case 'superseded':
    case 'timed_out':
    case 'client_gone': return undefined
  }
}
