/**
 * Idempotency keys that one entry incarnation issues. Their claims are kept in that entry's memory, so they need no
 * table service. A key is valid for a limited time, after which its claim is removed and the key is refused.
 */

import type * as claims from './claim.js'

export interface IssuedKey {
  entryIncarnation: string
  number: number
  /** Proof that this entry issued the number to this team. */
  signature: string
}

export interface IssuedKeys {
  lastNumber: number
  /** Numbers up to this one have expired. */
  lastExpiredNumber: number
  /** Last number issued in each period, oldest first. */
  periods: { startedAtMs: number, lastNumber: number }[]
  /** Claims of used keys by number. */
  claims: Map<number, claims.HeldClaim>
}

/** At 12 requests/s an entry holds at most about 22,000 claims of used keys in this time. */
export const KEY_LIFETIME_MS = 1_800_000
const ISSUE_PERIOD_MS = 60_000

const ISSUED_KEY = /^bulrush\.([0-9a-f]{32})\.(\d{1,15})\.([0-9a-f]{32})$/

export function createIssuedKeys (): IssuedKeys {
  return { lastNumber: 0, lastExpiredNumber: 0, periods: [], claims: new Map() }
}

/** @returns undefined when the text is a caller's own key. */
export function parseIssuedKey (text: string): IssuedKey | undefined {
  const match = ISSUED_KEY.exec(text)
  if (match === null) return undefined
  return { entryIncarnation: match[1]!, number: Number(match[2]), signature: match[3]! }
}

export function formatIssuedKey (key: IssuedKey): string {
  return `bulrush.${key.entryIncarnation}.${key.number}.${key.signature}`
}

/** @returns the numbers of the new keys. */
export function issueNumbers (keys: IssuedKeys, count: number, nowMs: number): number[] {
  expireKeys(keys, nowMs)
  const numbers = Array.from({ length: count }, (_, index) => keys.lastNumber + 1 + index)
  keys.lastNumber += count
  const period = keys.periods.at(-1)
  if (period !== undefined && nowMs - period.startedAtMs < ISSUE_PERIOD_MS) period.lastNumber = keys.lastNumber
  else keys.periods.push({ startedAtMs: nowMs, lastNumber: keys.lastNumber })
  return numbers
}

export type KeyStatus = 'valid' | 'never_issued' | 'expired'

export function keyStatus (keys: IssuedKeys, number: number, nowMs: number): KeyStatus {
  expireKeys(keys, nowMs)
  if (number > keys.lastNumber || number < 1) return 'never_issued'
  return number <= keys.lastExpiredNumber ? 'expired' : 'valid'
}

export type IssuedWriteResult =
  | { kind: 'committed' }
  | { kind: 'conflict', held: claims.HeldClaim | undefined }

/** Conditional write of a key's claim, as the table service does it for callers' own keys. */
export function writeIssuedClaim (keys: IssuedKeys, number: number, write: claims.ClaimWrite): IssuedWriteResult {
  const held = keys.claims.get(number)
  // The claim of an expired key has been removed, so a missing claim proves nothing.
  if (number <= keys.lastExpiredNumber || (held?.revision ?? 0) !== write.expectedRevision) return { kind: 'conflict', held }
  keys.claims.set(number, { revision: write.expectedRevision + 1, claim: write.claim })
  return { kind: 'committed' }
}

function expireKeys (keys: IssuedKeys, nowMs: number): void {
  const expired = keys.periods.filter(period => nowMs - period.startedAtMs > KEY_LIFETIME_MS + ISSUE_PERIOD_MS)
  if (expired.length === 0) return
  keys.periods.splice(0, expired.length)
  keys.lastExpiredNumber = expired.at(-1)!.lastNumber
  for (const number of keys.claims.keys()) {
    if (number <= keys.lastExpiredNumber) keys.claims.delete(number)
  }
}
