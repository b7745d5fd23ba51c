/**
 * Clock, random numbers, log and metrics that every task of a platform program uses.
 */

import type * as logging from '../transport/logging.js'
import type * as textMetrics from '../transport/text-metrics.js'

export interface Runtime {
  /** Monotonic clock in ms. */
  nowMs: () => number
  /** Uniform in [0, 1). */
  random: () => number
  log: logging.EventLog
  metrics: textMetrics.TextMetrics
}
