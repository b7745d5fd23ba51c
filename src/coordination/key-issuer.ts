/**
 * Issues idempotency keys and holds their claims. A call with a key of another entry is forwarded to that entry.
 */

import * as crypto from 'node:crypto'
import type * as claimStore from './claim-store.js'
import type * as dispatcher from './dispatcher.js'
import type * as environment from './environment.js'
import type * as membershipTask from './membership-task.js'
import type * as call from '../protocol/call.js'
import * as headers from '../protocol/headers.js'
import * as problem from '../protocol/problem.js'
import type * as claims from '../state/claim.js'
import * as issuedKeys from '../state/issued-keys.js'
import * as membership from '../state/membership.js'
import * as outcomes from '../state/outcome.js'
import type * as backendClient from '../transport/backend-client.js'

export interface KeyIssuer {
  issue (team: string, count: number): string[]
  readonly claims: claimStore.ClaimStore
  /**
   * Finds the entry that handles a call with the key; a refusal when the key cannot be used.
   * @param isForwarded whether another entry forwarded the call, which is then not forwarded again.
   */
  locate (request: call.Call, key: issuedKeys.IssuedKey, isForwarded: boolean): Promise<KeyLocation>
  /** Sends the call to the entry that issued its key and returns that entry's answer unchanged. */
  forward (
    request: call.Call, address: string, authorization: string, signal: AbortSignal
  ): Promise<dispatcher.DispatchResult>
}

export type KeyLocation =
  | { kind: 'here', claimKey: string }
  | { kind: 'elsewhere', address: string }
  | outcomes.Refusal

export interface KeyIssuerParts {
  entryIncarnation: string
  members: membershipTask.MembershipTask
  client: backendClient.BackendClient
}

const SIGNATURE_CHARACTERS = 32
const LIVENESS_CHECK_PERIOD_MS = 500

export function createKeyIssuer (env: environment.Environment, parts: KeyIssuerParts): KeyIssuer {
  const keys = issuedKeys.createIssuedKeys()
  const secret = crypto.randomBytes(32)
  const store: claimStore.ClaimStore = {
    read: async key => issuedKeys.keyStatus(keys, Number(key), env.nowMs()) === 'valid'
      ? { kind: 'ok', value: keys.claims.get(Number(key)) }
      : { kind: 'unavailable', detail: 'the key has expired' },
    write: async (key, write: claims.ClaimWrite) => issuedKeys.writeIssuedClaim(keys, Number(key), write)
  }
  return {
    claims: store,
    issue: (team, count) => issuedKeys.issueNumbers(keys, count, env.nowMs()).map(number =>
      issuedKeys.formatIssuedKey({ entryIncarnation: parts.entryIncarnation, number, signature: sign(team, number) })),
    locate,
    forward
  }

  function sign (team: string, number: number): string {
    return crypto.createHmac('sha256', secret).update(`${number}:${team}`).digest('hex').slice(0, SIGNATURE_CHARACTERS)
  }

  async function locate (request: call.Call, key: issuedKeys.IssuedKey, isForwarded: boolean): Promise<KeyLocation> {
    if (key.entryIncarnation === parts.entryIncarnation) {
      const expected = sign(request.team.name, key.number)
      const status = issuedKeys.keyStatus(keys, key.number, env.nowMs())
      if (!crypto.timingSafeEqual(Buffer.from(expected), Buffer.from(key.signature)) || status === 'never_issued') {
        return outcomes.refuse('invalid_request', 400, 'not_run', 'idempotency-key: not a key issued to this team')
      }
      if (status === 'expired') {
        return outcomes.refuse('key_expired', 409, 'may_have_run', 'idempotency-key: the key is no longer valid')
      }
      return { kind: 'here', claimKey: String(key.number) }
    }
    const address = isForwarded ? undefined : await issuerAddress(key.entryIncarnation)
    return address === undefined ? issuerLostRefusal() : { kind: 'elsewhere', address }
  }

  async function forward (
    request: call.Call, address: string, authorization: string, signal: AbortSignal
  ): Promise<dispatcher.DispatchResult> {
    const remainingMs = Math.max(1, Math.round(request.deadlineAtMs - env.nowMs()))
    const issuerLost = new AbortController()
    // An issuer that stopped without closing its connections would keep the caller waiting until the deadline.
    const timer = setInterval(() => {
      parts.members.read(members => isAliveAt(members, address, env.nowMs())).then(isAlive => {
        if (!isAlive) issuerLost.abort()
      }, () => {})
    }, LIVENESS_CHECK_PERIOD_MS)
    const result = await parts.client.request({
      address,
      method: request.method,
      path: request.callerPath,
      headers: {
        ...request.headers,
        authorization,
        [headers.callerHeaders.requestTimeoutMs]: String(remainingMs),
        [headers.agentHeaders.forwarded]: '1'
      },
      body: request.body.length === 0 ? undefined : request.body,
      timeoutMs: remainingMs,
      signal: AbortSignal.any([signal, issuerLost.signal])
    })
    clearInterval(timer)
    if (result.kind !== 'answer') return issuerLostRefusal()
    const outcome = headers.headerValue(result.headers, headers.callerHeaders.outcome)
    if (outcome === 'completed') {
      // The attempt belongs to the issuer, so a broken answer is fetched again by the key and not by the attempt.
      const server = { incarnation: '', address, host: '' }
      return { kind: 'answer', server, attemptId: '', answer: result, finish: () => {} }
    }
    const refusal = await problem.readProblem(result.body)
    return outcome === undefined || refusal === undefined ? issuerLostRefusal() : refusal
  }

  async function issuerAddress (incarnation: string): Promise<string | undefined> {
    return parts.members.read(members => [...members.entries.values()].find(member =>
      member.identity?.incarnation === incarnation && membership.isAlive(member, env.nowMs()))?.address)
  }
}

function isAliveAt (members: membership.Membership, address: string, nowMs: number): boolean {
  return [...members.entries.values()].some(member => member.address === address && membership.isAlive(member, nowMs))
}

/** It is not known whether the issuer sent the call to a backend server, and no other entry may send it. */
function issuerLostRefusal (): outcomes.Refusal {
  return outcomes.refuse('key_expired', 503, 'may_have_run', 'idempotency-key: the entry that issued the key is gone')
}
