/**
 * Rate of events over the last second.
 */

export interface RecentRate {
  timesMs: number[]
}

/** Older events do not reflect the present load. */
const WINDOW_MS = 1_000

export function createRate (): RecentRate {
  return { timesMs: [] }
}

export function noteEvent (rate: RecentRate, nowMs: number): void {
  rate.timesMs.push(nowMs)
  while (rate.timesMs.length > 0 && nowMs - rate.timesMs[0]! > WINDOW_MS) rate.timesMs.shift()
}

export function perSecond (rate: RecentRate, nowMs: number): number {
  return rate.timesMs.filter(atMs => nowMs - atMs <= WINDOW_MS).length * 1_000 / WINDOW_MS
}
