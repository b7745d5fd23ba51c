/**
 * Experiment: step-time skew and cost of the planner in a group of real agents, compared with the same group without
 * a planner.
 */

import * as timers from 'node:timers/promises'
import * as expertWorkload from './expert-workload.js'
import * as experiment from './experiment.js'
import * as lockstep from '../playground/lockstep.js'

type Kind = expertWorkload.WorkloadOptions['kind']

interface RunResult {
  skewP50: number
  skewP99: number
  /** Experts fetched. */
  experts: number
  gigabytes: number
  /** Steps during which weights were fetched. */
  disturbedSteps: number
  /** Time that switches added, in steps. */
  stalledSteps: number
  refusals: number
  switches: number
  stepsWithTwoMaps: number
}

const GROUP = {
  ranks: 8,
  stepMs: 10,
  experts: 16,
  slotsPerRank: 4,
  layers: 4,
  expertBytes: 44_000_000,
  // A move costs 0.003 of its layer's skew.
  expertCostWeight: 10
}
/** Faster changes of popularity than in the simulation, because a run is short. */
const CHANGES = { driftPerPeriod: 0.15, jumpProbability: 0.1 }
/** With 20 fetches a second, the fetches after a jump take several periods. */
const VARIANTS = {
  'off (static)': { isPlanned: false, weightsPerSecond: 100 },
  'on, 100 fetches/s': { isPlanned: true, weightsPerSecond: 100 },
  'on, 20 fetches/s': { isPlanned: true, weightsPerSecond: 20 }
}
type Variant = typeof VARIANTS[keyof typeof VARIANTS]

const PERIOD_MS = 500
const PERIODS = 30
const POLL_MS = 50

export const expertGroup: experiment.Experiment = {
  name: 'expert-group',
  description: 'skew and cost of the expert planner in a lock-step group with real agents',
  run: async ({ seeds }) => ({
    tables: [
      await tableFor('drift', seeds),
      await tableFor('jump', seeds)
    ],
    conclusions: []
  })
}

async function tableFor (kind: Kind, seeds: number[]): Promise<experiment.Table> {
  const results = Object.entries(VARIANTS).map(([name, variant]) => ({ name, variant, runs: [] as RunResult[] }))
  for (const seed of seeds) for (const { variant, runs } of results) runs.push(await runGroup(kind, seed, variant))
  const digits: Record<keyof RunResult, number> = {
    skewP50: 3,
    skewP99: 3,
    experts: 0,
    gigabytes: 1,
    disturbedSteps: 0,
    stalledSteps: 0,
    refusals: 0,
    switches: 0,
    stepsWithTwoMaps: 0
  }
  const keys = Object.keys(digits) as (keyof RunResult)[]
  return {
    title: `${kind}: ${GROUP.ranks} ranks, ${PERIODS} periods of ${PERIOD_MS} ms, ${seeds.length} seeds`,
    columns: [
      'planner', 'skew p50', 'skew p99', 'experts fetched', 'GB at 44 MB each', 'steps with fetches', 'steps stalled',
      'refusals', 'switches', 'steps with two maps'
    ],
    rows: results.map(({ name, runs }) =>
      [name, ...keys.map(key => experiment.spread(runs.map(run => run[key]), digits[key]))])
  }
}

async function runGroup (kind: Kind, seed: number, { isPlanned, weightsPerSecond }: Variant): Promise<RunResult> {
  const group = new lockstep.LockstepGroup({ ...GROUP, weightsPerSecond, planPeriodMs: isPlanned ? PERIOD_MS : 0 })
  try {
    await group.start()
    const first = (await group.read()).skews.length
    const disturbedMs = await runSchedule(group, kind, seed)
    const read = await group.read()
    const { served, refused } = await group.weightCounts()
    const skews = read.skews.slice(first)
    const stepMs = (read.endedAtMs.at(-1)! - read.endedAtMs[first]!) / (skews.length - 1)
    const stalls = lockstep.switchDelaysInSteps(read, GROUP.ranks, group.options.holdSteps * 2)
    return {
      skewP50: experiment.percentile(skews, 0.5),
      skewP99: experiment.percentile(skews, 0.99),
      experts: served,
      gigabytes: served * GROUP.expertBytes / 1e9,
      disturbedSteps: disturbedMs / stepMs,
      stalledSteps: stalls.reduce((sum, stall) => sum + stall, 0),
      refusals: refused,
      switches: lockstep.countSwitches(read),
      stepsWithTwoMaps: lockstep.findInconsistentSteps(read, GROUP.ranks).length
    }
  } finally {
    await group.stop()
  }
}

/** Changes the popularity in each period. @returns time in ms during which weights were fetched. */
async function runSchedule (group: lockstep.LockstepGroup, kind: Kind, seed: number): Promise<number> {
  // Popularity is equal at the start, so that the engines' first map is optimal and the static map a fair baseline.
  const workload = expertWorkload.createWorkload(
    { kind, layers: GROUP.layers, experts: GROUP.experts, tokensPerStep: 1, baseSpread: 0, ...CHANGES },
    expertWorkload.createRandom(seed), expertWorkload.createRandom(seed))
  let disturbedMs = 0
  let servedBefore = 0
  let polledAtMs = performance.now()
  for (let period = 0; period < PERIODS; period++) {
    const endMs = performance.now() + PERIOD_MS
    workload.advance()
    await group.control({ popularity: workload.expected() })
    while (performance.now() < endMs) {
      await timers.setTimeout(POLL_MS)
      const { served } = await group.weightCounts()
      const nowMs = performance.now()
      if (served > servedBefore) disturbedMs += nowMs - polledAtMs
      servedBefore = served
      polledAtMs = nowMs
    }
  }
  return disturbedMs
}
