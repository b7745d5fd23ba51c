/**
 * Handles one caller request from authentication to the last byte of the answer.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import type * as admissionGate from './admission-gate.js'
import type * as attemptSender from './attempt-sender.js'
import type * as callWindow from './call-window.js'
import * as claimStore from './claim-store.js'
import type * as configurationTask from './configuration-task.js'
import type * as dispatcher from './dispatcher.js'
import type * as environment from './environment.js'
import type * as keyIssuer from './key-issuer.js'
import type * as keyedDispatcher from './keyed-dispatcher.js'
import * as relay from './relay.js'
import type * as streamRecovery from './stream-recovery.js'
import * as call from '../protocol/call.js'
import * as headers from '../protocol/headers.js'
import * as problem from '../protocol/problem.js'
import type * as streamId from '../protocol/stream-id.js'
import type * as claims from '../state/claim.js'
import type * as configuration from '../state/configuration.js'
import * as issuedKeys from '../state/issued-keys.js'
import * as outcomes from '../state/outcome.js'
import * as httpServer from '../transport/http-server.js'

export interface CallHandlerParts {
  configuration: configurationTask.ConfigurationTask
  dispatcher: dispatcher.Dispatcher
  admission: admissionGate.AdmissionGate
  keyedDispatcher: keyedDispatcher.KeyedDispatcher
  sender: attemptSender.AttemptSender
  /** Claims for keys that callers chose themselves. */
  claims: claimStore.ClaimStore
  issuer: keyIssuer.KeyIssuer
  recovery: streamRecovery.StreamRecovery
  window: callWindow.CallWindow
}

export interface CallHandler {
  handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void>
  /** Calls that have not ended. */
  inFlight (): number
  /** Answers all calls whose responses have not begun, because the process is about to exit. */
  endOpen (): void
}

const MAX_BODY_BYTES = 4 * 1024 * 1024
const MAX_BROKEN_ANSWERS = 3
/** Maximum wait for the recorded result of an attempt whose answer was interrupted. */
const REPLAY_WAIT_MS = 5_000

export function createCallHandler (env: environment.Environment, parts: CallHandlerParts): CallHandler {
  let inFlight = 0
  /** Calls that may have been sent to a backend server, with what answers them before the process exits. */
  const open = new Set<() => void>()
  return {
    inFlight: () => inFlight,
    endOpen: () => { for (const end of open) end() },
    async handle (request, response) {
      const startedAtMs = env.nowMs()
      inFlight += 1
      try {
        await handleCall(request, response)
      } finally {
        inFlight -= 1
        env.metrics.timingMs('entry.request_ms', env.nowMs() - startedAtMs)
      }
    }
  }

  async function handleCall (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const requestId = crypto.randomUUID()
    const team = await authenticate(request)
    if (team === undefined) {
      request.resume()
      return fail(outcomes.refuse('unauthenticated', 401, 'not_run', 'authorization: expected Bearer and a team key'))
    }
    const body = await httpServer.readBody(request, MAX_BODY_BYTES)
    if (body.kind === 'aborted') return
    if (body.kind !== 'whole') return fail(httpServer.bodyRefusal(body, MAX_BODY_BYTES))
    const parsed = call.parseCall({
      requestId, method: request.method ?? 'GET', url: request.url ?? '/', headers: request.headers, body: body.body.concat()
    }, team, env.nowMs())
    if (parsed.kind === 'refused') return fail(parsed)
    const late = parts.window.refusalOf(parsed.call)
    if (late !== undefined) return fail(late)
    const callerDisconnected = new AbortController()
    response.once('close', () => {
      open.delete(end)
      if (!response.writableFinished) callerDisconnected.abort()
    })
    open.add(end)
    const refusal = parsed.call.resumeFrom === undefined
      ? await admitCall(parsed.call, request, response, callerDisconnected.signal)
      : await resumeCall(parsed.call, parsed.call.resumeFrom, response, callerDisconnected.signal)
    if (refusal !== undefined) return fail(refusal)
    env.metrics.count('entry.requests', 1, { outcome: 'completed' })

    function end (): void {
      if (response.headersSent) return
      fail(outcomes.refuse('answer_interrupted', 504, 'may_have_run', 'the entry exits before the call has ended'))
      callerDisconnected.abort()
    }

    function fail (reason: outcomes.Refusal): void {
      // The call was answered when the process was about to exit.
      if (response.headersSent) return
      env.log.emit('requestRefused', { requestId, team: team?.name, reason: reason.reason, outcome: reason.outcome })
      env.metrics.count('entry.requests', 1, { outcome: reason.outcome })
      env.metrics.count('entry.refused', 1, { reason: reason.reason })
      problem.sendProblem(response, reason, requestId)
    }
  }

  async function authenticate (request: http.IncomingMessage): Promise<configuration.ResolvedTeam | undefined> {
    const match = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')
    if (match === null) return undefined
    // The lookup is by digest, so its duration reveals nothing about the keys.
    const digest = crypto.createHash('sha256').update(match[1]!).digest('hex')
    return parts.configuration.read(copy => copy.teamByDigest.get(digest))
  }

  async function admitCall (
    request: call.Call, raw: http.IncomingMessage, response: http.ServerResponse, signal: AbortSignal
  ): Promise<outcomes.Refusal | undefined> {
    const admitted = await parts.admission.admit(request, signal)
    if (admitted.kind === 'refused') {
      // An earlier request with the key may have run, and the claim has not been read.
      return call.mayHaveRunBefore(request) ? { ...admitted, outcome: 'may_have_run' } : admitted
    }
    try {
      // The call may have waited in the queue.
      const late = parts.window.refusalOf(request)
      if (late !== undefined) return late
      return await answerCall(request, raw, response, signal)
    } finally {
      admitted.release()
    }
  }

  async function answerCall (
    request: call.Call, raw: http.IncomingMessage, response: http.ServerResponse, signal: AbortSignal
  ): Promise<outcomes.Refusal | undefined> {
    let earlier: outcomes.Outcome = 'not_run'
    for (let brokenAnswers = 0; ; brokenAnswers++) {
      const endMeasurement = parts.window.measure(request)
      const dispatched = await dispatch(request, raw, signal, earlier)
      const source = dispatched.kind === 'refused'
        ? await openUnanswered(request, dispatched.unanswered, signal)
        : { ...dispatched, offsetBytes: 0, isContinuation: false }
      if (source === undefined) {
        endMeasurement(false)
        return dispatched as outcomes.Refusal
      }
      const relayed = await relay.relayAnswer(env, request, source, response,
        broken => parts.recovery.recover(request, broken, signal))
      endMeasurement(relayed.kind === 'relayed')
      env.log.emit('requestCompleted', {
        requestId: request.requestId,
        agentAddress: source.server.address,
        attemptId: source.attemptId,
        result: relayed.kind
      })
      if (relayed.kind !== 'broken_unsent') return undefined
      if (!request.isRepeatable) return replayBroken(request, source, relayed.refusal, response, signal)
      if (brokenAnswers >= MAX_BROKEN_ANSWERS) return relayed.refusal
      earlier = 'may_have_run'
    }
  }

  async function dispatch (
    request: call.Call, raw: http.IncomingMessage, signal: AbortSignal, earlier: outcomes.Outcome
  ): Promise<dispatcher.DispatchResult> {
    // A repeatable request may run more than once, so its key needs no claim.
    if (request.idempotencyKey === undefined || request.isRepeatable) {
      return parts.dispatcher.run(request, signal, earlier)
    }
    const issued = issuedKeys.parseIssuedKey(request.idempotencyKey)
    if (issued === undefined) {
      const claimKey = claimStore.claimKeyOf(request.team.name, request.idempotencyKey)
      return parts.keyedDispatcher.run(request, claimKey, parts.claims, signal)
    }
    const isForwarded = raw.headers[headers.agentHeaders.forwarded] !== undefined
    const location = await parts.issuer.locate(request, issued, isForwarded)
    if (location.kind === 'refused') return location
    if (location.kind === 'elsewhere') {
      return parts.issuer.forward(request, location.address, raw.headers.authorization ?? '', signal)
    }
    return parts.keyedDispatcher.run(request, location.claimKey, parts.issuer.claims, signal)
  }

  /** A stream without an answer yet may run on, and its host return, when no other backend server takes the request. */
  async function openUnanswered (
    request: call.Call, attempt: claims.AttemptRef | undefined, signal: AbortSignal
  ): Promise<streamRecovery.StreamSource | undefined> {
    if (attempt === undefined || !request.isStreaming || !request.isRepeatable) return undefined
    return parts.recovery.open(request, { ...attempt, offsetBytes: 0 }, signal)
  }

  /** Asks the agent for the recorded result of an answer that broke before the caller received any of it. */
  async function replayBroken (
    request: call.Call,
    { server, attemptId }: streamRecovery.StreamSource,
    refusal: outcomes.Refusal,
    response: http.ServerResponse,
    signal: AbortSignal
  ): Promise<outcomes.Refusal | undefined> {
    const ref = { attemptId, agentIncarnation: server.incarnation, agentAddress: server.address }
    const resolved = await parts.sender.resolve(ref, 0, REPLAY_WAIT_MS, signal)
    if (resolved.kind !== 'result') return refusal
    const source = { ...resolved.answer, offsetBytes: 0, isContinuation: false }
    const relayed = await relay.relayAnswer(env, request, source, response,
      async () => undefined)
    return relayed.kind === 'broken_unsent' ? relayed.refusal : undefined
  }

  async function resumeCall (
    request: call.Call, position: streamId.StreamPosition, response: http.ServerResponse, signal: AbortSignal
  ): Promise<outcomes.Refusal | undefined> {
    const source = await parts.recovery.open(request, position, signal)
    if (source === undefined) {
      return outcomes.refuse('not_found', 410, 'may_have_run', 'last-event-id: the stream is no longer held')
    }
    await relay.relayAnswer(env, request, source, response, broken => parts.recovery.recover(request, broken, signal))
    return undefined
  }
}
