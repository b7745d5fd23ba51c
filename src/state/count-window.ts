/**
 * How often the requests of one rank chose each expert over the last second or so, in the form in which its agent
 * reports it to the lead.
 *
 * Load pattern: a plan from the counts of a quarter of a large group's ranks follows the few requests that happen to
 * run there, and moves experts back and forth. In this form the counts of all 63 ranks need half of the bytes that the
 * complete counts of 16 took.
 */

import * as popularityChange from './popularity-change.js'
import type * as rankControl from '../protocol/rank-control.js'

export interface CountWindow {
  samples: { atMs: number, counts: rankControl.ExpertCounts }[]
}

/**
 * Differences between two samples of the counts, as whole steps of `scale` requests. They are rounded randomly, so that
 * the sum over the ranks is right on average.
 */
export interface PackedCounts {
  epoch: number
  /** Experts in each set. */
  experts: number
  /** Requests per step. */
  scale: number
  /** Steps of each expert of each set, in base64: one byte each, or half a byte for one rank with many experts. */
  steps: string
}

/** Up to this many counts are sent as whole bytes; more from each rank of a large group would fill the lead's link. */
const MAX_BYTE_ENCODED_COUNTS = 512
const MAX_BYTE_STEP = 255
const MAX_HALF_BYTE_STEP = 15

export function createWindow (): CountWindow {
  return { samples: [] }
}

/**
 * Interval at which a rank's counts are read while its group is open, so that a lead can request any recent window and
 * a change of popularity is noticed within about a pass.
 */
export const SAMPLE_INTERVAL_MS = 100
/** The counts of more experts take an agent longer to read. */
const MANY_COUNTS = 512
const MANY_COUNTS_INTERVAL_MS = 300

/**
 * Interval at which an agent reads this number of counts. The lead alone follows a change of popularity, so the other
 * agents of a large group need fewer samples.
 */
export function sampleIntervalMs (counts: number, isLeading: boolean): number {
  return counts > MANY_COUNTS && !isLeading ? MANY_COUNTS_INTERVAL_MS : SAMPLE_INTERVAL_MS
}

/** Samples are kept for the longest window that a lead asks for. */
const SAMPLE_RETENTION_MS = 1_500
/** Minimum time between samples whose choices are compared; a shorter one may contain no pass. */
const MIN_COMPARED_MS = 80

/**
 * Adds a sample. Earlier ones of another epoch, from before a restart or before a change of popularity are dropped.
 *
 * @returns whether popularity has changed.
 */
export function addSample (window: CountWindow, counts: rankControl.ExpertCounts, nowMs: number): boolean {
  window.samples = window.samples.filter(sample =>
    nowMs - sample.atMs <= SAMPLE_RETENTION_MS && isSameRun(sample.counts, counts))
  const isChanged = isChangedSince(window.samples, counts, nowMs)
  if (isChanged) window.samples = []
  window.samples.push({ atMs: nowMs, counts })
  return isChanged
}

/**
 * How often each expert was chosen within the window, up to the newest sample. The window begins at the last change of
 * popularity at the latest.
 *
 * @returns undefined without an earlier sample in the window.
 */
export function countsWithin (
  window: CountWindow, windowMs: number, nowMs: number, random: () => number
): PackedCounts | undefined {
  const newest = window.samples.at(-1)
  const oldest = window.samples.find(sample => nowMs - sample.atMs <= windowMs)
  if (newest === undefined || oldest === undefined || oldest === newest) return undefined
  return pack(newest.counts, oldest.counts, random)
}

function isChangedSince (
  samples: CountWindow['samples'], counts: rankControl.ExpertCounts, nowMs: number
): boolean {
  const before = (atMs: number): CountWindow['samples'][number] | undefined =>
    samples.findLast(sample => atMs - sample.atMs >= MIN_COMPARED_MS)
  const third = before(nowMs)
  const second = third && before(third.atMs)
  if (second === undefined) return false
  const latest = differences(counts, third!.counts)
  if (popularityChange.isChanged(differences(third!.counts, second.counts), latest)) return true
  // A window with a change in its middle resembles both its neighbours, but these don't resemble each other.
  const first = before(second.atMs)
  return first !== undefined && popularityChange.isChanged(differences(second.counts, first.counts), latest)
}

/** How often each expert was chosen between two samples, by set. */
function differences (now: rankControl.ExpertCounts, before: rankControl.ExpertCounts): number[][] {
  return now.counts.map((set, index) =>
    set.map((count, expert) => Math.max(0, count - (before.counts[index]?.[expert] ?? 0))))
}

/** Whether the rank has not restarted between two samples; a restarted rank counts from zero. */
function isSameRun (earlier: rankControl.ExpertCounts, counts: rankControl.ExpertCounts): boolean {
  return earlier.epoch === counts.epoch && earlier.step <= counts.step
}

function pack (
  now: rankControl.ExpertCounts, before: rankControl.ExpertCounts, random: () => number
): PackedCounts {
  const chosen = differences(now, before).flat()
  const isByteEncoded = chosen.length <= MAX_BYTE_ENCODED_COUNTS
  const maxStep = isByteEncoded ? MAX_BYTE_STEP : MAX_HALF_BYTE_STEP
  const scale = Math.max(1, ...chosen) / maxStep
  const steps = chosen.map(count => Math.min(maxStep, Math.floor(count / scale + random())))
  const bytes = isByteEncoded ? Buffer.from(steps) : packHalfBytes(steps)
  return { epoch: now.epoch, experts: now.counts[0]?.length ?? 0, scale, steps: bytes.toString('base64') }
}

/** Packs the sum of several ranks' counts, as if it were one rank's. */
export function packSum (sum: readonly number[][], epoch: number, random: () => number): PackedCounts {
  const counts = sum.flat()
  const scale = Math.max(1, ...counts) / MAX_BYTE_STEP
  const steps = counts.map(count => Math.min(MAX_BYTE_STEP, Math.floor(count / scale + random())))
  return { epoch, experts: sum[0]?.length ?? 0, scale, steps: Buffer.from(steps).toString('base64') }
}

function packHalfBytes (steps: readonly number[]): Buffer {
  const bytes = Buffer.alloc(Math.ceil(steps.length / 2))
  steps.forEach((step, index) => { bytes[index >> 1]! |= index % 2 === 0 ? step : step << 4 })
  return bytes
}

/** @returns undefined when the number of steps differs from `count`. */
function unpackSteps (packed: string, count: number): number[] | undefined {
  const bytes = Buffer.from(packed, 'base64')
  if (bytes.length === count) return [...bytes]
  if (bytes.length !== Math.ceil(count / 2)) return undefined
  return Array.from({ length: count }, (_, index) =>
    index % 2 === 0 ? bytes[index >> 1]! & MAX_HALF_BYTE_STEP : bytes[index >> 1]! >> 4)
}

/** Adds up the counts of the ranks. @returns by set; undefined when no rank has counts of this epoch and shape. */
export function sumCounts (
  packed: readonly PackedCounts[], epoch: number, sets: number, experts: number
): number[][] | undefined {
  let sum: number[][] | undefined
  for (const rankCounts of packed) {
    const steps = unpackSteps(rankCounts.steps, sets * experts)
    if (rankCounts.epoch !== epoch || rankCounts.experts !== experts || steps === undefined) continue
    sum ??= Array.from({ length: sets }, () => new Array<number>(experts).fill(0))
    steps.forEach((step, index) => { sum![Math.floor(index / experts)]![index % experts]! += step * rankCounts.scale })
  }
  return sum
}
