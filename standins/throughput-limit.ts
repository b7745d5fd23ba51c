/**
 * Rate limit of a stand-in, as a token bucket that holds the tokens of one second. The table service answers requests
 * beyond the limit with ProvisionedThroughputExceededException.
 */

export class ThroughputLimit {
  #tokens = 0
  #refilledAtMs = -Infinity

  /** @param perSecond current limit in requests per second; 0 disables it. @returns whether the request is served. */
  tryAcquire (perSecond: number, nowMs: number): boolean {
    if (perSecond === 0) {
      // A limit that is set later starts with a full bucket.
      this.#refilledAtMs = -Infinity
      return true
    }
    const elapsedMs = Math.min(1_000, nowMs - this.#refilledAtMs)
    this.#tokens = Math.min(perSecond, this.#tokens + elapsedMs / 1_000 * perSecond)
    this.#refilledAtMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}

export const THROTTLING_RESPONSE = {
  __type: 'com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException',
  message: 'The level of configured provisioned throughput for the table was exceeded.'
}
