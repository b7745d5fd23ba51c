/**
 * Interface of a platform's adapter, which translates names, formats and calls but makes no decisions.
 */

import type * as backendPool from '../state/backend-pool.js'
import type * as routingTable from '../state/routing-table.js'
import type * as callCodec from './call-codec.js'
import type * as controlStore from './control-store.js'

export type ConfigurationResult =
  | { kind: 'ok', configuration: routingTable.Configuration }
  | { kind: 'invalid', problem: string }

export interface PlatformAdapter {
  calls: callCodec.CallCodec
  directory: callCodec.DirectoryCodec
  store: controlStore.ControlStore
  /** Row of the store with the whole configuration. */
  configurationRow: { table: string, key: string }
  /** Table of the store with one row for each backend server, under its id. */
  backendTable: string
  decodeConfiguration: (bytes: Buffer) => ConfigurationResult
  /** @returns undefined when the row does not describe a backend server. */
  decodeBackendRow: (id: string, bytes: Buffer) => backendPool.BackendRow | undefined
}
