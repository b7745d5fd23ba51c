/**
 * Which homes hear which agents, as one entry knows it: decides which reports are news and when an agent is lost.
 */

import type * as digestTable from './digest-table.js'
import type * as serverView from './server-view.js'

interface HomeStatus {
  /** False once the home has lost the agent's report stream. */
  isHeard: boolean
}

interface PresenceRecord {
  identity: serverView.ServerIdentity
  /** Number of the newest report taken; 0 before the first. */
  sequence: number
  load: serverView.ServerLoad | undefined
  reportedAtMs: number
  /** Word of each home by the home's incarnation. */
  homes: Map<string, HomeStatus>
  lostAtMs: number | undefined
}

export interface AgentPresence {
  agents: Map<string, PresenceRecord>
  /** When each home was last heard itself. */
  homeHeardAtMs: Map<string, number>
}

/**
 * The word of a home that is no longer heard counts for this long, because the observer may be the one that is cut
 * off. It spans several heartbeats of an entry of another cell.
 */
export const HOME_STATUS_LIFETIME_MS = 10_000

/** A lost agent is remembered for this long, so that an old report doesn't bring it back. */
const LOST_LIFETIME_MS = 60_000

export function createAgentPresence (): AgentPresence {
  return { agents: new Map(), homeHeardAtMs: new Map() }
}

export function noteHomeAlive (sightings: AgentPresence, home: string, nowMs: number): void {
  sightings.homeHeardAtMs.set(home, nowMs)
}

/** The home hears the agent. */
export function markAgentConnected (sightings: AgentPresence, home: string, identity: serverView.ServerIdentity): void {
  const held = sightings.agents.get(identity.incarnation)
  if (held === undefined) {
    sightings.agents.set(identity.incarnation, {
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
 * Takes a report that came through a home, which thereby says that it hears the agent.
 * @returns whether it is newer than the one held, by the agent's own numbering; delays on the way don't matter.
 */
export function acceptReport (
  sightings: AgentPresence, home: string, identity: serverView.ServerIdentity, report: digestTable.Report
): boolean {
  const known = sightings.agents.get(identity.incarnation)
  if (known !== undefined && report.sequence <= known.sequence) return false
  // After its own isolation an observer may have given up agents that their homes heard all the time.
  if (known === undefined || known.lostAtMs !== undefined) markAgentConnected(sightings, home, identity)
  const held = sightings.agents.get(identity.incarnation)!
  held.sequence = report.sequence
  held.load = report.load
  held.reportedAtMs = report.reportedAtMs
  return true
}

/** The home has lost the agent. @returns whether the agent is lost: no home that counts hears it. */
export function markAgentDisconnected (sightings: AgentPresence, home: string, incarnation: string, nowMs: number): boolean {
  const held = sightings.agents.get(incarnation)
  if (held === undefined) return false
  held.homes.set(home, { isHeard: false })
  return checkLost(sightings, held, nowMs)
}

/**
 * Decides again about all agents, since the word of a silent home expires, and forgets old entries.
 * @returns incarnations of agents that are lost now.
 */
export function expireAgents (sightings: AgentPresence, nowMs: number): string[] {
  const lost: string[] = []
  for (const [incarnation, held] of sightings.agents) {
    if (held.lostAtMs !== undefined) {
      if (nowMs - held.lostAtMs > LOST_LIFETIME_MS) sightings.agents.delete(incarnation)
    } else if (checkLost(sightings, held, nowMs)) {
      lost.push(incarnation)
    }
  }
  for (const [home, heardAtMs] of sightings.homeHeardAtMs) {
    if (nowMs - heardAtMs > LOST_LIFETIME_MS) sightings.homeHeardAtMs.delete(home)
  }
  return lost
}

export interface ConnectedAgent {
  identity: serverView.ServerIdentity
  load: serverView.ServerLoad
  sequence: number
  reportedAtMs: number
}

/** Agents with a known load that one of these homes hears. */
export function listAgentsConnectedTo (sightings: AgentPresence, homes: ReadonlySet<string>): ConnectedAgent[] {
  const heard: ConnectedAgent[] = []
  for (const { identity, load, sequence, reportedAtMs, homes: words, lostAtMs } of sightings.agents.values()) {
    if (lostAtMs !== undefined || load === undefined) continue
    for (const [home, word] of words) {
      if (!word.isHeard || !homes.has(home)) continue
      heard.push({ identity, load, sequence, reportedAtMs })
      break
    }
  }
  return heard
}

/** Homes that hear the agent, by their own word. */
export function countHomes (sightings: AgentPresence, incarnation: string): number {
  const words = sightings.agents.get(incarnation)?.homes.values() ?? []
  return [...words].filter(word => word.isHeard).length
}

/** Agents that the home is known to hear or to have heard. */
export function listAgentsOfHome (sightings: AgentPresence, home: string): string[] {
  return [...sightings.agents].filter(([, held]) => held.homes.has(home)).map(([incarnation]) => incarnation)
}

function checkLost (sightings: AgentPresence, held: PresenceRecord, nowMs: number): boolean {
  if (held.lostAtMs !== undefined) return false
  for (const [home, word] of held.homes) if (word.isHeard && counts(sightings, home, nowMs)) return false
  held.lostAtMs = nowMs
  return true
}

function counts (sightings: AgentPresence, home: string, nowMs: number): boolean {
  return nowMs - (sightings.homeHeardAtMs.get(home) ?? -Infinity) <= HOME_STATUS_LIFETIME_MS
}
