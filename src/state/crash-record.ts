/**
 * Requests that were running when backend servers crashed. A request is refused when this happens repeatedly.
 */

export interface CrashRecord {
  /** Backend incarnations that crashed while running each request, with the time of the last crash. */
  byFingerprint: Map<string, { backendIds: Set<string>, lastAtMs: number }>
}

/** Number of different backend servers that crash before a request is refused; one or two may be a coincidence. */
const CRASHES_TO_REFUSE = 3
const CRASH_RETENTION_MS = 120_000
const MAX_FINGERPRINTS = 2_000

export function createCrashRecord (): CrashRecord {
  return { byFingerprint: new Map() }
}

export function noteCrash (record: CrashRecord, fingerprint: string, backendId: string, nowMs: number): void {
  const entry = record.byFingerprint.get(fingerprint)
  if (entry !== undefined) {
    entry.backendIds.add(backendId)
    entry.lastAtMs = nowMs
    return
  }
  if (record.byFingerprint.size >= MAX_FINGERPRINTS) evictOld(record, nowMs)
  record.byFingerprint.set(fingerprint, { backendIds: new Set([backendId]), lastAtMs: nowMs })
}

/** Clears a request that ran to its end: it does not crash backend servers. */
export function noteSuccess (record: CrashRecord, fingerprint: string): void {
  record.byFingerprint.delete(fingerprint)
}

export function isRefused (record: CrashRecord, fingerprint: string, nowMs: number): boolean {
  const entry = record.byFingerprint.get(fingerprint)
  return entry !== undefined && entry.backendIds.size >= CRASHES_TO_REFUSE &&
    nowMs - entry.lastAtMs < CRASH_RETENTION_MS
}

function evictOld (record: CrashRecord, nowMs: number): void {
  for (const [fingerprint, entry] of record.byFingerprint) {
    if (nowMs - entry.lastAtMs > CRASH_RETENTION_MS) record.byFingerprint.delete(fingerprint)
  }
  const oldest = record.byFingerprint.keys().next()
  if (record.byFingerprint.size >= MAX_FINGERPRINTS && oldest.done !== true) record.byFingerprint.delete(oldest.value)
}
