/**
 * Experiment: routing policies with real processes. Entries and agents run as programs, and the engines are stand-ins
 * with a bounded prefix cache. All policies run one after another on the same processes.
 */

import * as experiment from './experiment.js'
import * as virtualClock from './virtual-clock.js'
import * as cluster from '../playground/cluster.js'
import type * as engine from '../standins/engine.js'

const ENTRIES = 3
const SERVERS = 12
/** Servers of a group, over which the skew is computed. */
const GROUP_SIZE = 4
const SLOTS = 4
const STEP_MS = 40
const TOKENS = 20
const BLOCK_CHARACTERS = 64
const PREFIX_BLOCKS = 20
const PREFILL_MS_PER_BLOCK = 15
const PREFIXES = 40
/** Capacity for about ten of the prefixes with the blocks that follow them. */
const CACHE_BLOCKS = 240
const SLOW_SERVER = 1
const SLOWNESS = 3
/** Host whose load reports are hidden from the policies. */
const SILENT_HOST = 'draft-model-6'
const REQUESTS_PER_SECOND = 34
const WARM_UP_MS = 4_000
const ROUND_MS = 15_000
const SAMPLE_MS = 100
const DRAIN_TIMEOUT_MS = 20_000
const POLICIES = [
  'random', 'round robin', 'least reported load', 'plain power of two',
  'expected work, pairs of a deck, own hints (earlier version)', 'expected work, own hints', 'expected work'
]

interface Figures {
  firstTokenP50Ms: number
  firstTokenP99Ms: number
  /** Share of prompt blocks that were in the engines' prefix caches. */
  hitShare: number
  /** Load of the most loaded server of a group, divided by the mean load in it; a mean over all samples. */
  groupSkew: number
  failed: number
}

interface EngineHealth {
  running: number
  waiting: number
  blocks: number
  hits: number
}

export const routingReal: experiment.Experiment = {
  name: 'routing-real',
  description: `${ENTRIES} entries, ${SERVERS} engine stand-ins of ${SLOTS} slots, ${REQUESTS_PER_SECOND} requests/s; ` +
    `one server ${SLOWNESS} times slower, one whose reports stop`,
  run
}

async function run ({ seeds }: experiment.ExperimentContext): Promise<experiment.ExperimentResult> {
  const deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: ENTRIES,
    entryProgram: 'bench/policy-entry.js',
    models: [{ name: 'draft-model', servers: SERVERS, stepMs: STEP_MS, engine: engineOptions }],
    services: [],
    teams: ['support']
  })
  await deployment.start()
  const figures = new Map<string, Figures[]>(POLICIES.map(policy => [policy, []]))
  try {
    for (const [round, seed] of seeds.entries()) {
      // The order rotates by one in each round: in as many rounds as policies, each policy has every position once.
      const order = POLICIES.map((_, index) => POLICIES[(index + round) % POLICIES.length]!)
      for (const policy of order) figures.get(policy)!.push(await measure(deployment, policy, seed))
    }
  } finally {
    await deployment.stop()
  }
  const rows = POLICIES.map(policy => {
    const rounds = figures.get(policy)!
    const figure = (name: keyof Figures, digits: number): string =>
      experiment.spread(rounds.map(one => one[name]), digits)
    return [policy, figure('firstTokenP50Ms', 0), figure('firstTokenP99Ms', 0), figure('hitShare', 3),
      figure('groupSkew', 3), figure('failed', 0)]
  })
  return {
    tables: [{
      title: 'median over seeds (smallest to largest)',
      columns: ['policy', 'first token p50 ms', 'first token p99 ms', 'hit share', 'max over mean in a group', 'failed'],
      rows
    }],
    conclusions: []
  }
}

function engineOptions (index: number): Partial<engine.EngineOptions> {
  const slowness = index === SLOW_SERVER ? SLOWNESS : 1
  return {
    stepMs: STEP_MS * slowness,
    slots: SLOTS,
    prefillMsPerBlock: PREFILL_MS_PER_BLOCK * slowness,
    cache: { maxBlocks: CACHE_BLOCKS, blockCharacters: BLOCK_CHARACTERS }
  }
}

async function measure (deployment: cluster.Cluster, policy: string, seed: number): Promise<Figures> {
  await Promise.all(deployment.entries.map(entry => post(entry.process.ready['control'] as string, '/', {
    policy, silentHost: SILENT_HOST
  })))
  await Promise.all(deployment.backends.map(backend => post(backend.serverAddress, '/reset_prefix_cache', {})))
  const random = virtualClock.seededRandom(seed)
  // Each round has its own prefixes, so that hints from earlier rounds don't help.
  const label = `${policy} ${seed}`
  const startedAtMs = performance.now()
  const pending: Promise<number | undefined>[] = []
  const skews: number[] = []
  let before: EngineHealth[] | undefined
  let nextSampleMs = WARM_UP_MS
  let dueMs = 0
  while (dueMs < WARM_UP_MS + ROUND_MS) {
    const waitMs = dueMs - (performance.now() - startedAtMs)
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
    const isMeasured = dueMs >= WARM_UP_MS
    if (isMeasured && before === undefined) before = await readHealth(deployment)
    const took = firstTokenMs(deployment.entries[Math.floor(random() * ENTRIES)]!, promptOf(label, random))
    if (isMeasured) pending.push(took)
    if (dueMs >= nextSampleMs) {
      nextSampleMs += SAMPLE_MS
      readHealth(deployment).then(sample => skews.push(...groupSkews(sample))).catch(() => {})
    }
    dueMs += virtualClock.exponential(1_000 / REQUESTS_PER_SECOND, random)
  }
  const results = await Promise.all(pending)
  const after = await readHealth(deployment)
  await cluster.waitFor('no request is left', DRAIN_TIMEOUT_MS, async () =>
    (await readHealth(deployment)).every(health => health.running + health.waiting === 0))
  const times = results.filter(result => result !== undefined)
  const sum = (all: EngineHealth[], name: keyof EngineHealth): number =>
    all.reduce((total, health) => total + health[name], 0)
  return {
    firstTokenP50Ms: experiment.percentile(times, 0.5),
    firstTokenP99Ms: experiment.percentile(times, 0.99),
    hitShare: (sum(after, 'hits') - sum(before!, 'hits')) / (sum(after, 'blocks') - sum(before!, 'blocks')),
    groupSkew: skews.reduce((total, value) => total + value, 0) / skews.length,
    failed: results.length - times.length
  }
}

/** Messages with a long prefix that many requests share, and a question that only this one has. */
function promptOf (label: string, random: () => number): { role: string, content: string }[] {
  const prefix = `${label} prefix ${Math.floor(random() ** 2 * PREFIXES)}; `
  const question = `question ${Math.floor(random() * 1e9)}; `
  return [
    { role: 'system', content: prefix.repeat(Math.ceil(PREFIX_BLOCKS * BLOCK_CHARACTERS / prefix.length)) },
    { role: 'user', content: question.repeat(Math.ceil(BLOCK_CHARACTERS / question.length)) }
  ]
}

/** Time from sending to the first bytes of the answer; undefined when the request failed. */
async function firstTokenMs (entry: cluster.EntryNode, messages: object[]): Promise<number | undefined> {
  const sentAtMs = performance.now()
  const response = await fetch(`http://${entry.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${cluster.teamKey('support')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'draft-model', messages, stream: true, max_tokens: TOKENS })
  })
  let firstMs: number | undefined
  for await (const piece of response.body as unknown as AsyncIterable<Uint8Array>) {
    if (piece.length > 0) firstMs ??= performance.now() - sentAtMs
  }
  return response.ok ? firstMs : undefined
}

function groupSkews (sample: EngineHealth[]): number[] {
  const skews: number[] = []
  for (let start = 0; start < sample.length; start += GROUP_SIZE) {
    const loads = sample.slice(start, start + GROUP_SIZE).map(health => health.running + health.waiting)
    const mean = loads.reduce((total, load) => total + load, 0) / loads.length
    if (mean > 0) skews.push(Math.max(...loads) / mean)
  }
  return skews
}

function readHealth (deployment: cluster.Cluster): Promise<EngineHealth[]> {
  return Promise.all(deployment.backends
    .slice().sort((a, b) => a.host.localeCompare(b.host, 'en', { numeric: true }))
    .map(async backend => await (await fetch(`http://${backend.serverAddress}/health`)).json() as EngineHealth))
}

async function post (address: string, path: string, document: object): Promise<void> {
  const response = await fetch(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(document) })
  if (!response.ok) throw new Error(`POST ${address}${path}: unexpected status ${response.status}`)
}
