/**
 * The agent's ledger of attempts. An attempt runs at most once, a cancelled one never runs, and a late copy is refused.
 * For each entry incarnation only sequence numbers from a low watermark upwards are kept; lower ones are settled.
 */

/**
 * `completed`: the backend server answered. `failed`: it received the request, but no complete answer came.
 * `tombstoned`: cancelled before the backend server received it; it never runs.
 */
export type AttemptState = 'running' | 'completed' | 'failed' | 'tombstoned'

export interface AttemptId {
  entryIncarnation: string
  sequence: number
}

export interface AttemptLedger {
  entries: Map<string, EntryAttempts>
}

interface EntryAttempts {
  /** Attempts with lower sequence numbers are settled, and copies of them are refused. */
  lowWatermark: number
  states: Map<number, AttemptState>
}

/** Bounds the memory for one entry incarnation: an entry that has died no longer raises its watermark. */
const MAX_STATES_PER_ENTRY = 4_096

const ATTEMPT_ID = /^([0-9a-f]{32})\.(\d{1,15})$/

export function createLedger (): AttemptLedger {
  return { entries: new Map() }
}

/** @returns undefined when the text is not an attempt id. */
export function parseAttemptId (text: string): AttemptId | undefined {
  const match = ATTEMPT_ID.exec(text)
  return match === null ? undefined : { entryIncarnation: match[1]!, sequence: Number(match[2]) }
}

export function formatAttemptId (id: AttemptId): string {
  return `${id.entryIncarnation}.${id.sequence}`
}

export type BeginResult = 'begun' | 'duplicate' | 'tombstoned' | 'settled'

/**
 * Begins an attempt unless a copy of it has begun, was cancelled or is settled.
 *
 * @param oldestOpen the entry's lowest sequence number that is not settled.
 */
export function beginAttempt (ledger: AttemptLedger, id: AttemptId, oldestOpen: number): BeginResult {
  const attempts = attemptsOf(ledger, id.entryIncarnation)
  raiseWatermark(attempts, Math.min(oldestOpen, id.sequence))
  if (id.sequence < attempts.lowWatermark) return 'settled'
  const state = attempts.states.get(id.sequence)
  if (state === 'tombstoned') return 'tombstoned'
  if (state !== undefined) return 'duplicate'
  record(attempts, id.sequence, 'running')
  return 'begun'
}

/** Records how a running attempt ended; does nothing for an attempt in any other state. */
export function completeAttempt (
  ledger: AttemptLedger, id: AttemptId, state: 'completed' | 'failed' = 'completed'
): void {
  const attempts = ledger.entries.get(id.entryIncarnation)
  if (attempts?.states.get(id.sequence) === 'running') attempts.states.set(id.sequence, state)
}

/**
 * Cancels a running attempt of which the backend server received nothing.
 *
 * @returns whether the attempt can no longer run; false when the ledger does not hold it as running.
 */
export function withdrawAttempt (ledger: AttemptLedger, id: AttemptId): boolean {
  const attempts = ledger.entries.get(id.entryIncarnation)
  // Every copy below the watermark is refused, which is as final as a tombstone.
  if (attempts !== undefined && id.sequence < attempts.lowWatermark) return true
  if (attempts?.states.get(id.sequence) !== 'running') return false
  attempts.states.set(id.sequence, 'tombstoned')
  return true
}

export type CancelResult = AttemptState | 'settled'

/** Cancels an attempt for good if it has not begun. @returns the state of the attempt afterwards. */
export function cancelAttempt (ledger: AttemptLedger, id: AttemptId): CancelResult {
  const attempts = attemptsOf(ledger, id.entryIncarnation)
  if (id.sequence < attempts.lowWatermark) return 'settled'
  const state = attempts.states.get(id.sequence)
  if (state !== undefined) return state
  record(attempts, id.sequence, 'tombstoned')
  return 'tombstoned'
}

/** Returns the state without changing it; `unknown` when neither a copy nor a cancellation has arrived. */
export function attemptState (ledger: AttemptLedger, id: AttemptId): CancelResult | 'unknown' {
  const attempts = ledger.entries.get(id.entryIncarnation)
  if (attempts === undefined) return 'unknown'
  if (id.sequence < attempts.lowWatermark) return 'settled'
  return attempts.states.get(id.sequence) ?? 'unknown'
}

function attemptsOf (ledger: AttemptLedger, entryIncarnation: string): EntryAttempts {
  let attempts = ledger.entries.get(entryIncarnation)
  if (attempts === undefined) {
    attempts = { lowWatermark: 0, states: new Map() }
    ledger.entries.set(entryIncarnation, attempts)
  }
  return attempts
}

function record (attempts: EntryAttempts, sequence: number, state: AttemptState): void {
  attempts.states.set(sequence, state)
  if (attempts.states.size <= MAX_STATES_PER_ENTRY) return
  // Raising the watermark above open attempts refuses more copies than necessary, but never lets one run twice.
  const sequences = [...attempts.states.keys()].sort((a, b) => a - b)
  raiseWatermark(attempts, sequences[Math.floor(sequences.length / 2)]!)
}

function raiseWatermark (attempts: EntryAttempts, watermark: number): void {
  if (!(watermark > attempts.lowWatermark)) return
  attempts.lowWatermark = watermark
  for (const sequence of attempts.states.keys()) {
    if (sequence < watermark) attempts.states.delete(sequence)
  }
}
