/**
 * The backend servers in force, from the rows of the service discovery. Rows lapse while the store is away, so a row
 * that is missing shortly after an outage is kept until the backend server has had time to write it again.
 */

import type * as backendPool from './backend-pool.js'

/** Rows of backend servers that live are back about two seconds after the store's return. */
const STORE_RECOVERY_GRACE_MS = 2_200

interface TableEntry {
  row: backendPool.BackendRow
  /** When a row that is missing is taken as gone; undefined while it is there. */
  goneAtMs: number | undefined
}

export interface BackendTable {
  /** Newest revision of the store that the rows reflect. */
  revision: number
  /** Missing rows are kept until this time. */
  graceUntilMs: number
  entries: Map<string, TableEntry>
}

export interface BackendChange {
  id: string
  /** Undefined when the row is deleted or names no backend server. */
  row: backendPool.BackendRow | undefined
  wasDeleted: boolean
}

export function createTable (): BackendTable {
  return { revision: 0, graceUntilMs: 0, entries: new Map() }
}

/** The store answers again after an outage. */
export function noteStoreRecovery (table: BackendTable, nowMs: number): void {
  table.graceUntilMs = nowMs + STORE_RECOVERY_GRACE_MS
}

export function applyChanges (
  table: BackendTable, changes: readonly BackendChange[], revision: number, nowMs: number
): void {
  if (revision < table.revision) return
  table.revision = revision
  for (const change of changes) {
    if (change.row !== undefined) table.entries.set(change.id, { row: change.row, goneAtMs: undefined })
    else if (change.wasDeleted) removeOrKeepForGrace(table, change.id, nowMs)
    else table.entries.delete(change.id)
  }
}

/** Takes the whole table as read at one moment. */
export function replaceAll (
  table: BackendTable, rows: readonly BackendChange[], revision: number, nowMs: number
): void {
  if (revision < table.revision) return
  const listed = new Set(rows.map(change => change.id))
  const missing = [...table.entries.keys()].filter(id => !listed.has(id))
    .map(id => ({ id, row: undefined, wasDeleted: true }))
  applyChanges(table, [...rows, ...missing], revision, nowMs)
}

function removeOrKeepForGrace (table: BackendTable, id: string, nowMs: number): void {
  const entry = table.entries.get(id)
  if (entry === undefined) return
  if (nowMs < table.graceUntilMs) entry.goneAtMs ??= table.graceUntilMs
  else table.entries.delete(id)
}

/** Removes rows whose grace has passed. @returns whether any was removed. */
export function settle (table: BackendTable, nowMs: number): boolean {
  let removed = false
  for (const [id, entry] of table.entries) {
    if (entry.goneAtMs === undefined || entry.goneAtMs > nowMs) continue
    table.entries.delete(id)
    removed = true
  }
  return removed
}

/** Rows in force: one for each address, since the row of an earlier instance there may not be deleted yet. */
export function rowsOf (table: BackendTable): backendPool.BackendRow[] {
  const byAddress = new Map<string, TableEntry>()
  for (const entry of table.entries.values()) {
    const other = byAddress.get(entry.row.address)
    if (other === undefined || isNewer(entry, other)) byAddress.set(entry.row.address, entry)
  }
  return [...byAddress.values()].map(entry => entry.row)
}

/** Whether the entry rather than the other one names the instance that holds the address now. */
function isNewer (entry: TableEntry, other: TableEntry): boolean {
  // A listed row is more than one that is kept in case it comes back.
  const [isListed, isOtherListed] = [entry.goneAtMs === undefined, other.goneAtMs === undefined]
  if (isListed !== isOtherListed) return isListed
  return entry.row.startedAtUnixMs > other.row.startedAtUnixMs
}
