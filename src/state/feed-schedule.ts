/**
 * How often an entry calls the store for changes.
 *
 * Load pattern: calls to the store are limited for all hosts together and cost money. A hundred entries whose waits for
 * a change end every 2.5 s make eighty calls a second for two tables that seldom change. A shorter wait detects a dead
 * connection sooner; in a large deployment some entries do this, and the others hear of changes from them.
 */

/** Wait for a change of entries that detect a dead connection first. */
const SHORT_WAIT_MS = 2_500
/**
 * Wait of the others. Rows of live backend servers expire during an outage, which a wait across it would not notice.
 * The configuration does not expire, and its versions show what was missed.
 */
const LONG_WAITS_MS: Record<FeedContent, number> = { backends: 5_000, configuration: 15_000 }
/** Entries with the short wait. */
const SHORT_WAIT_ENTRIES = 6
/**
 * Delay after changes, so that the following ones arrive in one answer. All backend servers of a large deployment
 * register within a second or two.
 */
const BATCH_DELAY_MS = 150
const BATCH_DELAY_PER_ENTRY_MS = 1.5
/** Number of entries up to which the delay is the shortest. */
const TYPICAL_ENTRIES = 16
const MAX_BATCH_DELAY_MS = 300

export type FeedContent = 'backends' | 'configuration'

export interface FeedSchedule {
  waitMs: number
  batchDelayMs: number
}

/** @param entries addresses of the other entries that this one knows. */
export function feedSchedule (content: FeedContent, own: string, entries: readonly string[]): FeedSchedule {
  const count = entries.length + 1
  const interval = Math.floor(count / SHORT_WAIT_ENTRIES)
  // Addresses of a failure domain are adjacent, so every n-th entry spreads the short waits over all domains.
  const index = entries.filter(address => address < own).length
  const isShort = interval <= 1 || index % interval === 0
  const extraDelayMs = Math.max(0, count - TYPICAL_ENTRIES) * BATCH_DELAY_PER_ENTRY_MS
  return {
    waitMs: isShort ? SHORT_WAIT_MS : LONG_WAITS_MS[content],
    batchDelayMs: Math.min(MAX_BATCH_DELAY_MS, BATCH_DELAY_MS + extraDelayMs)
  }
}
