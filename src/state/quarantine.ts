/**
 * Requests that crash backend servers. What was in flight at a crash is suspect and runs alone from then on; a
 * fingerprint in flight at crashes on two distinct servers, at least once alone, is quarantined.
 */

/** `cleared`: a suspect that completed alone. */
export type SuspectState = 'suspect' | 'quarantined' | 'cleared'

export interface SuspectRecord {
  fingerprint: string
  state: SuspectState
  /** Incarnations of the agents whose backend servers crashed with the request in flight. */
  crashedIncarnations: Set<string>
  /** Whether it was alone at one of these crashes. */
  wasAlone: boolean
  expiresAtMs: number
}

export interface Quarantine {
  suspects: Map<string, SuspectRecord>
}

export type RunMode = 'normal' | 'alone' | 'quarantined'

/** Servers that a request may cost. */
const CRASHES_TO_QUARANTINE = 2
const SUSPECT_LIFETIME_MS = 60_000
const QUARANTINE_LIFETIME_MS = 600_000
/** Bounds the memory at about 2 MB; suspects go first. */
const MAX_SUSPECTS = 4_096

export function createQuarantine (): Quarantine {
  return { suspects: new Map() }
}

/**
 * Takes a crash with these fingerprints in flight.
 * @returns whether anything changed that other entries should know.
 */
export function applyCrash (
  quarantine: Quarantine, fingerprints: readonly string[], agentIncarnation: string, nowMs: number
): boolean {
  const distinct = new Set(fingerprints)
  // Copies of one request are one suspect.
  const isAlone = distinct.size === 1
  distinct.delete('')
  let changed = false
  for (const fingerprint of distinct) {
    const suspicion = suspectFor(quarantine, fingerprint, nowMs)
    const isKnown = suspicion.crashedIncarnations.has(agentIncarnation)
    if (isKnown && (!isAlone || suspicion.wasAlone)) continue
    changed = true
    suspicion.crashedIncarnations.add(agentIncarnation)
    suspicion.wasAlone ||= isAlone
    if (suspicion.state === 'cleared') suspicion.state = 'suspect'
    updateState(suspicion, nowMs)
  }
  evictExcess(quarantine, nowMs)
  return changed
}

/** Takes what another entry knows. */
export function applyRecord (
  quarantine: Quarantine,
  record: { fingerprint: string, state: SuspectState, crashedIncarnations: readonly string[], timeToLiveMs: number },
  nowMs: number
): boolean {
  const held = quarantine.suspects.get(record.fingerprint)
  if (record.state === 'cleared') return applyClearance(held, record.crashedIncarnations)
  const isNews = held === undefined || held.expiresAtMs <= nowMs ||
    (record.state === 'quarantined' && held.state !== 'quarantined') ||
    record.crashedIncarnations.some(incarnation => !held.crashedIncarnations.has(incarnation))
  // A record that says nothing new must not bring back a suspect that was cleared, nor lengthen its time to live.
  if (!isNews) return false
  const suspicion = suspectFor(quarantine, record.fingerprint, nowMs)
  for (const incarnation of record.crashedIncarnations) suspicion.crashedIncarnations.add(incarnation)
  if (suspicion.state === 'cleared') suspicion.state = 'suspect'
  if (record.state === 'quarantined') suspicion.state = 'quarantined'
  suspicion.expiresAtMs = Math.max(suspicion.expiresAtMs, nowMs + record.timeToLiveMs)
  if (record.state === 'suspect') updateState(suspicion, nowMs)
  evictExcess(quarantine, nowMs)
  return true
}

/** A request that completed alone is cleared of the crashes that were known then, and not of later ones. */
function applyClearance (held: SuspectRecord | undefined, crashedIncarnations: readonly string[]): boolean {
  if (held?.state !== 'suspect') return false
  if ([...held.crashedIncarnations].some(incarnation => !crashedIncarnations.includes(incarnation))) return false
  held.state = 'cleared'
  held.wasAlone = false
  return true
}

/**
 * A suspect that completed alone did not cause the crash.
 * @returns whether that is news for other entries.
 */
export function noteCompleted (quarantine: Quarantine, fingerprint: string, wasAlone: boolean): boolean {
  const suspicion = quarantine.suspects.get(fingerprint)
  if (suspicion?.state !== 'suspect' || !wasAlone) return false
  suspicion.state = 'cleared'
  suspicion.wasAlone = false
  return true
}

/** Servers on which a trial would prove nothing new. */
export function crashedIncarnations (quarantine: Quarantine, fingerprint: string): ReadonlySet<string> {
  return quarantine.suspects.get(fingerprint)?.crashedIncarnations ?? new Set()
}

export function decideRunMode (quarantine: Quarantine, fingerprint: string, nowMs: number): RunMode {
  const suspicion = quarantine.suspects.get(fingerprint)
  if (suspicion === undefined || suspicion.expiresAtMs <= nowMs || suspicion.state === 'cleared') return 'normal'
  return suspicion.state === 'quarantined' ? 'quarantined' : 'alone'
}

/** Records in one message to another entry, about 6 KB. */
const MAX_RECORDS_PER_MESSAGE = 64

/** Records for other entries, those that expire last first, which puts quarantined requests and new suspects first. */
export function activeRecords (quarantine: Quarantine, nowMs: number): SuspectRecord[] {
  return [...quarantine.suspects.values()]
    .filter(suspicion => suspicion.expiresAtMs > nowMs)
    .sort((a, b) => b.expiresAtMs - a.expiresAtMs)
    .slice(0, MAX_RECORDS_PER_MESSAGE)
}

function updateState (suspicion: SuspectRecord, nowMs: number): void {
  const isGuilty = suspicion.wasAlone && suspicion.crashedIncarnations.size >= CRASHES_TO_QUARANTINE
  if (isGuilty) suspicion.state = 'quarantined'
  const lifetimeMs = suspicion.state === 'quarantined' ? QUARANTINE_LIFETIME_MS : SUSPECT_LIFETIME_MS
  suspicion.expiresAtMs = Math.max(suspicion.expiresAtMs, nowMs + lifetimeMs)
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
  const { suspects: suspicions } = quarantine
  if (suspicions.size <= MAX_SUSPECTS) return
  for (const [fingerprint, suspicion] of suspicions) {
    if (suspicion.expiresAtMs <= nowMs) suspicions.delete(fingerprint)
  }
  for (const state of ['cleared', 'suspect', 'quarantined'] as const) {
    for (const [fingerprint, suspicion] of suspicions) {
      if (suspicions.size <= MAX_SUSPECTS) return
      if (suspicion.state === state) suspicions.delete(fingerprint)
    }
  }
}
