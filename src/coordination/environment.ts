/**
 * A process's clocks, random numbers, hash function, log and metrics. They are passed in, so that tests can replace
 * them.
 */

import * as crypto from 'node:crypto'
import * as most from 'most'
import xxhash from 'xxhash-wasm'
import type * as rendezvous from '../state/rendezvous.js'
import type * as logging from '../transport/logging.js'
import type * as metrics from '../transport/metrics.js'

export interface Environment {
  /** Milliseconds on a monotonic clock; for intervals. */
  nowMs: () => number
  /** Milliseconds since 1970; for the audit trail, expiry, and time slots that entries agree on. */
  wallClockMs: () => number
  /** Uniform in [0, 1). */
  random: () => number
  hash64: rendezvous.Hash64
  log: logging.EventLog
  metrics: metrics.Metrics
}

/** Creates the environment of a running process, with the system's clocks and random numbers. */
export async function createEnvironment (log: logging.EventLog, metricSink: metrics.Metrics): Promise<Environment> {
  const hasher = await xxhash()
  return {
    nowMs: () => performance.now(),
    wallClockMs: () => Date.now(),
    random: Math.random,
    hash64: text => hasher.h64(text),
    log,
    metrics: metricSink
  }
}

/** Identity of one run of a process: 128 random bits in hexadecimal. */
export function newIncarnation (): string {
  return crypto.randomBytes(16).toString('hex')
}

/** Calls the function periodically until the signal aborts; first after one period. */
export function every (periodMs: number, signal: AbortSignal, action: () => void): void {
  const ended = most.fromPromise(new Promise<void>(resolve => {
    signal.addEventListener('abort', () => resolve(), { once: true })
  }))
  most.periodic(periodMs).skip(1).until(ended).observe(action).catch((error: unknown) => { throw error })
}
