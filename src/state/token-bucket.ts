/**
 * Bucket that fills at a rate up to a maximum; each request takes one token.
 */

export interface TokenBucket {
  tokens: number
  refilledAtMs: number
}

/** Adds what has accumulated since the last call. @param burst maximum number of tokens. */
export function refill (bucket: TokenBucket, perSecond: number, burst: number, nowMs: number): void {
  const elapsedS = (nowMs - bucket.refilledAtMs) / 1_000
  bucket.tokens = Math.min(burst, bucket.tokens + perSecond * elapsedS)
  bucket.refilledAtMs = nowMs
}
