import * as vitest from 'vitest'
import * as crashSimulation from './crash-simulation.js'
import * as crashSuspects from '../crash-suspects.js'

const { expect, test } = vitest

/** The platform's time after which a process is expected to have heard of a change. */
const CONTACT_MS = 3_000
/** A crash counts as learned from after this many. */
const LEARNING_CRASHES = 5
/** Requests with the crashing part that may still be sent afterwards. */
const MAX_SENT_AFTERWARDS = 3
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
/** No other request waits. */
const ALONE: crashSuspects.WaitingState = { fewestSuspected: Infinity, offeredForMs: Infinity }

const DAY: Omit<crashSimulation.CrashLoad, 'random'> = {
  gateways: 8,
  ranks: 12,
  requestsPerS: 40,
  crashingShare: 0.05,
  crashingFromMs: 4_000,
  crashingUntilMs: 40_000,
  crashAt: { share: 0, events: 1 },
  events: [10, 60],
  isGroup: true,
  crashingClasses: 1,
  maxRuns: 3,
  lossShare: 0,
  killsAtMs: [],
  durationMs: 45_000,
  featuresOf: request => ({ request: `request ${request.id}`, parts: request.parts.slice(0, -1) })
}
const SINGLE = { isGroup: false, ranks: 6, requestsPerS: 20 }

const simulate = (seed: number, fields: Partial<crashSimulation.CrashLoad>): crashSimulation.CrashResult =>
  crashSimulation.simulateCrashes({ ...DAY, ...fields, random: randomOf(seed) })

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
  for (const seed of SEEDS) expectLearned(simulate(seed, { crashAt }))
})

test.each(POINTS)('after five crashes that come %s hardly any request with the part is sent to single servers', (_, crashAt) => {
  for (const seed of SEEDS) expectLearned(simulate(seed, { ...SINGLE, crashAt }))
})

// Guards against blame for the class of the requests that crash backend servers.
test.each(POINTS)('sound requests begin as often as before when the crashes come %s', (_, crashAt) => {
  for (const seed of SEEDS) {
    const { requests, crashesAtMs } = simulate(seed, { crashAt })
    const learnedAtMs = (crashesAtMs[LEARNING_CRASHES - 1] ?? crashesAtMs.at(-1)!) + 2 * CONTACT_MS
    const sound = requests.filter(request => request.parts[0] === 'class-0' && !request.isCrashing)
    const during = shareBegunAtOnce(sound.filter(({ atMs }) => atMs > learnedAtMs && atMs < DAY.crashingUntilMs))
    const outside = shareBegunAtOnce(sound.filter(({ atMs }) => atMs < DAY.crashingFromMs))
    expect(during).toBeGreaterThan(outside / 2)
  }
})

// Guards against blame for streams that were cut when a rank or a group went down for another reason.
test.each([[true], [false]])('crashes that no request caused bring no refusal of streams (group %s)', isGroup => {
  const killsAtMs = [5_000, 5_000, 5_000, 15_000, 25_000, 25_000, 33_000, 38_000]
  for (const seed of SEEDS) {
    const { requests } = simulate(seed, { isGroup, crashingShare: 0, killsAtMs })
    expect(requests.filter(request => request.wasRefused).length).toBe(0)
  }
})

// Guards against blame for a part that all requests share when a group crashes again as soon as it is back.
test('crashes half a second after a group is back bring no refusal when no request caused them', () => {
  const killsAtMs = [25_000, 29_000, 33_000, 37_000]
  for (const seed of SEEDS) {
    const { requests } = simulate(seed, { crashingShare: 0, killsAtMs })
    expect(requests.filter(request => request.wasRefused).length).toBe(0)
  }
})

// Guards against blame after a loss of power, which stops several backend servers with one part at once.
test('crashes at the same moment are no recurrence', () => {
  const state = crashSuspects.createCrashSuspects()
  for (const index of [1, 2, 3, 4]) noteCrash(state, `r${index}`, 1_000 + index * 50)
  expect(crashSuspects.decide(state, 2_000, () => 0)).toEqual([])
})

test('a part is blamed at the third crash, and only a response that ends whole clears it', () => {
  const state = crashSuspects.createCrashSuspects()
  for (const index of [1, 2, 3]) {
    expect(crashSuspects.decide(state, index * 1_000, () => 0)).toEqual([])
    noteCrash(state, `r${index}`, index * 1_000)
  }
  expect(crashSuspects.decide(state, 3_200, () => 0)).toEqual(['part a'])
  const features = { request: 'r4', parts: ['part a'] }
  crashSuspects.noteBegun(state, features)
  expect(crashSuspects.judge(state, features, ALONE, 3_300)).toBe('blamed')
  crashSuspects.noteWhole(state, features, 3_400)
  expect(crashSuspects.judge(state, features, ALONE, 3_500)).toBe('run')
})

// Guards against blame for a part that a sound request has shown to be so.
test('a response that ends whole between the crashes clears its parts', () => {
  const state = crashSuspects.createCrashSuspects()
  for (const index of [1, 2, 3, 4, 5]) {
    noteCrash(state, `r${index}`, index * 1_000)
    crashSuspects.noteWhole(state, { request: 'sound', parts: ['part a'] }, index * 1_000 + 500)
    expect(crashSuspects.decide(state, index * 1_000 + 600, () => 0)).toEqual([])
  }
})

// Guards against a gateway that starts later and clears with a first event what the others blame.
test('a gateway that has started learns what clears a blamed part', () => {
  const [first, second] = [crashSuspects.createCrashSuspects(), crashSuspects.createCrashSuspects()]
  for (const index of [1, 2, 3]) noteCrash(first, `r${index}`, index * 1_000)
  crashSuspects.decide(first, 3_200, () => 0)
  crashSuspects.applyBlamed(second, crashSuspects.blamedFeatures(first, 3_300), 3_300)
  const features = { request: 'r4', parts: ['part a'] }
  crashSuspects.noteBegun(second, features)
  expect(crashSuspects.judge(second, features, ALONE, 3_400)).toBe('blamed')
})

function noteCrash (state: crashSuspects.CrashSuspects, call: string, nowMs: number): void {
  const interrupted = { request: call, call, parts: ['part a'], backend: `${call} backend`, tried: [], events: 1 }
  crashSuspects.noteCrash(state, interrupted, nowMs, () => 0)
}

function expectLearned ({ crashesAtMs, crashingSentAtMs }: crashSimulation.CrashResult): void {
  expect(crashesAtMs.length).toBeGreaterThan(1)
  const knownAtMs = (crashesAtMs[LEARNING_CRASHES - 1] ?? Infinity) + CONTACT_MS
  expect(crashingSentAtMs.filter(sentAtMs => sentAtMs > knownAtMs).length).toBeLessThanOrEqual(MAX_SENT_AFTERWARDS)
}

function shareBegunAtOnce (requests: crashSimulation.SimulatedRequest[]): number {
  expect(requests.length).toBeGreaterThan(20)
  const begun = requests.filter(({ begunAtMs, attempts }) => begunAtMs !== undefined && attempts === 1)
  return begun.length / requests.length
}

/** Linear congruential generator, so that the load is the same in each run. */
function randomOf (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}
