/**
 * When the passes of a lock-step group begin, as far as the readings of its ranks show.
 */

import type * as rankState from './rank-state.js'

export interface PassTiming {
  /** Duration of the last passes. */
  passMs: number
  /** The step from which the next duration is measured, and when a rank was first read with it. */
  sample: { step: number, atMs: number } | undefined
  /** The same for the last step that has begun. */
  begun: { step: number, atMs: number } | undefined
}

/** Assumed duration of a pass until one is measured; passes under typical load take longer. */
const INITIAL_PASS_MS = 40
/** Shortest time from which the duration of a pass is measured: readings show its begin some ms late. */
const SAMPLE_MS = 80

export function createTiming (): PassTiming {
  return { passMs: INITIAL_PASS_MS, sample: undefined, begun: undefined }
}

/**
 * Notes when a new step was first seen at any rank. Each rank is read ten times a second at the most, but at other
 * moments than the others, so that a step of a large group shows within some ms.
 */
export function noteReadings (timing: PassTiming, known: readonly rankState.RankState[]): void {
  const step = Math.max(-1, ...known.map(rank => rank.step))
  if (step < 0 || step === timing.begun?.step) return
  const atMs = Math.min(...known.filter(rank => rank.step === step).map(rank => rank.readAtMs))
  const { sample } = timing
  timing.begun = { step, atMs }
  if (sample !== undefined && step > sample.step) {
    if (atMs - sample.atMs < SAMPLE_MS) return
    timing.passMs = (atMs - sample.atMs) / (step - sample.step)
  }
  timing.sample = timing.begun
}

/**
 * The first step that is expected to begin after a delay.
 *
 * Load pattern: after a change of popularity, passes take 150 ms, and each one that begins with the outdated map is
 * slow. A step that was counted from the time of a reading, in place of the time when its pass began, came two to three
 * passes later.
 */
export function nextStepAfter (
  timing: PassTiming, known: readonly rankState.RankState[], delayMs: number, nowMs: number
): number {
  const step = Math.max(timing.begun?.step ?? 0, ...known.map(rank => rank.step))
  // The next pass may begin at any moment if this one takes longer than the last ones, or if the group was idle.
  const begunAtMs = Math.max(timing.begun?.step === step ? timing.begun.atMs : nowMs, nowMs - timing.passMs)
  return step + Math.max(1, Math.ceil((nowMs + delayMs - begunAtMs) / timing.passMs))
}
