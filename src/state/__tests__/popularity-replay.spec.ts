import * as vitest from 'vitest'
import * as countWindow from '../count-window.js'
import * as expertRebalance from '../expert-rebalance.js'

const { expect, test } = vitest

// Load pattern: expert popularity changes completely every 3.3 s in a group of 8 ranks with 7 streams each, whose
// pauses must stay below 120 ms.
const [RANKS, SETS, EXPERTS, PLACES, SPARE] = [8, 6, 64, 11, 4]
const [EXPERT_MEGABYTES, LINK_MEGABITS] = [1_700, 92_000]
const COPY_MS = EXPERT_MEGABYTES * 8 * 1_000 / LINK_MEGABITS
const CHANGE_INTERVAL_MS = 3_300
const SAMPLE_MS = 100
const WINDOW_MS = 1_200
/** Time in which a lead collects counts and, after the copies, switches all ranks. */
const [COLLECT_MS, SWITCH_MS] = [100, 150]
const MAX_PAUSE_MS = 120
/** Two thirds of a second after each change. */
const MAX_SLOW_SHARE = 0.2

/** Duration of a pass with 7 streams at each rank. Passes take 15 in 100 longer while experts are copied. */
function passMs (skew: number, isCopying: boolean): number {
  return (4 * (4.55 + 7 * 1.36 * (0.15 + 0.85 * skew)) + 10) * (isCopying ? 1.15 : 1)
}

/** Choices of each expert in 100 ms; a few experts dominate, others in each period. */
function popularity (period: number): number[][] {
  return Array.from({ length: SETS }, (_, set) => Array.from({ length: EXPERTS }, (_, expert) =>
    Math.round(2_000 / (1 + (expert * 37 + set * 17 + period * 29) % EXPERTS) ** 1.5)))
}

function skewOf (map: number[][][], counts: number[][]): number {
  return expertRebalance.rebalance(map, counts, { ...LIMITS, maxNewPerRank: 0 }).skewBefore / SETS
}

const LIMITS: expertRebalance.RebalanceLimits = {
  ranks: RANKS,
  placesPerRank: PLACES,
  maxNewPerRankAndSet: SPARE,
  maxNewPerRank: expertRebalance.maxNewCopies(EXPERT_MEGABYTES, LINK_MEGABITS),
  slowdowns: [],
  minGainPerCopy: expertRebalance.MIN_GAIN_PER_COPY
}

// Guards against plans from counts of both sides of a change, and against plans whose copies take too long.
test('few passes exceed the longest pause when popularity changes every few seconds', () => {
  const window = countWindow.createWindow()
  const totals = Array.from({ length: SETS }, () => new Array<number>(EXPERTS).fill(0))
  let map = expertRebalance.initialMap(SETS, EXPERTS, RANKS)
  let next: { map: number[][][], copiedAtMs: number, atMs: number } | undefined
  let planAtMs = SAMPLE_MS
  let slowMs = 0
  const endMs = 10 * CHANGE_INTERVAL_MS
  for (let atMs = 0; atMs < endMs; atMs += SAMPLE_MS) {
    const chosen = popularity(Math.floor(atMs / CHANGE_INTERVAL_MS))
    if (next !== undefined && atMs >= next.atMs) [map, next] = [next.map, undefined]
    const isCopying = next !== undefined && atMs < next.copiedAtMs
    if (passMs(skewOf(map, chosen), isCopying) > MAX_PAUSE_MS) slowMs += SAMPLE_MS
    chosen.forEach((set, index) => set.forEach((count, expert) => { totals[index]![expert]! += count }))
    const counts = { epoch: 1, step: atMs, counts: totals.map(set => [...set]) }
    if (countWindow.addSample(window, counts, atMs)) planAtMs = atMs + SAMPLE_MS
    const packed = countWindow.countsWithin(window, WINDOW_MS, atMs, () => 0.5)
    if (next !== undefined || atMs < planAtMs || packed === undefined) continue
    const plan = expertRebalance.rebalance(map, countWindow.sumCounts([packed], 1, SETS, EXPERTS)!, LIMITS)
    planAtMs = atMs + 4 * SAMPLE_MS
    if (plan.copies === 0) continue
    const copiedAtMs = atMs + COLLECT_MS + copiesAtBusiestRank(map, plan.map) * COPY_MS
    next = { map: plan.map, copiedAtMs, atMs: copiedAtMs + SWITCH_MS }
  }
  expect(slowMs / endMs).toBeLessThan(MAX_SLOW_SHARE)
})

function copiesAtBusiestRank (before: number[][][], after: number[][][]): number {
  return Math.max(...Array.from({ length: RANKS }, (_, rank) => after.reduce((sum, set, index) =>
    sum + set[rank]!.filter(expert => !before[index]![rank]!.includes(expert)).length, 0)))
}

// Guards against plans that keep a group on an outdated map for longer than they gain.
test('the copies of a plan fit the time that passes may be slow', () => {
  expect(expertRebalance.maxNewCopies(1_700, 92_000)).toBe(1)
  expect(expertRebalance.maxNewCopies(2_200, 180_000)).toBe(2)
  expect(expertRebalance.maxNewCopies(150, 180_000)).toBe(4)
  expect(expertRebalance.maxNewCopies(50_000, 1_000)).toBe(1)
})
