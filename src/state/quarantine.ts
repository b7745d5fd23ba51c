/**
 * Detects requests that crash backend servers. A request that was in flight at a crash becomes a suspect and from then
 * on runs alone on a server. A fingerprint that was in flight at the crashes of two distinct servers, at least once
 * alone, is quarantined.
 */

/** `cleared` is a suspect that has completed while it ran alone. */
export type SuspectState = 'suspect' | 'quarantined' | 'cleared'

export interface SuspectRecord {
  fingerprint: string
  state: SuspectState
  /** Incarnations of the agents whose backend servers crashed with the request in flight. */
  crashedIncarnations: Set<string>
  /** Whether the request was the only one in flight at one of these crashes. */
  wasAlone: boolean
  expiresAtMs: number
}

export interface Quarantine {
  suspects: Map<string, SuspectRecord>
}

export type RunMode = 'normal' | 'alone' | 'quarantined'

/** A request is quarantined after crashes of this many distinct servers. */
const CRASHES_TO_QUARANTINE = 2
const SUSPECT_LIFETIME_MS = 60_000
const QUARANTINE_LIFETIME_MS = 600_000
/** Bounds the memory at about 2 MB. Suspects are evicted before quarantined requests. */
const MAX_SUSPECTS = 4_096

export function createQuarantine (): Quarantine {
  return { suspects: new Map() }
}

/**
 * Records a crash of a backend server with these fingerprints in flight.
 * @returns whether anything changed that must be sent to other entries.
 */
export function applyCrash (
  quarantine: Quarantine, fingerprints: readonly string[], agentIncarnation: string, nowMs: number
): boolean {
  const distinct = new Set(fingerprints)
  // Copies of the same request count as one.
  const isAlone = distinct.size === 1
  distinct.delete('')
  let hasChanged = false
  for (const fingerprint of distinct) {
    const suspect = suspectFor(quarantine, fingerprint, nowMs)
    const isKnown = suspect.crashedIncarnations.has(agentIncarnation)
    if (isKnown && (!isAlone || suspect.wasAlone)) continue
    hasChanged = true
    suspect.crashedIncarnations.add(agentIncarnation)
    suspect.wasAlone ||= isAlone
    if (suspect.state === 'cleared') suspect.state = 'suspect'
    updateState(suspect, nowMs)
  }
  evictExcess(quarantine, nowMs)
  return hasChanged
}

/** Merges a record from another entry. @returns whether anything changed. */
export function applyRecord (
  quarantine: Quarantine,
  record: { fingerprint: string, state: SuspectState, crashedIncarnations: readonly string[], timeToLiveMs: number },
  nowMs: number
): boolean {
  const held = quarantine.suspects.get(record.fingerprint)
  if (record.state === 'cleared') return applyClearance(held, record.crashedIncarnations)
  const isNew = held === undefined || held.expiresAtMs <= nowMs ||
    (record.state === 'quarantined' && held.state !== 'quarantined') ||
    record.crashedIncarnations.some(incarnation => !held.crashedIncarnations.has(incarnation))
  // A record without new information must neither restore a cleared suspect nor extend its time to live.
  if (!isNew) return false
  const suspect = suspectFor(quarantine, record.fingerprint, nowMs)
  for (const incarnation of record.crashedIncarnations) suspect.crashedIncarnations.add(incarnation)
  if (suspect.state === 'cleared') suspect.state = 'suspect'
  if (record.state === 'quarantined') suspect.state = 'quarantined'
  suspect.expiresAtMs = Math.max(suspect.expiresAtMs, nowMs + record.timeToLiveMs)
  if (record.state === 'suspect') updateState(suspect, nowMs)
  evictExcess(quarantine, nowMs)
  return true
}

/** A request that completed alone is cleared of the crashes known at that time, but not of later ones. */
function applyClearance (held: SuspectRecord | undefined, crashedIncarnations: readonly string[]): boolean {
  if (held?.state !== 'suspect') return false
  if ([...held.crashedIncarnations].some(incarnation => !crashedIncarnations.includes(incarnation))) return false
  held.state = 'cleared'
  held.wasAlone = false
  return true
}

/**
 * Records that a request completed. A suspect that completed alone did not cause the crash.
 * @returns whether anything changed that must be sent to other entries.
 */
export function noteCompleted (quarantine: Quarantine, fingerprint: string, wasAlone: boolean): boolean {
  const suspect = quarantine.suspects.get(fingerprint)
  if (suspect?.state !== 'suspect' || !wasAlone) return false
  suspect.state = 'cleared'
  suspect.wasAlone = false
  return true
}

/** Servers that already crashed with this request in flight; another run on them would give no new information. */
export function crashedIncarnations (quarantine: Quarantine, fingerprint: string): ReadonlySet<string> {
  return quarantine.suspects.get(fingerprint)?.crashedIncarnations ?? new Set()
}

export function decideRunMode (quarantine: Quarantine, fingerprint: string, nowMs: number): RunMode {
  const suspect = quarantine.suspects.get(fingerprint)
  if (suspect === undefined || suspect.expiresAtMs <= nowMs || suspect.state === 'cleared') return 'normal'
  return suspect.state === 'quarantined' ? 'quarantined' : 'alone'
}

/** Maximum number of records in one message to another entry, which then takes about 6 KB. */
const MAX_RECORDS_PER_MESSAGE = 64

/**
 * Records to send to other entries. Those that expire last come first, so quarantined requests and new suspects are
 * included even if there are too many records.
 */
export function activeRecords (quarantine: Quarantine, nowMs: number): SuspectRecord[] {
  return [...quarantine.suspects.values()]
    .filter(suspect => suspect.expiresAtMs > nowMs)
    .sort((a, b) => b.expiresAtMs - a.expiresAtMs)
    .slice(0, MAX_RECORDS_PER_MESSAGE)
}

function updateState (suspect: SuspectRecord, nowMs: number): void {
  const isQuarantined = suspect.wasAlone && suspect.crashedIncarnations.size >= CRASHES_TO_QUARANTINE
  if (isQuarantined) suspect.state = 'quarantined'
  const lifetimeMs = suspect.state === 'quarantined' ? QUARANTINE_LIFETIME_MS : SUSPECT_LIFETIME_MS
  suspect.expiresAtMs = Math.max(suspect.expiresAtMs, nowMs + lifetimeMs)
}

function suspectFor (quarantine: Quarantine, fingerprint: string, nowMs: number): SuspectRecord {
  const held = quarantine.suspects.get(fingerprint)
  if (held !== undefined && held.expiresAtMs > nowMs) return held
  const created: SuspectRecord = {
    fingerprint, state: 'suspect', crashedIncarnations: new Set(), wasAlone: false, expiresAtMs: nowMs
  }
  quarantine.suspects.set(fingerprint, created)
  return created
}

function evictExcess (quarantine: Quarantine, nowMs: number): void {
  const { suspects } = quarantine
  if (suspects.size <= MAX_SUSPECTS) return
  for (const [fingerprint, suspect] of suspects) {
    if (suspect.expiresAtMs <= nowMs) suspects.delete(fingerprint)
  }
  for (const state of ['cleared', 'suspect', 'quarantined'] as const) {
    for (const [fingerprint, suspect] of suspects) {
      if (suspects.size <= MAX_SUSPECTS) return
      if (suspect.state === state) suspects.delete(fingerprint)
    }
  }
}
