/**
 * The backend servers in force, from the rows of the service discovery. Rows expire during an outage of the store, so a
 * row that is missing shortly afterwards is kept until the backend server has had time to write it again. A store that
 * comes back from an older copy may lack rows in the same way, and may list backend servers that have left since.
 */

import * as backendInstance from './backend-instance.js'
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
export const REMOVED_RETENTION_MS = 300_000

export interface TableEntry {
  row: backendPool.BackendRow
  /** Undefined while it is listed. */
  missing: MissingSpan | undefined
  /** Era of the store in which it is listed, and since when. */
  era: number
  listedAtMs: number
  /** Whether its backend server is known to have written it in this era; a restored store lists older rows. */
  isConfirmed: boolean
}

/** For how long a row is kept that the store doesn't list. */
export interface MissingSpan {
  /** Latest revision at which it was listed. */
  listedAt: revisionModule.Revision
  /** First revision at which it was missing. */
  since: revisionModule.Revision
  /** When it is removed. */
  goneAtMs: number
}

/** A deleted row. It is final for its instance until that is known to have written its row again. */
export interface RemovedInstance extends backendInstance.InstanceId {
  state: backendPool.BackendState
  /** Revision at which it was missing. */
  revision: revisionModule.Revision
  atMs: number
}

export interface ReturnedRow {
  row: backendPool.BackendRow
  usableAtMs: number
}

export interface BackendTable {
  /** Latest revision of the store that the rows reflect. */
  revision: revisionModule.Revision
  /** Missing rows are kept until this time. */
  graceUntilMs: number
  entries: Map<string, TableEntry>
  /** Instances whose rows were deleted, by id and start. */
  removed: Map<string, RemovedInstance>
  /** Rows of removed instances that a restored store lists again, until they are used; by id. */
  returned: Map<string, ReturnedRow>
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
    if (change.row !== undefined) list(table, change.row, true, nowMs)
    else if (change.wasDeleted) removeOrKeepForGrace(table, change.id, listedAt, nowMs)
    else table.entries.delete(change.id)
    table.returned.delete(change.id)
  }
}

/** What a peer tells of a complete read besides the rows that it uses. */
export interface ReadNotes {
  /** Ids of missing rows that stay for a time of their own. */
  kept: ReadonlySet<string>
  /** Ids of rows that the peer doesn't use yet, with the time until then. */
  heldMs: ReadonlyMap<string, number>
}

const NO_NOTES: ReadNotes = { kept: new Set(), heldMs: new Map() }

/** Replaces all rows by those of a complete read at one revision; the others count as deleted. */
export function replaceAll (
  table: BackendTable, rows: readonly BackendChange[], revision: revisionModule.Revision, nowMs: number,
  { kept, heldMs } = NO_NOTES
): void {
  if (revisionModule.isBefore(revision, table.revision)) return
  if (revision.era !== table.revision.era && table.entries.size > 0) noteStoreRecovery(table, nowMs)
  const held = new Map<string, ReturnedRow>()
  for (const { id, row } of rows) {
    if (row === undefined || !isHeld(table, row, revision, heldMs.has(id))) continue
    const known = table.returned.get(id)
    const knownMs = known?.row.startedAtUnixMs === row.startedAtUnixMs ? known.usableAtMs : Infinity
    held.set(id, { row, usableAtMs: Math.min(knownMs, nowMs + (heldMs.get(id) ?? RETURNED_ROW_DELAY_MS)) })
  }
  const listed = new Set(rows.map(change => change.id))
  const missing = [...table.entries.keys()].filter(id => !listed.has(id) && !kept.has(id))
    .map(id => ({ id, row: undefined, wasDeleted: true }))
  const listedAt = table.revision
  table.revision = revision
  for (const { id, row } of rows) {
    if (row === undefined) table.entries.delete(id)
    else if (!held.has(id)) list(table, row, isRemovedInstance(table, row), nowMs)
  }
  for (const { id } of missing) removeOrKeepForGrace(table, id, listedAt, nowMs)
  table.returned = held
}

/**
 * Whether a listed row is not used yet: it is of an instance that went missing in an earlier era, so that it may come
 * from the copy. In the era of its removal it was written again since.
 */
function isHeld (
  table: BackendTable, row: backendPool.BackendRow, revision: revisionModule.Revision, isHeldByPeer: boolean
): boolean {
  if (table.returned.get(row.id)?.row.startedAtUnixMs === row.startedAtUnixMs) return true
  const removed = table.removed.get(backendInstance.keyOf(row))
  if (removed !== undefined) return removed.revision.era < revision.era
  const known = table.entries.get(row.id)
  if (known?.row.startedAtUnixMs !== row.startedAtUnixMs) return isHeldByPeer
  return known.missing !== undefined && known.missing.since.era < revision.era
}

/** Applies the removal of an instance that a peer remembers. @returns whether the rows in force changed. */
export function noteRemoved (table: BackendTable, told: RemovedInstance, nowMs: number): boolean {
  if (nowMs - told.atMs > REMOVED_RETENTION_MS) return false
  const key = backendInstance.keyOf(told)
  const known = table.removed.get(key)
  if (known !== undefined && !revisionModule.isBefore(known.revision, told.revision)) return false
  const entry = table.entries.get(told.id)
  if (entry !== undefined && entry.row.startedAtUnixMs === told.startedAtUnixMs) {
    // The store decides within an era, by the revisions of the tables.
    const usableAtMs = entry.listedAtMs + RETURNED_ROW_DELAY_MS
    const isFromCopy = entry.missing === undefined && told.revision.era < entry.era && !entry.isConfirmed
    if (!isFromCopy || usableAtMs <= nowMs) return false
    table.entries.delete(told.id)
    table.returned.set(told.id, { row: entry.row, usableAtMs })
  }
  table.removed.set(key, told)
  return entry !== undefined
}

function confirmMissing (table: BackendTable, changes: readonly BackendChange[], nowMs: number): void {
  for (const { id, wasDeleted } of changes) {
    const entry = table.entries.get(id)
    if (wasDeleted && entry?.missing !== undefined && nowMs >= table.graceUntilMs) remove(table, id, entry, nowMs)
  }
}

function list (table: BackendTable, row: backendPool.BackendRow, isWritten: boolean, nowMs: number): void {
  const { revision: { era } } = table
  const entry = table.entries.get(row.id)
  const isSame = entry?.row.startedAtUnixMs === row.startedAtUnixMs
  const known = isSame && entry.missing === undefined && entry.era === era ? entry : undefined
  // An instance that drains never accepts work again: `ready` comes from an older copy of the store.
  // 0: the row does not state the start, so it may be another instance.
  const earlier = isSame ? entry.row : table.removed.get(backendInstance.keyOf(row))
  const isDraining = earlier?.state === 'draining' && row.startedAtUnixMs !== 0
  if (entry !== undefined && !isSame) remember(table, entry.row, nowMs)
  table.entries.set(row.id, {
    row: isDraining ? { ...row, state: 'draining' } : row,
    missing: undefined,
    era,
    listedAtMs: known?.listedAtMs ?? nowMs,
    isConfirmed: isWritten || (known?.isConfirmed ?? false)
  })
  table.removed.delete(backendInstance.keyOf(row))
}

export function isRemovedInstance (table: BackendTable, row: backendPool.BackendRow): boolean {
  return table.removed.has(backendInstance.keyOf(row))
}

function removeOrKeepForGrace (
  table: BackendTable, id: string, listedAt: revisionModule.Revision, nowMs: number
): void {
  const entry = table.entries.get(id)
  if (entry === undefined) return
  if (nowMs < table.graceUntilMs) entry.missing ??= { listedAt, since: table.revision, goneAtMs: table.graceUntilMs }
  else remove(table, id, entry, nowMs)
}

function remove (table: BackendTable, id: string, entry: TableEntry, nowMs: number): void {
  table.entries.delete(id)
  remember(table, entry.row, nowMs)
}

function remember (table: BackendTable, { id, startedAtUnixMs, state }: backendPool.BackendRow, nowMs: number): void {
  for (const [other, { atMs }] of table.removed) {
    if (nowMs - atMs > REMOVED_RETENTION_MS) table.removed.delete(other)
  }
  const removed = { id, startedAtUnixMs, state, revision: table.revision, atMs: nowMs }
  table.removed.set(backendInstance.keyOf(removed), removed)
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
    list(table, row, true, nowMs)
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
