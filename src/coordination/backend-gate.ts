/**
 * The agent's gate to its backend server: checks an attempt, runs it at most once, and forwards the answer.
 */

import type * as http from 'node:http'
import * as streamPromises from 'node:stream/promises'
import * as attemptRegistry from './attempt-registry.js'
import type * as environment from './environment.js'
import * as isolationGate from './isolation-gate.js'
import type * as streamForwarder from './stream-forwarder.js'
import * as headers from '../protocol/headers.js'
import * as problem from '../protocol/problem.js'
import * as attemptLedger from '../state/attempt-ledger.js'
import type * as concurrencyLimit from '../state/concurrency-limit.js'
import * as outcomes from '../state/outcome.js'
import * as recordedResults from '../state/recorded-results.js'
import type * as serverView from '../state/server-view.js'
import type * as backendClient from '../transport/backend-client.js'
import * as heldBytes from '../transport/held-bytes.js'
import * as httpServer from '../transport/http-server.js'

export interface BackendGateParts {
  agentIncarnation: string
  /** IP address and port of the backend server. */
  backendAddress: string
  client: backendClient.BackendClient
  streams: streamForwarder.StreamForwarder
  concurrency: concurrencyLimit.ConcurrencyLimit
  /** Called with the fingerprints of the running requests when a connection to the backend server failed. */
  onBackendFailure: (fingerprints: string[]) => void
}

export interface BackendGate {
  /** Checks an attempt of an entry, runs it on the backend server and responds with the answer or a refusal. */
  dispatch (request: http.IncomingMessage, response: http.ServerResponse): Promise<void>
  /** Responds with the state of an attempt, and cancels it permanently when it has not begun. */
  resolve (request: http.IncomingMessage, response: http.ServerResponse, attemptId: string): Promise<void>
  /** While draining, new work is refused and running work continues. */
  setDraining (isDraining: boolean): void
  /** The load to report to entries. */
  load (): serverView.ServerLoad
  /** Sets whether the backend server answers health checks. */
  setReachable (isReachable: boolean): void
}

const MAX_BODY_BYTES = 4 * 1024 * 1024
const RETRY_AFTER_MS = 1_000
const FIRST_BYTE_SMOOTHING_FACTOR = 0.2
/** An idle server has no new samples, so its average decays until it gets requests again. */
const FIRST_BYTE_HALF_LIFE_MS = 10_000
/** Maximum wait that an entry can request of an agent. */
const MAX_RESOLVE_WAIT_MS = 10_000

export function createBackendGate (env: environment.Environment, parts: BackendGateParts): BackendGate {
  const attempts = attemptRegistry.createAttemptRegistry(env)
  /** Fingerprints of the running requests, by attempt id. */
  const running = new Map<string, string>()
  let isDraining = false
  let isReachable = false
  let firstByteMs = 0
  let firstByteAtMs = 0
  const isolation = isolationGate.createIsolationGate({
    nowMs: env.nowMs, running: () => running.size, isUsable: () => isReachable && !isDraining
  })

  return {
    dispatch,
    resolve,
    setDraining (draining) {
      isDraining = draining
      if (isDraining && running.size === 0) env.log.emit('drainFinished')
    },
    load: () => ({
      running: running.size,
      waiting: 0,
      concurrencyLimit: parts.concurrency.limit(),
      firstByteMs: firstByteMs * 2 ** (-(env.nowMs() - firstByteAtMs) / FIRST_BYTE_HALF_LIFE_MS),
      engineReportAgeMs: 0,
      status: status()
    }),
    setReachable (reachable) { isReachable = reachable }
  }

  function status (): serverView.ServerStatus {
    if (isDraining) return running.size > 0 ? 'draining' : 'drained'
    return isReachable ? 'serving' : 'down'
  }

  async function dispatch (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAtMs = env.nowMs()
    const requestId = headers.headerValue(request.headers, headers.callerHeaders.requestId) ?? 'none'
    const attemptId = headers.headerValue(request.headers, headers.agentHeaders.attempt) ?? ''
    const id = attemptLedger.parseAttemptId(attemptId)
    // Shows the entry that an answer, or a refusal, comes from this agent.
    if (id !== undefined) response.setHeader(headers.agentHeaders.attempt, attemptId)
    const body = await httpServer.readBody(request, MAX_BODY_BYTES)
    if (body.kind === 'aborted') return
    const refusal = id === undefined
      ? outcomes.refuse('invalid_request', 400, 'not_run', `${headers.agentHeaders.attempt}: expected an attempt id`)
      : body.kind !== 'whole' ? httpServer.bodyRefusal(body, MAX_BODY_BYTES) : begin(request, id)
    if (refusal !== undefined || id === undefined || body.kind !== 'whole') {
      if (refusal !== undefined) {
        env.log.emit('attemptRefused', { requestId, attemptId, reason: refusal.reason, outcome: refusal.outcome })
        problem.sendProblem(response, refusal, requestId)
      }
      return
    }
    env.log.emit('attemptStarted', { requestId, attemptId, running: running.size })
    const fingerprint = headers.headerValue(request.headers, headers.agentHeaders.fingerprint) ?? ''
    const entered = isIsolated(request)
      ? await isolation.enter(attemptId, fingerprint, deadlineMsOf(request))
      : 'released'
    if (entered === 'refused' || entered === 'crashed') {
      const outcome = attempts.withdraw(id) ? 'not_run' : 'may_have_run'
      return problem.sendProblem(response, outcomes.refuse(
        entered === 'crashed' ? 'backend_crashed' : 'overloaded', 503, outcome,
        'the request could not run alone on the backend server', RETRY_AFTER_MS), requestId)
    }
    running.set(attemptId, fingerprint)
    let isComplete = false
    try {
      isComplete = await run(request, response, id, body.body.concat(), arrivedAtMs)
    } finally {
      if (entered === 'alone') isolation.leave(fingerprint, isComplete)
      running.delete(attemptId)
      attempts.end(id, 'failed')
      if (isDraining && running.size === 0) env.log.emit('drainFinished')
    }
  }

  function begin (request: http.IncomingMessage, id: attemptLedger.AttemptId): outcomes.Refusal | undefined {
    const addressedIncarnation = headers.headerValue(request.headers, headers.agentHeaders.agentIncarnation)
    if (addressedIncarnation !== parts.agentIncarnation) {
      // A copy may have reached the process that the attempt is for, whose attempts this process does not know.
      return outcomes.refuse('wrong_incarnation', 409, 'may_have_run', 'the attempt is for another agent process')
    }
    const refusal = admit(request)
    if (refusal !== undefined) return attempts.refuse(id) ? refusal : duplicate()
    const oldestOpen = headers.headerValue(request.headers, headers.agentHeaders.oldestOpen) ?? ''
    switch (attempts.begin(id, /^\d{1,15}$/.test(oldestOpen) ? Number(oldestOpen) : 0)) {
      case 'begun': return undefined
      case 'tombstoned': return outcomes.refuse('attempt_superseded', 409, 'not_run', 'the attempt was cancelled')
      case 'duplicate':
      case 'settled': return duplicate()
    }
  }

  function duplicate (): outcomes.Refusal {
    return outcomes.refuse('duplicate_attempt', 409, 'may_have_run', 'the attempt arrived before')
  }

  function admit (request: http.IncomingMessage): outcomes.Refusal | undefined {
    if (isDraining) return outcomes.refuse('draining', 503, 'not_run', 'the host is in graceful shutdown')
    if (isIsolated(request)) return undefined
    if (running.size >= parts.concurrency.limit() || isolation.isClosed()) {
      return outcomes.refuse('overloaded', 503, 'not_run', 'the backend server is full', RETRY_AFTER_MS)
    }
    return undefined
  }

  /** @returns whether the backend server's answer was complete. */
  async function run (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    id: attemptLedger.AttemptId,
    body: Buffer,
    arrivedAtMs: number
  ): Promise<boolean> {
    const attemptId = attemptLedger.formatAttemptId(id)
    const deadlineMs = deadlineMsOf(request)
    const requestId = headers.headerValue(request.headers, headers.callerHeaders.requestId) ?? 'none'
    const abort = new AbortController()
    const result = await parts.client.request({
      address: parts.backendAddress,
      method: request.method ?? 'GET',
      path: (request.url ?? '').slice('/dispatch'.length),
      headers: { ...headers.forwardableHeaders(request.headers, ['content-length']), 'x-request-id': attemptId },
      body: body.length === 0 ? undefined : body,
      timeoutMs: deadlineMs,
      signal: AbortSignal.any([abort.signal, AbortSignal.timeout(deadlineMs)])
    })
    if (result.kind !== 'answer') {
      problem.sendProblem(response, failureOf(result, id), requestId)
      return false
    }
    const latencyMs = env.nowMs() - arrivedAtMs
    firstByteMs += FIRST_BYTE_SMOOTHING_FACTOR * (latencyMs - firstByteMs)
    firstByteAtMs = env.nowMs()
    parts.concurrency.noteLatency(latencyMs, running.size, firstByteAtMs)
    result.body.once('error', () => parts.onBackendFailure([...running.values()]))
    // Only the agent states outcomes: a backend server's headers of these names are dropped.
    const answerHeaders = headers.forwardableHeaders(result.headers,
      [headers.callerHeaders.outcome, headers.callerHeaders.reason])
    response.setHeader(headers.agentHeaders.load, headers.formatLoad({ running: running.size, waiting: 0 }))
    response.writeHead(result.status, answerHeaders)
    const contentType = headers.headerValue(result.headers, 'content-type') ?? ''
    if (contentType.startsWith('text/event-stream')) {
      const ended = await parts.streams.forward(attemptId, result, response)
      attempts.end(id, ended === 'complete' ? 'completed' : 'failed')
      return ended === 'complete'
    }
    if (headers.headerValue(request.headers, headers.agentHeaders.repeatable) === '0') {
      const copied = await forwardAndCopy(result, response)
      if (copied === 'broken') return false
      const record = { status: result.status, headers: answerHeaders }
      attempts.end(id, 'completed', copied === 'too_large' ? undefined : { ...record, body: copied })
      response.end()
      return true
    }
    await streamPromises.pipeline(result.body, response).catch(() => response.destroy())
    attempts.end(id, 'completed')
    return result.body.readableEnded && result.body.errored === null
  }

  /**
   * Forwards an answer and copies its body, up to the size that is recorded for a retry. Continues to read when the
   * entry disconnects.
   */
  async function forwardAndCopy (
    result: backendClient.BackendAnswer, response: http.ServerResponse
  ): Promise<Buffer | 'broken' | 'too_large'> {
    const copy = new heldBytes.HeldBytes()
    let isTooLarge = false
    try {
      for await (const chunk of result.body as AsyncIterable<Buffer>) {
        if (!isTooLarge) copy.append(chunk)
        isTooLarge ||= copy.sizeBytes > recordedResults.MAX_RESULT_BYTES
        if (isTooLarge) copy.clear()
        if (response.destroyed || response.write(chunk)) continue
        // Up to that size, a result is read without waiting for a slow reader.
        if (isTooLarge) await waitForDrainOrClose(response)
      }
    } catch {
      response.destroy()
      return 'broken'
    }
    return isTooLarge ? 'too_large' : copy.concat()
  }

  function failureOf (
    result: backendClient.BackendResult & { kind: 'not_sent' | 'no_answer' }, id: attemptLedger.AttemptId
  ): outcomes.Refusal {
    if (result.kind === 'not_sent' && attempts.withdraw(id)) {
      return outcomes.refuse('backend_unreachable', 502, 'not_run', result.detail, RETRY_AFTER_MS)
    }
    parts.onBackendFailure([...running.values()])
    env.log.emit('attemptFailed', { attemptId: attemptLedger.formatAttemptId(id), detail: result.detail })
    return outcomes.refuse('backend_crashed', 502, 'may_have_run', result.detail, RETRY_AFTER_MS)
  }

  async function resolve (
    request: http.IncomingMessage, response: http.ServerResponse, attemptId: string
  ): Promise<void> {
    const id = attemptLedger.parseAttemptId(attemptId)
    const addressedIncarnation = headers.headerValue(request.headers, headers.agentHeaders.agentIncarnation)
    if (id === undefined || addressedIncarnation !== parts.agentIncarnation) return sendState(response, 'gone')
    const query = new URL(request.url ?? '/', 'http://agent').searchParams
    const waitMs = parseWaitMs(query.get('waitMs'))
    // A caller that waits for the result of a stream receives it while it is produced.
    if (waitMs > 0 && parts.streams.forwardHeld(attemptId, response, { [headers.agentHeaders.attemptState]: 'completed' })) {
      return
    }
    const resolved = await attempts.resolve(id, parseWaitMs(query.get('graceMs')), waitMs)
    if (resolved.result !== undefined) {
      response.writeHead(resolved.result.status, {
        ...resolved.result.headers, [headers.agentHeaders.attemptState]: 'completed'
      })
      response.end(resolved.result.body)
    } else sendState(response, resolved.state === 'completed' ? 'not_kept' : resolved.state)
  }
}

function isIsolated (request: http.IncomingMessage): boolean {
  return headers.headerValue(request.headers, headers.agentHeaders.isolated) === '1'
}

function deadlineMsOf (request: http.IncomingMessage): number {
  return Number(headers.headerValue(request.headers, headers.agentHeaders.deadlineMs) ?? RETRY_AFTER_MS)
}

function parseWaitMs (text: string | null): number {
  return Math.min(MAX_RESOLVE_WAIT_MS, /^\d{1,6}$/.test(text ?? '') ? Number(text) : 0)
}

function sendState (response: http.ServerResponse, state: string): void {
  problem.sendJson(response, 200, { state }, { [headers.agentHeaders.attemptState]: state })
}

function waitForDrainOrClose (response: http.ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const done = (): void => {
      response.off('drain', done).off('close', done)
      resolve()
    }
    response.once('drain', done).once('close', done)
    if (response.destroyed) done()
  })
}
