/**
 * Claims of idempotency keys, and the pure state transitions of one keyed call. A claim names the only attempt that may
 * run the request; it is replaced only once that attempt is known never to run.
 */

export interface AttemptRef {
  attemptId: string
  agentIncarnation: string
  /** IP address and port of the agent. */
  agentAddress: string
}

/** `released`: the attempt never runs, and a caller has received this as its answer. */
export interface Claim extends AttemptRef {
  fingerprint: string
  state: 'open' | 'released'
}

export interface HeldClaim {
  revision: number
  claim: Claim
}

/** A claim as stored in the table. */
export interface ClaimRow extends HeldClaim {
  /** Identifies the write that created the row. */
  operationId: string
}

/** One write of a claim. Its operation id stays the same however often, and by whichever entry, it is sent. */
export interface ClaimOperation {
  key: string
  write: ClaimWrite
  operationId: string
}

/** Result of one conditional write of a row. */
export type RowWriteResult =
  | { kind: 'committed' }
  | { kind: 'conflict', row: ClaimRow | undefined }
  | { kind: 'unavailable' }

export type ClaimWriteResult =
  | { kind: 'committed' }
  | { kind: 'conflict', held: HeldClaim | undefined }
  | { kind: 'unavailable' }

/** How an attempt that was sent ended; `superseded`: refused, because another entry had tombstoned it. */
export type SendResult = 'answered' | 'not_run' | 'superseded' | 'may_have_run'

/** State of an attempt as reported by its agent; `unknown` also when the agent is gone or does not answer. */
export type ResolvedState = 'result' | 'running' | 'tombstoned' | 'unknown'

export type KeyedEvent =
  | { type: 'reserved', attempt: AttemptRef }
  /** No backend server accepts a new attempt, or there is no time left for one. */
  | { type: 'no_server' }
  | { type: 'committed' }
  | { type: 'released' }
  | { type: 'conflict', held: HeldClaim | undefined }
  | { type: 'read', held: HeldClaim | undefined }
  | { type: 'store_unavailable' }
  | { type: 'sent', result: SendResult }
  | { type: 'resolved', state: ResolvedState }
  | { type: 'deadline' }

export type KeyedCallResult =
  /** The answer to this entry's own attempt. */
  | 'answered'
  /** The recorded result of the attempt that the claim names. */
  | 'replayed'
  | 'not_run'
  | 'may_have_run'
  | 'store_unavailable'
  /** The key was used for another request; this one never runs. */
  | 'key_reused'

export interface ClaimWrite {
  claim: Claim
  /** 0 when no claim may exist yet. */
  expectedRevision: number
}

export type KeyedCommand =
  /** Choose a backend server and an attempt; nothing is sent yet. */
  | { type: 'reserve' }
  | { type: 'read' }
  | { type: 'write', write: ClaimWrite }
  /** Mark the claim as released. Its success shows that no other entry has taken the key over. */
  | { type: 'release', write: ClaimWrite }
  | { type: 'send', attempt: AttemptRef }
  /** Cancel the attempt if it has not begun, or wait for its result. */
  | { type: 'resolve', attempt: AttemptRef }
  | { type: 'finish', result: KeyedCallResult }

export interface KeyedCall {
  fingerprint: string
  /** Attempt that this entry has reserved and not sent. */
  own: AttemptRef | undefined
  held: HeldClaim | undefined
  /** The attempt of the held claim is known never to run. */
  isKnownNotRun: boolean
  /**
   * Another entry took the key over from this call. The caller may have received its final answer there, so this call
   * only waits for the result of the other attempt and starts no further one.
   */
  isSuperseded: boolean
}

export interface KeyedStep {
  call: KeyedCall
  command: KeyedCommand
}

/**
 * Turns the result of a row's write into that of the claim's write. A write may be sent more than once and by different
 * entries, under one operation id: later copies conflict with the row that the first one wrote, and count as committed.
 */
export function resolveWriteResult (operationId: string, result: RowWriteResult): ClaimWriteResult {
  if (result.kind !== 'conflict') return result
  if (result.row?.operationId === operationId) return { kind: 'committed' }
  return {
    kind: 'conflict',
    held: result.row === undefined ? undefined : { revision: result.row.revision, claim: result.row.claim }
  }
}

export function startKeyedCall (fingerprint: string): KeyedStep {
  return {
    call: { fingerprint, own: undefined, held: undefined, isKnownNotRun: false, isSuperseded: false },
    command: { type: 'reserve' }
  }
}

export function advanceKeyedCall (call: KeyedCall, event: KeyedEvent): KeyedStep {
  switch (event.type) {
    case 'reserved': return write({ ...call, own: event.attempt })
    case 'no_server':
      if (call.isKnownNotRun) return release(call)
      // As long as the claim has not been read, an earlier request with the key may have run.
      return call.held === undefined ? { call, command: { type: 'read' } } : finish(call, 'may_have_run')
    case 'committed': {
      const revision = (call.held?.revision ?? 0) + 1
      const held = { revision, claim: claimOf(call, call.own!) }
      return { call: { ...call, held, isKnownNotRun: false }, command: { type: 'send', attempt: call.own! } }
    }
    case 'released': return finish(call, 'not_run')
    case 'conflict':
      // A row that disappeared has expired, and nothing else records whether a request with the key ran.
      return event.held === undefined ? finish(call, 'may_have_run') : continueWithClaim(call, event.held)
    case 'read':
      if (event.held !== undefined) return continueWithClaim(call, event.held)
      return finish(call, call.held === undefined ? 'not_run' : 'may_have_run')
    case 'store_unavailable': return finish(call, 'store_unavailable')
    case 'sent': return afterSent({ ...call, own: undefined }, event.result)
    case 'resolved': return afterResolved(call, event.state)
    case 'deadline': return finish(call, 'may_have_run')
  }
}

function continueWithClaim (call: KeyedCall, held: HeldClaim): KeyedStep {
  if (held.claim.fingerprint !== call.fingerprint) return finish(call, 'key_reused')
  const next: KeyedCall = { ...call, held, isKnownNotRun: held.claim.state === 'released' }
  // The write took effect, but its response was lost.
  if (held.claim.state === 'open' && held.claim.attemptId === call.own?.attemptId) {
    return { call: next, command: { type: 'send', attempt: call.own } }
  }
  return next.isKnownNotRun ? replace(next) : { call: next, command: { type: 'resolve', attempt: held.claim } }
}

function afterSent (call: KeyedCall, result: SendResult): KeyedStep {
  switch (result) {
    case 'answered': return finish(call, 'answered')
    case 'may_have_run': return finish(call, 'may_have_run')
    case 'superseded': return { call: { ...call, isSuperseded: true }, command: { type: 'read' } }
    case 'not_run': return replace({ ...call, isKnownNotRun: true })
  }
}

function afterResolved (call: KeyedCall, state: ResolvedState): KeyedStep {
  switch (state) {
    case 'result': return finish(call, 'replayed')
    case 'running': return { call, command: { type: 'resolve', attempt: call.held!.claim } }
    case 'unknown': return finish(call, 'may_have_run')
    case 'tombstoned': return replace({ ...call, isKnownNotRun: true })
  }
}

function replace (call: KeyedCall): KeyedStep {
  if (call.isSuperseded) return release(call)
  return call.own === undefined ? { call, command: { type: 'reserve' } } : write(call)
}

function write (call: KeyedCall): KeyedStep {
  const expectedRevision = call.held?.revision ?? 0
  return { call, command: { type: 'write', write: { claim: claimOf(call, call.own!), expectedRevision } } }
}

function claimOf (call: KeyedCall, attempt: AttemptRef): Claim {
  const { attemptId, agentIncarnation, agentAddress } = attempt
  return { attemptId, agentIncarnation, agentAddress, fingerprint: call.fingerprint, state: 'open' }
}

function release (call: KeyedCall): KeyedStep {
  const { claim, revision } = call.held!
  if (claim.state === 'released') return finish(call, 'not_run')
  const write = { claim: { ...claim, state: 'released' as const }, expectedRevision: revision }
  return { call, command: { type: 'release', write } }
}

function finish (call: KeyedCall, result: KeyedCallResult): KeyedStep {
  return { call, command: { type: 'finish', result } }
}
