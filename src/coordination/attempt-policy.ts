/**
 * Rules that the dispatcher asks before and after each attempt: the retry budget, and the quarantine of requests
 * that crash backend servers.
 */

import type * as environment from './environment.js'
import type * as call from '../protocol/call.js'
import * as admission from '../state/admission.js'
import * as outcomes from '../state/outcome.js'
import * as quarantine from '../state/quarantine.js'
import * as retryBudget from '../state/retry-budget.js'

export type AttemptPermit =
  /** `avoided`: servers that a request which runs alone should not be tried on again. */
  | { kind: 'go', isAlone: boolean, avoided: ReadonlySet<string> }
  | outcomes.Refusal

export interface CrashRecord {
  fingerprint: string
  state: quarantine.SuspectState
  crashedIncarnations: string[]
  timeToLiveMs: number
}

export interface AttemptPolicy {
  /**
   * @param last refusal of the attempt before, or undefined for the first attempt.
   * @param earlier what is known of earlier runs of the request.
   */
  before (request: call.Call, last: outcomes.Refusal | undefined, earlier?: outcomes.Outcome): AttemptPermit
  /** @param refusal undefined when the backend server answered. */
  after (request: call.Call, agentIncarnation: string, isAlone: boolean, refusal: outcomes.Refusal | undefined): void
  /** Takes the end of an answer; `isComplete` that its last byte came. */
  noteEnd (request: call.Call, isAlone: boolean, isComplete: boolean): void
  /** Takes a crash that an agent saw. */
  noteCrash (fingerprints: readonly string[], agentIncarnation: string): void
  receiveRecord (record: CrashRecord): void
  records (): CrashRecord[]
}

const NO_INCARNATIONS: ReadonlySet<string> = new Set()

/** Refusals after which no backend server did any work; a retry elsewhere costs it nothing either. */
const FREE_RETRY_REASONS = new Set<outcomes.RefusalReason>(['draining', 'backend_unreachable'])

/** @param announce tells the other entries ahead of the next heartbeat. */
export function createAttemptPolicy (env: environment.Environment, announce: () => void): AttemptPolicy {
  const budget = retryBudget.createRetryBudget(env.nowMs())
  const suspects = quarantine.createQuarantine()

  return {
    before (request, last, earlier = 'not_run') {
      const decision = quarantine.decideRunMode(suspects, request.fingerprint, env.nowMs())
      if (decision === 'quarantined') {
        return outcomes.refuse('quarantined', 422, last?.outcome ?? earlier,
          'the request was running when several backend servers crashed')
      }
      if (last === undefined) retryBudget.noteRequest(budget, env.nowMs())
      else if (!isFreeRetry(last) && !retryBudget.takeRetry(budget)) {
        return { ...last, retryAfterMs: admission.retryAfterMs(env.random) }
      }
      const isAlone = decision === 'alone'
      const avoided = isAlone ? quarantine.crashedIncarnations(suspects, request.fingerprint) : NO_INCARNATIONS
      return { kind: 'go', isAlone, avoided }
    },
    after (request, agentIncarnation, isAlone, refusal) {
      if (refusal === undefined) {
        return
      }
      // At the deadline the entry gives up a request that may run well, so that says nothing about a crash.
      if (refusal.reason !== 'backend_crashed' || env.nowMs() >= request.deadlineAtMs) return
      // The entry knows of the crash ahead of the agent's report; what else was running there it does not know.
      take(isAlone ? [request.fingerprint] : [request.fingerprint, ''], agentIncarnation)
    },
    noteEnd (request, isAlone, isComplete) {
      if (isComplete && quarantine.noteCompleted(suspects, request.fingerprint, isAlone)) announce()
    },
    noteCrash: take,
    receiveRecord (record) {
      const before = quarantine.decideRunMode(suspects, record.fingerprint, env.nowMs())
      if (quarantine.applyRecord(suspects, record, env.nowMs())) noteChange([record.fingerprint], [before])
    },
    records: () => quarantine.activeRecords(suspects, env.nowMs()).map(suspicion => ({
      fingerprint: suspicion.fingerprint,
      state: suspicion.state,
      crashedIncarnations: [...suspicion.crashedIncarnations],
      timeToLiveMs: Math.round(suspicion.expiresAtMs - env.nowMs())
    }))
  }

  function take (fingerprints: readonly string[], agentIncarnation: string): void {
    const before = fingerprints.map(fingerprint => quarantine.decideRunMode(suspects, fingerprint, env.nowMs()))
    if (quarantine.applyCrash(suspects, fingerprints, agentIncarnation, env.nowMs())) noteChange(fingerprints, before)
  }

  function noteChange (fingerprints: readonly string[], before: readonly quarantine.RunMode[]): void {
    fingerprints.forEach((fingerprint, index) => {
      const now = quarantine.decideRunMode(suspects, fingerprint, env.nowMs())
      if (now === 'quarantined' && before[index] !== 'quarantined') env.log.emit('requestQuarantined', { fingerprint })
    })
    announce()
  }
}

function isFreeRetry (refusal: outcomes.Refusal): boolean {
  // The process that the attempt was for is gone, and with it the work.
  if (refusal.reason === 'wrong_incarnation') return true
  return refusal.outcome === 'not_run' && FREE_RETRY_REASONS.has(refusal.reason)
}
