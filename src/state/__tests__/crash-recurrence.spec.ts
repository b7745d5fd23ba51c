import * as vitest from 'vitest'
import * as crashRecurrence from '../crash-recurrence.js'
import * as crashLoads from './crash-loads.js'
import type * as crashSuspects from '../crash-suspects.js'
import type * as crashSimulation from './crash-simulation.js'

const { expect, test } = vitest
const { BASE_LOAD, CONTACT_MS, LEARNING_CRASHES, MAX_SENT_AFTERWARDS, SEEDS } = crashLoads

const STREAMS: crashLoads.Load = {
  ...BASE_LOAD,
  crashingUntilMs: 40_000,
  crashAt: { share: 0, events: 1 },
  events: [10, 60],
  maxRuns: 3,
  durationMs: 45_000
}
const SINGLE = { isGroup: false, ranks: 6, requestsPerS: 20, gateways: 3 }
/** All requests have one part in common, and no other one. */
const SHARED: Pick<crashLoads.Load, 'featuresOf'> = {
  featuresOf: request => ({ request: `request ${request.id}`, parts: ['shared'] })
}

const simulate = (seed: number, fields: Partial<crashLoads.Load>): crashSimulation.CrashResult =>
  crashLoads.play({ ...STREAMS, ...fields }, seed)

const POINTS = [
  ['before the first event', { share: 0, events: 0 }],
  ['after the first event', { share: 0, events: 1 }],
  ['after the third event', { share: 0, events: 3 }],
  ['after the tenth event', { share: 0, events: 10 }],
  ['in the middle', { share: 0.5, events: 0 }],
  ['at the end', { share: 1, events: 0 }]
] as const

// Guards against a first event that is taken for proof that a request crashes nothing.
test.each(POINTS)('after five crashes that come %s hardly any request with the part is sent to a group', (_, crashAt) => {
  for (const crashingShare of [0.05, 0.2]) {
    for (const seed of SEEDS) expectLearned(simulate(seed, { crashAt, crashingShare }))
  }
})

test.each(POINTS)('after five crashes that come %s hardly any request with the part is sent to single servers', (_, crashAt) => {
  for (const crashingShare of [0.05, 0.2]) {
    for (const seed of SEEDS) expectLearned(simulate(seed, { ...SINGLE, crashAt, crashingShare }))
  }
})

// Guards against a part that counts as common, so that too many crashes are needed to blame it.
test('a part of many requests is found by one gateway', () => {
  const fields: Partial<crashLoads.Load> = {
    ...SINGLE, ranks: 4, gateways: 1, requestsPerS: 6, crashAt: { share: 1, events: 0 }, events: [20, 20], maxRuns: 2
  }
  for (const seed of SEEDS) expectLearned(simulate(seed, { ...fields, crashingShare: 0.5 }))
})

// Guards against a part that nearly every rank of a group runs, so that its presence at a crash says nothing.
test.each(POINTS)('a part of half of a class that crashes a group %s is found', (_, crashAt) => {
  for (const seed of SEEDS) expectLearned(simulate(seed, { crashAt, crashingShare: 0.5 }))
})

// Guards against crashes that are learned of by a few gateways only.
test.each(POINTS)('crashes that come %s are learned from when messages are lost', (_, crashAt) => {
  for (const seed of SEEDS) expectLearned(simulate(seed, { crashAt, lossShare: 0.05 }))
})

// Guards against blame for the class of the requests that crash backend servers.
test.each(POINTS)('sound requests begin as often as before when the crashes come %s', (_, crashAt) => {
  for (const seed of SEEDS) {
    const { requests, crashesAtMs } = simulate(seed, { crashAt })
    const learnedAtMs = (crashesAtMs[LEARNING_CRASHES - 1] ?? crashesAtMs.at(-1)!) + 2 * CONTACT_MS
    const sound = requests.filter(request => request.parts[0] === 'class-0' && !request.isCrashing)
    const later = sound.filter(({ atMs }) => atMs > learnedAtMs && atMs < STREAMS.crashingUntilMs)
    const during = crashLoads.shareBegunAtOnce(later)
    const outside = crashLoads.shareBegunAtOnce(sound.filter(({ atMs }) => atMs < STREAMS.crashingFromMs))
    expect(during).toBeGreaterThan(outside / 2)
  }
})

const LOOPS = [
  ['ranks that crash one after the other', { killsAtMs: [5_000, 5_000, 5_000, 15_000, 25_000, 25_000, 33_000, 38_000] }],
  ['a group that crashes half a second after each return', { killsAtMs: [25_000, 29_000, 33_000, 37_000] }],
  ['one rank that fails again and again', { failingRank: 1, hasHomes: true }],
  ['one server that fails again and again', { ...SINGLE, failingRank: 1, hasHomes: true }],
  ['servers that crash by turns', { ...SINGLE, killsAtMs: Array.from({ length: 36 }, (_, index) => 6_000 + index * 800) }],
  ['servers that crash together', { ...SINGLE, powerLossesAtMs: [10_000, 14_000, 18_000, 22_000, 26_000, 30_000] }]
] as const

// Guards against blame for what happened to run when backend servers crashed for another reason.
test.each(LOOPS)('%s bring blame on no class of requests', (_, fields) => {
  for (const seed of SEEDS) {
    const { requests, blamed } = simulate(seed, { ...structuredClone(fields) as object, crashingShare: 0 })
    expect(blamed.filter(feature => feature.startsWith('class'))).toEqual([])
    // Chance alone may bring a rare part to all crashes.
    expect(requests.filter(request => request.wasRefused).length).toBeLessThan(requests.length * CHANCE_SHARE)
  }
})

/** Requests that may be refused because chance brought a rare part of theirs to the crashes. */
const CHANCE_SHARE = 0.05

// Guards against a whole service that is refused since all of its requests ran when it crashed.
test.each(LOOPS)('%s bring no refusal when all requests share a part', (_, fields) => {
  for (const seed of SEEDS) {
    const { requests } = simulate(seed, { ...structuredClone(fields) as object, ...SHARED, crashingShare: 0 })
    expect(requests.filter(request => request.wasRefused)).toEqual([])
  }
})

// Guards against blame for a part whose requests take longer than those that end whole, or run elsewhere.
test('a common part is blamed when comparable responses without it end whole', () => {
  const blamedAfter = (wholes: number, durationMs: number, server: string): string[] => {
    // Requests with a sixth of the running time, all at one backend server.
    const state = busyState(6)
    return [1, 2, 3, 4, 5].flatMap(index => {
      for (const call of ['a', 'b']) crashRecurrence.noteCrash(state, { ...crashOf(index), call, parts: ['part 1'] }, index * 2_000)
      const blamed = crashRecurrence.decide(state, index * 2_000 + 400, () => 0)
      for (let whole = 0; whole < wholes; whole++) {
        const features = { request: `later ${index} ${whole}`, parts: ['other'] }
        crashRecurrence.noteWhole(state, { service: 's', server }, features, durationMs, index * 2_000 + 500)
      }
      return blamed
    })
  }
  expect(blamedAfter(10, 1_000, 'server 1')).toEqual(['part 1'])
  expect(blamedAfter(0, 1_000, 'server 1')).toEqual([])
  expect(blamedAfter(10, 300, 'server 1')).toEqual([])
  expect(blamedAfter(10, 1_000, 'server 2')).toEqual([])
})

// Guards against blame for a part that a sound request has shown to be so.
test('a response that ends whole between the crashes clears its parts', () => {
  const state = busyState()
  for (const index of [1, 2, 3, 4, 5, 6]) {
    const atMs = index * 2_000
    noteCrash(state, index, atMs)
    expect(crashRecurrence.decide(state, atMs + 400, () => 0)).toEqual([])
    expect(noteWhole(state, { request: 'sound', parts: ['part a'] }, atMs + 500)).toEqual(['part a'])
  }
})

test('a rare part that is at all crashes is blamed until a response with it ends whole', () => {
  const state = busyState()
  const features = { request: 'later', parts: ['part a'] }
  const blamed = [1, 2, 3].flatMap(index => {
    noteCrash(state, index, index * 2_000)
    return crashRecurrence.decide(state, index * 2_000 + 400, () => 0)
  })
  expect(blamed).toEqual(['part a'])
  expect(crashRecurrence.isBlamed(state, features, 11_000)).toBe(true)
  expect(crashRecurrence.isBlamed(state, { request: 'other', parts: ['part b'] }, 11_000)).toBe(false)
  noteWhole(state, features, 12_000)
  expect(crashRecurrence.isBlamed(state, features, 12_000)).toBe(false)
  // Another gateway has missed that.
  crashRecurrence.applyBlamed(state, 'part a', 50_000, 12_500)
  expect(crashRecurrence.isBlamed(state, features, 12_500)).toBe(false)
})

// Guards against copies of one request that crash one backend server after the other.
test('a request that crashes backend servers is blamed, and its parts are not', () => {
  const state = busyState()
  for (const index of [1, 2, 3]) {
    const [atMs, call] = [index * 2_000, `copy ${index}`]
    crashRecurrence.noteCrash(state, { ...crashOf(index), call, request: 'copied', parts: ['part a'] }, atMs)
    crashRecurrence.decide(state, atMs + 400, () => 0)
    // Sound requests have the same part.
    noteWhole(state, { request: `sound ${index}`, parts: ['part a'] }, atMs + 500)
  }
  expect(crashRecurrence.isBlamed(state, { request: 'copied', parts: [] }, 11_000)).toBe(true)
  expect(crashRecurrence.isBlamed(state, { request: 'other', parts: ['part a'] }, 11_000)).toBe(false)
})

// Guards against a gateway that has just started and sends what the others refuse.
test('a gateway that has started learns what the others blame, and for how long', () => {
  const [first, second] = [busyState(), crashRecurrence.createCrashRecurrence()]
  for (const index of [1, 2, 3]) {
    noteCrash(first, index, index * 2_000)
    crashRecurrence.decide(first, index * 2_000 + 400, () => 0)
  }
  for (const [feature, remainingMs] of crashRecurrence.blamedFeatures(first, 11_000)) {
    crashRecurrence.applyBlamed(second, feature, remainingMs, 11_000)
  }
  const features = { request: 'later', parts: ['part a'] }
  expect(crashRecurrence.isBlamed(second, features, 11_100)).toBe(true)
  expect(crashRecurrence.isBlamed(second, features, 80_000)).toBe(false)
})

// Guards against each gateway that tries a blamed part again after the others have.
test('blame that a new crash confirms is renewed for longer', () => {
  const state = busyState()
  for (const index of [1, 2, 3]) {
    noteCrash(state, index, index * 2_000)
    crashRecurrence.decide(state, index * 2_000 + 400, () => 0)
  }
  const features = { request: 'later', parts: ['part a'] }
  expect(crashRecurrence.isBlamed(state, features, 75_000)).toBe(false)
  noteCrash(state, 6, 75_000)
  crashRecurrence.decide(state, 75_400, () => 0)
  expect(crashRecurrence.isBlamed(state, features, 75_000 + 110_000)).toBe(true)
})

/** A gateway that has seen a minute of sound requests with other parts. */
function busyState (parts = 10): crashRecurrence.CrashRecurrence {
  const state = crashRecurrence.createCrashRecurrence()
  for (let index = 0; index < 100; index++) {
    const features = { request: `sound ${index}`, parts: [`part ${index % parts}`] }
    const place = { service: 's', server: `server ${index % 6}` }
    crashRecurrence.noteRun(state, place, features, 1_000, 0)
    crashRecurrence.noteWhole(state, place, features, 1_000, 0)
  }
  return state
}

function crashOf (index: number): crashRecurrence.CrashedRequest {
  return {
    call: `call ${index}`, service: 's', server: `server ${index}`, backend: `server ${index} 1`, request: `r${index}`, parts: []
  }
}

function noteCrash (state: crashRecurrence.CrashRecurrence, index: number, nowMs: number): void {
  crashRecurrence.noteCrash(state, { ...crashOf(index), parts: ['part a'] }, nowMs)
}

function noteWhole (state: crashRecurrence.CrashRecurrence, features: crashSuspects.Features, nowMs: number): string[] {
  return crashRecurrence.noteWhole(state, { service: 's', server: 'server 1' }, features, 1_000, nowMs)
}

function expectLearned ({ crashesAtMs, crashingSentAtMs }: crashSimulation.CrashResult): void {
  expect(crashesAtMs.length).toBeGreaterThan(1)
  const knownAtMs = (crashesAtMs[LEARNING_CRASHES - 1] ?? Infinity) + CONTACT_MS
  expect(crashingSentAtMs.filter(sentAtMs => sentAtMs > knownAtMs).length).toBeLessThanOrEqual(MAX_SENT_AFTERWARDS)
}
