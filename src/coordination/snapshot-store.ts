/**
 * Snapshot of the configuration in the object store. It saves reads of the table service and is never needed: what
 * can't be read, or can't be trusted, counts as absent.
 */

import type * as configurationTask from './configuration-task.js'
import type * as environment from './environment.js'
import * as configurationSnapshot from '../protocol/configuration-snapshot.js'
import type * as platform from '../protocol/platform.js'
import type * as configuration from '../state/configuration.js'

export interface SnapshotStore {
  /** The stored snapshot, when it can shorten the way to the head; undefined otherwise. */
  read (headRevision: number): Promise<configurationSnapshot.StoredSnapshot | undefined>
  /** Notes that a stored snapshot is not of this change log. */
  reject (detail: string): void
  /** Writes the copy when a write is due and the copy has changed since the last one. */
  writeWhenDue (): void
}

export interface SnapshotStoreOptions {
  objects: platform.ObjectStore
  key: string
  /** Mean time between two writes of this entry. */
  periodMs: number
}

/** A read of the table service without a snapshot takes about as many pages as these changes at 1,200 teams. */
export const MAX_LAG_CHANGES = 1_000

export function createSnapshotStore (
  env: environment.Environment, options: SnapshotStoreOptions, task: configurationTask.ConfigurationTask,
  signal: AbortSignal
): SnapshotStore {
  const { objects, key, periodMs } = options
  // Entries that started together write at different times.
  let dueAtMs = env.nowMs() + periodMs * env.random()
  let writtenRevision = 0
  let isRefused = false

  return {
    async read (headRevision) {
      // An object that was no use once stays unasked, so that a slow object store delays a start only once.
      if (isRefused) return undefined
      const found = await objects.get(key, signal)
      if (found.kind === 'missing') return refuse('there is none')
      if (found.kind === 'unavailable') return refuse(found.detail)
      const decoded = await configurationSnapshot.decodeSnapshot(found.body)
      if (decoded.kind === 'invalid') return refuse(decoded.detail)
      const { revision } = decoded.snapshot
      if (revision > headRevision) return refuse(`revision ${revision} is ahead of the change log's ${headRevision}`)
      if (headRevision - revision > MAX_LAG_CHANGES) return refuse(`revision ${revision} is too far behind ${headRevision}`)
      return decoded.snapshot
    },
    reject: refuse,
    writeWhenDue () {
      if (env.nowMs() < dueAtMs) return
      dueAtMs = env.nowMs() + periodMs * (0.5 + env.random())
      write().catch(error => { noteFailure((error as Error).message) })
    }
  }

  function refuse (detail: string): undefined {
    isRefused = true
    env.log.emit('snapshotUnused', { detail })
  }

  async function write (): Promise<void> {
    const snapshot = await task.read(snapshotOf)
    if (snapshot === undefined || snapshot.revision === writtenRevision) return
    const written = await objects.put(key, await configurationSnapshot.encodeSnapshot(snapshot), signal)
    if (written.kind !== 'stored') return noteFailure(written.detail)
    writtenRevision = snapshot.revision
    env.log.emit('snapshotWritten', { revision: snapshot.revision })
  }

  function noteFailure (detail: string): void {
    env.log.emit('snapshotNotWritten', { detail })
  }
}

/** Undefined when the copy doesn't hold the change at its revision, which removed an entity before the copy began. */
export function snapshotOf (copy: configuration.Configuration): configurationSnapshot.StoredSnapshot | undefined {
  const changes = [...copy.entities.values()].map(entity => entity.change)
  const newest = [...changes, ...copy.recent.slice(-1)].find(change => change.revision === copy.revision)
  return newest === undefined ? undefined : { revision: copy.revision, operationId: newest.operationId, changes }
}
