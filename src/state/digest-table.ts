/**
 * What an entry reports to its peers about agents: each agent has an index, and a message holds only what changed.
 */

import type * as serverView from './server-view.js'

export interface Report {
  load: serverView.ServerLoad
  /** Number of the report within the agent's incarnation. */
  sequence: number
  reportedAtMs: number
}

interface AgentSlot {
  index: number
  identity: serverView.ServerIdentity
  report: Report | undefined
  /** Load that was last sent to the peers; undefined when they have none. */
  sentLoad: serverView.ServerLoad | undefined
  /** Only the first home entry of an agent forwards its loads. */
  isForwardingLoads: boolean
  isGone: boolean
  goneAtMs: number
}

export interface DigestTable {
  slots: Map<string, AgentSlot>
  byIndex: (AgentSlot | undefined)[]
  /** New agents that no message has contained yet. */
  unannounced: Set<AgentSlot>
  /** Lost agents whose loss no message has contained yet. */
  gone: Set<AgentSlot>
  /** Returned agents whose return no message has contained yet. */
  returned: Set<AgentSlot>
  /** Number of the last message; selects the agents whose loads are refreshed. */
  round: number
  /** Every load is sent at least once in this many messages. */
  refreshRounds: number
}

export interface DigestLoad extends Report {
  index: number
}

export interface DigestMessage {
  agents: { index: number, identity: serverView.ServerIdentity }[]
  loads: DigestLoad[]
  gone: number[]
  returned: number[]
}

/** A lost agent keeps its index for this long, so that its identity need not be sent again when it returns. */
const INDEX_RETENTION_MS = 30_000

/** Smaller load changes, as a share of the concurrency limit, wait for the refresh: they affect no choice of server. */
const MIN_LOAD_CHANGE_SHARE = 1 / 32
/** The time to the first byte is sent before the refresh when it has risen or fallen by more than this factor. */
const MIN_FIRST_BYTE_RATIO = 1.25

export function createDigestTable (refreshRounds: number): DigestTable {
  return {
    slots: new Map(),
    byIndex: [],
    unannounced: new Set(),
    gone: new Set(),
    returned: new Set(),
    round: 0,
    refreshRounds
  }
}

/** Adds an agent, or marks a lost one as returned. */
export function setAgent (table: DigestTable, identity: serverView.ServerIdentity, isForwardingLoads: boolean): void {
  const existing = table.slots.get(identity.incarnation)
  if (existing !== undefined) {
    existing.isForwardingLoads = isForwardingLoads
    if (!existing.isGone) return
    existing.isGone = false
    // The loss may not have been sent yet; sending only the return is right in either case.
    table.gone.delete(existing)
    table.returned.add(existing)
    return
  }
  const free = table.byIndex.indexOf(undefined)
  const index = free < 0 ? table.byIndex.length : free
  const slot: AgentSlot = {
    index, identity, report: undefined, sentLoad: undefined, isForwardingLoads, isGone: false, goneAtMs: 0
  }
  table.byIndex[index] = slot
  table.slots.set(identity.incarnation, slot)
  table.unannounced.add(slot)
}

export function setReport (table: DigestTable, incarnation: string, report: Report): void {
  const slot = table.slots.get(incarnation)
  if (slot !== undefined) slot.report = report
}

/** Marks an agent as lost. Its index is kept for a while in case the agent returns. */
export function setGone (table: DigestTable, incarnation: string, nowMs: number): void {
  const slot = table.slots.get(incarnation)
  if (slot === undefined || slot.isGone) return
  slot.isGone = true
  slot.goneAtMs = nowMs
  slot.sentLoad = undefined
  table.returned.delete(slot)
  table.gone.add(slot)
}

/** Returns the changes since the last message and the loads whose refresh is due, and marks them as sent. */
export function takeChanges (table: DigestTable, nowMs: number): DigestMessage {
  table.round += 1
  const message: DigestMessage = {
    agents: [...table.unannounced].map(announcement),
    loads: [],
    gone: [...table.gone].map(slot => slot.index),
    returned: [...table.returned].map(slot => slot.index)
  }
  table.unannounced.clear()
  table.gone.clear()
  table.returned.clear()
  for (const slot of table.slots.values()) {
    if (slot.isGone) {
      if (nowMs - slot.goneAtMs > INDEX_RETENTION_MS) removeSlot(table, slot)
      continue
    }
    if (slot.report === undefined || !slot.isForwardingLoads) continue
    const isRefreshed = slot.index % table.refreshRounds === table.round % table.refreshRounds
    if (!isRefreshed && slot.sentLoad !== undefined && !isSignificantChange(slot.sentLoad, slot.report.load)) continue
    slot.sentLoad = slot.report.load
    message.loads.push({ index: slot.index, ...slot.report })
  }
  return message
}

/** The complete state, for a peer that has just connected. Does not affect what the other peers are sent. */
export function fullState (table: DigestTable): DigestMessage {
  const slots = [...table.slots.values()]
  return {
    agents: slots.map(announcement),
    loads: slots.filter(slot => !slot.isGone && slot.isForwardingLoads)
      .flatMap(slot => slot.report === undefined ? [] : [{ index: slot.index, ...slot.report }]),
    gone: slots.filter(slot => slot.isGone).map(slot => slot.index),
    returned: []
  }
}

/** Whether a load differs from the sent one by enough to affect a choice of server. */
export function isSignificantChange (sent: serverView.ServerLoad, load: serverView.ServerLoad): boolean {
  if (sent.status !== load.status || sent.concurrencyLimit !== load.concurrencyLimit) return true
  const step = Math.max(1, load.concurrencyLimit * MIN_LOAD_CHANGE_SHARE)
  if (Math.abs(sent.running + sent.waiting - load.running - load.waiting) >= step) return true
  return load.firstByteMs > sent.firstByteMs * MIN_FIRST_BYTE_RATIO ||
    load.firstByteMs * MIN_FIRST_BYTE_RATIO < sent.firstByteMs
}

function announcement (slot: AgentSlot): { index: number, identity: serverView.ServerIdentity } {
  return { index: slot.index, identity: slot.identity }
}

function removeSlot (table: DigestTable, slot: AgentSlot): void {
  table.slots.delete(slot.identity.incarnation)
  table.byIndex[slot.index] = undefined
  table.unannounced.delete(slot)
}
