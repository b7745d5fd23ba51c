/**
 * Experiment: the lowest skew that an offline search reaches at the same number of moved bytes, compared with the
 * planner and the greedy baseline.
 */

import * as expertBaselines from './expert-baselines.js'
import * as expertHindsight from './expert-hindsight.js'
import * as expertSimulation from './expert-simulation.js'
import * as expertWorkload from './expert-workload.js'
import * as experiment from './experiment.js'
import * as expertPlanner from '../src/state/expert-planner.js'
import type * as groupShape from '../src/state/group-shape.js'

type Kind = expertWorkload.WorkloadOptions['kind']

const SHAPE: groupShape.GroupShape = { ranks: 128, experts: 64, slotsPerRank: 2 }
const OPTIONS: expertSimulation.SimulationOptions = {
  // With three layers the search takes some minutes for each row.
  shape: SHAPE, layers: 3, periods: 60, periodMs: 60_000, stepMs: 20, expertBytes: 44_000_000, fetchesPerSecond: 200
}
const COST_WEIGHTS = [10, 30, 0]
const PROPOSALS = 1_000_000
const ANNEALING_SEED = 77
/** Default number of periods over which the planner counts the gain of a move. */
const HORIZON_PERIODS = expertPlanner.DEFAULT_PLANNER_OPTIONS.horizonMs / OPTIONS.periodMs
const BYTES_PER_GIGABYTE = 1e9

/** Delay, in periods, with which the offline search learns the popularity: 0, or 1 as for a planner. */
const LAGS = { 'offline search': 0, 'offline search, a period late': 1 }

export const reachableExperiments: experiment.Experiment[] = (['drift', 'jump'] as Kind[]).map(kind => ({
  name: `expert-reachable-${kind}`,
  description: `least skew of expert placement at equal bytes, by an offline search that knows the future, ${kind}`,
  run: async ({ seeds }) => ({ tables: seeds.map(seed => runSeed(kind, seed)), conclusions: [] })
}))

function runSeed (kind: Kind, seed: number): experiment.Table {
  const rows: experiment.Cell[][] = []
  for (const costWeight of COST_WEIGHTS) {
    const { placements, result } = runPlanner(kind, seed, costWeight)
    rows.push(rowFor('planner', costWeight, result, kind, seed))
    for (const [name, lag] of Object.entries(LAGS)) {
      rows.push(rowFor(name, costWeight, searchOffline(kind, seed, costWeight, placements, lag), kind, seed))
      console.log(rows.at(-1)!.join(' | '))
    }
  }
  return {
    title: `${kind}, seed ${seed}, ${OPTIONS.layers} layers, ${PROPOSALS} proposals for each layer`,
    columns: ['policy', 'cost weight', 'skew p50', 'skew p99', 'GB moved', 'greedy p50', 'greedy GB', 'excess over greedy'],
    rows
  }
}

function rowFor (
  name: string, costWeight: number, result: expertSimulation.SimulationResult, kind: Kind, seed: number
): experiment.Cell[] {
  const greedy = expertSimulation.simulate(
    OPTIONS, kind, seed, expertBaselines.greedy(SHAPE, result.moves / OPTIONS.periods))
  return [
    name, costWeight, result.skewP50, result.skewP99, result.gigabytes, greedy.skewP50, greedy.gigabytes,
    (result.skewP50 - 1) / (greedy.skewP50 - 1)
  ]
}

/** @returns placement in each period and layer, the initial state of the offline search; and the planner's result. */
function runPlanner (
  kind: Kind, seed: number, costWeight: number
): { placements: groupShape.LayerSlots[][], result: expertSimulation.SimulationResult } {
  const options = { ...expertPlanner.DEFAULT_PLANNER_OPTIONS, costWeight, expertBytes: OPTIONS.expertBytes }
  const planner = expertBaselines.costAware(SHAPE, options)
  const placements: groupShape.LayerSlots[][] = []
  const result = expertSimulation.simulate(OPTIONS, kind, seed, (current, counts, changes) => {
    if (placements.length === 0) placements.push(current)
    const planned = planner(current, counts, changes)
    placements.push(planned)
    return planned
  })
  // No plan is made in a period that ends before the weights of the last plan are fetched.
  while (placements.length < OPTIONS.periods) placements.push(placements.at(-1)!)
  return { placements: placements.slice(0, OPTIONS.periods), result }
}

function searchOffline (
  kind: Kind, seed: number, costWeight: number, placements: groupShape.LayerSlots[][], lag: number
): expertSimulation.SimulationResult {
  const workload = expertSimulation.createWorkload(OPTIONS, kind, seed)
  const counts = [workload.expected()]
  for (let period = 0; period < OPTIONS.periods; period++) {
    workload.advance()
    counts.push(workload.expected())
  }
  const horizonMs = HORIZON_PERIODS * OPTIONS.periodMs
  const gigabytesPerSecond = OPTIONS.expertBytes / BYTES_PER_GIGABYTE / (horizonMs / 1_000)
  const costPerMove = costWeight * gigabytesPerSecond * OPTIONS.layers * HORIZON_PERIODS
  const random = expertWorkload.createRandom(ANNEALING_SEED)
  const found = Array.from({ length: OPTIONS.layers }, (_, layer) => expertHindsight.anneal(
    { shape: SHAPE, costPerMove, proposals: PROPOSALS },
    placements.map(layers => layers[layer]!),
    placements.map((_, period) => counts[period + 1 - lag]![layer]!),
    random
  ))
  let period = 0
  return expertSimulation.simulate(OPTIONS, kind, seed, () => {
    period = Math.min(OPTIONS.periods - 1, period + 1)
    return found.map(layer => layer[period]!)
  })
}
