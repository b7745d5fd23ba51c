/**
 * Datagrams between the processes of the system, as JSON. All are sent repeatedly, so a lost one does no harm.
 */

import type * as backendPool from '../state/backend-pool.js'
import type * as clusterView from '../state/cluster-view.js'
import type * as rankSwitch from '../state/rank-switch.js'

export type PeerMessage =
  | { kind: 'status', status: clusterView.PeerStatus, known: string[] }
  /** From an agent to the entries: load of the rank at an address. */
  | {
    kind: 'load',
    rankAddress: string,
    /** Start of the rank's instance; undefined if it doesn't state it. */
    startedAtUnixMs: number | undefined,
    /** The rank accepts no new work soon. */
    isLeaving: boolean,
    load: backendPool.LoadReport,
    step: number,
    ageMs: number
  }
  /** From an agent to the lead of its group. */
  | { kind: 'rank', group: string, state: rankSwitch.RankState, ageMs: number }
  /** From the lead of a group to the agents: who leads, and in which term. */
  | { kind: 'lead', group: string, term: number, address: string }
  /** Between entries: a backend server crashed while it ran the request with the fingerprint. */
  | { kind: 'crash', fingerprint: string, backendId: string }
  /** Between entries: an instance of a backend server has said that it leaves. */
  | { kind: 'leaving', backendId: string, startedAtUnixMs: number }

const MESSAGE_KINDS = new Set<string>(['status', 'load', 'rank', 'lead', 'crash', 'leaving'] satisfies PeerMessage['kind'][])

/** Maximum number of peer addresses in one status message, which keeps a datagram below the usual 1,400 bytes. */
export const MAX_KNOWN_ADDRESSES = 40

export function encodeMessage (message: PeerMessage): Buffer {
  return Buffer.from(JSON.stringify(message))
}

/** @returns undefined when the bytes are not a message. */
export function decodeMessage (bytes: Buffer): PeerMessage | undefined {
  try {
    const parsed = JSON.parse(bytes.toString('utf8')) as Partial<PeerMessage> | null
    if (parsed?.kind !== undefined && MESSAGE_KINDS.has(parsed.kind)) return parsed as PeerMessage
  } catch {
    // Not JSON, so not sent by a process of this system.
  }
  return undefined
}
