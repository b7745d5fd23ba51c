/**
 * Rules that the dispatcher applies before and after each attempt: the retry budget, and the quarantine of requests
 * that crash backend servers.
 */

import type * as environment from './environment.js'
import type * as call from '../protocol/call.js'
import * as admission from '../state/admission.js'
import * as outcomes from '../state/outcome.js'
import * as quarantine from '../state/quarantine.js'
import * as retryBudget from '../state/retry-budget.js'

export type AttemptPermit =
  /** `avoided`: incarnations that crashed with a request that must run alone; it should not run on them again. */
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
   * Decides whether the attempt may be made; a retry is deducted from the retry budget unless it needs none.
   * @param last refusal of the previous attempt; undefined for the first attempt.
   * @param earlier outcome of earlier runs of the request.
   */
  before (request: call.Call, last: outcomes.Refusal | undefined, earlier?: outcomes.Outcome): AttemptPermit
  /** Records the result of an attempt. @param refusal undefined when the backend server answered. */
  after (request: call.Call, agentIncarnation: string, isAlone: boolean, refusal: outcomes.Refusal | undefined): void
  /** Records the end of an answer; `isComplete` means that its last byte was received. */
  noteEnd (request: call.Call, isAlone: boolean, isComplete: boolean): void
  /** Records a crash that an agent reported. */
  noteCrash (fingerprints: readonly string[], agentIncarnation: string): void
  /** Merges a record of another entry. */
  receiveRecord (record: CrashRecord): void
  /** Active records, for the other entries. */
  records (): CrashRecord[]
}

const NO_INCARNATIONS: ReadonlySet<string> = new Set()

/** Refusals after which no backend server did any work: a retry elsewhere needs no retry budget. */
const FREE_RETRY_REASONS = new Set<outcomes.RefusalReason>(['draining', 'backend_unreachable'])

/** @param announce sends the records to the other entries ahead of the next heartbeat. */
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
      // At the deadline the entry abandons a request that may be running normally, so this is no sign of a crash.
      if (refusal.reason !== 'backend_crashed' || env.nowMs() >= request.deadlineAtMs) return
      // The entry knows of the crash before the agent reports it, but not which other requests were running there:
      // the empty fingerprint stands for those.
      applyCrash(isAlone ? [request.fingerprint] : [request.fingerprint, ''], agentIncarnation)
    },
    noteEnd (request, isAlone, isComplete) {
      if (isComplete && quarantine.noteCompleted(suspects, request.fingerprint, isAlone)) announce()
    },
    noteCrash: applyCrash,
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

  function applyCrash (fingerprints: readonly string[], agentIncarnation: string): void {
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
  // The process that the attempt was addressed to has ended, and its work with it.
  if (refusal.reason === 'wrong_incarnation') return true
  return refusal.outcome === 'not_run' && FREE_RETRY_REASONS.has(refusal.reason)
}
