/**
 * Snapshot of the configuration in the object store. It saves reads of the table service but is never required: a
 * snapshot that can't be read, or can't be trusted, counts as missing.
 */

import type * as configurationTask from './configuration-task.js'
import type * as environment from './environment.js'
import * as configurationSnapshot from '../protocol/configuration-snapshot.js'
import type * as platform from '../protocol/platform.js'
import type * as configuration from '../state/configuration.js'

export interface SnapshotStore {
  /** The stored snapshot, when it saves reads of changes up to the head; undefined otherwise. */
  read (headRevision: number): Promise<configurationSnapshot.StoredSnapshot | undefined>
  /** Marks the stored snapshot as unusable, such as one of another change log, so that it is not read again. */
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

/**
 * A read of the table service without a snapshot takes about as many pages at 1,200 teams as a read of these changes.
 */
export const MAX_LAG_CHANGES = 1_000

export function createSnapshotStore (
  env: environment.Environment, options: SnapshotStoreOptions, task: configurationTask.ConfigurationTask,
  signal: AbortSignal
): SnapshotStore {
  const { objects, key, periodMs } = options
  // Entries that started together write at different times.
  let dueAtMs = env.nowMs() + periodMs * env.random()
  let writtenRevision = 0
  let isRejected = false

  return {
    async read (headRevision) {
      // An unusable object is not requested again, so that a slow object store delays a start only once.
      if (isRejected) return undefined
      const found = await objects.get(key, signal)
      if (found.kind === 'missing') return reject('the object store holds no snapshot')
      if (found.kind === 'unavailable') return reject(found.detail)
      const decoded = await configurationSnapshot.decodeSnapshot(found.body)
      if (decoded.kind === 'invalid') return reject(decoded.detail)
      const { revision } = decoded.snapshot
      if (revision > headRevision) return reject(`revision ${revision} is ahead of the change log's ${headRevision}`)
      if (headRevision - revision > MAX_LAG_CHANGES) return reject(`revision ${revision} is too far behind ${headRevision}`)
      return decoded.snapshot
    },
    reject,
    writeWhenDue () {
      if (env.nowMs() < dueAtMs) return
      dueAtMs = env.nowMs() + periodMs * (0.5 + env.random())
      write().catch(error => { logFailure((error as Error).message) })
    }
  }

  function reject (detail: string): undefined {
    isRejected = true
    env.log.emit('snapshotUnused', { detail })
  }

  async function write (): Promise<void> {
    const snapshot = await task.read(snapshotOf)
    if (snapshot === undefined || snapshot.revision === writtenRevision) return
    const written = await objects.put(key, await configurationSnapshot.encodeSnapshot(snapshot), signal)
    if (written.kind !== 'stored') return logFailure(written.detail)
    writtenRevision = snapshot.revision
    env.log.emit('snapshotWritten', { revision: snapshot.revision })
  }

  function logFailure (detail: string): void {
    env.log.emit('snapshotNotWritten', { detail })
  }
}

/**
 * Snapshot of the copy; undefined when the copy doesn't hold the change at its own revision. That change then removed
 * an entity, and the copy began from a snapshot that already lacked the entity.
 */
export function snapshotOf (copy: configuration.Configuration): configurationSnapshot.StoredSnapshot | undefined {
  const changes = [...copy.entities.values()].map(entity => entity.change)
  const newest = [...changes, ...copy.recent.slice(-1)].find(change => change.revision === copy.revision)
  return newest === undefined ? undefined : { revision: copy.revision, operationId: newest.operationId, changes }
}
