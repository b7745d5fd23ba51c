/**
 * Runs a call that is not repeatable and has an idempotency key. Carries out the commands of the keyed call's
 * transitions (src/state/claim.ts) against the claims, the agents and the view of the backend servers.
 */

import * as timers from 'node:timers/promises'
import type * as attemptPolicy from './attempt-policy.js'
import type * as attemptSender from './attempt-sender.js'
import type * as claimStore from './claim-store.js'
import type * as dispatcher from './dispatcher.js'
import type * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as call from '../protocol/call.js'
import * as claims from '../state/claim.js'
import * as outcomes from '../state/outcome.js'

export interface KeyedDispatcher {
  /** @param key names the claim in the store. */
  run (
    request: call.Call, key: string, store: claimStore.ClaimStore, signal: AbortSignal
  ): Promise<dispatcher.DispatchResult>
}

export interface KeyedDispatcherParts {
  servers: serverTask.ServerTask
  sender: attemptSender.AttemptSender
  attempts: attemptPolicy.AttemptPolicy
}

const MAX_ATTEMPTS = 4
const RETRY_AFTER_MS = 1_000
/** Time for an attempt that another entry has sent to reach its agent, before the attempt is cancelled. */
const ARRIVAL_GRACE_MS = 200
/** Longest wait of one query about a running attempt, so that a stopped agent is noticed. */
const RESOLVE_WAIT_MS = 1_000
/** Longest wait of a final refusal for its claim to be released; after it, the outcome is may_have_run. */
const RELEASE_TIMEOUT_MS = 300

export function createKeyedDispatcher (env: environment.Environment, parts: KeyedDispatcherParts): KeyedDispatcher {
  return { run }

  async function run (
    request: call.Call, key: string, store: claimStore.ClaimStore, signal: AbortSignal
  ): Promise<dispatcher.DispatchResult> {
    const excluded = new Set<string>()
    let reserved: attemptSender.Reservation | undefined
    let isAlone = false
    let answer: attemptSender.DispatchedAnswer | undefined
    let lastRefusal = outcomes.refuse(
      'no_backend_server', 503, 'not_run', 'no backend server can take the request', RETRY_AFTER_MS)
    let step = claims.startKeyedCall(request.fingerprint)
    for (;;) {
      const { command } = step
      if (command.type === 'finish') {
        reserved?.abandon()
        return answer ?? refusalOf(command.result, lastRefusal)
      }
      step = claims.advanceKeyedCall(step.call, await perform(command))
    }

    async function perform (command: Exclude<claims.KeyedCommand, { type: 'finish' }>): Promise<claims.KeyedEvent> {
      switch (command.type) {
        case 'reserve': return reserve()
        case 'read': {
          const read = await withinDeadline(store.read(key, signal))
          if (read === undefined) return { type: 'deadline' }
          return read.kind === 'ok' ? { type: 'read', held: read.value } : { type: 'store_unavailable' }
        }
        case 'write': {
          // The request of a caller that has disconnected must not run later.
          if (isPastDeadline() || signal.aborted) return { type: 'deadline' }
          const written = await withinDeadline(store.write(key, command.write))
          // The write may still take effect; its attempt is never sent.
          if (written === undefined) return { type: 'deadline' }
          return written.kind === 'unavailable'
            ? { type: 'store_unavailable' }
            : written.kind === 'conflict' ? { type: 'conflict', held: written.held } : { type: 'committed' }
        }
        case 'release': {
          const written = await withTimeout(RELEASE_TIMEOUT_MS, store.write(key, command.write))
          if (written === undefined || written.kind === 'unavailable') return { type: 'store_unavailable' }
          return written.kind === 'conflict' ? { type: 'conflict', held: written.held } : { type: 'released' }
        }
        case 'send': return { type: 'sent', result: await send(reserved!) }
        case 'resolve': return resolve(command.attempt)
      }
    }

    async function reserve (): Promise<claims.KeyedEvent> {
      if (isPastDeadline()) return { type: 'no_server' }
      if (excluded.size >= MAX_ATTEMPTS || signal.aborted) return { type: 'no_server' }
      const permit = parts.attempts.before(request, excluded.size === 0 ? undefined : lastRefusal)
      if (permit.kind === 'refused') {
        lastRefusal = permit
        return { type: 'no_server' }
      }
      isAlone = permit.isAlone
      const choice = await parts.servers.pick({
        target: request.target, excluded: new Set([...excluded, ...permit.avoided])
      }, request.prefixes, isAlone ? request.fingerprint : undefined)
      if (choice.kind === 'none') return { type: 'no_server' }
      const { incarnation, address, host } = choice.record.identity
      env.log.emit('serverChosen', { requestId: request.requestId, agentAddress: address, host, ...choice.explanation })
      excluded.add(incarnation)
      reserved = parts.sender.reserve(choice.record.identity)
      return { type: 'reserved', attempt: reserved.ref }
    }

    async function send (reservation: attemptSender.Reservation): Promise<claims.SendResult> {
      reserved = undefined
      const result = await reservation.send(request, signal, isAlone)
      if (result.kind === 'answer') {
        answer = result
        return 'answered'
      }
      env.log.emit('attemptFailed', {
        requestId: request.requestId,
        agentAddress: reservation.server.address,
        reason: result.reason,
        outcome: result.outcome
      })
      lastRefusal = result
      if (result.reason === 'attempt_superseded') return 'superseded'
      return result.outcome === 'not_run' ? 'not_run' : 'may_have_run'
    }

    async function resolve (attempt: claims.AttemptRef): Promise<claims.KeyedEvent> {
      if (isPastDeadline() || signal.aborted) return { type: 'deadline' }
      const remainingMs = Math.max(1, Math.round(request.deadlineAtMs - env.nowMs()))
      const resolved = await parts.sender.resolve(
        attempt, ARRIVAL_GRACE_MS, Math.min(RESOLVE_WAIT_MS, remainingMs), signal)
      if (resolved.kind !== 'result') return { type: 'resolved', state: resolved.kind }
      answer = resolved.answer
      return { type: 'resolved', state: 'result' }
    }

    function isPastDeadline (): boolean {
      if (env.nowMs() < request.deadlineAtMs) return false
      lastRefusal = deadlineRefusal()
      return true
    }

    /** @returns undefined when the caller's deadline comes first. */
    async function withinDeadline<T> (pending: Promise<T>): Promise<T | undefined> {
      const first = await withTimeout(Math.max(0, request.deadlineAtMs - env.nowMs()), pending)
      if (first === undefined) lastRefusal = deadlineRefusal()
      return first
    }
  }
}

async function withTimeout<T> (timeoutMs: number, pending: Promise<T>): Promise<T | undefined> {
  const timer = new AbortController()
  const timeout = timers.setTimeout(timeoutMs, undefined, { signal: timer.signal }).catch(() => undefined)
  const first = await Promise.race([pending, timeout])
  timer.abort()
  return first
}

function deadlineRefusal (): outcomes.Refusal {
  return outcomes.refuse('deadline_exceeded', 504, 'not_run', 'the deadline has passed')
}

function refusalOf (result: claims.KeyedCallResult, lastRefusal: outcomes.Refusal): outcomes.Refusal {
  switch (result) {
    case 'key_reused':
      return outcomes.refuse('key_reused', 422, 'not_run', 'idempotency-key: the key was used for another request')
    case 'store_unavailable':
      return outcomes.refuse('claim_unavailable', 503, 'may_have_run',
        'idempotency-key: the claims cannot be read; an earlier request with the key may have run', RETRY_AFTER_MS)
    case 'not_run': return { ...lastRefusal, outcome: 'not_run' }
    default:
      return lastRefusal.outcome === 'may_have_run' || lastRefusal.reason === 'deadline_exceeded'
        ? { ...lastRefusal, outcome: 'may_have_run' }
        : outcomes.refuse('backend_unreachable', 503, 'may_have_run',
          'idempotency-key: what became of the earlier request with the key is not known', RETRY_AFTER_MS)
  }
}
