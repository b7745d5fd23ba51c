import * as vitest from 'vitest'
import * as shutdown from '../shutdown.js'
import * as shutdownWindow from '../../../state/shutdown-window.js'
import * as streamPace from '../../../state/stream-pace.js'
import * as arrivals from '../../../transport/arrivals.js'

const { beforeEach, expect, test } = vitest

const SHUTDOWN_MS = 8_000
const FIRST_RESPONSE_MS = 100
const MAX_TOKENS = 400
/** 10 ms for each token of a full batch. */
const ENGINE = {
  slots: 10, stepMs: 5, perSequenceMs: 0.5, prefillTokensPerMs: 50, usualOutputTokens: 100, stepsPerPass: 5
}
const { answerByMs, usualUntilMs } = shutdownWindow.openWindow(SHUTDOWN_MS, 0)

type StoppableCall = Parameters<shutdown.Shutdown['latestStartMs']>[0]

let nowMs: number
let hasReadyPeer: boolean
let stopping: shutdown.Shutdown

beforeEach(() => {
  nowMs = 0
  hasReadyPeer = false
  stopping = new shutdown.Shutdown({
    runtime: { nowMs: () => nowMs, random: () => 0.5, log: { emit: () => {} }, metrics: {} as never },
    shutdownMs: SHUTDOWN_MS,
    hasReadyPeer: () => hasReadyPeer,
    firstResponseMs: () => FIRST_RESPONSE_MS,
    arrivals: new arrivals.Arrivals()
  })
  stopping.begin()
})

function callOf (maxOutputTokens = MAX_TOKENS): StoppableCall {
  return {
    route: { name: 'r', isStream: true, targetLatencyMs: 400 },
    service: 's',
    engine: ENGINE,
    head: { promptTokens: 500, maxOutputTokens, estimatedOutputTokens: 60 },
    deadlineAtMs: 60_000
  } as unknown as StoppableCall
}

/** A stream that has brought an event each so many ms. */
function noteStream (intervalMs: number): void {
  const progress = { events: 21, firstEventAtMs: nowMs - 20 * intervalMs, lastEventAtMs: nowMs }
  const stream = streamPace.noteStarted(stopping.paces, 's', 50, progress)
  streamPace.noteEnded(stopping.paces, stream, nowMs)
}

// Guards against a stream that was accepted early, waits for a slot or another attempt, and begins too late.
test('a stream begins late only if the longest response that its head allows fits', () => {
  expect(stopping.latestStartMs(callOf())).toBeLessThan(answerByMs - MAX_TOKENS * 10)
  expect(stopping.latestStartMs(callOf(20))).toBeGreaterThan(usualUntilMs + 3_000)
})

test('a stream whose longest response does not fit is accepted early in a planned stop by its usual length', () => {
  expect(stopping.latestAcceptMs(callOf(2_000))).toBe(usualUntilMs)
  hasReadyPeer = true
  expect(stopping.latestAcceptMs(callOf(2_000))).toBe(usualUntilMs)
  expect(stopping.latestAcceptMs(callOf(20))).toBeGreaterThan(usualUntilMs)
})

test('streams that are slower than their engine states need as much longer', () => {
  const atStatedPaceMs = answerByMs - stopping.latestStartMs(callOf(200))
  for (let count = 0; count < 10; count++) noteStream(25)
  expect(answerByMs - stopping.latestStartMs(callOf(200))).toBe(atStatedPaceMs)
  for (let count = 0; count < 10; count++) noteStream(75)
  expect(answerByMs - stopping.latestStartMs(callOf(200))).toBeGreaterThan(atStatedPaceMs + 200 * 10 * 0.5)
  nowMs = 20_000
  expect(answerByMs - stopping.latestStartMs(callOf(200))).toBe(atStatedPaceMs)
})

test('a stream that stands still counts with its pause', () => {
  streamPace.noteStarted(stopping.paces, 's', 50, { events: 11, firstEventAtMs: 0, lastEventAtMs: 500 })
  nowMs = 500
  const movingMs = stopping.latestStartMs(callOf(200))
  nowMs = 1_500
  expect(stopping.latestStartMs(callOf(200))).toBeLessThan(movingMs - 1_000)
})

test('a stream that has begun goes on elsewhere whatever its longest response needs', () => {
  expect(stopping.latestContinuationMs(callOf(2_000), 1_500)).toBeGreaterThan(usualUntilMs)
})
