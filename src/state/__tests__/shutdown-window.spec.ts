import * as vitest from 'vitest'
import * as serviceTimes from '../service-times.js'
import * as shutdownWindow from '../shutdown-window.js'

const { expect, test } = vitest

const SHUTDOWN_MS = 8_000
const ROUTE_TIMEOUT_MS = 8_000
const EXPECTED_MS = 100

/** Requests arrive every 10 ms, before and during a shutdown that begins at 0. @returns those cut off and refused. */
function replayShutdown (durationAtMs: (sentAtMs: number) => number): { cut: number[], refused: number[] } {
  const times = serviceTimes.createServiceTimes()
  const running = new Map<serviceTimes.RunningRequest, number>()
  const window = shutdownWindow.openWindow(SHUTDOWN_MS, 0)
  const [cut, refused]: [number[], number[]] = [[], []]
  for (let nowMs = -4_000; nowMs < window.exitByMs; nowMs += 10) {
    for (const [request, endsAtMs] of running) {
      if (endsAtMs > nowMs) continue
      running.delete(request)
      serviceTimes.noteEnded(times, request, true, nowMs)
    }
    const neededMs = serviceTimes.neededMs(times, 'r', EXPECTED_MS, nowMs)
    const needed = { usualMs: neededMs, longestMs: neededMs }
    if (nowMs >= 0 && shutdownWindow.latestStartMs(window, nowMs + ROUTE_TIMEOUT_MS, needed) < nowMs) {
      refused.push(nowMs)
    } else {
      const request = serviceTimes.noteStarted(times, 'r', EXPECTED_MS, nowMs)
      running.set(request, nowMs + durationAtMs(nowMs))
    }
  }
  for (const [request, endsAtMs] of running) if (endsAtMs > window.answerByMs) cut.push(request.startedAtMs)
  return { cut, refused }
}

test('requests of every duration are served as long as they can end in time, and none is cut off', () => {
  for (const durationMs of [50, 400, 1_500, 3_000, 5_000]) {
    const { cut, refused } = replayShutdown(() => durationMs)
    expect(cut).toEqual([])
    // Nothing is refused that had the margin of a quarter of its duration left.
    expect(Math.min(...refused)).toBeGreaterThan(SHUTDOWN_MS * 0.91 - durationMs * 1.25 - 20)
  }
})

test('requests are refused soon after their backend servers have become slow', () => {
  const { cut } = replayShutdown(sentAtMs => sentAtMs < 1_000 ? 400 : 4_000)
  // It shows only when the first ones are late: until then there is no reason to refuse any.
  const lateFromMs = 1_000 + 400 * 1.25
  expect(cut.filter(sentAtMs => sentAtMs > lateFromMs + 3_000)).toEqual([])
})

test('a request that reaches its deadline before the process exits is accepted', () => {
  const window = shutdownWindow.openWindow(SHUTDOWN_MS, 0)
  const needed = { usualMs: 60_000, longestMs: 60_000 }
  expect(shutdownWindow.latestStartMs(window, window.answerByMs, needed)).toBe(Infinity)
  expect(shutdownWindow.latestStartMs(window, window.answerByMs + 1, needed)).toBeLessThan(0)
})

test('a route that was not used lately is taken to need several times what is expected', () => {
  const times = serviceTimes.createServiceTimes()
  expect(serviceTimes.neededMs(times, 'r', EXPECTED_MS, 0)).toBe(4 * EXPECTED_MS)
})

test('requests that ended early say nothing of the time that others need', () => {
  const times = serviceTimes.createServiceTimes()
  for (let count = 0; count < 10; count++) {
    const slow = serviceTimes.noteStarted(times, 'r', EXPECTED_MS, 0)
    serviceTimes.noteEnded(times, slow, true, 1_000)
    const broken = serviceTimes.noteStarted(times, 'r', EXPECTED_MS, 0)
    serviceTimes.noteEnded(times, broken, false, 1)
  }
  expect(serviceTimes.neededMs(times, 'r', EXPECTED_MS, 2_000)).toBe(1_250)
})

test('requests that were given up after a long time count with that time', () => {
  const times = serviceTimes.createServiceTimes()
  for (let count = 0; count < 10; count++) {
    serviceTimes.noteEnded(times, serviceTimes.noteStarted(times, 'r', EXPECTED_MS, 0), true, 100)
    serviceTimes.noteEnded(times, serviceTimes.noteStarted(times, 'r', EXPECTED_MS, 0), false, 700)
  }
  expect(serviceTimes.neededMs(times, 'r', EXPECTED_MS, 2_000)).toBeGreaterThan(700)
})

test('the memory of routes is bounded', () => {
  const times = serviceTimes.createServiceTimes()
  for (let route = 0; route < 2_000; route++) {
    serviceTimes.noteEnded(times, serviceTimes.noteStarted(times, `r${route}`, EXPECTED_MS, 0), true, 10)
  }
  expect(times.ended.size).toBeLessThanOrEqual(512)
  expect(times.running.size).toBe(0)
})

test('a new stream leaves time to go on elsewhere if a refused client has another entry, or if others were overdue', () => {
  const reserveMs = (hasReadyPeer: boolean, overdueAtMs: number): number =>
    shutdownWindow.streamReserveMs({ hasReadyPeer, overdueAtMs }, 20_000)
  expect(reserveMs(true, -Infinity)).toBeGreaterThan(1_100)
  expect(reserveMs(false, 19_000)).toBe(reserveMs(true, -Infinity))
  expect(reserveMs(false, -Infinity)).toBe(0)
  expect(reserveMs(false, 1_000)).toBe(0)
})
