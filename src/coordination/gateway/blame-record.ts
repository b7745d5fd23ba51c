/**
 * Keeps in the store what crashes backend servers, since all entries may be killed at once: they tell each other only.
 * One ready entry writes; each entry reads once, when it has started.
 */

import * as timers from 'node:timers/promises'
import type * as controlStore from '../../protocol/control-store.js'
import type * as runtime from '../runtime.js'

export interface BlamedFeature {
  feature: string
  remainingMs: number
  /** Whether it was found by trials, before responses began, or because it recurred at crashes. */
  foundBy: 'trial' | 'recurrence'
}

export interface BlameRecordOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  /** Features that are blamed now. */
  blamed: () => BlamedFeature[]
  onRecorded: (features: BlamedFeature[]) => void
  /** Whether this entry is the one that writes. */
  isWriter: () => boolean
  signal: AbortSignal
}

const TABLE = 'bulrush-crashes'
const KEY = 'blamed'
/** A change is lost if all entries are killed within this time. */
const CHECK_INTERVAL_MS = 100
const RETRY_MS = 500

interface Recorded {
  feature: string
  untilUnixMs: number
  /** Missing in records of earlier versions, which only had trials. */
  foundBy?: BlamedFeature['foundBy']
}

/** Reads the record, and then writes it whenever other features are blamed, until the signal aborts. */
export async function keepBlameRecord (options: BlameRecordOptions): Promise<void> {
  const { signal } = options
  let recorded: string | undefined
  while (!signal.aborted) {
    const result: string | undefined = recorded === undefined
      ? await read(options)
      : await writeChange(options, recorded)
    recorded = result ?? recorded
    const pauseMs = result === undefined ? RETRY_MS : CHECK_INTERVAL_MS
    await timers.setTimeout(pauseMs, undefined, { signal }).catch(() => {})
  }
}

/** @returns a summary of the record; undefined when the store does not answer. */
async function read ({ store, signal, runtime: { log }, onRecorded }: BlameRecordOptions): Promise<string | undefined> {
  const answer = await store.list(TABLE, '', signal)
  if (answer.kind !== 'ok') return undefined
  const features = decode(answer.value.rows.find(row => row.key === KEY)?.value)
  if (features.length > 0) {
    log.emit('crashCausesRead', { features })
    onRecorded(features)
  }
  return summaryOf(features)
}

/** @returns a summary of the record; undefined when the store did not take the change. */
async function writeChange (
  { store, signal, blamed, isWriter }: BlameRecordOptions, recorded: string
): Promise<string | undefined> {
  const features = blamed()
  const summary = summaryOf(features)
  if (summary === recorded || !isWriter()) return recorded
  const written = await store.write([{ table: TABLE, partition: '', key: KEY, value: encode(features) }], [], signal)
  return written.kind === 'ok' ? summary : undefined
}

function summaryOf (features: readonly BlamedFeature[]): string {
  return JSON.stringify(features.map(({ feature }) => feature).sort())
}

function encode (features: readonly BlamedFeature[]): Buffer {
  const nowUnixMs = Date.now()
  return Buffer.from(JSON.stringify(features.map(({ feature, remainingMs, foundBy }): Recorded =>
    ({ feature, untilUnixMs: nowUnixMs + remainingMs, foundBy }))))
}

/** @returns the features that are still blamed; none for a row of another writer. */
function decode (value: Buffer | undefined): BlamedFeature[] {
  let parsed: unknown
  try {
    parsed = JSON.parse(value?.toString('utf8') ?? '[]')
  } catch {
    return []
  }
  if (!Array.isArray(parsed)) return []
  return parsed.filter(isRecorded).map(({ feature, untilUnixMs, foundBy }): BlamedFeature => ({
    feature, remainingMs: untilUnixMs - Date.now(), foundBy: foundBy === 'recurrence' ? 'recurrence' : 'trial'
  })).filter(({ remainingMs }) => remainingMs > 0)
}

function isRecorded (value: unknown): value is Recorded {
  const { feature, untilUnixMs } = (value ?? {}) as Partial<Recorded>
  return typeof feature === 'string' && Number.isFinite(untilUnixMs)
}
