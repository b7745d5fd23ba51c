/**
 * Concurrency limit of one backend server, fixed or adapted so that the latency stays near a target.
 */

export interface ConcurrencyLimit {
  /** Maximum number of requests in flight at present. */
  limit (): number
  /** Records the latency of one answer and the requests in flight when it ended, itself included. */
  noteLatency (latencyMs: number, inFlight: number, nowMs: number): void
}

export interface ConcurrencyOptions {
  /** Target latency. */
  targetMs: number
  min: number
  max: number
  initial: number
}

export class FixedLimit implements ConcurrencyLimit {
  readonly #limit: number

  constructor (limit: number) {
    this.#limit = limit
  }

  limit (): number { return this.#limit }
  noteLatency (): void {}
}

/** Factor applied to the limit when the latency is above the target. */
const DECREASE_FACTOR = 0.9
const LATENCY_SMOOTHING = 0.1

/** Additive increase while the smoothed latency is below the target, multiplicative decrease above it. */
export class AdditiveIncreaseLimit implements ConcurrencyLimit {
  readonly #options: ConcurrencyOptions
  #limit: number
  #latencyMs = 0
  #decreasedAtMs = -Infinity

  constructor (options: ConcurrencyOptions) {
    this.#options = options
    this.#limit = options.initial
  }

  limit (): number { return Math.floor(this.#limit) }

  noteLatency (latencyMs: number, inFlight: number, nowMs: number): void {
    const { targetMs, min, max } = this.#options
    this.#latencyMs = this.#latencyMs === 0
      ? latencyMs
      : this.#latencyMs + LATENCY_SMOOTHING * (latencyMs - this.#latencyMs)
    if (this.#latencyMs > targetMs) {
      // At most one decrease per target time: the answers in between were admitted under the old limit.
      if (nowMs - this.#decreasedAtMs < targetMs) return
      this.#limit = Math.max(min, this.#limit * DECREASE_FACTOR)
      this.#decreasedAtMs = nowMs
    } else if (inFlight >= this.#limit / 2) {
      // While the requests stay far below the limit, the latency does not show whether a higher limit is safe.
      this.#limit = Math.min(max, this.#limit + 1 / this.#limit)
    }
  }
}
