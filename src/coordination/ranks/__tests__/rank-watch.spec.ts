import * as vitest from 'vitest'
import * as rankWatch from '../rank-watch.js'
import type * as rankControl from '../../../protocol/rank-control.js'
import type * as runtime from '../../runtime.js'

const { afterEach, beforeEach, expect, test } = vitest

let controller: AbortController
let readAtMs: number[]
let regular: number
let extra: number

beforeEach(() => {
  vitest.vi.useFakeTimers()
  controller = new AbortController()
  readAtMs = []
  regular = 0
  extra = 0
})

afterEach(() => {
  controller.abort()
  vitest.vi.useRealTimers()
})

function watchGroupOf (size: number): rankWatch.RankWatch {
  const report = { group: { name: 'g', epoch: 1, rank: 0, size, isOpen: true } } as rankControl.RankReport
  const rank = {
    report: async () => {
      readAtMs.push(Date.now())
      return report
    }
  } as unknown as rankControl.RankControl
  return new rankWatch.RankWatch({
    runtime: { nowMs: () => Date.now(), random: () => 0, log: { emit: () => {} } } as unknown as runtime.Runtime,
    rank,
    onReport: () => { regular += 1 },
    onExtraReport: () => { extra += 1 },
    isLeading: () => false,
    signal: controller.signal
  })
}

// Load pattern: after a change of popularity each pass is slow until all ranks are known to have copied their experts.
test('a rank that carries out an order is read every 25 ms, and its load is not reported more often', async () => {
  const watch = watchGroupOf(8)
  await vitest.vi.advanceTimersByTimeAsync(1_000)
  expect([regular, extra]).toEqual([10, 0])
  watch.expectChange()
  const orderedAtMs = Date.now()
  await vitest.vi.advanceTimersByTimeAsync(500)
  const times = [orderedAtMs, ...readAtMs.filter(atMs => atMs > orderedAtMs)]
  expect(Math.max(...times.slice(1).map((atMs, index) => atMs - times[index]!))).toBeLessThanOrEqual(25)
  expect(regular).toBe(15)
  await vitest.vi.advanceTimersByTimeAsync(2_000)
  const extraBefore = extra
  await vitest.vi.advanceTimersByTimeAsync(1_000)
  expect(extra).toBe(extraBefore)
})

// Load pattern: reading many ranks ten times a second and sending each load takes much of all processor time.
test('the ranks of a large group are read five times a second', async () => {
  watchGroupOf(32)
  await vitest.vi.advanceTimersByTimeAsync(10_000)
  expect(regular).toBeLessThanOrEqual(52)
  expect(extra).toBe(0)
})
