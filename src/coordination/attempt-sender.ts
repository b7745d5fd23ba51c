/**
 * Sends attempts of this entry to agents, and asks agents for the state of attempts. An attempt is reserved before it
 * is sent, so that a claim can name it first.
 */

import type * as attemptPolicy from './attempt-policy.js'
import type * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as call from '../protocol/call.js'
import * as headers from '../protocol/headers.js'
import type * as claims from '../state/claim.js'
import * as outcomes from '../state/outcome.js'
import type * as serverView from '../state/server-view.js'
import type * as backendClient from '../transport/backend-client.js'

export type AgentTarget = Pick<serverView.ServerIdentity, 'incarnation' | 'address' | 'host'>

export interface DispatchedAnswer {
  kind: 'answer'
  server: AgentTarget
  attemptId: string
  answer: backendClient.BackendAnswer
  /** Reports how the answer ended; must be called once. */
  finish: (result: serverTask.AttemptResult) => void
}

export interface FailedAttempt extends outcomes.Refusal {
  /** The attempt, if it got no answer and a backend server may run it. */
  unanswered?: claims.AttemptRef
}

export interface Reservation {
  server: AgentTarget
  ref: claims.AttemptRef
  /** Releases an attempt that was not sent. */
  abandon: () => void
  /** Sends the attempt; called at most once. @param isAlone whether it must run alone on the backend server. */
  send: (request: call.Call, signal: AbortSignal, isAlone?: boolean) => Promise<DispatchedAnswer | FailedAttempt>
}

export type ResolveResult =
  | { kind: 'result', answer: DispatchedAnswer }
  | { kind: Exclude<claims.ResolvedState, 'result'> }

export interface AttemptSender {
  reserve (server: AgentTarget): Reservation
  /** Cancels the attempt if it has not begun; waits for one that runs, at most `waitMs`. */
  resolve (ref: claims.AttemptRef, graceMs: number, waitMs: number, signal: AbortSignal): Promise<ResolveResult>
}

export interface AttemptSenderParts {
  entryIncarnation: string
  servers: serverTask.ServerTask
  client: backendClient.BackendClient
  attempts: attemptPolicy.AttemptPolicy
}

const RETRY_AFTER_MS = 1_000
/** An agent answers a resolve within the requested wait; after this much more time it counts as unreachable. */
const RESOLVE_TIMEOUT_MS = 500
/** Timeout for cancelling an attempt without an answer; the caller waits meanwhile. */
const CANCEL_TIMEOUT_MS = 500
/**
 * An attempt whose end is unknown counts as open for this long. Agents discard the states of attempts before the oldest
 * open one, and a retry needs this attempt's state.
 */
const UNSETTLED_ATTEMPT_OPEN_MS = 30_000

export function createAttemptSender (env: environment.Environment, parts: AttemptSenderParts): AttemptSender {
  let lastSequence = 0
  /** Sequence numbers of the open attempts, lowest first. */
  const open = new Set<number>()
  return { reserve, resolve }

  function reserve (server: AgentTarget): Reservation {
    const sequence = ++lastSequence
    open.add(sequence)
    const attemptId = `${parts.entryIncarnation}.${sequence}`
    const ref = { attemptId, agentIncarnation: server.incarnation, agentAddress: server.address }
    return {
      server,
      ref,
      abandon: () => { open.delete(sequence) },
      async send (request, signal, isAlone = false) {
        const result = await send(request, server, ref, sequence, signal, isAlone)
        parts.attempts.after(request, server.incarnation, isAlone, result.kind === 'answer' ? undefined : result)
        return result
      }
    }
  }

  async function send (
    request: call.Call,
    server: AgentTarget,
    ref: claims.AttemptRef,
    sequence: number,
    signal: AbortSignal,
    isAlone: boolean
  ): Promise<DispatchedAnswer | FailedAttempt> {
    if (env.nowMs() >= request.deadlineAtMs) {
      open.delete(sequence)
      return outcomes.refuse('deadline_exceeded', 504, 'not_run', 'the deadline has passed')
    }
    parts.servers.post({ type: 'sent', incarnation: server.incarnation, prefixes: request.prefixes })
    let isFinished = false
    const finish = (result: serverTask.AttemptResult, isSettled = true): void => {
      if (isFinished) return
      isFinished = true
      if (isSettled) open.delete(sequence)
      else setTimeout(() => open.delete(sequence), UNSETTLED_ATTEMPT_OPEN_MS).unref()
      // A caller that disconnected does not count as a failure of the backend server.
      const reported = result === 'failed' && signal.aborted ? 'refused' : result
      parts.servers.post({ type: 'finished', incarnation: server.incarnation, result: reported })
      parts.attempts.noteEnd(request, isAlone, result === 'answered' && !signal.aborted)
    }
    const remainingMs = Math.max(1, Math.round(request.deadlineAtMs - env.nowMs()))
    const result = await parts.client.request({
      address: server.address,
      method: request.method,
      path: `/dispatch${request.backendPath}`,
      headers: {
        ...request.headers,
        [headers.callerHeaders.requestId]: request.requestId,
        [headers.agentHeaders.attempt]: ref.attemptId,
        [headers.agentHeaders.oldestOpen]: String(open.values().next().value),
        [headers.agentHeaders.agentIncarnation]: server.incarnation,
        [headers.agentHeaders.deadlineMs]: String(remainingMs),
        [headers.agentHeaders.priority]: String(request.priority),
        [headers.agentHeaders.team]: request.team.name,
        [headers.agentHeaders.repeatable]: request.isRepeatable ? '1' : '0',
        [headers.agentHeaders.fingerprint]: request.fingerprint,
        ...(isAlone ? { [headers.agentHeaders.isolated]: '1' } : {})
      },
      body: request.body.length === 0 ? undefined : request.body,
      timeoutMs: remainingMs,
      signal: AbortSignal.any([signal, AbortSignal.timeout(remainingMs)])
    })
    if (result.kind === 'not_sent') {
      finish('unreachable')
      return outcomes.refuse('backend_unreachable', 502, 'not_run', result.detail, RETRY_AFTER_MS)
    }
    // An answer without the attempt's id does not come from the agent and proves nothing about the attempt.
    if (result.kind === 'answer' && headers.headerValue(result.headers, headers.agentHeaders.attempt) !== ref.attemptId) {
      result.body.resume()
      return cancelUnanswered(request, ref, `the agent answered ${result.status} without the attempt`, finish)
    }
    if (result.kind === 'no_answer') return cancelUnanswered(request, ref, result.detail, finish)
    const load = headers.parseLoad(headers.headerValue(result.headers, headers.agentHeaders.load))
    if (load !== undefined) parts.servers.post({ type: 'answerLoad', incarnation: server.incarnation, load })
    const outcome = headers.headerValue(result.headers, headers.callerHeaders.outcome)
    if (outcome === 'not_run' || outcome === 'may_have_run') {
      result.body.resume()
      const reason = headers.headerValue(result.headers, headers.callerHeaders.reason) as outcomes.RefusalReason
      finish(outcome === 'not_run' ? 'refused' : 'failed', outcome === 'not_run')
      return outcomes.refuse(reason, result.status, outcome, `the agent at ${server.address} refused: ${reason}`, RETRY_AFTER_MS)
    }
    return { kind: 'answer', server, attemptId: ref.attemptId, answer: result, finish }
  }

  async function cancelUnanswered (
    request: call.Call,
    ref: claims.AttemptRef,
    detail: string,
    finish: (result: serverTask.AttemptResult, isSettled?: boolean) => void
  ): Promise<DispatchedAnswer | FailedAttempt> {
    const cancelled = resolve(ref, 0, 0, AbortSignal.timeout(CANCEL_TIMEOUT_MS))
    // A repeatable request is retried without waiting for the cancel: the outcome may_have_run covers this attempt.
    const resolved = request.isRepeatable ? { kind: 'unknown' as const } : await cancelled
    if (resolved.kind === 'result') {
      finish('failed')
      return resolved.answer
    }
    const isTombstoned = resolved.kind === 'tombstoned'
    finish('failed', isTombstoned)
    const refusal = outcomes.refuse(
      'backend_unreachable', 502, isTombstoned ? 'not_run' : 'may_have_run', detail, RETRY_AFTER_MS)
    return isTombstoned ? refusal : { ...refusal, unanswered: ref }
  }

  async function resolve (
    ref: claims.AttemptRef, graceMs: number, waitMs: number, signal: AbortSignal
  ): Promise<ResolveResult> {
    const timeoutMs = graceMs + waitMs + RESOLVE_TIMEOUT_MS
    const headTimeout = new AbortController()
    const timer = setTimeout(() => headTimeout.abort(), timeoutMs)
    const result = await parts.client.request({
      address: ref.agentAddress,
      method: 'POST',
      path: `/attempts/${ref.attemptId}/resolve?graceMs=${graceMs}&waitMs=${waitMs}`,
      headers: { [headers.agentHeaders.agentIncarnation]: ref.agentIncarnation },
      body: undefined,
      timeoutMs,
      signal: AbortSignal.any([signal, headTimeout.signal])
    })
    clearTimeout(timer)
    if (result.kind !== 'answer') return { kind: 'unknown' }
    const state = headers.headerValue(result.headers, headers.agentHeaders.attemptState)
    if (state === 'completed') {
      const host = (await parts.servers.find(ref.agentIncarnation))?.host ?? ''
      const server = { incarnation: ref.agentIncarnation, address: ref.agentAddress, host }
      const answer = { kind: 'answer' as const, server, attemptId: ref.attemptId, answer: result, finish: () => {} }
      return { kind: 'result', answer }
    }
    result.body.resume()
    return { kind: state === 'tombstoned' || state === 'running' ? state : 'unknown' }
  }
}
