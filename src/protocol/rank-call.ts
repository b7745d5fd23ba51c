/**
 * Calls of a group's lead to the agents of its ranks, as JSON over HTTP.
 */

import * as socketAddress from './socket-address.js'
import type * as countWindow from '../state/count-window.js'
import type * as mapChanges from '../state/map-changes.js'
import type * as rankSwitch from '../state/rank-switch.js'
import type * as rankControl from './rank-control.js'

/** A prepare order that gives the map as its difference from one that the agent has. */
export interface PrepareChanges {
  kind: 'prepare_changes'
  version: number
  /** Version of the map that the changes start from. */
  baseVersion: number
  changes: mapChanges.MapChanges
  /** Digest of the whole map. */
  digest: string
}

export type RankCall =
  | { kind: 'order', group: string, epoch: number, term: number, order: rankControl.RankOrder | PrepareChanges }
  | { kind: 'state' }
  /** @property windowMs length of the window that the counts cover. */
  | { kind: 'counts', sets: number, windowMs: number }
  | { kind: 'placed' }
  /** Adds up the counts of this agent's rank and of those beside other agents. @property agents their addresses. */
  | { kind: 'sum_counts', agents: string[], experts: number, counts: { kind: 'counts', sets: number, windowMs: number } }
  /** Passes a call on to other agents, maybe this one too. @property timeoutMs maximum wait for each of them. */
  | { kind: 'relay', targets: { rank: number, address: string }[], call: RankCall, timeoutMs: number }
  /** Whether the agent leads the group. */
  | { kind: 'lead', group: string }

/** A call as sent: each one from a lead shows that it is alive. */
export interface SentRankCall {
  call: RankCall
  /** The caller; undefined when it does not lead. */
  lead: { group: string, term: number, address: string } | undefined
}

export type RankCallAnswer =
  | { kind: 'ordered', outcome: rankControl.OrderOutcome, state: rankSwitch.RankState | undefined, ageMs: number }
  | { kind: 'state', state: rankSwitch.RankState | undefined, ageMs: number }
  | { kind: 'counts', counts: countWindow.PackedCounts | undefined }
  | { kind: 'placed', placed: rankControl.PlacedExperts | undefined }
  /** Answers of the agents that answered. */
  | { kind: 'relayed', answers: { rank: number, answer: RankCallAnswer }[] }
  /** Term of the agent's own lead; undefined when it does not lead the group. */
  | { kind: 'lead', term: number | undefined }
  /** The agent can't build the map of `prepare_changes`; it needs the whole map. */
  | { kind: 'map_unknown' }
  /** The caller no longer leads, or the call can't be parsed. */
  | { kind: 'rejected', reason: string }

export const RANK_CALL_PATH = '/rank'

/** @returns undefined for a value that is not a call, for example of another version of the software. */
export function parseRankCall (value: unknown): SentRankCall | undefined {
  const { call, lead } = (value ?? {}) as Partial<SentRankCall>
  if (!isRankCall(call)) return undefined
  const isLead = lead !== undefined && lead !== null && typeof lead.group === 'string' &&
    Number.isSafeInteger(lead.term) && socketAddress.isSocketAddress(lead.address)
  return { call, lead: isLead ? lead : undefined }
}

function isRankCall (value: unknown): value is RankCall {
  const call = (value ?? {}) as Partial<RankCall>
  switch (call.kind) {
    case 'state':
    case 'placed': return true
    case 'lead': return typeof call.group === 'string'
    case 'counts': return isCountsCall(call)
    case 'sum_counts': return isCountsCall(call.counts) && isAddresses(call.agents) && Number.isInteger(call.experts)
    case 'relay':
      return isAddresses(call.targets?.map?.(target => target?.address)) && Number.isFinite(call.timeoutMs) &&
        call.call?.kind !== 'relay' && isRankCall(call.call)
    case 'order': return typeof call.order?.kind === 'string' && [call.epoch, call.term].every(Number.isSafeInteger)
    default: return false
  }
}

function isCountsCall (call: Partial<RankCall & { kind: 'counts' }> | undefined): boolean {
  return call?.kind === 'counts' && Number.isInteger(call.sets) && Number.isFinite(call.windowMs)
}

function isAddresses (value: unknown): boolean {
  return Array.isArray(value) && value.every(socketAddress.isSocketAddress)
}
