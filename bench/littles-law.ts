/**
 * Concurrency limit by Little's law, a baseline for the project's own limit.
 */

import type * as concurrencyLimit from '../src/state/concurrency-limit.js'

const THROUGHPUT_PERIOD_MS = 500
const THROUGHPUT_SMOOTHING = 0.3

/** Sets the limit by Little's law: the requests in flight at the target latency are throughput times that latency. */
export class LittlesLawLimit implements concurrencyLimit.ConcurrencyLimit {
  readonly #options: concurrencyLimit.ConcurrencyOptions
  #limit: number
  #answered = 0
  #countedFromMs = 0
  /** Smoothed, in requests per ms. */
  #throughput = 0

  constructor (options: concurrencyLimit.ConcurrencyOptions) {
    this.#options = options
    this.#limit = options.initial
  }

  limit (): number { return Math.floor(this.#limit) }

  noteLatency (_latencyMs: number, inFlight: number, nowMs: number): void {
    const { targetMs, min, max } = this.#options
    this.#answered += 1
    const elapsedMs = nowMs - this.#countedFromMs
    if (elapsedMs < THROUGHPUT_PERIOD_MS) return
    const throughput = this.#answered / elapsedMs
    this.#throughput += THROUGHPUT_SMOOTHING * (throughput - this.#throughput)
    this.#answered = 0
    this.#countedFromMs = nowMs
    const wanted = this.#throughput * targetMs
    // With free capacity the throughput measures demand and not capacity, so it may only raise the limit.
    if (wanted < this.#limit && inFlight < this.#limit) return
    this.#limit = Math.min(max, Math.max(min, wanted))
  }
}
