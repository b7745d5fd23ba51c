/**
 * The backend servers in force, from the rows of the service discovery. Rows expire during an outage of the store, so a
 * row that is missing shortly afterwards is kept until the backend server has had time to write it again. A store that
 * comes back from an older copy may lack rows in the same way, and may list backend servers that have left since.
 */

import * as revisionModule from './revision.js'
import type * as backendPool from './backend-pool.js'

/** Live backend servers have written their rows again about two seconds after the store recovers. */
export const STORE_RECOVERY_GRACE_MS = 2_200
/**
 * A row of an instance that had left is used only if it is still listed after this time: the platform deletes the row
 * of a silent backend server after three heartbeats, and a live one writes its row again before.
 */
const RETURNED_ROW_DELAY_MS = 6_000
/** For how long removed instances are remembered; the copy that a store is restored from is some seconds old. */
const REMOVED_RETENTION_MS = 300_000

export interface TableEntry {
  row: backendPool.BackendRow
  /** Undefined while it is listed. */
  missing: MissingSpan | undefined
}

/** For how long a row is kept that the store doesn't list. */
export interface MissingSpan {
  /** Latest revision at which it was listed. */
  listedAt: revisionModule.Revision
  /** When it is removed. */
  goneAtMs: number
}

export interface BackendTable {
  /** Latest revision of the store that the rows reflect. */
  revision: revisionModule.Revision
  /** Missing rows are kept until this time. */
  graceUntilMs: number
  entries: Map<string, TableEntry>
  /** Instances whose rows were deleted. */
  removed: Map<string, { startedAtUnixMs: number, atMs: number }>
  /** Rows of removed instances that a restored store lists again, until they are used. */
  returned: Map<string, { row: backendPool.BackendRow, usableAtMs: number }>
}

export interface BackendChange {
  id: string
  /** Undefined when the row is deleted or does not describe a backend server. */
  row: backendPool.BackendRow | undefined
  wasDeleted: boolean
}

export function createTable (): BackendTable {
  return {
    revision: revisionModule.NO_REVISION, graceUntilMs: 0, entries: new Map(), removed: new Map(), returned: new Map()
  }
}

/** Starts the grace period for missing rows when the store answers again after an outage. */
export function noteStoreRecovery (table: BackendTable, nowMs: number): void {
  table.graceUntilMs = nowMs + STORE_RECOVERY_GRACE_MS
}

/**
 * Applies changes up to a revision of the store. Those of an earlier revision than the table's are ignored, but for
 * deletions of rows that are missing already: a row that is kept since a peer keeps it goes when the store tells this
 * process itself.
 */
export function applyChanges (
  table: BackendTable, changes: readonly BackendChange[], revision: revisionModule.Revision, nowMs: number
): void {
  if (revisionModule.isBefore(revision, table.revision)) {
    if (revision.era === table.revision.era) confirmMissing(table, changes, nowMs)
    return
  }
  const listedAt = table.revision
  table.revision = revision
  for (const change of changes) {
    if (change.row !== undefined) list(table, change.row)
    else if (change.wasDeleted) removeOrKeepForGrace(table, change.id, listedAt, nowMs)
    else table.entries.delete(change.id)
    table.returned.delete(change.id)
  }
}

/**
 * Replaces all rows by those of a complete read at one revision; the others count as deleted.
 *
 * @param kept ids of missing rows that stay for a time of their own.
 */
export function replaceAll (
  table: BackendTable, rows: readonly BackendChange[], revision: revisionModule.Revision, nowMs: number,
  kept: ReadonlySet<string> = new Set()
): void {
  if (revisionModule.isBefore(revision, table.revision)) return
  const isRestored = revision.era !== table.revision.era && table.entries.size > 0
  if (isRestored) noteStoreRecovery(table, nowMs)
  const returned = isRestored ? rows.filter(change => isRemovedInstance(table, change.row)) : []
  const listed = new Set(rows.map(change => change.id))
  const missing = [...table.entries.keys()].filter(id => !listed.has(id) && !kept.has(id))
    .map(id => ({ id, row: undefined, wasDeleted: true }))
  applyChanges(table, [...rows.filter(change => !returned.includes(change)), ...missing], revision, nowMs)
  for (const { id, row } of returned) table.returned.set(id, { row: row!, usableAtMs: nowMs + RETURNED_ROW_DELAY_MS })
}

function confirmMissing (table: BackendTable, changes: readonly BackendChange[], nowMs: number): void {
  for (const { id, wasDeleted } of changes) {
    const entry = table.entries.get(id)
    if (wasDeleted && entry?.missing !== undefined && nowMs >= table.graceUntilMs) remove(table, id, entry, nowMs)
  }
}

function list (table: BackendTable, row: backendPool.BackendRow): void {
  const known = table.entries.get(row.id)?.row
  // An instance that drains never accepts work again: `ready` comes from an older copy of the store.
  const isDraining = known?.state === 'draining' && isSameInstance(known, row)
  table.entries.set(row.id, { row: isDraining ? { ...row, state: 'draining' } : row, missing: undefined })
  table.removed.delete(row.id)
}

function isSameInstance (a: { startedAtUnixMs: number }, b: { startedAtUnixMs: number }): boolean {
  // 0: the row does not state the start, so it may be another instance.
  return a.startedAtUnixMs === b.startedAtUnixMs && a.startedAtUnixMs !== 0
}

export function isRemovedInstance (table: BackendTable, row: backendPool.BackendRow | undefined): boolean {
  const removed = row === undefined ? undefined : table.removed.get(row.id)
  return removed !== undefined && isSameInstance(removed, row!)
}

function removeOrKeepForGrace (
  table: BackendTable, id: string, listedAt: revisionModule.Revision, nowMs: number
): void {
  const entry = table.entries.get(id)
  if (entry === undefined) return
  if (nowMs < table.graceUntilMs) entry.missing ??= { listedAt, goneAtMs: table.graceUntilMs }
  else remove(table, id, entry, nowMs)
}

function remove (table: BackendTable, id: string, entry: TableEntry, nowMs: number): void {
  table.entries.delete(id)
  for (const [other, { atMs }] of table.removed) {
    if (nowMs - atMs > REMOVED_RETENTION_MS) table.removed.delete(other)
  }
  table.removed.set(id, { startedAtUnixMs: entry.row.startedAtUnixMs, atMs: nowMs })
}

/**
 * Removes missing rows whose grace period has ended, and uses returned rows that are still listed.
 * @returns whether any row changed.
 */
export function settle (table: BackendTable, nowMs: number): boolean {
  let hasChanged = false
  for (const [id, entry] of table.entries) {
    if (entry.missing === undefined || entry.missing.goneAtMs > nowMs) continue
    remove(table, id, entry, nowMs)
    hasChanged = true
  }
  for (const [id, { row, usableAtMs }] of table.returned) {
    if (usableAtMs > nowMs) continue
    table.returned.delete(id)
    list(table, row)
    hasChanged = true
  }
  return hasChanged
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
  const [isListed, isOtherListed] = [entry.missing === undefined, other.missing === undefined]
  if (isListed !== isOtherListed) return isListed
  return entry.row.startedAtUnixMs > other.row.startedAtUnixMs
}
