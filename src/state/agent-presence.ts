/**
 * Tracks which home entries are connected to which agents, as one entry knows it. Decides which reports are newer than
 * the last one and when an agent is lost.
 */

import type * as digestTable from './digest-table.js'
import type * as serverView from './server-view.js'

interface HomeStatus {
  /** Whether the home receives the agent's reports; false once it has lost the agent's report stream. */
  isHeard: boolean
}

interface PresenceRecord {
  identity: serverView.ServerIdentity
  /** Sequence number of the newest report; 0 before the first. */
  sequence: number
  load: serverView.ServerLoad | undefined
  reportedAtMs: number
  /** Status at each home, by the home's incarnation. */
  homes: Map<string, HomeStatus>
  lostAtMs: number | undefined
}

export interface AgentPresence {
  agents: Map<string, PresenceRecord>
  /** When the last message of each home was received, by the home's incarnation. */
  homeHeardAtMs: Map<string, number>
}

/**
 * What a home stated remains valid for this long after its last message, because the observer itself may be the one
 * that is isolated. The time spans several heartbeats of an entry of another cell.
 */
export const HOME_STATUS_LIFETIME_MS = 10_000

/** A lost agent is remembered for this long, so that an old report doesn't bring it back. */
const LOST_LIFETIME_MS = 60_000

export function createAgentPresence (): AgentPresence {
  return { agents: new Map(), homeHeardAtMs: new Map() }
}

export function noteHomeAlive (presence: AgentPresence, home: string, nowMs: number): void {
  presence.homeHeardAtMs.set(home, nowMs)
}

/** Records that the home receives the agent's reports. */
export function markAgentConnected (presence: AgentPresence, home: string, identity: serverView.ServerIdentity): void {
  const held = presence.agents.get(identity.incarnation)
  if (held === undefined) {
    presence.agents.set(identity.incarnation, {
      identity,
      sequence: 0,
      load: undefined,
      reportedAtMs: -Infinity,
      homes: new Map([[home, { isHeard: true }]]),
      lostAtMs: undefined
    })
    return
  }
  held.homes.set(home, { isHeard: true })
  held.lostAtMs = undefined
}

/**
 * Applies a report that arrived through a home, which shows that the agent is connected to that home.
 * @returns whether the report is newer than the last one. The agent's sequence number decides, so delays don't matter.
 */
export function acceptReport (
  presence: AgentPresence, home: string, identity: serverView.ServerIdentity, report: digestTable.Report
): boolean {
  const known = presence.agents.get(identity.incarnation)
  if (known !== undefined && report.sequence <= known.sequence) return false
  // An observer that was isolated may have marked agents as lost that stayed connected to their homes.
  if (known === undefined || known.lostAtMs !== undefined) markAgentConnected(presence, home, identity)
  const held = presence.agents.get(identity.incarnation)!
  held.sequence = report.sequence
  held.load = report.load
  held.reportedAtMs = report.reportedAtMs
  return true
}

/** Records that the home lost the agent. @returns whether the agent is now lost: no live home is connected to it. */
export function markAgentDisconnected (
  presence: AgentPresence, home: string, incarnation: string, nowMs: number
): boolean {
  const held = presence.agents.get(incarnation)
  if (held === undefined) return false
  held.homes.set(home, { isHeard: false })
  return checkLost(presence, held, nowMs)
}

/**
 * Checks all agents again, since the statements of a silent home expire, and removes old records.
 * @returns incarnations of the agents that became lost.
 */
export function expireAgents (presence: AgentPresence, nowMs: number): string[] {
  const lost: string[] = []
  for (const [incarnation, held] of presence.agents) {
    if (held.lostAtMs !== undefined) {
      if (nowMs - held.lostAtMs > LOST_LIFETIME_MS) presence.agents.delete(incarnation)
    } else if (checkLost(presence, held, nowMs)) {
      lost.push(incarnation)
    }
  }
  for (const [home, heardAtMs] of presence.homeHeardAtMs) {
    if (nowMs - heardAtMs > LOST_LIFETIME_MS) presence.homeHeardAtMs.delete(home)
  }
  return lost
}

export interface ConnectedAgent {
  identity: serverView.ServerIdentity
  load: serverView.ServerLoad
  sequence: number
  reportedAtMs: number
}

/** Agents with a known load that are connected to at least one of these homes. */
export function listAgentsConnectedTo (presence: AgentPresence, homes: ReadonlySet<string>): ConnectedAgent[] {
  const connected: ConnectedAgent[] = []
  for (const { identity, load, sequence, reportedAtMs, homes: statuses, lostAtMs } of presence.agents.values()) {
    if (lostAtMs !== undefined || load === undefined) continue
    for (const [home, status] of statuses) {
      if (!status.isHeard || !homes.has(home)) continue
      connected.push({ identity, load, sequence, reportedAtMs })
      break
    }
  }
  return connected
}

/** Number of homes that stated that the agent is connected to them. */
export function countHomes (presence: AgentPresence, incarnation: string): number {
  const statuses = presence.agents.get(incarnation)?.homes.values() ?? []
  return [...statuses].filter(status => status.isHeard).length
}

/** Agents that are or were connected to the home. */
export function listAgentsOfHome (presence: AgentPresence, home: string): string[] {
  return [...presence.agents].filter(([, held]) => held.homes.has(home)).map(([incarnation]) => incarnation)
}

function checkLost (presence: AgentPresence, held: PresenceRecord, nowMs: number): boolean {
  if (held.lostAtMs !== undefined) return false
  for (const [home, status] of held.homes) if (status.isHeard && isHomeCurrent(presence, home, nowMs)) return false
  held.lostAtMs = nowMs
  return true
}

function isHomeCurrent (presence: AgentPresence, home: string, nowMs: number): boolean {
  return nowMs - (presence.homeHeardAtMs.get(home) ?? -Infinity) <= HOME_STATUS_LIFETIME_MS
}
