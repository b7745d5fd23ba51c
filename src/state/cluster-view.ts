/**
 * The other processes of the system, as known from the datagrams that they send.
 */

import type * as revision from './revision.js'

export type ProcessRole = 'entry' | 'agent'
export type ProcessState = 'starting' | 'ready' | 'draining'

/** Status that a process sends to its peers at intervals. */
export interface PeerStatus {
  /** IP address and port for datagrams and peer calls; identifies the process. */
  address: string
  role: ProcessRole
  failureDomain: string
  state: ProcessState
  /** Address for connections of clients; empty for agents. */
  clientAddress: string
  configurationVersion: number
  backendRevision: revision.Revision
  /** Highest era of the store that the process knows of. */
  storeEra: number
  /** Rank that the agent manages; undefined when there is none. */
  rank: PeerRank | undefined
}

export interface PeerRank {
  group: string
  rank: number
  /** IP address and port of the rank itself. */
  address: string
}

export interface Peer {
  status: PeerStatus
  /** When the last message from the peer arrived. */
  heardAtMs: number
}

export interface ClusterView {
  self: string
  /**
   * Addresses to which messages are sent, including those that have not answered yet, with the time of the last message
   * from there, or of their addition.
   */
  known: Map<string, number>
  peers: Map<string, Peer>
  /** Highest era of the store that a peer has stated. */
  storeEra: number
}

export const STATUS_INTERVAL_MS = 300
/** An address is removed when no message has arrived from it for this long. */
const PEER_EXPIRY_MS = 30_000

export function createView (self: string): ClusterView {
  return { self, known: new Map(), peers: new Map(), storeEra: 0 }
}

/** Adds addresses to send messages to, except the process's own and those that are known. */
export function addAddresses (view: ClusterView, addresses: readonly string[], nowMs: number): void {
  for (const address of addresses) {
    if (address !== view.self && !view.known.has(address)) view.known.set(address, nowMs)
  }
}

export function noteStatus (view: ClusterView, status: PeerStatus, nowMs: number): void {
  if (status.address === view.self) return
  // A process of an earlier version states no era.
  view.storeEra = Math.max(view.storeEra, status.storeEra ?? 0)
  view.known.set(status.address, nowMs)
  view.peers.set(status.address, { status, heardAtMs: nowMs })
}

/** Records a message of any kind from a peer, which shows that the peer is alive. */
export function noteContact (view: ClusterView, address: string, nowMs: number): void {
  const peer = view.peers.get(address)
  if (peer === undefined) return
  peer.heardAtMs = nowMs
  view.known.set(address, nowMs)
}

/** Removes addresses and peers from which no message has arrived for too long. */
export function removeExpired (view: ClusterView, nowMs: number): void {
  for (const [address, heardAtMs] of view.known) {
    if (nowMs - heardAtMs <= PEER_EXPIRY_MS) continue
    view.known.delete(address)
    view.peers.delete(address)
  }
}

/** Peers of a role from which a message has arrived since a time. */
export function peersActiveSince (view: ClusterView, role: ProcessRole, sinceMs: number): Peer[] {
  return [...view.peers.values()].filter(peer => peer.status.role === role && peer.heardAtMs >= sinceMs)
}

/** Number of peers of a role that have sent their status and have not been removed since. */
export function knownPeers (view: ClusterView, role: ProcessRole): number {
  return [...view.peers.values()].filter(peer => peer.status.role === role).length
}

/**
 * Client addresses of ready entries, with those in the client's failure domain first.
 *
 * @param sinceMs entries from which no message has arrived since then are left out.
 */
export function clientAddresses (
  view: ClusterView, own: PeerStatus, failureDomain: string | undefined, sinceMs: number, limit: number
): string[] {
  const ready = peersActiveSince(view, 'entry', sinceMs).map(peer => peer.status).filter(status => status.state === 'ready')
  if (own.state === 'ready') ready.push(own)
  // An entry that knows of no ready one returns its own address, since a client needs at least one.
  if (ready.length === 0) ready.push(own)
  const sameDomain = ready.filter(status => status.failureDomain === failureDomain)
  const otherDomains = ready.filter(status => status.failureDomain !== failureDomain)
  return [...sameDomain, ...otherDomains].slice(0, limit).map(status => status.clientAddress)
}
