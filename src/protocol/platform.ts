/**
 * Interfaces to the platform's services. Adapter classes in the transport layer implement them for each wire format.
 */

import type * as stream from 'node:stream'
import type * as mapSwitch from '../state/map-switch.js'

export interface RowKey {
  partition: string
  sort: string
}

export interface Row {
  key: RowKey
  /** Increases with each write of the row; starts at 1. */
  revision: number
  document: unknown
}

/** Conditional write of one row in a transaction, which is applied completely or not at all. */
export interface ConditionalWrite {
  key: RowKey
  document: unknown
  /** Revision that the row must have; 0: the row must not exist; `any`: no condition. */
  expectedRevision: number | 'any'
  /** Seconds since 1970 after which the service may delete the row; if absent, the row is kept. */
  expiresAtSeconds?: number
}

export type TableResult<T> =
  | { kind: 'ok', value: T }
  /** `isThrottled`: the service is available but refused the request because of its rate limit. */
  | { kind: 'unavailable', detail: string, isThrottled?: boolean }

export type TransactResult =
  | { kind: 'committed' }
  /** `failed`: which conditions failed; `current`: the present rows of those, undefined where no row exists. */
  | { kind: 'conflict', current: (Row | undefined)[], failed: boolean[] }
  /** `mayHaveApplied`: the answer was lost, so the transaction may be committed. Retry with the same operation id. */
  | { kind: 'unavailable', mayHaveApplied: boolean, detail: string }

/** Transactional table service. */
export interface TableService {
  get (key: RowKey, signal: AbortSignal): Promise<TableResult<Row | undefined>>
  /** Rows of a partition after a sort key, ordered by sort key. */
  list (partition: string, afterSort: string, limit: number, signal: AbortSignal): Promise<TableResult<Row[]>>
  /** Repeating an operation id returns the first answer and applies nothing again. */
  transact (writes: ConditionalWrite[], operationId: string, signal: AbortSignal): Promise<TransactResult>
}

export type ObjectRead =
  | { kind: 'found', body: Buffer }
  | { kind: 'missing' }
  | { kind: 'unavailable', detail: string }

export type ObjectWrite =
  | { kind: 'stored' }
  /** The object may have been stored nevertheless. */
  | { kind: 'unavailable', detail: string }

/** Object store of the platform. A write replaces the whole object; the last write wins. */
export interface ObjectStore {
  get (key: string, signal: AbortSignal): Promise<ObjectRead>
  put (key: string, body: Buffer, signal: AbortSignal): Promise<ObjectWrite>
}

export type HostRole = 'entry' | 'agent'

export interface ListedHost {
  /** Name of the host. */
  host: string
  role: HostRole
  /** IP address and port. */
  address: string
  /** IP address and port for connections between entries and from agents; entries only. */
  peerAddress: string
  failureDomain: string
  region: string
  state: 'live' | 'leaving'
  /** Lock-step group and rank in it; agents of a group only. */
  group?: string
  rank?: number
}

export type HostListResult =
  /** `ignored`: entries that describe no host, for the log. */
  | { kind: 'ok', value: ListedHost[], ignored?: readonly string[] }
  | { kind: 'unavailable', detail: string }

/** The platform's list of hosts, which lags behind changes. */
export interface HostList {
  read (signal: AbortSignal): Promise<HostListResult>
}

export type WeightFetch =
  | { kind: 'fetched', sizeBytes: number }
  | { kind: 'limited', retryAfterMs: number }
  | { kind: 'unavailable', detail: string }

/** Rate-limited store of expert weights. */
export interface WeightStore {
  fetch (model: string, layer: number, expert: number, signal: AbortSignal): Promise<WeightFetch>
}

export interface ExpertMap {
  version: number
  slotsPerRank: number
  /** Expert of each slot, for each layer; slot s is on rank ⌊s / slotsPerRank⌋. */
  layers: number[][]
}

export interface EngineExpertMaps {
  current: ExpertMap
  prepared?: ExpertMap | undefined
}

/** Management interface of one rank's engine. Undefined means that there was no usable answer. */
export interface EngineManagement {
  state (signal: AbortSignal): Promise<mapSwitch.EngineSnapshot | undefined>
  maps (signal: AbortSignal): Promise<EngineExpertMaps | undefined>
  /** Tokens that this rank has processed since the group started, for each layer and expert. */
  tokens (signal: AbortSignal): Promise<number[][] | undefined>
  /** @param map the expert map, for `prepare` only. */
  command (
    command: mapSwitch.EngineCommand, map: ExpertMap | undefined, signal: AbortSignal
  ): Promise<mapSwitch.EngineResult>
}

/** Streams of a model engine, identified by the request's `x-request-id` header. */
export interface Engine {
  /** The whole stream from its first event, even while it is still growing. */
  resume (requestId: string, signal: AbortSignal): Promise<stream.Readable | 'not_held' | 'unreachable'>
  /** Cancels a request; has no effect on one that has ended. */
  cancel (requestId: string, signal: AbortSignal): Promise<void>
}
