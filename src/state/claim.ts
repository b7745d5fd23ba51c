/**
 * Claims of idempotency keys, and the pure transitions of one keyed call. A claim names the one attempt that may
 * run the request; it is replaced only after that attempt is known never to run.
 */

export interface AttemptRef {
  attemptId: string
  agentIncarnation: string
  /** IP address and port of the agent. */
  agentAddress: string
}

/** `released`: the attempt never runs, and a caller was told so. */
export interface Claim extends AttemptRef {
  fingerprint: string
  state: 'open' | 'released'
}

export interface HeldClaim {
  revision: number
  claim: Claim
}

/** A claim as the table holds it. */
export interface ClaimRow extends HeldClaim {
  /** Names the write that made the row. */
  operationId: string
}

/** One write of a claim. It keeps its operation id however often and by whichever entry it is sent. */
export interface ClaimOperation {
  key: string
  write: ClaimWrite
  operationId: string
}

/** How one conditional write of a row ended. */
export type RowWriteResult =
  | { kind: 'committed' }
  | { kind: 'conflict', row: ClaimRow | undefined }
  | { kind: 'unavailable' }

export type ClaimWriteResult =
  | { kind: 'committed' }
  | { kind: 'conflict', held: HeldClaim | undefined }
  | { kind: 'unavailable' }

/** How an attempt that was sent ended; `superseded`: a tombstone of another entry refused it. */
export type SendResult = 'answered' | 'not_run' | 'superseded' | 'may_have_run'

/** What an agent says of an attempt; `unknown` also when the agent is gone or does not answer. */
export type ResolvedState = 'result' | 'running' | 'tombstoned' | 'unknown'

export type KeyedEvent =
  | { type: 'reserved', attempt: AttemptRef }
  /** No backend server can take a new attempt, or the time for one is over. */
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
  /** The answer of this entry's own attempt. */
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
  /** 0 when there must be no claim. */
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
  /** Attempt reserved by this entry and not sent. */
  own: AttemptRef | undefined
  held: HeldClaim | undefined
  /** The attempt of the held claim is known never to run. */
  isKnownNotRun: boolean
  /**
   * Another entry took the key over from this call. The caller may have had its final answer there, so that this
   * call only joins and starts no further attempt.
   */
  isSuperseded: boolean
}

export interface KeyedStep {
  call: KeyedCall
  command: KeyedCommand
}

/**
 * A write may be sent more than once and by different entries, under one operation id. The copies that come second
 * find the row that the first one made.
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
      // Without a look at the claim, an earlier request with the key may have run.
      return call.held === undefined ? { call, command: { type: 'read' } } : finish(call, 'may_have_run')
    case 'committed': {
      const revision = (call.held?.revision ?? 0) + 1
      const held = { revision, claim: claimOf(call, call.own!) }
      return { call: { ...call, held, isKnownNotRun: false }, command: { type: 'send', attempt: call.own! } }
    }
    case 'released': return finish(call, 'not_run')
    case 'conflict':
      // A row that vanished has expired, and with it what is known of the key.
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
  // The write took effect and its answer was lost.
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

function finish (call: KeyedCall, ending: KeyedCallResult): KeyedStep {
  return { call, command: { type: 'finish', result: ending } }
}
