/**
 * Claims per second compared with table writes per second: group commit, a write for each claim, and group commit with
 * the same load spread over more entries. The table stand-in answers after a fixed delay.
 */

import * as crypto from 'node:crypto'
import * as events from 'node:events'
import * as experiment from './experiment.js'
import * as processRunner from '../playground/process-runner.js'
import * as claimStore from '../src/coordination/claim-store.js'
import * as environment from '../src/coordination/environment.js'
import * as tableClient from '../src/transport/table-client.js'

const ROUND_MS = 2_000
const TABLE_DELAY_MS = 10
const TABLE_TIMEOUT_MS = 5_000
const TICK_MS = 5
/** Entries of one region (docs/design.md, section 3). */
const REGION_ENTRIES = 57

interface Setup {
  name: string
  entries: number
  offeredPerSecond: number
  options: claimStore.ClaimWriterOptions
}

const GROUP_COMMIT: claimStore.ClaimWriterOptions = {}
const SINGLE_WRITES: claimStore.ClaimWriterOptions = { maxBatchItems: 1, maxBatchesInFlight: 8 }

const SETUPS: Setup[] = [
  ...[50, 500, 3_000].flatMap(offeredPerSecond => [
    { name: 'a write for each claim', entries: 1, offeredPerSecond, options: SINGLE_WRITES },
    { name: 'group commit', entries: 1, offeredPerSecond, options: GROUP_COMMIT }
  ]),
  { name: 'group commit', entries: 8, offeredPerSecond: 500, options: GROUP_COMMIT },
  { name: 'group commit', entries: REGION_ENTRIES, offeredPerSecond: 500, options: GROUP_COMMIT }
]

export const claimRate: experiment.Experiment = {
  name: 'claim-rate',
  description: `claims a second against table writes a second; the table answers after ${TABLE_DELAY_MS} ms`,
  run
}

interface Figures {
  claimsPerSecond: number
  writesPerSecond: number
  p50Ms: number
  p99Ms: number
}

async function run (context: experiment.ExperimentContext): Promise<experiment.ExperimentResult> {
  const platform = await processRunner.startProcess('platform', 'standins/platform.js', [])
  const env = await environment.createEnvironment({ emit: () => {} }, {
    count: () => {}, gauge: () => {}, timingMs: () => {}, close: async () => {}
  })
  const rows: experiment.Cell[][] = []
  try {
    await setTable(platform, { delayMs: TABLE_DELAY_MS })
    for (const setup of SETUPS) {
      const rounds: Figures[] = []
      for (let round = 0; round < context.seeds.length; round++) rounds.push(await measure(env, platform, setup))
      const figure = (name: keyof Figures): string => experiment.spread(rounds.map(figures => figures[name]), 1)
      const perWrite = experiment.median(rounds.map(figures => figures.claimsPerSecond / figures.writesPerSecond))
      rows.push([
        setup.name, setup.entries, setup.offeredPerSecond, figure('claimsPerSecond'), figure('writesPerSecond'),
        perWrite, figure('p50Ms'), figure('p99Ms')
      ])
    }
  } finally {
    platform.kill('SIGTERM')
    await platform.exited
  }
  return {
    tables: [{
      title: 'median (smallest to largest) over the rounds',
      columns: ['way', 'entries', 'offered/s', 'claims/s', 'table writes/s', 'claims a write', 'p50 ms', 'p99 ms'],
      rows
    }],
    conclusions: []
  }
}

async function measure (
  env: environment.Environment, platform: processRunner.RunningProcess, setup: Setup
): Promise<Figures> {
  const roundEnd = new AbortController()
  // Every table client of the round adds a listener, more than the default limit.
  events.EventEmitter.setMaxListeners(0, roundEnd.signal)
  const url = `http://${platform.ready['table'] as string}`
  const stores = Array.from({ length: setup.entries }, () => {
    const table = new tableClient.DynamoTable({ url, tableName: 'bench', timeoutMs: TABLE_TIMEOUT_MS }, roundEnd.signal)
    return claimStore.createTableClaimStore(
      table, claimStore.createClaimWriter(env, table, roundEnd.signal, setup.options))
  })
  const before = await setTable(platform, {})
  const startedAtMs = performance.now()
  const latenciesMs: number[] = []
  const claims: Promise<void>[] = []
  for (let elapsedMs = 0; elapsedMs < ROUND_MS; elapsedMs = performance.now() - startedAtMs) {
    while (claims.length < elapsedMs / 1_000 * setup.offeredPerSecond) {
      claims.push(claimOnce(stores[claims.length % stores.length]!, latenciesMs))
    }
    await new Promise(resolve => setTimeout(resolve, TICK_MS))
  }
  await Promise.all(claims)
  const durationS = (performance.now() - startedAtMs) / 1_000
  const after = await setTable(platform, {})
  roundEnd.abort()
  return {
    claimsPerSecond: latenciesMs.length / durationS,
    writesPerSecond: (after - before) / durationS,
    p50Ms: experiment.percentile(latenciesMs, 0.5),
    p99Ms: experiment.percentile(latenciesMs, 0.99)
  }
}

async function claimOnce (store: claimStore.ClaimStore, latenciesMs: number[]): Promise<void> {
  const startedAtMs = performance.now()
  const attempt = { attemptId: `${'a'.repeat(32)}.1`, agentIncarnation: 'b'.repeat(32), agentAddress: '127.0.0.1:1' }
  const result = await store.write(crypto.randomUUID(), {
    claim: { ...attempt, fingerprint: 'f', state: 'open' }, expectedRevision: 0
  })
  if (result.kind === 'committed') latenciesMs.push(performance.now() - startedAtMs)
}

/** Sets faults of the table stand-in. @returns the writes that it has served so far. */
async function setTable (platform: processRunner.RunningProcess, faults: object): Promise<number> {
  const response = await fetch(`http://${platform.ready['control'] as string}/table`, {
    method: 'POST', body: JSON.stringify(faults)
  })
  return (await response.json() as { counts: { writes: number } }).counts.writes
}
