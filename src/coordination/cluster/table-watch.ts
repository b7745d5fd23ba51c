/**
 * Watches a table of the store: reads it in full, then its changes, and in full again after an outage or when the store
 * no longer keeps the changes.
 */

import * as timers from 'node:timers/promises'
import type * as controlStore from '../../protocol/control-store.js'
import type * as feedSchedule from '../../state/feed-schedule.js'
import type * as revisionModule from '../../state/revision.js'
import type * as runtime from '../runtime.js'

export interface TableWatchOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  table: string
  /** Waits for a change in one call, and after changes. */
  schedule: () => feedSchedule.FeedSchedule
  onSnapshot: (answer: controlStore.RowsAnswer) => void
  onChanges: (answer: controlStore.RowsAnswer) => void
  /** Called when the store answers again after failed calls. */
  onAvailable: () => void
  signal: AbortSignal
}

/** Calls to the store cost money and count against its limit even when it refuses them, so retries are spread out. */
const RETRY_MIN_MS = 150
const RETRY_MAX_MS = 600

/** Resolves when the signal aborts. */
export async function watchTable (options: TableWatchOptions): Promise<void> {
  const { signal, runtime: { log, random }, store, table } = options
  let revision: revisionModule.Revision | undefined
  let failures = 0
  while (!signal.aborted) {
    const answer: controlStore.StoreOutcome<controlStore.RowsAnswer> = revision === undefined
      ? await store.list(table, '', signal)
      : await store.changes(table, revision, options.schedule().waitMs, signal)
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
      if (hasChanges) await sleep(options.schedule().batchDelayMs, signal)
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
    // Changes may have been missed during the outage without an error, so the table is read in full.
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
