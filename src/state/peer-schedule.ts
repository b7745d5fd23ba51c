/**
 * Which peers hear a process's messages at each turn.
 *
 * Load pattern: statuses from each process to each other one grow with the square of their number. With a hundred
 * processes they filled the links of the smallest hosts, and the messages that matter were lost among them.
 */

import * as clusterView from './cluster-view.js'

/** Peers that hear a status in one interval, besides the entries that an entry tells each time. */
const STATUS_TARGETS_PER_INTERVAL = 24
/** Entries that an entry tells in each interval; all are told when something changed. */
const ENTRY_TARGETS_PER_INTERVAL = 64
/** Peers in an interval that also hear of other addresses; enough for each of them to spread in a few intervals. */
const GOSSIP_TARGETS_PER_INTERVAL = 6
/** Entries that hear an agent's load at each reading. */
const LOAD_TARGETS_PER_READING = 16
/** A peer that missed this many of its turns is silent. */
const MAX_MISSED_TURNS = 4

export interface StatusTargets {
  /** Hear the status alone. */
  statusOnly: string[]
  /** Also hear of other addresses. */
  gossip: string[]
}

/** @param turn rises by one with each interval. */
export function statusTargets (
  view: clusterView.ClusterView, self: clusterView.ProcessRole, turn: number
): StatusTargets {
  const all = [...view.known.keys()]
  if (all.length <= STATUS_TARGETS_PER_INTERVAL) return { statusOnly: [], gossip: all }
  const isEntry = (address: string): boolean => view.peers.get(address)?.status.role === 'entry'
  const urgent = self === 'entry' ? rotatingWindow(all.filter(isEntry), turn, ENTRY_TARGETS_PER_INTERVAL) : []
  const others = self === 'entry' ? all.filter(address => !isEntry(address)) : all
  const targets = [...urgent, ...rotatingWindow(others, turn, STATUS_TARGETS_PER_INTERVAL)]
  const gossip = rotatingWindow(targets, turn, GOSSIP_TARGETS_PER_INTERVAL)
  return { statusOnly: targets.filter(address => !gossip.includes(address)), gossip }
}

/** @param turn rises by one with each reading. */
export function loadTargets (entries: readonly string[], turn: number): string[] {
  return rotatingWindow(entries, turn, LOAD_TARGETS_PER_READING)
}

/** Time without a message after which a peer counts as silent. */
export function peerTimeoutMs (
  view: clusterView.ClusterView, self: clusterView.ProcessRole, role: clusterView.ProcessRole
): number {
  const isUrgent = self === 'entry' && role === 'entry'
  const turns = isUrgent
    ? Math.ceil(clusterView.knownPeers(view, 'entry') / ENTRY_TARGETS_PER_INTERVAL)
    : Math.ceil(view.known.size / STATUS_TARGETS_PER_INTERVAL)
  return Math.max(1, turns) * MAX_MISSED_TURNS * clusterView.STATUS_INTERVAL_MS
}

/** The next `size` items in turn, so that each item has its turn. */
function rotatingWindow<T> (items: readonly T[], turn: number, size: number): T[] {
  if (items.length <= size) return [...items]
  const start = turn * size % items.length
  return [...items, ...items].slice(start, start + size)
}
