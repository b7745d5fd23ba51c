/**
 * What entries report about their region to other regions: totals of each group, and a few backend servers to which
 * those regions can send work.
 */

import type * as rendezvous from './rendezvous.js'
import type * as agentPresence from './agent-presence.js'

export interface GroupTotals {
  name: string
  servers: number
  serving: number
  running: number
  waiting: number
  concurrencyLimit: number
}

/** Number of backend servers per group that one entry reports to other regions. */
export const SAMPLE_SIZE = 4

/**
 * Totals of each group and a sample of its serving agents.
 *
 * @param senderIncarnation selects the sample, so that the entries of a region report different backend servers, and
 * the same sender reports the same ones for as long as they serve.
 */
export function summarise (
  agents: readonly agentPresence.ConnectedAgent[], senderIncarnation: string, hash64: rendezvous.Hash64
): { groups: GroupTotals[], sample: agentPresence.ConnectedAgent[] } {
  const members = new Map<string, agentPresence.ConnectedAgent[]>()
  for (const agent of agents) {
    const name = groupName(agent)
    const group = members.get(name)
    if (group === undefined) members.set(name, [agent])
    else group.push(agent)
  }
  const groups: GroupTotals[] = []
  const sample: agentPresence.ConnectedAgent[] = []
  for (const [name, inGroup] of members) {
    const serving = inGroup.filter(agent => agent.load.status === 'serving')
    groups.push({
      name,
      servers: inGroup.length,
      serving: serving.length,
      running: sum(serving, agent => agent.load.running),
      waiting: sum(serving, agent => agent.load.waiting),
      concurrencyLimit: sum(serving, agent => agent.load.concurrencyLimit)
    })
    sample.push(...serving
      .map(agent => ({ agent, order: hash64(`${senderIncarnation}\u0000${agent.identity.incarnation}`) }))
      .sort((a, b) => (a.order < b.order ? -1 : 1))
      .slice(0, SAMPLE_SIZE)
      .map(ranked => ranked.agent))
  }
  return { groups, sample }
}

function groupName ({ identity }: agentPresence.ConnectedAgent): string {
  if (identity.group !== '') return identity.group
  return identity.serves.map(served => `${served.kind}/${served.name}`).sort().join(',')
}

function sum (
  agents: readonly agentPresence.ConnectedAgent[], read: (agent: agentPresence.ConnectedAgent) => number
): number {
  return agents.reduce((total, agent) => total + read(agent), 0)
}
