/**
 * Keeps an entry's configuration up to date from the table service, and accepts operators' changes.
 */

import type * as configurationGuard from './configuration-guard.js'
import type * as configurationTask from './configuration-task.js'
import * as changeLog from './change-log.js'
import * as environment from './environment.js'
import type * as snapshotStore from './snapshot-store.js'
import type * as platform from '../protocol/platform.js'
import * as configuration from '../state/configuration.js'

export interface ChangeRequest {
  entityKind: configuration.EntityKind
  entityName: string
  /** Revision of the entity that the operator saw; 0 when there was none. */
  expectedRevision: number
  document: unknown
  operator: string
  /** Identifies the change: a repeat with the same id is never applied again. */
  operationId: string
  /** Checks the copy that the change would follow; a returned text is the reason to refuse the change. */
  guard?: (copy: configuration.Configuration) => string | undefined
}

export type ChangeResult =
  | { kind: 'accepted', change: configuration.Change }
  | { kind: 'conflict', current: configuration.Entity | undefined }
  /** The operation id belongs to another change. */
  | { kind: 'id_reused', change: configuration.Change }
  | { kind: 'refused', detail: string }
  | { kind: 'unavailable', mayHaveApplied: boolean, detail: string }

export interface ConfigurationSync {
  /** Catches up an entry whose copy is not confirmed, once it may read the table service. */
  recover (): Promise<void>
  /** Fetches the newest configuration from the table service. */
  catchUp (): Promise<platform.TableResult<number>>
  /** Appends an operator's change to the change log and applies it here. */
  submit (request: ChangeRequest): Promise<ChangeResult>
  /** Accepted changes after a revision, oldest first, at most one page. */
  audit (afterRevision: number): Promise<platform.TableResult<configuration.Change[]>>
  /** Time since the copy was confirmed to be the newest; infinite before the first time. */
  confirmedAgeMs (): number
  /** Records that a peer confirmed the revision of this copy. @param ageMs time since then. */
  confirm (ageMs: number): void
  /** Whether the table service answered the last time. */
  isTableAvailable (): boolean
}

export interface ConfigurationSyncParts {
  table: platform.TableService
  task: configurationTask.ConfigurationTask
  guard: configurationGuard.ConfigurationGuard
  /** Whether this entry is one of its region's readers of the table service. */
  isReader: () => Promise<boolean>
  /** Snapshots in the object store; undefined where it is not used. */
  snapshots: snapshotStore.SnapshotStore | undefined
  /** Whether this entry is one of the first to read the table service when no entry holds a copy. */
  isFirstReader: () => Promise<boolean>
}

const POLL_PERIOD_MS = 1_000
/** An entry whose copy no reader has confirmed for two heartbeats of 2 s reads the table service itself. */
const READER_TIMEOUT_MS = 4_000
/**
 * Without a copy, the region's readers read the table service as soon as it answers. The others read it only if they
 * still have no copy after this time, which covers the readers' back-off (1 s) and their read, plus a random part of
 * the jitter. The 3,600 reads of 400 entries that reach no peer then take over 2 s, which is below the table service's
 * limit of 2,000 reads/s. Polls after a failed one are delayed by the same jitter.
 */
const READER_PRIORITY_MS = 1_500
const READ_JITTER_MS = 1_500
const MAX_APPEND_TRIES = 20
const MAX_UNANSWERED_APPENDS = 3
/** Spreads out entries that append at the same time. */
const APPEND_DELAY_MS = 20

export function startConfigurationSync (
  env: environment.Environment, parts: ConfigurationSyncParts, signal: AbortSignal
): ConfigurationSync {
  const { table, task, snapshots } = parts
  /** When this entry may read the table service without a copy; set when the service answers. */
  let readableAtMs: number | undefined
  let hasFailed = false
  let retryAtMs = -Infinity
  let confirmedAtMs = -Infinity
  let tableAvailable = true
  let running: Promise<platform.TableResult<number>> | undefined
  let submissions: Promise<unknown> = Promise.resolve()

  const sync: ConfigurationSync = {
    async recover () {
      if (await mayReadTable()) await sync.catchUp()
    },
    catchUp () {
      // One catch-up at a time: a second reader would only fetch the same rows.
      running ??= catchUpOnce().then(noteResult).finally(() => { running = undefined })
      return running
    },
    submit (request) {
      // One append at a time: changes of one entry do not compete for the head row.
      const result = submissions.then(() => submitOne(request))
      submissions = result.catch(() => {})
      return result
    },
    async audit (afterRevision) {
      const changes = await changeLog.readChanges(table, afterRevision, signal)
      // Otherwise the table service counts as unavailable until the next poll although it has just answered.
      noteAvailability(changes.kind === 'ok')
      return changes
    },
    confirmedAgeMs: () => env.nowMs() - confirmedAtMs,
    confirm: ageMs => { confirmedAtMs = Math.max(confirmedAtMs, env.nowMs() - ageMs) },
    isTableAvailable: () => tableAvailable
  }
  environment.every(POLL_PERIOD_MS, signal, () => { poll().catch(() => {}) })
  return sync

  async function mayReadTable (): Promise<boolean> {
    if (parts.guard.hasCopy() || await parts.isFirstReader()) return true
    if (readableAtMs === undefined) {
      const head = await changeLog.readHead(table, signal)
      noteAvailability(head.kind === 'ok')
      if (head.kind !== 'ok') return false
      readableAtMs = env.nowMs() + READER_PRIORITY_MS + READ_JITTER_MS * env.random()
    }
    return env.nowMs() >= readableAtMs
  }

  async function poll (): Promise<void> {
    // An entry without a copy asks its peers first.
    if (env.nowMs() < retryAtMs || !parts.guard.hasCopy()) return
    const isReader = await parts.isReader()
    if (isReader || sync.confirmedAgeMs() > READER_TIMEOUT_MS) await sync.catchUp()
    if (isReader && !hasFailed && Number.isFinite(confirmedAtMs)) snapshots?.writeWhenDue()
  }

  function noteResult (result: platform.TableResult<number>): platform.TableResult<number> {
    hasFailed = result.kind !== 'ok'
    retryAtMs = hasFailed ? env.nowMs() + READ_JITTER_MS * env.random() : -Infinity
    return result
  }

  async function catchUpOnce (): Promise<platform.TableResult<number>> {
    const startedAtMs = env.nowMs()
    const head = await changeLog.readHead(table, signal)
    noteAvailability(head.kind === 'ok')
    if (head.kind !== 'ok') return head
    // A peer may have sent its copy meanwhile.
    let revision = await task.read(copy => copy.revision)
    if (revision === 0 && head.value > 0) {
      const snapshot = await readFullSnapshot(head.value)
      if (snapshot.kind !== 'ok') return snapshot
      await task.replace(snapshot.value.revision, snapshot.value.changes)
      env.log.emit('configurationRead', {
        revision: snapshot.value.revision, tookMs: Math.round(env.nowMs() - startedAtMs)
      })
      revision = await task.read(copy => copy.revision)
    }
    while (revision < head.value) {
      const changes = await changeLog.readChanges(table, revision, signal)
      if (changes.kind !== 'ok') return changes
      if (changes.value.length === 0) return { kind: 'unavailable', detail: `change ${revision + 1} is missing` }
      await task.apply(changes.value)
      revision = await task.read(copy => copy.revision)
    }
    confirmedAtMs = Math.max(confirmedAtMs, startedAtMs)
    parts.guard.confirm(startedAtMs)
    return { kind: 'ok', value: revision }
  }

  async function readFullSnapshot (headRevision: number): Promise<platform.TableResult<changeLog.Snapshot>> {
    const stored = await snapshots?.read(headRevision)
    if (stored === undefined) return changeLog.readSnapshot(table, signal)
    const continued = await changeLog.completeSnapshot(table, stored, headRevision, signal)
    if (continued.kind !== 'ok') return continued
    if (continued.value === undefined) {
      snapshots!.reject('it is of another change log')
      return changeLog.readSnapshot(table, signal)
    }
    env.log.emit('snapshotUsed', { revision: stored.revision, changesAfter: continued.value.revision - stored.revision })
    return { kind: 'ok', value: continued.value }
  }

  function noteAvailability (available: boolean): void {
    if (available !== tableAvailable) env.log.emit(available ? 'tableAvailable' : 'tableUnavailable')
    tableAvailable = available
  }

  async function submitOne (request: ChangeRequest): Promise<ChangeResult> {
    let unanswered = 0
    let detail = 'the change log moved on too often'
    for (let attempt = 0; attempt < MAX_APPEND_TRIES && unanswered < MAX_UNANSWERED_APPENDS; attempt++) {
      if (attempt > 0) await new Promise(resolve => setTimeout(resolve, APPEND_DELAY_MS * attempt * env.random()))
      // A catch-up that began before the request may miss a change that the operator saw at another entry.
      await running
      const caughtUp = await sync.catchUp()
      if (caughtUp.kind !== 'ok') return { kind: 'unavailable', mayHaveApplied: unanswered > 0, detail: caughtUp.detail }
      const { revision, current, objection } = await task.read(copy => ({
        revision: copy.revision,
        current: copy.entities.get(configuration.entityId(request.entityKind, request.entityName)),
        objection: request.guard?.(copy)
      }))
      const isRefused = (current?.revision ?? 0) !== request.expectedRevision || objection !== undefined
      if (isRefused || attempt > 0) {
        // An earlier append may have been applied although its answer was lost, and later changes may have followed.
        const earlier = await changeLog.findOperation(table, request.operationId, signal)
        if (earlier.kind !== 'ok') return { kind: 'unavailable', mayHaveApplied: true, detail: earlier.detail }
        if (earlier.value !== undefined) return resultOfRepeat(request, earlier.value)
        if ((current?.revision ?? 0) !== request.expectedRevision) {
          env.log.emit('configurationConflict', { entity: configuration.entityId(request.entityKind, request.entityName) })
          return { kind: 'conflict', current }
        }
        if (objection !== undefined) return { kind: 'refused', detail: objection }
      }
      const change: configuration.Change = {
        revision: revision + 1,
        entityKind: request.entityKind,
        entityName: request.entityName,
        replacedRevision: request.expectedRevision,
        document: request.document,
        operator: request.operator,
        acceptedAtMs: env.wallClockMs(),
        operationId: request.operationId
      }
      const appended = await changeLog.appendChange(table, change, signal)
      if (appended.kind === 'committed') {
        await task.apply([change])
        env.log.emit('configurationAccepted', {
          revision: change.revision,
          entity: configuration.entityId(change.entityKind, change.entityName),
          operator: change.operator
        })
        return { kind: 'accepted', change }
      }
      if (appended.kind === 'unavailable') {
        unanswered += 1
        detail = appended.detail
      }
    }
    return { kind: 'unavailable', mayHaveApplied: unanswered > 0, detail }
  }
}

function resultOfRepeat (request: ChangeRequest, change: configuration.Change): ChangeResult {
  const isSame = change.entityKind === request.entityKind && change.entityName === request.entityName &&
    // Two entries fill in different times when they record the same stop.
    (change.entityKind === 'stop' || JSON.stringify(change.document) === JSON.stringify(request.document))
  return isSame ? { kind: 'accepted', change } : { kind: 'id_reused', change }
}
