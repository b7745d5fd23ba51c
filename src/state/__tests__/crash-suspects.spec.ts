import * as vitest from 'vitest'
import * as crashLoads from './crash-loads.js'
import * as crashSuspects from '../crash-suspects.js'
import type * as crashSimulation from './crash-simulation.js'

const { expect, test } = vitest
const { BASE_LOAD, CONTACT_MS, LEARNING_CRASHES, MAX_SENT_AFTERWARDS, SEEDS } = crashLoads

/** No other request waits. */
const ALONE: crashSuspects.WaitingState = { fewestSuspected: Infinity, offeredForMs: Infinity }
/** No part is common. */
const BLAME_OPTIONS: crashSuspects.BlameOptions = { isCommon: () => false, random: () => 0 }

const simulate = (seed: number, fields: Partial<crashLoads.Load> = {}): crashSimulation.CrashResult =>
  crashLoads.play({ ...BASE_LOAD, ...fields }, seed)

// Guards against requests with one crashing part that crash a backend server each, since no two are equal.
test('requests with a part that crashes backend servers stop a group twice at most', () => {
  const outages = SEEDS.map(seed => simulate(seed).outages)
  expect(Math.max(...outages)).toBeLessThanOrEqual(2)
  expect(Math.min(...outages)).toBeGreaterThan(0)
})

test('a gateway that knows requests only as a whole learns nothing of their parts', () => {
  const outages = SEEDS.map(seed => simulate(seed, {
    featuresOf: request => ({ request: `request ${request.id}`, parts: [] })
  }).outages)
  expect(Math.min(...outages)).toBeGreaterThan(4)
})

// Guards against requests with a crashing part that are still sent when its crashes are known everywhere.
test('after five crashes hardly any request with the crashing part is sent', () => {
  for (const seed of SEEDS) {
    const { crashesAtMs, crashingSentAtMs } = simulate(seed, { crashingShare: 0.5 })
    expect(crashesAtMs.length).toBeGreaterThan(1)
    const knownAtMs = (crashesAtMs[LEARNING_CRASHES - 1] ?? Infinity) + CONTACT_MS
    expect(crashingSentAtMs.filter(sentAtMs => sentAtMs > knownAtMs).length).toBeLessThanOrEqual(MAX_SENT_AFTERWARDS)
  }
})

// Guards against blame for the caller, route or class of the requests that crash backend servers.
test('sound requests that share other parts begin as often as without the crashing ones', () => {
  for (const seed of SEEDS) {
    const { requests, crashesAtMs } = simulate(seed)
    const learnedAtMs = (crashesAtMs[LEARNING_CRASHES - 1] ?? crashesAtMs.at(-1)!) + 2 * CONTACT_MS
    const sound = requests.filter(request => request.parts[0] === 'class-0' && !request.isCrashing)
    const endMs = BASE_LOAD.crashingUntilMs - 2_000
    const during = crashLoads.shareBegunAtOnce(sound.filter(({ atMs }) => atMs > learnedAtMs && atMs < endMs))
    const outside = crashLoads.shareBegunAtOnce(sound.filter(({ atMs }) => atMs < BASE_LOAD.crashingFromMs))
    expect(during).toBeGreaterThan(outside / 2)
  }
})

// Guards against requests that crash one backend server after the other because none of their parts can be cleared.
test('parts that only occur together are refused together', () => {
  const state = crashSuspects.createCrashSuspects()
  const parts = ['part a', 'part b']
  crashSuspects.noteCrash(state, { request: 'r1', parts, backend: 'b1', tried: [] }, 0, BLAME_OPTIONS)
  crashSuspects.noteCrash(state, { request: 'r2', parts, backend: 'b2', tried: parts }, 1_000, BLAME_OPTIONS)
  expect(crashSuspects.judge(state, { request: 'r3', parts }, ALONE, 2_000)).toBe('blamed')
  const other = { request: 'r4', parts: ['part a', 'part c'] }
  expect(crashSuspects.judge(state, other, ALONE, 2_000)).toBe('try')
  crashSuspects.applyCleared(state, crashSuspects.noteBegun(state, other), 2_100, BLAME_OPTIONS)
  expect(crashSuspects.judge(state, { request: 'r5', parts: ['part d', 'part b'] }, ALONE, 2_200)).toBe('blamed')
  expect(crashSuspects.judge(state, other, ALONE, 2_200)).toBe('run')
})

// Guards against gateways that each try a blamed part again, one after the other.
test('a part that is tried again after a long time stops the group once', () => {
  for (const seed of SEEDS) {
    expect(simulate(seed, { crashingUntilMs: 130_000, durationMs: 130_000 }).outages).toBeLessThanOrEqual(3)
  }
})

// Guards against refusals after a crash that no request caused.
test('a backend server that crashes by itself brings blame on no request', () => {
  for (const seed of SEEDS) {
    const killsAtMs = [5_000, 5_000, 5_000, 15_000, 25_000, 25_000]
    const { requests } = simulate(seed, { crashingShare: 0, killsAtMs, durationMs: 30_000 })
    expect(requests.filter(request => request.wasRefused)).toEqual([])
    const later = requests.filter(({ atMs }) => atMs > 20_000 && atMs < 24_000)
    expect(crashLoads.shareBegunAtOnce(later)).toBeGreaterThan(0.95)
  }
})

// Guards against a part that stays refused although its cause has been mended.
test('a blamed part is served again some time after it was mended', () => {
  const state = crashSuspects.createCrashSuspects()
  blame(state, 'part a')
  expect(crashSuspects.judge(state, { request: 'r9', parts: ['part a'] }, ALONE, 20_000)).toBe('blamed')
  expect(crashSuspects.judge(state, { request: 'r9', parts: ['part a'] }, ALONE, 61_000)).toBe('try')
  crashSuspects.noteBegun(state, { request: 'r9', parts: ['part a'] })
  expect(crashSuspects.judge(state, { request: 'r10', parts: ['part a'] }, ALONE, 61_100)).toBe('run')
})

// Guards against a gateway that has just started and sends what the others refuse.
test('a gateway that has started learns what the others blame', () => {
  const [first, second] = [crashSuspects.createCrashSuspects(), crashSuspects.createCrashSuspects()]
  blame(first, 'part a')
  crashSuspects.applyBlamed(second, crashSuspects.blamedFeatures(first, 1_000), 1_000)
  expect(crashSuspects.judge(second, { request: 'r9', parts: ['part a'] }, ALONE, 1_001)).toBe('blamed')
})

// Guards against gateways that renew each other's blame without end.
test('blame that gateways repeat to each other ends', () => {
  const [first, second] = [crashSuspects.createCrashSuspects(), crashSuspects.createCrashSuspects()]
  blame(first, 'part a')
  for (let nowMs = 0; nowMs < 200_000; nowMs += 500) {
    crashSuspects.applyBlamed(second, crashSuspects.blamedFeatures(first, nowMs), nowMs)
    crashSuspects.applyBlamed(first, crashSuspects.blamedFeatures(second, nowMs), nowMs)
  }
  expect(crashSuspects.judge(first, { request: 'r9', parts: ['part a'] }, ALONE, 200_000)).not.toBe('blamed')
})

// Guards against an exact copy of a request that goes from one backend server to the next.
test('a request that crashed two backend servers is refused, and others with its parts are not', () => {
  const state = crashSuspects.createCrashSuspects()
  const features = { request: 'r1', parts: ['part a'] }
  crashSuspects.noteCrash(state, { ...features, backend: 'b1', tried: [] }, 0, BLAME_OPTIONS)
  crashSuspects.noteBegun(state, { request: 'r2', parts: ['part a'] })
  expect(crashSuspects.judge(state, features, ALONE, 1)).toBe('try')
  crashSuspects.noteCrash(state, { ...features, backend: 'b2', tried: ['r1'] }, 2, BLAME_OPTIONS)
  crashSuspects.noteBegun(state, { request: 'r3', parts: ['part a'] })
  expect(crashSuspects.judge(state, features, ALONE, 3)).toBe('blamed')
  expect(crashSuspects.judge(state, { request: 'r4', parts: ['part a'] }, ALONE, 3)).toBe('run')
})

// Guards against blame for a class of requests, one of which was tried when another request crashed its backend server.
test('a common part is blamed only after several trials', () => {
  const state = crashSuspects.createCrashSuspects()
  const options = { ...BLAME_OPTIONS, isCommon: (part: string) => part === 'class' }
  const features = { request: 'later', parts: ['class'] }
  crashSuspects.noteCrash(state, { request: 'r0', parts: ['class'], backend: 'b0', tried: [] }, 0, options)
  for (const trial of [1, 2]) {
    const interrupted = { request: `r${trial}`, parts: ['class'], backend: `b${trial}`, tried: ['class'] }
    crashSuspects.noteCrash(state, interrupted, trial, options)
    expect(crashSuspects.judge(state, features, ALONE, trial)).toBe('try')
  }
  crashSuspects.noteCrash(state, { request: 'r3', parts: ['class'], backend: 'b3', tried: ['class'] }, 3, options)
  expect(crashSuspects.judge(state, features, ALONE, 3)).toBe('blamed')
})

function blame (state: crashSuspects.CrashSuspects, part: string): void {
  crashSuspects.noteCrash(state, { request: 'r1', parts: [part], backend: 'b1', tried: [] }, 0, BLAME_OPTIONS)
  crashSuspects.noteCrash(state, { request: 'r2', parts: [part], backend: 'b2', tried: [part] }, 0, BLAME_OPTIONS)
}
