/**
 * Brings what the homes of agents say into the server view: the newest report of each agent, and lost agents.
 */

import * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as digestTable from '../state/digest-table.js'
import type * as serverView from '../state/server-view.js'
import * as agentPresence from '../state/agent-presence.js'

export interface AgentTracker {
  /** The home itself is alive. */
  noteHomeAlive (home: string): void
  markAgentConnected (home: string, identity: serverView.ServerIdentity): void
  report (home: string, identity: serverView.ServerIdentity, report: digestTable.Report): void
  /** The home has lost the agent. */
  lose (home: string, incarnation: string): void
  /** The home names all the agents that it hears; it has lost those that it named before and doesn't name now. */
  retainAgents (home: string, incarnations: ReadonlySet<string>): void
  listAgentsConnectedTo (homes: ReadonlySet<string>): agentPresence.ConnectedAgent[]
  /** How many homes hear the agent; an agent with two stays in the view when one of them is cut off. */
  countHomes (incarnation: string): number
}

const EXPIRY_PERIOD_MS = 1_000

export function startAgentTracker (
  env: environment.Environment, servers: Pick<serverTask.ServerTask, 'post'>, signal: AbortSignal
): AgentTracker {
  const seen = agentPresence.createAgentPresence()
  /** Reports of one digest go to the server task together. */
  let reports: serverTask.ServerReport[] = []

  environment.every(EXPIRY_PERIOD_MS, signal, () => {
    for (const incarnation of agentPresence.expireAgents(seen, env.nowMs())) remove(incarnation)
  })
  const watch: AgentTracker = {
    noteHomeAlive: home => agentPresence.noteHomeAlive(seen, home, env.nowMs()),
    markAgentConnected: (home, identity) => agentPresence.markAgentConnected(seen, home, identity),
    report (home, identity, report) {
      if (!agentPresence.acceptReport(seen, home, identity, report)) return
      if (reports.length === 0) queueMicrotask(postReports)
      reports.push({ identity, load: report.load, reportedAtMs: report.reportedAtMs })
    },
    lose (home, incarnation) {
      if (agentPresence.markAgentDisconnected(seen, home, incarnation, env.nowMs())) remove(incarnation)
    },
    retainAgents (home, incarnations) {
      for (const incarnation of agentPresence.listAgentsOfHome(seen, home)) {
        if (!incarnations.has(incarnation)) watch.lose(home, incarnation)
      }
    },
    listAgentsConnectedTo: homes => agentPresence.listAgentsConnectedTo(seen, homes),
    countHomes: incarnation => agentPresence.countHomes(seen, incarnation)
  }
  return watch

  function postReports (): void {
    if (reports.length === 0) return
    servers.post({ type: 'reports', reports })
    reports = []
  }

  function remove (incarnation: string): void {
    // A report that came before the loss must not bring the server back after it.
    postReports()
    env.log.emit('agentLost', { incarnation })
    servers.post({ type: 'gone', incarnation })
  }
}
