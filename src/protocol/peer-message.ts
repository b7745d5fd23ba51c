/**
 * Datagrams between the processes of the system, as JSON. All are sent repeatedly, so a lost one does no harm.
 *
 * The two frequent kinds are arrays without names: in a deployment of two hundred processes they take most of the bytes
 * between failure domains, and the names would take three quarters of them.
 */

import * as limitMessages from './limit-messages.js'
import * as rankState from '../state/rank-state.js'
import * as socketAddress from './socket-address.js'
import type * as backendPool from '../state/backend-pool.js'
import type * as clusterView from '../state/cluster-view.js'
import type * as crashRecurrence from '../state/crash-recurrence.js'
import type * as crashSuspects from '../state/crash-suspects.js'

export type PeerMessage =
  | { kind: 'status', status: clusterView.PeerStatus, known: string[] }
  | LoadMessage
  /** From an agent to the lead of its group. */
  | { kind: 'rank', group: string, state: rankState.RankState, ageMs: number }
  /** From the lead of a group to the agents: who leads, and in which term. */
  | { kind: 'lead', group: string, term: number, address: string }
  | CrashMessage
  /** Between entries: an instance of a backend server has said that it leaves. */
  | { kind: 'leaving', backendId: string, startedAtUnixMs: number }
  | limitMessages.LimitMessage

/** Between entries: what one of them has learned about the causes of crashes. */
export type CrashMessage =
  | { kind: 'crash', interrupted: crashSuspects.InterruptedRequest }
  /** A crash interrupted a request, before or after its response began. */
  | { kind: 'crashed', request: crashRecurrence.CrashedRequest }
  /** Responses to requests with these features have begun since. */
  | { kind: 'cleared', features: string[] }
  | { kind: 'blamed', features: (readonly [feature: string, remainingMs: number])[] }
  /** Responses to requests with these features have ended whole. */
  | { kind: 'whole', features: string[] }
  /** Blamed since they recurred at crashes. */
  | { kind: 'recurring', features: (readonly [feature: string, remainingMs: number])[] }

/** From an agent to the entries: load of the rank at an address. */
export interface LoadMessage {
  kind: 'load'
  rankAddress: string
  /** Start of the rank's instance; undefined if it doesn't state it. */
  startedAtUnixMs: number | undefined
  /** The rank accepts no new work soon. */
  isLeaving: boolean
  load: backendPool.LoadReport
  step: number
  ageMs: number
}

/** Maximum number of peer addresses in one status message, which keeps a datagram below the usual 1,400 bytes. */
export const MAX_KNOWN_ADDRESSES = 40

export function encodeMessage (message: PeerMessage): Buffer {
  if (message.kind === 'load') return Buffer.from(JSON.stringify(encodeLoad(message)))
  if (message.kind === 'status') return Buffer.from(JSON.stringify(encodeStatus(message.status, message.known)))
  return Buffer.from(JSON.stringify(message))
}

/** @returns undefined when the bytes are not a message. */
export function decodeMessage (bytes: Buffer): PeerMessage | undefined {
  try {
    const parsed = JSON.parse(bytes.toString('utf8')) as unknown
    if (Array.isArray(parsed)) return parsed[0] === 'load' ? decodeLoad(parsed) : decodeStatus(parsed)
    const named = parsed as Partial<PeerMessage> | null
    if (isCrashMessage(named)) return named
    if (limitMessages.isLimitMessage(named)) return named
    if (isRankMessage(named) || isLeadMessage(named) || isLeavingMessage(named)) return named
  } catch {
    // Not JSON, so not sent by a process of this system.
  }
  return undefined
}

export function isCrashMessage (message: Partial<PeerMessage> | null): message is CrashMessage {
  if (message?.kind === 'cleared' || message?.kind === 'whole') return isTextList(message.features)
  if (message?.kind === 'crashed') {
    const { call, service, server, backend, request, parts } = message.request ?? {}
    return isTextList([call, service, server, backend, request]) && isTextList(parts)
  }
  if (message?.kind === 'blamed' || message?.kind === 'recurring') {
    return Array.isArray(message.features) && message.features.every(entry =>
      Array.isArray(entry) && typeof entry[0] === 'string' && Number.isFinite(entry[1]))
  }
  if (message?.kind !== 'crash') return false
  const { request, backend, parts, tried } = message.interrupted ?? {}
  return typeof request === 'string' && typeof backend === 'string' && isTextList(parts) && isTextList(tried)
}

type MessageOf<K extends PeerMessage['kind']> = PeerMessage & { kind: K }

function isRankMessage (message: Partial<PeerMessage> | null): message is MessageOf<'rank'> {
  if (message?.kind !== 'rank') return false
  return typeof message.group === 'string' && Number.isFinite(message.ageMs) && rankState.isRankState(message.state)
}

function isLeadMessage (message: Partial<PeerMessage> | null): message is MessageOf<'lead'> {
  return message?.kind === 'lead' && typeof message.group === 'string' && Number.isSafeInteger(message.term) &&
    socketAddress.isSocketAddress(message.address)
}

function isLeavingMessage (message: Partial<PeerMessage> | null): message is MessageOf<'leaving'> {
  return message?.kind === 'leaving' && typeof message.backendId === 'string' && Number.isFinite(message.startedAtUnixMs)
}

function isTextList (value: unknown): value is string[] {
  return Array.isArray(value) && value.every(item => typeof item === 'string')
}

/** Decimals of a slowdown factor that placement can tell apart. */
const SLOWDOWN_DECIMALS = 2

function encodeLoad ({ rankAddress, startedAtUnixMs, isLeaving, load, step, ageMs }: LoadMessage): unknown[] {
  return [
    'load', rankAddress, startedAtUnixMs ?? 0, Number(isLeaving), load.running, load.waiting, load.slots,
    Number(load.slowdown.toFixed(SLOWDOWN_DECIMALS)), load.cacheTokensUsed, step, ageMs
  ]
}

function decodeLoad (fields: unknown[]): LoadMessage | undefined {
  const [, rankAddress, ...numbers] = fields
  const isValid = typeof rankAddress === 'string' && numbers.length === 9 && numbers.every(Number.isFinite)
  if (!isValid) return undefined
  const [startedAtUnixMs, leaving, running, waiting, slots, slowdown, cacheTokensUsed, step, ageMs] =
    numbers as number[]
  return {
    kind: 'load',
    rankAddress,
    startedAtUnixMs: startedAtUnixMs === 0 ? undefined : startedAtUnixMs,
    isLeaving: leaving === 1,
    load: {
      running: running!, waiting: waiting!, slots: slots!, slowdown: slowdown!, cacheTokensUsed: cacheTokensUsed!
    },
    step: step!,
    ageMs: ageMs!
  }
}

function encodeStatus (status: clusterView.PeerStatus, known: string[]): unknown[] {
  const { backendRevision: { era, number }, rank } = status
  return [
    'status', status.address, status.role, status.failureDomain, status.state, status.clientAddress,
    status.configurationVersion, era, number, status.storeEra,
    rank === undefined ? [] : [rank.group, rank.rank, rank.address], known
  ]
}

function decodeStatus (fields: unknown[]): PeerMessage | undefined {
  const [kind, address, role, failureDomain, state, clientAddress, ...rest] = fields
  const [configurationVersion, era, number, storeEra, rank, known] = rest
  const isValid = kind === 'status' && socketAddress.isSocketAddress(address) &&
    [failureDomain, clientAddress].every(text => typeof text === 'string') &&
    (role === 'entry' || role === 'agent') && (state === 'starting' || state === 'ready' || state === 'draining') &&
    [configurationVersion, era, number, storeEra].every(Number.isSafeInteger) &&
    Array.isArray(rank) && isPeerRank(rank) && Array.isArray(known) && known.every(socketAddress.isSocketAddress)
  if (!isValid) return undefined
  const [group, rankNumber, rankAddress] = rank as [string, number, string]
  return {
    kind: 'status',
    status: {
      address,
      role: role as clusterView.ProcessRole,
      failureDomain: failureDomain as string,
      state: state as clusterView.ProcessState,
      clientAddress: clientAddress as string,
      configurationVersion: configurationVersion as number,
      backendRevision: { era: era as number, number: number as number },
      storeEra: storeEra as number,
      rank: rank.length === 0 ? undefined : { group, rank: rankNumber, address: rankAddress }
    },
    known: known as string[]
  }
}

/** Whether fields are empty or the group, number and address of a rank. */
function isPeerRank (fields: unknown[]): boolean {
  const [group, rank, address] = fields
  return fields.length === 0 ||
    (typeof group === 'string' && Number.isSafeInteger(rank) && socketAddress.isSocketAddress(address))
}
