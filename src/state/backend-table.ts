/**
 * The backend servers in force, from the rows of the service discovery. Rows expire during an outage of the store, so a
 * row that is missing shortly afterwards is kept until the backend server has had time to write it again.
 */

import type * as backendPool from './backend-pool.js'

/** Live backend servers have written their rows again about two seconds after the store recovers. */
const STORE_RECOVERY_GRACE_MS = 2_200

interface TableEntry {
  row: backendPool.BackendRow
  /** When a missing row is removed; undefined while it is listed. */
  goneAtMs: number | undefined
}

export interface BackendTable {
  /** Latest revision of the store that the rows reflect. */
  revision: number
  /** Missing rows are kept until this time. */
  graceUntilMs: number
  entries: Map<string, TableEntry>
}

export interface BackendChange {
  id: string
  /** Undefined when the row is deleted or does not describe a backend server. */
  row: backendPool.BackendRow | undefined
  wasDeleted: boolean
}

export function createTable (): BackendTable {
  return { revision: 0, graceUntilMs: 0, entries: new Map() }
}

/** Starts the grace period for missing rows when the store answers again after an outage. */
export function noteStoreRecovery (table: BackendTable, nowMs: number): void {
  table.graceUntilMs = nowMs + STORE_RECOVERY_GRACE_MS
}

/** Applies changes up to a revision of the store; those of an earlier revision than the table's are ignored. */
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

/** Replaces all rows by those of a complete read at one revision; the others count as deleted. */
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

/** Removes missing rows whose grace period has ended. @returns whether any was removed. */
export function settle (table: BackendTable, nowMs: number): boolean {
  let hasRemoved = false
  for (const [id, entry] of table.entries) {
    if (entry.goneAtMs === undefined || entry.goneAtMs > nowMs) continue
    table.entries.delete(id)
    hasRemoved = true
  }
  return hasRemoved
}

/** Rows in force: one for each address, since the row of an earlier instance there may not have been deleted yet. */
export function rowsOf (table: BackendTable): backendPool.BackendRow[] {
  const byAddress = new Map<string, TableEntry>()
  for (const entry of table.entries.values()) {
    const other = byAddress.get(entry.row.address)
    if (other === undefined || isNewer(entry, other)) byAddress.set(entry.row.address, entry)
  }
  return [...byAddress.values()].map(entry => entry.row)
}

/** Whether `entry` rather than `other` describes the instance that holds the address now. */
function isNewer (entry: TableEntry, other: TableEntry): boolean {
  // A listed row takes precedence over a missing one that is kept for the grace period.
  const [isListed, isOtherListed] = [entry.goneAtMs === undefined, other.goneAtMs === undefined]
  if (isListed !== isOtherListed) return isListed
  return entry.row.startedAtUnixMs > other.row.startedAtUnixMs
}
