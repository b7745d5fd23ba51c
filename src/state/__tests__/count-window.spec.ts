import * as prand from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformFloat64'
import * as vitest from 'vitest'
import * as countWindow from '../count-window.js'

const { expect, test } = vitest

const WINDOW_MS = 1_200
const SAMPLE_MS = 100

function seededRandom (): () => number {
  const generator = prand.xoroshiro128plus(5)
  return () => uniform.uniformFloat64(generator)
}

// Guards against plans that follow choices from before the window or from another epoch.
test('only choices within the window and epoch are counted', () => {
  const window = countWindow.createWindow()
  const read = (atMs: number, counts: number[][], epoch = 1): countWindow.PackedCounts | undefined => {
    countWindow.addSample(window, { epoch, step: atMs, counts }, atMs)
    return countWindow.countsWithin(window, WINDOW_MS, atMs, () => 0.5)
  }
  expect(read(0, [[1_000, 0], [5, 5]])).toBeUndefined()
  expect(countWindow.sumCounts([read(600, [[1_000, 10], [5, 15]])!], 1, 2, 2)).toEqual([[0, 10], [0, 10]])
  expect(countWindow.sumCounts([read(1_500, [[1_000, 30], [5, 15]])!], 1, 2, 2)).toEqual([[0, 20], [0, 0]])
  // The group has formed again.
  expect(read(1_600, [[4, 4], [4, 4]], 2)).toBeUndefined()
})

// Guards against a difference between samples from before and after a restart, which resets the rank's counts.
test('a restarted rank yields no difference to a sample from before its restart', () => {
  const window = countWindow.createWindow()
  countWindow.addSample(window, { epoch: 1, step: 900, counts: [[50]] }, 0)
  const counts = { epoch: 1, step: 3, counts: [[7]] }
  countWindow.addSample(window, counts, 100)
  expect(countWindow.countsWithin(window, WINDOW_MS, 100, () => 0.5)).toBeUndefined()
})

// Guards against adding up counts that belong to different epochs or numbers of experts.
test('counts of another epoch or shape are ignored', () => {
  const packed: countWindow.PackedCounts = {
    epoch: 2, experts: 1, scale: 2, steps: Buffer.from([3]).toString('base64')
  }
  expect(countWindow.sumCounts([packed, { ...packed, epoch: 1 }, { ...packed, experts: 2 }], 2, 1, 1)).toEqual([[6]])
  expect(countWindow.sumCounts([packed], 3, 1, 1)).toBeUndefined()
})

// Guards against rounding that removes rarely chosen experts from the sum.
test('the sum over the ranks is right on average, also for rarely chosen experts', () => {
  const random = seededRandom()
  // As many experts as in a large group, so that the counts are packed in half bytes.
  const rest = new Array<number>(1_997).fill(0)
  const packed = Array.from({ length: 63 }, () => {
    const window = countWindow.createWindow()
    countWindow.addSample(window, { epoch: 1, step: 1, counts: [[0, 0, 0, ...rest]] }, 0)
    const counts = { epoch: 1, step: 2, counts: [[150, 40, 3, ...rest]] }
    countWindow.addSample(window, counts, 1)
    return countWindow.countsWithin(window, WINDOW_MS, 1, random)!
  })
  const [often, sometimes, rarely] = countWindow.sumCounts(packed, 1, 1, 2_000)![0] as [number, number, number]
  expect(often).toBe(63 * 150)
  expect(Math.abs(sometimes / 63 - 40)).toBeLessThan(3)
  expect(Math.abs(rarely / 63 - 3)).toBeLessThan(2)
})

// Guards against reports that fill the lead's link in a large group.
test('the packed counts of 63 ranks take about half of the bytes of 16 unpacked ones', () => {
  const window = countWindow.createWindow()
  const counts = (times: number): number[][] => Array.from({ length: 8 }, () =>
    Array.from({ length: 252 }, (_, expert) => times * (900 + expert)))
  countWindow.addSample(window, { epoch: 1, step: 1, counts: counts(1) }, 0)
  countWindow.addSample(window, { epoch: 1, step: 2, counts: counts(2) }, 1)
  const packed = countWindow.countsWithin(window, WINDOW_MS, 1, () => 0.5)
  expect(63 * JSON.stringify(packed).length).toBeLessThan(16 * JSON.stringify(counts(20)).length * 0.6)
})

// Load pattern: popularity changes completely within one pass, and the counts of the second before it are outdated.
test('a change of popularity begins a new window', () => {
  const window = countWindow.createWindow()
  const totals = [0, 0, 0, 0]
  const changedAtMs: number[] = []
  for (let atMs = 0; atMs <= 2_400; atMs += SAMPLE_MS) {
    const chosen = atMs <= 1_250 ? [90, 10, 0, 0] : [0, 5, 60, 35]
    chosen.forEach((count, expert) => { totals[expert]! += count })
    if (countWindow.addSample(window, { epoch: 1, step: atMs, counts: [[...totals]] }, atMs)) changedAtMs.push(atMs)
    const [sum] = countWindow.sumCounts([countWindow.countsWithin(window, WINDOW_MS, atMs, () => 0.5)]
      .filter(packed => packed !== undefined), 1, 1, 4) ?? []
    // From the second sample after the change on, nothing is counted that was chosen before it.
    if (atMs > 1_250 + 2 * SAMPLE_MS) expect(sum?.[0]).toBe(0)
  }
  expect(changedAtMs).toEqual([1_300])
})

// Guards against a change that no two consecutive windows show, since the one with the change resembles both others.
test('a change in the middle of a window begins a new window', () => {
  const window = countWindow.createWindow()
  const totals = [0, 0, 0, 0]
  const changedAtMs: number[] = []
  for (let atMs = 0; atMs <= 2_400; atMs += SAMPLE_MS / 2) {
    const chosen = atMs <= 1_250 ? [60, 50, 20, 10] : [10, 20, 50, 60]
    chosen.forEach((count, expert) => { totals[expert]! += count })
    if (atMs % SAMPLE_MS !== 0) continue
    if (countWindow.addSample(window, { epoch: 1, step: atMs, counts: [[...totals]] }, atMs)) changedAtMs.push(atMs)
  }
  expect(changedAtMs).toEqual([1_400])
})

// Guards against dropping the window, and with it most counts, for the differences between a rank's requests.
test('requests that differ a little do not begin a new window', () => {
  const random = seededRandom()
  const window = countWindow.createWindow()
  const totals = new Array<number>(64).fill(0)
  for (let atMs = 0; atMs <= 6_000; atMs += SAMPLE_MS) {
    totals.forEach((_, expert) => { totals[expert]! += Math.round(1_000 / (expert + 1) * (0.5 + random())) })
    expect(countWindow.addSample(window, { epoch: 1, step: atMs, counts: [[...totals]] }, atMs)).toBe(false)
  }
})
