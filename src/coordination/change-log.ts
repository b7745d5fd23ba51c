/**
 * The change log in the table service: reads it, completes copies of it, and appends changes with an operation id.
 */

import type * as configurationSnapshot from '../protocol/configuration-snapshot.js'
import type * as platform from '../protocol/platform.js'
import type * as configuration from '../state/configuration.js'

const CHANGE_PARTITION = 'change'
const ENTITY_PARTITION = 'entity'
const OPERATION_PARTITION = 'operation'
const HEAD_KEY: platform.RowKey = { partition: 'head', sort: 'head' }
const PAGE_ROWS = 200
const REVISION_DIGITS = 12
/**
 * The table service removes rows of lifted stops after this time, later than any entry drops its copy (24 h). A copy
 * of such a stop that arrives later conflicts with its operation row, which is kept.
 */
const LIFTED_STOP_LIFETIME_MS = 7 * 24 * 3_600_000

/** Revision of the newest accepted change; 0 when there is none. */
export async function readHead (
  table: platform.TableService, signal: AbortSignal
): Promise<platform.TableResult<number>> {
  const row = await table.get(HEAD_KEY, signal)
  if (row.kind !== 'ok') return row
  return { kind: 'ok', value: row.value?.revision ?? 0 }
}

/** Changes after a revision, oldest first, at most one page. */
export async function readChanges (
  table: platform.TableService, afterRevision: number, signal: AbortSignal
): Promise<platform.TableResult<configuration.Change[]>> {
  const rows = await table.list(CHANGE_PARTITION, revisionSortKey(afterRevision), PAGE_ROWS, signal)
  if (rows.kind !== 'ok') return rows
  return { kind: 'ok', value: rows.value.map(row => row.document as configuration.Change) }
}

/** The accepted change with an operation id; undefined when there is none. */
export async function findOperation (
  table: platform.TableService, operationId: string, signal: AbortSignal
): Promise<platform.TableResult<configuration.Change | undefined>> {
  const row = await table.get({ partition: OPERATION_PARTITION, sort: operationId }, signal)
  if (row.kind !== 'ok' || row.value === undefined) return row as platform.TableResult<undefined>
  const { revision } = row.value.document as { revision: number }
  const change = await table.get({ partition: CHANGE_PARTITION, sort: revisionSortKey(revision) }, signal)
  if (change.kind !== 'ok') return change
  return { kind: 'ok', value: change.value?.document as configuration.Change | undefined }
}

export interface Snapshot {
  revision: number
  /** The newest change of each entity at the revision. */
  changes: configuration.Change[]
}

/**
 * Reads the newest change of each entity. Rows may be newer than the head that was read before them, so the changes
 * since that head are applied on top; otherwise a copy would hold a newer document and then return to an older one.
 */
export async function readSnapshot (
  table: platform.TableService, signal: AbortSignal
): Promise<platform.TableResult<Snapshot>> {
  const before = await readHead(table, signal)
  if (before.kind !== 'ok') return before
  const newest = new Map<string, configuration.Change>()
  for (let after = ' '; ;) {
    const rows = await table.list(ENTITY_PARTITION, after, PAGE_ROWS, signal)
    if (rows.kind !== 'ok') return rows
    for (const row of rows.value) newest.set(row.key.sort, row.document as configuration.Change)
    if (rows.value.length < PAGE_ROWS) break
    after = rows.value.at(-1)!.key.sort
  }
  const head = await readHead(table, signal)
  if (head.kind !== 'ok') return head
  for (let revision = before.value; revision < head.value;) {
    const changes = await readChanges(table, revision, signal)
    if (changes.kind !== 'ok') return changes
    if (changes.value.length === 0) return { kind: 'unavailable', detail: `change ${revision + 1} is missing` }
    for (const change of changes.value) {
      if (change.revision <= head.value) newest.set(entitySortKey(change), change)
    }
    revision = changes.value.at(-1)!.revision
  }
  return { kind: 'ok', value: { revision: head.value, changes: [...newest.values()] } }
}

/**
 * Completes a stored snapshot with the changes after its revision. The change at that revision is read again: a
 * snapshot of another log, for example from before the table was restored, has another operation id there.
 * @returns undefined when the snapshot is not of this log.
 */
export async function completeSnapshot (
  table: platform.TableService, stored: configurationSnapshot.StoredSnapshot, headRevision: number, signal: AbortSignal
): Promise<platform.TableResult<Snapshot | undefined>> {
  const newest = new Map(stored.changes.map(change => [entitySortKey(change), change]))
  let revision = stored.revision - 1
  while (revision < headRevision) {
    const changes = await readChanges(table, revision, signal)
    if (changes.kind !== 'ok') return changes
    const first = changes.value[0]
    if (first?.revision !== revision + 1) return { kind: 'ok', value: undefined }
    if (first.revision === stored.revision && first.operationId !== stored.operationId) return { kind: 'ok', value: undefined }
    for (const change of changes.value) if (change.revision > stored.revision) newest.set(entitySortKey(change), change)
    revision = changes.value.at(-1)!.revision
  }
  return { kind: 'ok', value: { revision, changes: [...newest.values()] } }
}

export type AppendResult =
  | { kind: 'committed' }
  /** Another change has the revision already, or the operation id is in use. */
  | { kind: 'behind' }
  | { kind: 'unavailable', mayHaveApplied: boolean, detail: string }

/** Appends one change; `change.revision` must follow the head. */
export async function appendChange (
  table: platform.TableService, change: configuration.Change, signal: AbortSignal
): Promise<AppendResult> {
  const result = await table.transact([
    // The condition on the head row orders all changes, so the change and entity rows need none.
    { key: HEAD_KEY, document: {}, expectedRevision: change.revision - 1 },
    {
      key: { partition: CHANGE_PARTITION, sort: revisionSortKey(change.revision) },
      document: change,
      expectedRevision: 'any'
    },
    {
      key: { partition: ENTITY_PARTITION, sort: entitySortKey(change) },
      document: change,
      expectedRevision: 'any',
      ...rowExpiryOf(change)
    },
    // Later changes don't replace this row, unlike the entity's: it shows whether an unanswered append was applied.
    {
      key: { partition: OPERATION_PARTITION, sort: change.operationId },
      document: { revision: change.revision },
      expectedRevision: 0
    }
  ], `${change.operationId}.${change.revision}`, signal)
  return result.kind === 'conflict' ? { kind: 'behind' } : result
}

function rowExpiryOf (change: configuration.Change): Pick<platform.ConditionalWrite, 'expiresAtSeconds'> {
  const isLifted = change.entityKind === 'stop' && (change.document as { lifted?: boolean } | undefined)?.lifted === true
  return isLifted ? { expiresAtSeconds: Math.ceil((change.acceptedAtMs + LIFTED_STOP_LIFETIME_MS) / 1_000) } : {}
}

function entitySortKey (change: configuration.Change): string {
  return `${change.entityKind}/${change.entityName}`
}

function revisionSortKey (revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0')
}
