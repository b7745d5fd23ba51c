/**
 * Load and bounds that the tests of crashes share.
 */

import * as vitest from 'vitest'
import * as crashSimulation from './crash-simulation.js'

/** The platform's time after which a process is expected to have heard of a change. */
export const CONTACT_MS = 3_000
/** A crash counts as learned from after this many. */
export const LEARNING_CRASHES = 5
/** Requests with the crashing part that may still be sent afterwards. */
export const MAX_SENT_AFTERWARDS = 3
export const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

export type Load = Omit<crashSimulation.CrashLoad, 'random'>

/** A group some of whose requests crash the rank that begins their response. */
export const BASE_LOAD: Load = {
  gateways: 8,
  ranks: 12,
  requestsPerS: 40,
  crashingShare: 0.05,
  crashingFromMs: 4_000,
  crashingUntilMs: 60_000,
  crashAt: { share: 0, events: 0 },
  events: [1, 1],
  isGroup: true,
  maxRuns: Infinity,
  lossShare: 0,
  killsAtMs: [],
  powerLossesAtMs: [],
  hasHomes: false,
  failingRank: undefined,
  durationMs: 70_000,
  featuresOf: request => ({ request: `request ${request.id}`, parts: request.parts.slice(0, -1) })
}

/** Plays a load, the same for the same seed. */
export function play (load: Load, seed: number): crashSimulation.CrashResult {
  return crashSimulation.simulateCrashes({ ...load, random: randomOf(seed) })
}

/** Share of the requests that began at their first attempt. */
export function shareBegunAtOnce (requests: crashSimulation.SimulatedRequest[]): number {
  vitest.expect(requests.length).toBeGreaterThan(20)
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
