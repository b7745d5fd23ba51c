/**
 * The backend table in the form in which processes pass it on to each other. It tells what the store lists apart from
 * what the sender keeps on suspicion: a row that one host keeps since it lost the store for a moment is no news for a
 * host that saw the row go.
 */

import * as backendTable from './backend-table.js'
import * as revisionModule from './revision.js'
import type * as backendInstance from './backend-instance.js'
import type * as backendPool from './backend-pool.js'

export interface TableDocument {
  backendRevision: revisionModule.Revision
  /** Rows that the store lists at this revision. */
  backends: backendPool.BackendRow[]
  /** Rows that the sender keeps although they are missing; undefined in the form of an earlier version. */
  missing?: MissingRow[]
  /** Rows that a restored store lists and that the sender doesn't use yet. */
  returned?: HeldRow[]
  removed?: ToldRemoval[]
}

export interface MissingRow {
  row: backendPool.BackendRow
  /** Latest revision at which the sender knows the row to have been listed. */
  listedAt: revisionModule.Revision
  /** First revision at which it was missing. */
  since: revisionModule.Revision
  /** For how much longer the sender keeps it. */
  keptMs: number
}

export interface HeldRow {
  row: backendPool.BackendRow
  usableInMs: number
}

/** A removal that the sender remembers, with its age. */
export interface ToldRemoval extends backendInstance.InstanceId {
  state: backendPool.BackendState
  revision: revisionModule.Revision
  ageMs: number
}

export function encodeTable (table: backendTable.BackendTable, nowMs: number): TableDocument {
  const entries = [...table.entries.values()]
  return {
    backendRevision: table.revision,
    backends: entries.filter(entry => entry.missing === undefined).map(entry => entry.row),
    missing: entries.flatMap(({ row, missing }) => missing === undefined || missing.goneAtMs <= nowMs
      ? []
      : [{
          row, listedAt: missing.listedAt, since: missing.since, keptMs: Math.ceil(missing.goneAtMs - nowMs)
        }]),
    returned: [...table.returned.values()].map(({ row, usableAtMs }) =>
      ({ row, usableInMs: Math.max(0, Math.ceil(usableAtMs - nowMs)) })),
    removed: encodeRemoved(table, nowMs)
  }
}

export function encodeRemoved (table: backendTable.BackendTable, nowMs: number): ToldRemoval[] {
  return [...table.removed.values()].filter(({ atMs }) => nowMs - atMs <= backendTable.REMOVED_RETENTION_MS)
    .map(({ atMs, ...removal }) => ({ ...removal, ageMs: Math.floor(nowMs - atMs) }))
}

/** Takes the removals that a peer remembers. @returns whether the rows in force changed. */
export function mergeRemoved (
  table: backendTable.BackendTable, removed: readonly ToldRemoval[], nowMs: number
): boolean {
  return removed.map(({ ageMs, ...removal }) =>
    backendTable.noteRemoved(table, { ...removal, atMs: nowMs - ageMs }, nowMs)).includes(true)
}

/** Takes the table of a peer if it is of a later revision. @returns whether it was taken. */
export function mergeTable (table: backendTable.BackendTable, document: TableDocument, nowMs: number): boolean {
  if (!revisionModule.isBefore(table.revision, document.backendRevision)) return false
  mergeRemoved(table, document.removed ?? [], nowMs)
  const kept = (document.missing ?? []).filter(missing => keepMissing(table, missing, nowMs)).map(({ row }) => row.id)
  const returned = document.returned ?? []
  // An earlier version lists the rows that it keeps like others, so that those of removed instances say nothing.
  const listed = document.missing === undefined
    ? document.backends.filter(row => !backendTable.isRemovedInstance(table, row))
    : [...document.backends, ...returned.map(({ row }) => row)]
  const changes = listed.map(row => ({ id: row.id, row, wasDeleted: false }))
  backendTable.replaceAll(table, changes, document.backendRevision, nowMs, {
    kept: new Set(kept), heldMs: new Map(returned.map(({ row, usableInMs }) => [row.id, usableInMs]))
  })
  return true
}

/**
 * Keeps a missing row for as long as the peer does, unless this process knows that it has gone since the peer saw it.
 * The time is never extended on the way, and the store's own word to this process ends it.
 *
 * @returns whether it is kept.
 */
function keepMissing (
  table: backendTable.BackendTable, { row, listedAt, since, keptMs }: MissingRow, nowMs: number
): boolean {
  const entry = table.entries.get(row.id)
  if (entry === undefined) {
    const isNews = revisionModule.isBefore(table.revision, listedAt)
    if (!isNews || backendTable.isRemovedInstance(table, row)) return false
  } else if (entry.row.startedAtUnixMs !== row.startedAtUnixMs) return false
  const goneAtMs = nowMs + Math.min(keptMs, backendTable.STORE_RECOVERY_GRACE_MS)
  table.entries.set(row.id, {
    row: entry?.row ?? row,
    missing: entry?.missing ?? { listedAt, since, goneAtMs },
    era: entry?.era ?? listedAt.era,
    listedAtMs: entry?.listedAtMs ?? nowMs,
    isConfirmed: entry?.isConfirmed ?? false
  })
  return true
}
