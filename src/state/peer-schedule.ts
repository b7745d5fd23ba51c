/**
 * Selects the peers to which a process sends its status and load in each interval.
 *
 * Load pattern: if each process sends its status to every other one, the traffic grows with the square of their number.
 * With a hundred processes it saturated the links of the smallest hosts, and important messages were lost.
 */

import * as clusterView from './cluster-view.js'

/** Maximum number of peers that receive a status in one interval; an entry's status to other entries isn't included. */
const STATUS_TARGETS_PER_INTERVAL = 24
/** The same in a deployment with more processes than this, where statuses would take most of the processor time. */
const LARGE_DEPLOYMENT = 64
const STATUS_TARGETS_IN_LARGE_DEPLOYMENT = 16
/** Entries to which an entry sends its status in each interval. After a change it sends to all of them. */
const ENTRY_TARGETS_PER_INTERVAL = 50
/** Peers that also receive known addresses in an interval; enough to spread an address in a few intervals. */
const GOSSIP_TARGETS_PER_INTERVAL = 6
/** A process that has started sends known addresses in each of its first turns, and then in every eighth one. */
const FIRST_GOSSIP_TURNS = 40
const TURNS_PER_GOSSIP = 8
/** Entries to which an agent sends its load after each reading. */
const LOAD_TARGETS_PER_READING = 16
/** The same where ranks are read less often. */
const LOAD_TARGETS_IN_LARGE_DEPLOYMENT = 24
const MANY_ENTRIES = 64
/** A peer from which nothing has arrived in this many of its turns to send counts as silent. */
const MAX_MISSED_TURNS = 4
/** The same between entries that don't send to each other in each interval. Clients get a silent one's address. */
const MAX_MISSED_ENTRY_TURNS = 3

export interface StatusTargets {
  /** Peers that receive only the status. */
  statusOnly: string[]
  /** Peers that also receive the known addresses of other processes. */
  gossip: string[]
}

/**
 * Peers that receive the status in this interval.
 * @param turn increases by one with each interval.
 */
export function statusTargets (
  view: clusterView.ClusterView, self: clusterView.ProcessRole, turn: number
): StatusTargets {
  const all = [...view.known.keys()]
  if (all.length <= STATUS_TARGETS_PER_INTERVAL) return { statusOnly: [], gossip: all }
  const isEntry = (address: string): boolean => view.peers.get(address)?.status.role === 'entry'
  const entryTargets = self === 'entry' ? rotatingWindow(all.filter(isEntry), turn, ENTRY_TARGETS_PER_INTERVAL) : []
  const others = self === 'entry' ? all.filter(address => !isEntry(address)) : all
  const targets = [...entryTargets, ...rotatingWindow(others, turn, statusTargetsPerInterval(view))]
  const isGossiping = turn < FIRST_GOSSIP_TURNS || turn % TURNS_PER_GOSSIP === 0
  const gossip = isGossiping ? rotatingWindow(targets, turn, GOSSIP_TARGETS_PER_INTERVAL) : []
  return { statusOnly: targets.filter(address => !gossip.includes(address)), gossip }
}

/**
 * Entries that receive an agent's load after this reading.
 * @param turn increases by one with each reading.
 */
export function loadTargets (entries: readonly string[], turn: number): string[] {
  const count = entries.length > MANY_ENTRIES ? LOAD_TARGETS_IN_LARGE_DEPLOYMENT : LOAD_TARGETS_PER_READING
  return rotatingWindow(entries, turn, count)
}

function statusTargetsPerInterval (view: clusterView.ClusterView): number {
  return view.known.size > LARGE_DEPLOYMENT ? STATUS_TARGETS_IN_LARGE_DEPLOYMENT : STATUS_TARGETS_PER_INTERVAL
}

/** Time without a message from a peer of this role after which it counts as silent, in milliseconds. */
export function peerTimeoutMs (
  view: clusterView.ClusterView, self: clusterView.ProcessRole, role: clusterView.ProcessRole
): number {
  const { STATUS_INTERVAL_MS } = clusterView
  if (self === 'entry' && role === 'entry') {
    const turns = Math.ceil(clusterView.knownPeers(view, 'entry') / ENTRY_TARGETS_PER_INTERVAL)
    return Math.max(MAX_MISSED_TURNS, turns * MAX_MISSED_ENTRY_TURNS) * STATUS_INTERVAL_MS
  }
  const turns = Math.ceil(view.known.size / statusTargetsPerInterval(view))
  return Math.max(1, turns) * MAX_MISSED_TURNS * STATUS_INTERVAL_MS
}

/** The next `size` items in round-robin order. */
function rotatingWindow<T> (items: readonly T[], turn: number, size: number): T[] {
  if (items.length <= size) return [...items]
  const start = turn * size % items.length
  return [...items, ...items].slice(start, start + size)
}
