/**
 * Follows a table of the store: reads it in full, then its changes, and in full again when the history is lost.
 */

import * as timers from 'node:timers/promises'
import type * as controlStore from '../../protocol/control-store.js'
import type * as runtime from '../runtime.js'

export interface TableWatchOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  table: string
  /** Longest wait for a change in one call. */
  waitMs: number
  onSnapshot: (answer: controlStore.RowsAnswer) => void
  onChanges: (answer: controlStore.RowsAnswer) => void
  /** The store answers again after calls failed. */
  onAvailable: () => void
  signal: AbortSignal
}

/** Calls to the store are priced and limited, also while it refuses them. */
const RETRY_MIN_MS = 150
const RETRY_MAX_MS = 600
/**
 * Pause after changes, so that those which follow come in one answer. Load pattern: all backend servers of a large
 * deployment register within a second or two, and each of forty entries asked again after each of them.
 */
const GATHER_MS = 150

export async function watchTable (options: TableWatchOptions): Promise<void> {
  const { signal, runtime: { log, random }, store, table } = options
  let revision: number | undefined
  let failures = 0
  while (!signal.aborted) {
    const answer: controlStore.StoreOutcome<controlStore.RowsAnswer> = revision === undefined
      ? await store.list(table, '', signal)
      : await store.changes(table, revision, options.waitMs, signal)
    if (signal.aborted) return
    if (answer.kind === 'ok') {
      if (failures > 0) {
        log.emit('tableAvailable', { table, failures })
        options.onAvailable()
      }
      failures = 0
      if (revision === undefined) options.onSnapshot(answer.value)
      else if (answer.value.rows.length > 0) options.onChanges(answer.value)
      const hasChanges = revision !== undefined && answer.value.rows.length > 0
      revision = answer.value.revision
      if (hasChanges) await sleep(GATHER_MS, signal)
      continue
    }
    if (answer.kind === 'history_lost') {
      log.emit('tableHistoryLost', { table, revision })
      revision = undefined
      continue
    }
    failures += 1
    if (failures === 1) {
      log.emit('tableUnavailable', { table, reason: 'reason' in answer ? answer.reason : answer.kind })
    }
    // After an outage the changes may have been missed without a sign of it.
    revision = undefined
    await sleep(RETRY_MIN_MS + random() * (RETRY_MAX_MS - RETRY_MIN_MS), signal)
  }
}

async function sleep (ms: number, signal: AbortSignal): Promise<void> {
  try {
    await timers.setTimeout(ms, undefined, { signal })
  } catch {
    // Aborted: the loop ends.
  }
}
