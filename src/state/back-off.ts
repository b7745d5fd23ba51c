/**
 * Exponential back-off with full jitter, so that processes that lost the same peer do not reconnect at the same time.
 */

export interface BackOff {
  /** Upper bound of the first delay. */
  baseMs: number
  /** Upper bound of every delay. */
  maxMs: number
}

/**
 * Delay before the next attempt.
 *
 * @param failures consecutive failed attempts, from 1.
 * @param random uniform in [0, 1).
 */
export function backOffMs (backOff: BackOff, failures: number, random: number): number {
  return random * Math.min(backOff.maxMs, backOff.baseMs * 2 ** Math.max(0, failures - 1))
}
