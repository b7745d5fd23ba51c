/**
 * Tracks which backend servers probably have which prompt prefixes in their caches. Cache events arrive late and with
 * gaps, so a hint changes the routing score only by a bounded amount, and it expires.
 */

/** Beginning of a prompt, which ends with one of its messages. */
export interface PromptPrefix {
  digest: string
  /** Share of the prompt's text that the prefix covers, above 0 and up to 1. */
  share: number
}

export interface PrefixHints {
  /**
   * Time of the last evidence, by prefix and incarnation of the backend server. Prefixes are in the order of their last
   * use.
   */
  holders: Map<string, Map<string, number>>
}

/** With 32 hexadecimal digits and a few holders for each prefix, these take about 1 MB. */
const MAX_PREFIXES = 4_096
const MAX_HOLDERS = 4
/** Caches evict prefixes within minutes, so older evidence is worthless. */
const HINT_LIFETIME_MS = 300_000

export function createPrefixHints (): PrefixHints {
  return { holders: new Map() }
}

/** Records that the backend server answered a request with this prefix, or announced that it caches the prefix. */
export function notePrefix (hints: PrefixHints, prefix: string, incarnation: string, nowMs: number): void {
  const holders = hints.holders.get(prefix) ?? new Map<string, number>()
  hints.holders.delete(prefix)
  hints.holders.set(prefix, holders)
  holders.delete(incarnation)
  holders.set(incarnation, nowMs)
  if (holders.size > MAX_HOLDERS) holders.delete(holders.keys().next().value!)
  if (hints.holders.size > MAX_PREFIXES) hints.holders.delete(hints.holders.keys().next().value!)
}

/** Records that the backend server evicted the prefix. An event older than the last evidence is ignored. */
export function removePrefix (hints: PrefixHints, prefix: string, incarnation: string, eventAtMs: number): void {
  const holders = hints.holders.get(prefix)
  if (holders === undefined || (holders.get(incarnation) ?? Infinity) > eventAtMs) return
  holders.delete(incarnation)
  if (holders.size === 0) hints.holders.delete(prefix)
}

/**
 * Share of the prompt that the backend server probably has in its cache, 0 to 1.
 * @param prefixes prefixes of the prompt, shortest first.
 */
export function cachedShare (
  hints: PrefixHints, prefixes: readonly PromptPrefix[], incarnation: string, nowMs: number
): number {
  for (let index = prefixes.length - 1; index >= 0; index--) {
    const { digest, share } = prefixes[index]!
    const seenAtMs = hints.holders.get(digest)?.get(incarnation)
    if (seenAtMs !== undefined && nowMs - seenAtMs <= HINT_LIFETIME_MS) return share
  }
  return 0
}
