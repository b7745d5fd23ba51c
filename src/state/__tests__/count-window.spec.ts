import * as vitest from 'vitest'
import * as countWindow from '../count-window.js'

const { expect, test } = vitest

const WINDOW_MS = 1_200

test('only what was chosen within the window counts', () => {
  const window = countWindow.createWindow()
  const read = (atMs: number, counts: number[][], epoch = 1): countWindow.PackedCounts | undefined =>
    countWindow.countsSince(window, { epoch, step: atMs, counts }, WINDOW_MS, atMs)
  expect(read(0, [[1_000, 0], [5, 5]])).toBeUndefined()
  expect(countWindow.sumCounts([read(600, [[1_000, 10], [5, 15]])!], 1, 2, 2)).toEqual([[0, 10], [0, 10]])
  expect(countWindow.sumCounts([read(1_500, [[1_000, 30], [5, 15]])!], 1, 2, 2)).toEqual([[0, 20], [0, 0]])
  // The group formed anew.
  expect(read(1_600, [[4, 4], [4, 4]], 2)).toBeUndefined()
})

test('a rank that started again does not count its whole past', () => {
  const window = countWindow.createWindow()
  countWindow.addReading(window, { epoch: 1, step: 900, counts: [[50]] }, 0)
  expect(countWindow.countsSince(window, { epoch: 1, step: 3, counts: [[7]] }, WINDOW_MS, 100)).toBeUndefined()
})

test('counts of another epoch or shape are left out', () => {
  const packed = { epoch: 2, experts: 1, scale: 2, steps: Buffer.from([3]).toString('base64') }
  expect(countWindow.sumCounts([packed, { ...packed, epoch: 1 }, { ...packed, experts: 2 }], 2, 1, 1)).toEqual([[6]])
  expect(countWindow.sumCounts([packed], 3, 1, 1)).toBeUndefined()
})

test('the counts of 63 ranks take no more bytes than those of 16 did', () => {
  const window = countWindow.createWindow()
  const counts = (times: number): number[][] => Array.from({ length: 8 }, () =>
    Array.from({ length: 252 }, (_, expert) => times * (900 + expert)))
  countWindow.addReading(window, { epoch: 1, step: 1, counts: counts(1) }, 0)
  const packed = countWindow.countsSince(window, { epoch: 1, step: 2, counts: counts(2) }, WINDOW_MS, 1)
  expect(63 * JSON.stringify(packed).length).toBeLessThan(16 * JSON.stringify(counts(20)).length * 1.1)
})
