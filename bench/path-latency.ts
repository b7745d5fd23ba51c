/**
 * Latency and CPU time that entry and agent add to a call, compared with calling the backend server directly in the
 * same run.
 */

import * as fs from 'node:fs'
import * as undici from 'undici'
import * as experiment from './experiment.js'
import * as cluster from '../playground/cluster.js'

const REQUESTS_PER_SECOND = 200
const ROUND_MS = 3_000
const WARM_UP_MS = 1_500
const STREAM_TOKENS = 60
const STREAM_STEP_MS = 10
const STREAMS = 20
/** Unit of the CPU times in /proc/PID/stat on Linux (100 ticks a second). */
const CLOCK_TICK_MS = 10

export const pathLatency: experiment.Experiment = {
  name: 'path-latency',
  description: `plain calls at ${REQUESTS_PER_SECOND} requests/s and streams, through entry and agent and directly`,
  run
}

interface Endpoint {
  url: string
  headers: Record<string, string>
}

async function run (context: experiment.ExperimentContext): Promise<experiment.ExperimentResult> {
  const deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [{ name: 'draft-model', servers: 1, stepMs: STREAM_STEP_MS }],
    services: [{ name: 'lookup', servers: 1, delayMs: 0, repeatable: true }],
    teams: ['support']
  })
  await deployment.start()
  try {
    return await measure(deployment, context.seeds.length)
  } finally {
    await deployment.stop()
  }
}

async function measure (deployment: cluster.Cluster, rounds: number): Promise<experiment.ExperimentResult> {
  const entry = deployment.entries[0]!
  const lookup = deployment.backends.find(backend => backend.kind === 'plain')!
  const model = deployment.backends.find(backend => backend.kind === 'model')!
  const headers = { authorization: `Bearer ${cluster.teamKey('support')}` }
  const routed: Endpoint = { url: `http://${entry.address}/services/lookup/status`, headers }
  const direct: Endpoint = { url: `http://${lookup.serverAddress}/status`, headers: {} }
  await runPlainRound(routed, WARM_UP_MS)
  await runPlainRound(direct, WARM_UP_MS)

  const figures = {
    directP50: [] as number[],
    directP99: [] as number[],
    routedP50: [] as number[],
    routedP99: [] as number[],
    entryCpu: [] as number[],
    agentCpu: [] as number[],
    directGap: [] as number[],
    routedGap: [] as number[]
  }
  for (let round = 0; round < rounds; round++) {
    const directMs = await runPlainRound(direct, ROUND_MS)
    const entryBefore = cpuMs(entry.process.pid)
    const agentBefore = cpuMs(lookup.agent.pid)
    const routedMs = await runPlainRound(routed, ROUND_MS)
    figures.entryCpu.push((cpuMs(entry.process.pid) - entryBefore) / routedMs.length)
    figures.agentCpu.push((cpuMs(lookup.agent.pid) - agentBefore) / routedMs.length)
    figures.directP50.push(experiment.median(directMs))
    figures.directP99.push(experiment.percentile(directMs, 0.99))
    figures.routedP50.push(experiment.median(routedMs))
    figures.routedP99.push(experiment.percentile(routedMs, 0.99))
    figures.directGap.push(experiment.percentile(await runStreamRound(`http://${model.serverAddress}`, {}), 0.99))
    figures.routedGap.push(experiment.percentile(await runStreamRound(`http://${entry.address}`, headers), 0.99))
  }
  const addedP50 = experiment.median(figures.routedP50) - experiment.median(figures.directP50)
  const addedP99 = experiment.median(figures.routedP99) - experiment.median(figures.directP99)
  return {
    tables: [{
      title: 'median over rounds (smallest to largest)',
      columns: ['figure', 'direct', 'through entry and agent'],
      rows: [
        ['plain call p50, ms', experiment.spread(figures.directP50), experiment.spread(figures.routedP50)],
        ['plain call p99, ms', experiment.spread(figures.directP99), experiment.spread(figures.routedP99)],
        ['gap between events p99, ms', experiment.spread(figures.directGap), experiment.spread(figures.routedGap)],
        ['entry CPU per plain call, ms', '', experiment.spread(figures.entryCpu)],
        ['agent CPU per plain call, ms', '', experiment.spread(figures.agentCpu)]
      ]
    }],
    conclusions: [
      `entry and agent add ${addedP50.toFixed(2)} ms at p50 and ${addedP99.toFixed(2)} ms at p99; the target is at most 3 ms at p50`
    ]
  }
}

/** Sends calls at a fixed rate, independent of when answers arrive. @returns their durations in ms. */
async function runPlainRound (endpoint: Endpoint, durationMs: number): Promise<number[]> {
  const pending: Promise<number>[] = []
  const startedAtMs = performance.now()
  while (performance.now() - startedAtMs < durationMs) {
    const dueMs = pending.length * 1_000 / REQUESTS_PER_SECOND
    const waitMs = dueMs - (performance.now() - startedAtMs)
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs))
    pending.push(timedCall(endpoint, `subscription ${pending.length}`))
  }
  return Promise.all(pending)
}

async function timedCall (endpoint: Endpoint, body: string): Promise<number> {
  const startedAtMs = performance.now()
  const response = await undici.request(endpoint.url, { method: 'POST', headers: endpoint.headers, body })
  await response.body.dump()
  if (response.statusCode !== 200) throw new Error(`unexpected status ${response.statusCode}, expected 200`)
  return performance.now() - startedAtMs
}

/** Runs parallel streams. @returns the gaps between their events in ms. */
async function runStreamRound (base: string, headers: Record<string, string>): Promise<number[]> {
  const gaps = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
    const response = await undici.request(`${base}/v1/chat/completions`, {
      method: 'POST',
      headers: { ...headers, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'draft-model',
        messages: [{ role: 'user', content: `parcel ${index}` }],
        stream: true,
        max_tokens: STREAM_TOKENS
      })
    })
    const arrivals: number[] = []
    for await (const chunk of response.body) {
      if (chunk !== undefined) arrivals.push(performance.now())
    }
    return arrivals.slice(1).map((arrival, position) => arrival - arrivals[position]!)
  }))
  return gaps.flat()
}

/** User and system CPU time of a process since its start. */
function cpuMs (pid: number): number {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS
}
