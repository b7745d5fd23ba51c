/**
 * Selects the entries with which an entry keeps streams, and the entries to which an agent reports. Both numbers are
 * bounded whatever the size of the fleet.
 */

import * as rendezvous from './rendezvous.js'

export interface PeerCandidate {
  peerAddress: string
  region: string
  failureDomain: string
}

/** Maximum number of entries that exchange full digests with each other. A larger region is divided into cells. */
export const MAX_CELL_ENTRIES = 64

/** Entries of each other cell from which an entry receives summaries. */
export const PEERS_PER_FAR_CELL = 2

/** Maximum number of other cells from which an entry receives summaries. */
export const MAX_FAR_CELLS = 16

/** With two homes, a backend server stays known when one entry fails. */
export const HOMES_PER_AGENT = 2

export interface PeerChoice {
  near: PeerCandidate[]
  far: PeerCandidate[]
}

/** Peers of an entry. `entries` may or may not contain the entry itself. */
export function choosePeers (
  self: PeerCandidate, entries: readonly PeerCandidate[], hash64: rendezvous.Hash64
): PeerChoice {
  const others = entries.filter(entry => entry.peerAddress !== self.peerAddress)
  const regions = new Map<string, PeerCandidate[]>()
  for (const entry of [...others, self]) {
    regions.set(entry.region, [...regions.get(entry.region) ?? [], entry])
  }
  const cells = new Map<string, PeerCandidate[]>()
  for (const [region, members] of regions) {
    for (const [cell, inCell] of divideRegion(region, members, hash64)) cells.set(cell, inCell)
  }
  const own = [...cells].find(([, members]) => members.some(entry => entry.peerAddress === self.peerAddress))!
  const farCells = rankItems(self.peerAddress, [...cells.keys()].filter(cell => cell !== own[0]), cell => cell, hash64)
    .slice(0, MAX_FAR_CELLS)
  return {
    near: own[1].filter(entry => entry.peerAddress !== self.peerAddress),
    far: farCells.flatMap(cell =>
      rankItems(self.peerAddress, cells.get(cell)!, entry => entry.peerAddress, hash64).slice(0, PEERS_PER_FAR_CELL))
  }
}

/**
 * Divides a region into as many cells of equal size as it needs. All entries with the same list get the same cells.
 */
function divideRegion (
  region: string, members: PeerCandidate[], hash64: rendezvous.Hash64
): [string, PeerCandidate[]][] {
  const count = Math.ceil(members.length / MAX_CELL_ENTRIES)
  const ordered = rankItems(region, members, entry => entry.peerAddress, hash64)
  return Array.from({ length: count }, (_, cell) =>
    [`${region}\u0000${cell}`, ordered.filter((_, index) => index % count === cell)])
}

/**
 * Homes of an agent, in order of preference. They are entries of its region if it has any, in different failure domains
 * where possible, so that one home remains when a domain is lost.
 * @param isAvoided whether the entry has just failed; such entries are chosen last.
 */
export function chooseHomes (
  agentAddress: string,
  region: string,
  entries: readonly PeerCandidate[],
  isAvoided: (peerAddress: string) => boolean,
  hash64: rendezvous.Hash64
): PeerCandidate[] {
  const near = entries.filter(entry => entry.region === region)
  const candidates = (near.length > 0 ? near : entries)
    .map(entry => ({ id: entry.peerAddress, weight: isAvoided(entry.peerAddress) ? 0 : 1, entry }))
  const ranked = rendezvous.rankMembers(agentAddress, candidates, hash64)
  const first = ranked[0]
  if (first === undefined) return []
  const elsewhere = ranked.filter(candidate =>
    candidate.weight > 0 && candidate.entry.failureDomain !== first.entry.failureDomain)
  const chosen = [first, ...elsewhere, ...ranked.slice(1)]
  return [...new Set(chosen)].slice(0, HOMES_PER_AGENT).map(candidate => candidate.entry)
}

/** Whether this entry, rather than the peer, opens the stream between the two. Exactly one of them does. */
export function isOpener (selfAddress: string, peerAddress: string, hash64: rendezvous.Hash64): boolean {
  // With the hash, each entry opens about half of its streams, independently of the order of addresses.
  const lower = selfAddress < peerAddress ? selfAddress : peerAddress
  const higher = lower === selfAddress ? peerAddress : selfAddress
  const opener = (hash64(`${lower}\u0000${higher}`) & 1n) === 0n ? lower : higher
  return opener === selfAddress
}

function rankItems<T> (key: string, items: readonly T[], idOf: (item: T) => string, hash64: rendezvous.Hash64): T[] {
  return rendezvous.rankMembers(key, items.map(item => ({ id: idOf(item), weight: 1, item })), hash64)
    .map(ranked => ranked.item)
}
