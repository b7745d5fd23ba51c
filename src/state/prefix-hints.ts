/**
 * Which backend servers probably hold which prompt prefixes. Cache events come late and with gaps, so a hint only
 * moves the routing score by a bounded gain, and it expires.
 */

/** Beginning of a prompt, up to the end of one of its messages. */
export interface PromptPrefix {
  digest: string
  /** Part of the prompt's text that it covers, above 0 and up to 1. */
  share: number
}

export interface PrefixHints {
  /** Time of the last sign, by prefix and backend server incarnation; prefixes in the order of their last use. */
  holders: Map<string, Map<string, number>>
}

/** Prefixes that are kept; at 32 hexadecimal digits and a few holders each about 1 MB. */
const MAX_PREFIXES = 4_096
const MAX_HOLDERS = 4
/** Caches replace prefixes within minutes, so older signs say nothing. */
const HINT_LIFETIME_MS = 300_000

export function createPrefixHints (): PrefixHints {
  return { holders: new Map() }
}

/** Notes that the backend server answered a request with this prefix or announced it. */
export function notePrefix (hints: PrefixHints, prefix: string, incarnation: string, nowMs: number): void {
  const holders = hints.holders.get(prefix) ?? new Map<string, number>()
  hints.holders.delete(prefix)
  hints.holders.set(prefix, holders)
  holders.delete(incarnation)
  holders.set(incarnation, nowMs)
  if (holders.size > MAX_HOLDERS) holders.delete(holders.keys().next().value!)
  if (hints.holders.size > MAX_PREFIXES) hints.holders.delete(hints.holders.keys().next().value!)
}

/** Notes that the backend server dropped the prefix; an event older than the last sign is ignored. */
export function removePrefix (hints: PrefixHints, prefix: string, incarnation: string, eventAtMs: number): void {
  const holders = hints.holders.get(prefix)
  if (holders === undefined || (holders.get(incarnation) ?? Infinity) > eventAtMs) return
  holders.delete(incarnation)
  if (holders.size === 0) hints.holders.delete(prefix)
}

/**
 * Share of the prompt that the backend server probably holds.
 * @param prefixes shortest first.
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
