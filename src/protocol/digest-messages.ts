/**
 * Conversion between digests, the changes in agents and loads that entries report to one another, and protobuf
 * messages, which carry the loads as columns.
 */

import * as protobuf from '@bufbuild/protobuf'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as controlMessages from './control-messages.js'
import type * as digestTable from '../state/digest-table.js'
import type * as serverView from '../state/server-view.js'

/** Unit of ages on the wire; large enough that most ages fit in one byte. */
const AGE_UNIT_MS = 20

const STATUS_CODES: readonly serverView.ServerStatus[] = ['serving', 'draining', 'drained', 'down']

/** Fields of a `PeerMessage`. */
export type DigestFields = Pick<controlPb.PeerMessage, 'agents' | 'loads' | 'gone' | 'returned'>

export function digestToFields (digest: digestTable.DigestMessage, nowMs: number): DigestFields {
  const loads = protobuf.create(controlPb.LoadColumnsSchema)
  for (const { index, sequence, reportedAtMs, load } of digest.loads) {
    loads.index.push(index)
    loads.sequence.push(sequence)
    loads.ageUnits.push(Math.max(0, Math.round((nowMs - reportedAtMs) / AGE_UNIT_MS)))
    loads.running.push(load.running)
    loads.waiting.push(load.waiting)
    loads.concurrencyLimit.push(load.concurrencyLimit)
    loads.firstByteMs.push(Math.round(load.firstByteMs))
    loads.status.push(STATUS_CODES.indexOf(load.status))
  }
  loads.concurrencyLimit = collapseColumn(loads.concurrencyLimit)
  loads.status = collapseColumn(loads.status)
  return {
    agents: digest.agents.map(agent => protobuf.create(controlPb.IndexedAgentSchema, {
      index: agent.index, identity: controlMessages.identityToMessage(agent.identity)
    })),
    loads,
    gone: digest.gone,
    returned: digest.returned
  }
}

/** Sends a column of equal values as a single one: most backend servers of an entry have the same limit and status. */
function collapseColumn (column: number[]): number[] {
  return column.every(value => value === column[0]) ? column.slice(0, 1) : column
}

/** @param nowMs time of arrival. Columns of unequal length are read up to the shortest. */
export function loadsFromColumns (columns: controlPb.LoadColumns, nowMs: number): digestTable.DigestLoad[] {
  const { concurrencyLimit, status } = columns
  const length = Math.min(
    columns.index.length, columns.sequence.length, columns.ageUnits.length, columns.running.length,
    columns.waiting.length, columns.firstByteMs.length,
    ...[concurrencyLimit, status].map(column => column.length === 1 ? Infinity : column.length))
  return Array.from({ length }, (_, position) => ({
    index: columns.index[position]!,
    sequence: columns.sequence[position]!,
    reportedAtMs: nowMs - columns.ageUnits[position]! * AGE_UNIT_MS,
    load: {
      running: columns.running[position]!,
      waiting: columns.waiting[position]!,
      concurrencyLimit: valueAt(concurrencyLimit, position),
      firstByteMs: columns.firstByteMs[position]!,
      // The engine's own lag is part of the report's age only at the home entry.
      engineReportAgeMs: 0,
      // An unknown status comes from a newer version; the safe interpretation is to send no work there.
      status: STATUS_CODES[valueAt(status, position)] ?? 'down'
    }
  }))
}

function valueAt (column: readonly number[], position: number): number {
  return column.length === 1 ? column[0]! : column[position]!
}
