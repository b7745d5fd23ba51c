/**
 * Claims of a region's 57 entries, which run in several processes with exchange streams between them: each entry
 * writes its own claims, or one entry writes those of all. One entry runs alone in its process, whose CPU time is
 * measured.
 */

import type * as claimNode from './claim-node.js'
import * as experiment from './experiment.js'
import * as measuredProcess from './measured-process.js'
import * as processRunner from '../playground/process-runner.js'
import * as environment from '../src/coordination/environment.js'
import * as claimSharing from '../src/state/claim-sharing.js'
import type * as membership from '../src/state/membership.js'

/** Entries of one region (docs/design.md, section 3). */
const REGION_ENTRIES = 57
/** One of 7 regions at the peak load of 4,700 requests/s in total. */
const PEAK_CLAIMS_PER_SECOND = 671
const OTHER_PROCESSES = 7
const ROUND_MS = 3_000
const SETTLE_MS = 500
const TABLE_DELAY_MS = 10

interface Variant {
  name: string
  claimsPerSecond: number
  /** Which entry writes for all: none, the measured entry in every time slot, or each entry in its time slots. */
  writer: 'none' | 'measured' | 'slots'
}

const VARIANTS: Variant[] = [
  { name: 'no claims', claimsPerSecond: 0, writer: 'none' },
  ...[34, PEAK_CLAIMS_PER_SECOND, 2 * PEAK_CLAIMS_PER_SECOND].flatMap((claimsPerSecond): Variant[] => [
    { name: 'each entry writes', claimsPerSecond, writer: 'none' },
    { name: 'measured entry writes', claimsPerSecond, writer: 'measured' },
    { name: 'entries write in turn', claimsPerSecond, writer: 'slots' }
  ])
]

interface Figures {
  claimsPerSecond: number
  writesPerSecond: number
  p50Ms: number
  p99Ms: number
  /** CPU time of the measured entry as a share of one core, in percent. */
  cpuPercent: number
  failed: number
  /** Claims whose writer did not answer in time. */
  unanswered: number
}

export const claimSharingExperiment: experiment.Experiment = {
  name: 'claim-sharing',
  description: `claims of ${REGION_ENTRIES} entries; the table answers after ${TABLE_DELAY_MS} ms`,
  run
}

async function run (context: experiment.ExperimentContext): Promise<experiment.ExperimentResult> {
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const platform = await processRunner.startProcess('platform', 'standins/platform.js', [])
  const stops: (() => Promise<unknown>)[] = [async () => stopProcess(platform)]
  try {
    const tableUrl = `http://${platform.ready['table'] as string}`
    await post(platform, 'table', { delayMs: TABLE_DELAY_MS })
    const measured = await measuredProcess.startMeasured('bench/claim-node.js', ['0', '1', tableUrl])
    stops.push(() => measured.stop())
    const perProcess = (REGION_ENTRIES - 1) / OTHER_PROCESSES
    const others = await Promise.all(Array.from({ length: OTHER_PROCESSES }, (_, index) =>
      processRunner.startProcess(`node-${index}`, 'bench/claim-node.js',
        [String(1 + index * perProcess), String(perProcess), tableUrl])))
    stops.push(...others.map(other => async () => stopProcess(other)))
    const entries = [measured, ...others].flatMap(node => node.ready['entries'] as membership.EntryIdentity[])
    await Promise.all([measured, ...others].map(node => post(node, 'connect', entries)))
    const slotAtMs = findSlotOf(env, entries[0]!.incarnation, entries.map(entry => entry.incarnation))
    // Warm-up round for just-in-time compilation, not counted.
    for (const variant of VARIANTS) await measure(platform, measured, others, variant, slotAtMs)
    const rounds = VARIANTS.map((): Figures[] => [])
    for (let round = 0; round < context.seeds.length; round++) {
      for (const [index, variant] of VARIANTS.entries()) {
        rounds[index]!.push(await measure(platform, measured, others, variant, slotAtMs))
        await measuredProcess.sleep(SETTLE_MS)
      }
    }
    return {
      tables: [{
        title: 'median (smallest to largest) over the rounds; CPU % of a core of the measured entry',
        columns: ['way', 'offered/s', 'claims/s', 'table writes/s', 'p50 ms', 'p99 ms', 'CPU %', 'failed', 'unanswered'],
        rows: VARIANTS.map((variant, index) => {
          const figure = (name: keyof Figures): string =>
            experiment.spread(rounds[index]!.map(figures => figures[name]), 1)
          return [
            variant.name, variant.claimsPerSecond, figure('claimsPerSecond'), figure('writesPerSecond'),
            figure('p50Ms'), figure('p99Ms'), figure('cpuPercent'), figure('failed'), figure('unanswered')
          ]
        })
      }],
      conclusions: []
    }
  } finally {
    await Promise.all(stops.map(stop => stop()))
  }
}

/** @returns a time in a slot in which the wanted entry is the writer. */
function findSlotOf (env: environment.Environment, wanted: string, entries: string[]): number {
  for (let atMs = Date.now(); ; atMs += claimSharing.WRITER_ROTATION_MS) {
    const writer = claimSharing.chooseWriter(
      claimSharing.createClaimSharing(), wanted, entries, 0, 0, atMs, env.hash64)
    if (writer === wanted) return atMs
  }
}

async function measure (
  platform: processRunner.RunningProcess, measured: measuredProcess.MeasuredProcess,
  others: processRunner.RunningProcess[], variant: Variant, slotAtMs: number
): Promise<Figures> {
  const optionsOf = (entries: number): claimNode.RoundOptions => ({
    claimsPerSecond: variant.claimsPerSecond / REGION_ENTRIES * entries,
    durationMs: ROUND_MS,
    ...(variant.writer === 'none' ? {} : { shareAbove: 0 }),
    ...(variant.writer === 'measured' ? { slotAtMs } : {})
  })
  const before = await readWriteCount(platform)
  const usageBefore = await measured.usage(false)
  const results = await Promise.all([
    post(measured, 'run', optionsOf(1)),
    ...others.map(other => post(other, 'run', optionsOf((REGION_ENTRIES - 1) / OTHER_PROCESSES)))
  ]) as claimNode.RoundResult[]
  const usageAfter = await measured.usage(false)
  const durationS = (usageAfter.atMs - usageBefore.atMs) / 1_000
  const latenciesMs = results.flatMap(result => result.latenciesMs)
  return {
    claimsPerSecond: latenciesMs.length / durationS,
    writesPerSecond: (await readWriteCount(platform) - before) / durationS,
    p50Ms: experiment.percentile(latenciesMs, 0.5),
    p99Ms: experiment.percentile(latenciesMs, 0.99),
    cpuPercent: (usageAfter.cpuMs - usageBefore.cpuMs) / durationS / 10,
    failed: results.reduce((sum, result) => sum + result.failed, 0),
    unanswered: results.reduce((sum, result) => sum + result.unanswered, 0)
  }
}

async function readWriteCount (platform: processRunner.RunningProcess): Promise<number> {
  return (await post(platform, 'table', {}) as { counts: { writes: number } }).counts.writes
}

async function post (node: { ready: Record<string, unknown> }, path: string, body: unknown): Promise<unknown> {
  const response = await fetch(`http://${node.ready['control'] as string}/${path}`, {
    method: 'POST', body: JSON.stringify(body)
  })
  return response.json()
}

async function stopProcess (running: processRunner.RunningProcess): Promise<void> {
  running.kill('SIGTERM')
  await running.exited
}
