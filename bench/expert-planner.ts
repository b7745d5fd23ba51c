/**
 * Experiments: step-time skew and cost of the expert planner compared with its baselines, and the time of one plan.
 */

import * as fs from 'node:fs'
import * as vega from 'vega'
import * as vegaLite from 'vega-lite'
import * as expertBaselines from './expert-baselines.js'
import * as expertSimulation from './expert-simulation.js'
import * as expertWorkload from './expert-workload.js'
import * as experiment from './experiment.js'
import * as expertPlanner from '../src/state/expert-planner.js'
import type * as groupShape from '../src/state/group-shape.js'

type Kind = expertWorkload.WorkloadOptions['kind']

interface Row {
  name: string
  results: expertSimulation.SimulationResult[]
}

const SHAPE: groupShape.GroupShape = { ranks: 128, experts: 64, slotsPerRank: 2 }
const OPTIONS: expertSimulation.SimulationOptions = {
  // Six of sixty layers keep a run short. Layers are planned separately, so bytes grow in proportion to their number.
  shape: SHAPE, layers: 6, periods: 60, periodMs: 60_000, stepMs: 20, expertBytes: 44_000_000, fetchesPerSecond: 200
}
const COST_WEIGHTS = [0, 0.3, 1, 2, 5, 10, 30, 100]
/** Cost weights of two deployments: the first gives more weight to skew, the second to cost. */
const DEPLOYMENTS = { Strumpbolaget: 0.3, 'Maybay Connect': 10 }
const PLAN_LAYERS = 60
const PLAN_REPEATS = 20
const PLOT_FOLDER = 'docs/plots'

export const expertPlannerExperiment: experiment.Experiment = {
  name: 'expert-planner',
  description: 'skew and cost of expert placement beside static map, full re-plan and greedy',
  run
}

async function run ({ seeds }: experiment.ExperimentContext): Promise<experiment.ExperimentResult> {
  const tables: experiment.Table[] = []
  const conclusions: string[] = []
  for (const kind of ['drift', 'jump'] as Kind[]) {
    const rows = runPolicies(kind, seeds)
    tables.push({
      title: `${kind}: median over ${seeds.length} seeds (smallest to largest)`,
      columns: ['policy', 'skew p50', 'skew p99', 'GB moved', 'experts moved', 'steps disturbed', 'refusals'],
      rows: rows.map(({ name, results }) => [
        name,
        spreadOf(results, 'skewP50', 3),
        spreadOf(results, 'skewP99', 3),
        spreadOf(results, 'gigabytes', 1),
        spreadOf(results, 'moves', 0),
        spreadOf(results, 'disturbedSteps', 0),
        spreadOf(results, 'refusals', 0)
      ])
    })
    conclusions.push(...compare(kind, rows))
    await plot(kind, rows)
  }
  return { tables, conclusions }
}

export const expertPlanTime: experiment.Experiment = {
  name: 'expert-plan-time',
  description: 'time of one expert plan of a large group',
  run: async () => ({
    tables: [{
      title: `one plan with ${SHAPE.ranks} ranks, ${SHAPE.experts} experts, ${PLAN_LAYERS} layers, ${PLAN_REPEATS} periods`,
      // Processor time excludes the effect of other work on the machine.
      columns: ['popularity', 'cost weight', 'p50 ms', 'largest ms', 'processor p50 ms'],
      rows: (['drift', 'jump'] as Kind[]).flatMap(kind => planTimes(kind).map(({ weight, timesMs, processorMs }) =>
        [kind, weight, experiment.median(timesMs), Math.max(...timesMs), experiment.median(processorMs)]))
    }],
    conclusions: []
  })
}

function runPolicies (kind: Kind, seeds: number[]): Row[] {
  const runAll = (name: string, policyFor: (index: number) => expertBaselines.Policy): Row => ({
    name, results: seeds.map((seed, index) => expertSimulation.simulate(OPTIONS, kind, seed, policyFor(index)))
  })
  const rows = [
    runAll('static', () => expertBaselines.staticMap()),
    runAll('full re-plan', () => expertBaselines.fullReplan(SHAPE)),
    runAll('greedy, no limit', () => expertBaselines.greedy(SHAPE, Infinity))
  ]
  for (const weight of COST_WEIGHTS) {
    const own = runAll(`cost weight ${weight}`, () => expertBaselines.costAware(SHAPE, optionsFor(weight)))
    rows.push(own)
    // Greedy with as many moves as the planner made with the same seed.
    rows.push(runAll(`greedy at the bytes of ${weight}`, index =>
      expertBaselines.greedy(SHAPE, own.results[index]!.moves / OPTIONS.periods)))
    rows.push(runAll(`greedy carrying over, bytes of ${weight}`, index =>
      expertBaselines.greedy(SHAPE, own.results[index]!.moves / OPTIONS.periods, true)))
  }
  return rows
}

function optionsFor (costWeight: number): expertPlanner.PlannerOptions {
  return { ...expertPlanner.DEFAULT_PLANNER_OPTIONS, costWeight, expertBytes: OPTIONS.expertBytes }
}

/** Compares the planner with the full re-plan and with greedy at the same number of moves. */
function compare (kind: Kind, rows: Row[]): string[] {
  const valueOf = (name: string, key: keyof expertSimulation.SimulationResult): number =>
    experiment.median(rows.find(row => row.name === name)!.results.map(result => result[key]))
  const fullSkew = valueOf('full re-plan', 'skewP50')
  const fullBytes = valueOf('full re-plan', 'gigabytes')
  const reached = COST_WEIGHTS.filter(weight => valueOf(`cost weight ${weight}`, 'skewP50') <= fullSkew &&
    valueOf(`cost weight ${weight}`, 'gigabytes') <= fullBytes / 4)
  const excessOver = (baseline: string): string => COST_WEIGHTS.map(weight => {
    const own = valueOf(`cost weight ${weight}`, 'skewP50') - 1
    const greedy = valueOf(`${baseline} ${weight}`, 'skewP50') - 1
    return `${weight}: ${(own / greedy).toFixed(2)}`
  }).join(', ')
  return [
    `${kind}: skew p50 of the full re-plan at a quarter of its bytes or less: ` +
      (reached.length > 0 ? `reached at cost weights ${reached.join(', ')}` : 'missed'),
    `${kind}: excess skew p50 over that of greedy with the same moves, by cost weight: ` +
      `${excessOver('greedy at the bytes of')}; the target is 0.5`,
    `${kind}: the same over greedy that carries moves over: ${excessOver('greedy carrying over, bytes of')}`
  ]
}

function planTimes (kind: Kind): { weight: number, timesMs: number[], processorMs: number[] }[] {
  // With ten times the layers a move affects the group's skew a tenth as much, so the same trade-off has a tenth of the
  // weight.
  return Object.values(DEPLOYMENTS).map(value => value * OPTIONS.layers / PLAN_LAYERS).map(weight => {
    const workload = expertSimulation.createWorkload({ ...OPTIONS, layers: PLAN_LAYERS }, kind, 1)
    let layers = workload.expected().map(layer => expertPlanner.planFromScratch(SHAPE, layer))
    let counts = workload.expected()
    const processorMs: number[] = []
    const timesMs = Array.from({ length: PLAN_REPEATS }, () => {
      workload.advance()
      const before = counts
      counts = workload.expected()
      const startedAtMs = performance.now()
      const usageBefore = process.cpuUsage()
      const changes = expertPlanner.layerChanges(before, counts)
      layers = expertPlanner.planExperts(SHAPE, layers, counts, optionsFor(weight), changes).layers ?? layers
      const { user, system } = process.cpuUsage(usageBefore)
      processorMs.push((user + system) / 1_000)
      return performance.now() - startedAtMs
    })
    return { weight, timesMs, processorMs }
  })
}

function spreadOf (
  results: expertSimulation.SimulationResult[], key: keyof expertSimulation.SimulationResult, digits: number
): string {
  return experiment.spread(results.map(result => result[key]), digits)
}

async function plot (kind: Kind, rows: Row[]): Promise<void> {
  const values = rows.filter(row => row.name !== 'static').map(({ name, results }) => ({
    name,
    policy: name.startsWith('cost') ? 'planner' : name.startsWith('full') ? 'full re-plan' : 'greedy',
    deployment: Object.entries(DEPLOYMENTS).find(([, weight]) => name === `cost weight ${weight}`)?.[0] ?? '',
    gigabytes: experiment.median(results.map(result => result.gigabytes)),
    skew: experiment.median(results.map(result => result.skewP50)),
    low: Math.min(...results.map(result => result.skewP50)),
    high: Math.max(...results.map(result => result.skewP50))
  })).filter(value => value.gigabytes > 0)
  const x = { field: 'gigabytes', type: 'quantitative' as const, scale: { type: 'log' as const }, title: 'GB moved in an hour' }
  const color = { field: 'policy', type: 'nominal' as const, title: 'policy' }
  const y = { field: 'skew', type: 'quantitative' as const, scale: { zero: false }, title: 'step-time skew, p50' }
  const specification: vegaLite.TopLevelSpec = {
    title: `Skew and bytes, popularity: ${kind}`,
    width: 520,
    height: 320,
    data: { values },
    layer: [
      { mark: { type: 'rule', opacity: 0.4 }, encoding: { x, color, y: { ...y, field: 'low' }, y2: { field: 'high' } } },
      { mark: { type: 'point', filled: true }, encoding: { x, y, color } },
      { mark: { type: 'text', dy: -12 }, encoding: { x, y, text: { field: 'deployment', type: 'nominal' } } }
    ]
  }
  const view = new vega.View(vega.parse(vegaLite.compile(specification).spec), { renderer: 'none' })
  fs.mkdirSync(PLOT_FOLDER, { recursive: true })
  fs.writeFileSync(`${PLOT_FOLDER}/expert-tradeoff-${kind}.svg`, await view.toSVG())
}
