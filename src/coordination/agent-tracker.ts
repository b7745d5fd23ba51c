/**
 * Combines what the home entries report about agents, and passes the newest load report of each agent and the lost
 * agents to the server task.
 */

import * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as digestTable from '../state/digest-table.js'
import type * as serverView from '../state/server-view.js'
import * as agentPresence from '../state/agent-presence.js'

export interface AgentTracker {
  /** Notes that the home itself is alive. */
  noteHomeAlive (home: string): void
  /** Notes that the agent is connected to the home. */
  markAgentConnected (home: string, identity: serverView.ServerIdentity): void
  /** Passes a load report of the agent on if it is newer than the last one. */
  report (home: string, identity: serverView.ServerIdentity, report: digestTable.Report): void
  /** Notes that the home lost its connection to the agent. */
  lose (home: string, incarnation: string): void
  /** Replaces the home's list of connected agents: it has lost those that it listed before and doesn't list now. */
  retainAgents (home: string, incarnations: ReadonlySet<string>): void
  /** Agents with a known load that are connected to at least one of the homes. */
  listAgentsConnectedTo (homes: ReadonlySet<string>): agentPresence.ConnectedAgent[]
  /** Number of homes that the agent is connected to; with two, it stays in the server view when one is cut off. */
  countHomes (incarnation: string): number
}

const EXPIRY_PERIOD_MS = 1_000

export function startAgentTracker (
  env: environment.Environment, servers: Pick<serverTask.ServerTask, 'post'>, signal: AbortSignal
): AgentTracker {
  const presence = agentPresence.createAgentPresence()
  /** Reports that arrive in one turn of the event loop, such as those of a digest, are posted together. */
  let reports: serverTask.ServerReport[] = []

  environment.every(EXPIRY_PERIOD_MS, signal, () => {
    for (const incarnation of agentPresence.expireAgents(presence, env.nowMs())) remove(incarnation)
  })
  const tracker: AgentTracker = {
    noteHomeAlive: home => agentPresence.noteHomeAlive(presence, home, env.nowMs()),
    markAgentConnected: (home, identity) => agentPresence.markAgentConnected(presence, home, identity),
    report (home, identity, report) {
      if (!agentPresence.acceptReport(presence, home, identity, report)) return
      if (reports.length === 0) queueMicrotask(postReports)
      reports.push({ identity, load: report.load, reportedAtMs: report.reportedAtMs })
    },
    lose (home, incarnation) {
      if (agentPresence.markAgentDisconnected(presence, home, incarnation, env.nowMs())) remove(incarnation)
    },
    retainAgents (home, incarnations) {
      for (const incarnation of agentPresence.listAgentsOfHome(presence, home)) {
        if (!incarnations.has(incarnation)) tracker.lose(home, incarnation)
      }
    },
    listAgentsConnectedTo: homes => agentPresence.listAgentsConnectedTo(presence, homes),
    countHomes: incarnation => agentPresence.countHomes(presence, incarnation)
  }
  return tracker

  function postReports (): void {
    if (reports.length === 0) return
    servers.post({ type: 'reports', reports })
    reports = []
  }

  function remove (incarnation: string): void {
    // Earlier reports are posted first; after the loss they would add the server again.
    postReports()
    env.log.emit('agentLost', { incarnation })
    servers.post({ type: 'gone', incarnation })
  }
}
