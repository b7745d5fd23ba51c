/**
 * Operator API of an entry: paths and JSON documents, shared by entries and bulrushctl.
 */

import type * as configuration from '../state/configuration.js'
import type * as stops from '../state/stops.js'

export const OPERATOR_PREFIX = '/admin/v1/'

/** Headers of operators' requests. Operator names are percent-encoded. */
export const operatorHeaders = {
  operator: 'x-operator',
  /** A change that is sent again with the same id is applied only once. */
  operationId: 'x-operation-id',
  /** Revision of the document that the operator saw; 0 for a new one. */
  expectedRevision: 'if-match'
} as const

export interface EntityAnswer {
  revision: number
  document: unknown
}

export interface EntityListAnswer {
  revision: number
  entities: { name: string, revision: number }[]
}

export interface ValidationAnswer {
  valid: boolean
  problems: string[]
}

export interface AcceptedAnswer {
  revision: number
}

export interface ConflictAnswer {
  reason: 'conflict'
  expectedRevision: number
  currentRevision: number
  current: unknown
  yours: unknown
}

export interface InForceAnswer {
  revision: number
  /** Entries on which the revision is in force, by host and address. */
  inForce: EntryName[]
  notConfirmed: (EntryName & { detail: string })[]
}

export interface EntryName {
  host: string
  address: string
}

export interface StopBody {
  reason: string
  confirmOverload: boolean
}

export interface StopAnswer {
  stop: stops.PlannedStop
  /** Revision of the change; absent until the table service has recorded it. */
  revision?: number
  alreadyInForce: boolean
  /** Hosts known to this entry that the stop applies to. */
  hosts: string[]
  /** Number of connected entries that were notified directly instead of through the table service. */
  peers: number
}

export interface LiftAnswer {
  stops: stops.PlannedStop[]
}

export interface StopListAnswer {
  stops: (stops.PlannedStop & { hosts: { host: string, role: 'entry' | 'agent', status: string, inFlight: number }[] })[]
}

export interface AuditAnswer {
  changes: configuration.Change[]
  /** `entry`: the table service did not answer, so only the changes that the entry holds are shown. */
  source: 'table' | 'entry'
}

export interface ExplainAnswer {
  requestId: string
  records: ({ atMs: number, event: string, text: string, fields: Record<string, unknown>, process: string })[]
  /** Processes that did not answer, so that records may be missing. */
  unanswered: string[]
}
