/**
 * Datagrams between entries about the limits of backend servers.
 */

import * as socketAddress from './socket-address.js'

export type LimitMessage = LimitsMessage | PermitDemandMessage | PermitsMessage

/** Limits that the sender knows of. */
export interface LimitsMessage {
  kind: 'limits'
  limits: ToldLimit[]
}

/** A negative limit has ended. The age is the time since the response that stated it. */
export type ToldLimit = [backendId: string, startedAtUnixMs: number, perSecond: number, ageMs: number]

/** To the entry that grants permits for a service. */
export interface PermitDemandMessage {
  kind: 'permitDemand'
  service: string
  /** Address of the sender for datagrams. */
  entry: string
  /** Calls that wait, less the permits that the sender holds. */
  waiting: number
  /** Requests a second for the service. */
  perSecond: number
  /** Requests that the sender sent without a permit from the receiver. */
  sent: SentRequest[]
  /** Permits of the receiver that ended unused; undefined in messages of earlier versions. */
  unused?: UnusedPermits[]
}

export type SentRequest = [backendId: string, startedAtUnixMs: number, ageMs: number]

export type UnusedPermits = [backendId: string, startedAtUnixMs: number, count: number]

/** From the entry that grants permits for a service. */
export interface PermitsMessage {
  kind: 'permits'
  service: string
  /** Calls that wait at all entries. */
  waiting: number
  permits: Permit[]
}

export type Permit = [backendId: string, startedAtUnixMs: number, lifetimeMs: number]

/** Limits in one message, which keeps a datagram below the usual 1,400 bytes. */
export const MAX_TOLD_LIMITS = 20
export const MAX_SENT_REQUESTS = 32
/** Permits in one message, for the same reason. */
export const MAX_PERMITS = 20
/** Backend servers of unused permits in one message, for the same reason. */
export const MAX_UNUSED = 20

export function isLimitMessage (message: object | null): message is LimitMessage {
  const { kind, ...fields } = (message ?? {}) as Record<string, unknown>
  if (kind === 'limits') return isListOf(fields['limits'], 4)
  if (kind === 'permits') {
    return typeof fields['service'] === 'string' && isCount(fields['waiting']) && isListOf(fields['permits'], 3)
  }
  return kind === 'permitDemand' && typeof fields['service'] === 'string' && socketAddress.isSocketAddress(fields['entry']) &&
    isCount(fields['waiting']) && isCount(fields['perSecond']) && isListOf(fields['sent'], 3) &&
    (fields['unused'] === undefined || isListOf(fields['unused'], 3))
}

function isCount (value: unknown): boolean {
  return Number.isFinite(value) && (value as number) >= 0
}

/** Whether the value is a list of an id and numbers each. */
function isListOf (value: unknown, length: number): boolean {
  return Array.isArray(value) && value.every(item => Array.isArray(item) && item.length === length &&
    typeof item[0] === 'string' && item.slice(1).every(Number.isFinite))
}
