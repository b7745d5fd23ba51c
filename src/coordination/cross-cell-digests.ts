/**
 * Summaries that this entry sends to entries of other cells: totals of each group and a few backend servers of each.
 */

import * as protobuf from '@bufbuild/protobuf'
import type * as agentTracker from './agent-tracker.js'
import type * as environment from './environment.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as digestTable from '../state/digest-table.js'
import * as groupSummary from '../state/group-summary.js'
import type * as membership from '../state/membership.js'

export interface CrossCellSummary {
  digest: digestTable.DigestMessage
  groups: controlPb.GroupSummary[]
}

export interface CrossCellDigests {
  /** Creates the next summary. @param homes incarnations of the entries of this cell. */
  takeSummary (homes: ReadonlySet<string>): CrossCellSummary
  /** The full state of the digest, for a new stream. */
  describeAll (): digestTable.DigestMessage
}

/** Each summary repeats the loads of the whole sample: at its period of 4 s, an omitted load would become too old. */
const REFRESH_ROUNDS = 1

export function createCrossCellDigests (
  env: environment.Environment, self: membership.EntryIdentity, tracker: Omit<agentTracker.AgentTracker, 'countHomes'>
): CrossCellDigests {
  const table = digestTable.createDigestTable(REFRESH_ROUNDS)
  return {
    takeSummary (homes) {
      const nowMs = env.nowMs()
      const { groups, sample } = groupSummary.summarise(
        tracker.listAgentsConnectedTo(homes), self.incarnation, env.hash64)
      const sampled = new Set(sample.map(agent => agent.identity.incarnation))
      for (const incarnation of table.slots.keys()) {
        if (!sampled.has(incarnation)) digestTable.setGone(table, incarnation, nowMs)
      }
      for (const agent of sample) {
        digestTable.setAgent(table, agent.identity, true)
        digestTable.setReport(table, agent.identity.incarnation, agent)
      }
      return {
        digest: digestTable.takeChanges(table, nowMs),
        groups: groups.map(group => protobuf.create(controlPb.GroupSummarySchema, group))
      }
    },
    describeAll: () => digestTable.fullState(table)
  }
}
