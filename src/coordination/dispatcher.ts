/**
 * Runs a call without an idempotency key on a backend server: chooses one, sends the attempt to its agent, and
 * retries on another one where that is allowed.
 */

import type * as attemptPolicy from './attempt-policy.js'
import type * as attemptSender from './attempt-sender.js'
import type * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as call from '../protocol/call.js'
import * as outcomes from '../state/outcome.js'
import type * as route from '../state/route.js'

/** A refusal names the last attempt that a backend server may still run. */
export type DispatchResult = attemptSender.DispatchedAnswer | attemptSender.FailedAttempt

export interface Dispatcher {
  /** @param earlier `may_have_run` when an earlier run of the same request cannot be excluded. */
  run (request: call.Call, signal: AbortSignal, earlier?: outcomes.Outcome): Promise<DispatchResult>
}

export interface DispatcherParts {
  servers: serverTask.ServerTask
  sender: attemptSender.AttemptSender
  attempts: attemptPolicy.AttemptPolicy
}

const MAX_ATTEMPTS = 4
const RETRY_AFTER_MS = 1_000

export function createDispatcher (env: environment.Environment, parts: DispatcherParts): Dispatcher {
  return { run }

  async function run (
    request: call.Call, signal: AbortSignal, earlier: outcomes.Outcome = 'not_run'
  ): Promise<DispatchResult> {
    const excluded = new Set<string>()
    let last: attemptSender.FailedAttempt = outcomes.refuse('no_backend_server', 503, earlier, 'no backend server can take the request', RETRY_AFTER_MS)
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      if (env.nowMs() >= request.deadlineAtMs) {
        return outcomes.refuse('deadline_exceeded', 504, last.outcome, 'the deadline has passed')
      }
      const permit = parts.attempts.before(request, tries === 0 ? undefined : last, earlier)
      if (permit.kind === 'refused') return permit
      const choice = await parts.servers.pick({
        target: request.target, excluded: new Set([...excluded, ...permit.avoided])
      }, request.prefixes, permit.isAlone ? request.fingerprint : undefined)
      if (choice.kind === 'none') return refusalWithoutServer(request, choice, last)
      const server = choice.record.identity
      env.log.emit('serverChosen', {
        requestId: request.requestId, agentAddress: server.address, host: server.host, ...choice.explanation
      })
      excluded.add(server.incarnation)
      const result = await parts.sender.reserve(server).send(request, signal, permit.isAlone)
      if (result.kind === 'answer') return result
      env.log.emit('attemptFailed', {
        requestId: request.requestId, agentAddress: server.address, reason: result.reason, outcome: result.outcome
      })
      // Once an attempt may have run, the outcome is `may_have_run`, whatever the later attempts return.
      last = withUnanswered(last.outcome === 'may_have_run' ? { ...result, outcome: 'may_have_run' } : result, last)
      // A request that may have run is retried only if it is repeatable.
      if (last.outcome === 'may_have_run' && !request.isRepeatable) return last
      if (signal.aborted) return last
    }
    return last
  }
}

function refusalWithoutServer (
  request: call.Call, choice: route.RouteChoice & { kind: 'none' }, last: attemptSender.FailedAttempt
): attemptSender.FailedAttempt {
  if (choice.reason === 'unknown_target') {
    return withUnanswered(outcomes.refuse('no_backend_server', 503, last.outcome,
      `no backend server offers ${request.target.kind} service ${request.target.name}`, RETRY_AFTER_MS), last)
  }
  return last
}

/** Keeps the unanswered attempt of an earlier failure. */
function withUnanswered (
  failed: attemptSender.FailedAttempt, { unanswered }: attemptSender.FailedAttempt
): attemptSender.FailedAttempt {
  return failed.unanswered !== undefined || unanswered === undefined ? failed : { ...failed, unanswered }
}
