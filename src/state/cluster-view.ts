/**
 * The other processes of the system, from the datagrams that they send.
 */

export type ProcessRole = 'entry' | 'agent'
export type ProcessState = 'starting' | 'ready' | 'draining'

/** What a process tells its peers, again and again. */
export interface PeerStatus {
  /** IP address and port for datagrams and peer calls; identifies the process. */
  address: string
  role: ProcessRole
  failureDomain: string
  state: ProcessState
  /** Where clients connect; empty for agents. */
  clientAddress: string
  configurationVersion: number
  backendRevision: number
  /** The rank beside an agent. */
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
  heardAtMs: number
}

export interface ClusterView {
  self: string
  /** Addresses to which messages go, also without an answer so far. */
  known: Map<string, number>
  peers: Map<string, Peer>
}

export const STATUS_INTERVAL_MS = 300
/** An address that never answers is dropped after this time. */
const PEER_EXPIRY_MS = 30_000

export function createView (self: string): ClusterView {
  return { self, known: new Map(), peers: new Map() }
}

export function addAddresses (view: ClusterView, addresses: readonly string[], nowMs: number): void {
  for (const address of addresses) {
    if (address !== view.self && !view.known.has(address)) view.known.set(address, nowMs)
  }
}

export function noteStatus (view: ClusterView, status: PeerStatus, nowMs: number): void {
  if (status.address === view.self) return
  view.known.set(status.address, nowMs)
  view.peers.set(status.address, { status, heardAtMs: nowMs })
}

/** Any message of a peer shows that it lives. */
export function noteContact (view: ClusterView, address: string, nowMs: number): void {
  const peer = view.peers.get(address)
  if (peer === undefined) return
  peer.heardAtMs = nowMs
  view.known.set(address, nowMs)
}

export function removeExpired (view: ClusterView, nowMs: number): void {
  for (const [address, heardAtMs] of view.known) {
    if (nowMs - heardAtMs <= PEER_EXPIRY_MS) continue
    view.known.delete(address)
    view.peers.delete(address)
  }
}

/** Peers of a role that were heard since a time. */
export function peersActiveSince (view: ClusterView, role: ProcessRole, sinceMs: number): Peer[] {
  return [...view.peers.values()].filter(peer => peer.status.role === role && peer.heardAtMs >= sinceMs)
}

/** Processes of a role that were heard and not forgotten. */
export function knownPeers (view: ClusterView, role: ProcessRole): number {
  return [...view.peers.values()].filter(peer => peer.status.role === role).length
}

/**
 * Ready entries that clients may use, the client's failure domain first.
 *
 * @param sinceMs entries that were silent since then are left out.
 */
export function clientAddresses (
  view: ClusterView, own: PeerStatus, failureDomain: string | undefined, sinceMs: number, limit: number
): string[] {
  const ready = peersActiveSince(view, 'entry', sinceMs).map(peer => peer.status).filter(status => status.state === 'ready')
  if (own.state === 'ready') ready.push(own)
  // An entry that hears no ready one names itself: a client without an address can do nothing.
  if (ready.length === 0) ready.push(own)
  const near = ready.filter(status => status.failureDomain === failureDomain)
  const far = ready.filter(status => status.failureDomain !== failureDomain)
  return [...near, ...far].slice(0, limit).map(status => status.clientAddress)
}
