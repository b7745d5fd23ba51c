/**
 * Outcomes of requests and of attempts. Expected failures are returned as values of these types, not thrown.
 */

/**
 * What the system guarantees about a request: `not_run` means that no backend server runs it, now or later;
 * `may_have_run` means that this cannot be excluded.
 */
export type Outcome = 'not_run' | 'completed' | 'may_have_run'

/** Why a request was refused or abandoned. Callers see these values, so they are stable. */
export type RefusalReason =
  | 'invalid_request'
  | 'unauthenticated'
  | 'unknown_model'
  | 'unknown_service'
  | 'team_limit'
  | 'overloaded'
  | 'deadline_exceeded'
  | 'draining'
  | 'no_backend_server'
  | 'quarantined'
  | 'backend_crashed'
  | 'backend_unreachable'
  | 'answer_interrupted'
  | 'claim_unavailable'
  | 'key_expired'
  | 'key_reused'
  | 'attempt_superseded'
  | 'wrong_incarnation'
  | 'duplicate_attempt'
  | 'configuration_stale'
  | 'not_found'
  | 'conflict'
  | 'too_large'
  | 'cancelled'

/** Final answer for a request that got no answer from a backend server. */
export interface Refusal {
  kind: 'refused'
  outcome: Outcome
  reason: RefusalReason
  /** HTTP status for the caller. */
  status: number
  /** One sentence for a human reader. */
  detail: string
  /** Time after which the caller may retry; absent when a retry cannot help. */
  retryAfterMs?: number
}

export function refuse (
  reason: RefusalReason, status: number, outcome: Outcome, detail: string, retryAfterMs?: number
): Refusal {
  return retryAfterMs === undefined
    ? { kind: 'refused', outcome, reason, status, detail }
    : { kind: 'refused', outcome, reason, status, detail, retryAfterMs }
}
