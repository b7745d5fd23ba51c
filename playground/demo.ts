/**
 * Demonstration: starts a deployment, sends drafts, look-ups and vouchers, kills a backend server and an entry
 * meanwhile, and reports the outcome of every request. With --hold it runs until it is stopped, for callers, operators
 * and fault injectors.
 */

import * as caller from './caller.js'
import * as cluster from './cluster.js'

const LOAD_DURATION_MS = 8_000
const REQUESTS_PER_SECOND = 40

const deployment = new cluster.Cluster({
  failureDomains: ['kista', 'solna', 'sodra'],
  entries: 3,
  models: [{ name: 'draft-model', servers: 4, stepMs: 5 }],
  services: [
    { name: 'lookup', servers: 2, delayMs: 2, repeatable: true },
    { name: 'voucher', servers: 2, delayMs: 5, repeatable: false }
  ],
  teams: ['support', 'chat']
})

// The handlers stay: a second signal would end this process while the processes that it started go on.
const stopped = new Promise<void>(resolve => {
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => { resolve() })
})

let exitCode = 0
try {
  await deployment.start()
  if (process.argv.includes('--hold')) await hold()
  else exitCode = await Promise.race([run(), stopped.then(() => 1)])
} catch (error) {
  console.error(error)
  exitCode = 1
} finally {
  await deployment.stop()
}
process.exit(exitCode)

async function hold (): Promise<void> {
  const first = deployment.entries[0]!
  console.log(`READY ${JSON.stringify({
    entries: deployment.entries.map(entry => `http://${entry.address}`),
    callers: deployment.options.teams.map(team => ({
      team,
      headers: { authorization: `Bearer ${cluster.teamKey(team)}` },
      models: deployment.options.models.map(model => model.name),
      services: deployment.options.services.map(service => ({
        name: service.name, path: `/services/${service.name}`, method: 'POST', repeatable: service.repeatable
      }))
    })),
    processes: [
      ...deployment.entries.map(entry => ({ role: 'entry', pid: entry.process.pid, failureDomain: entry.failureDomain })),
      ...deployment.backends.flatMap(backend => [
        { role: 'agent', pid: backend.agent.pid, failureDomain: backend.failureDomain },
        { role: 'standin', pid: backend.server.pid, failureDomain: backend.failureDomain }
      ]),
      { role: 'standin', pid: deployment.platform.pid, failureDomain: '' }
    ],
    standins: deployment.backends.map(backend => `http://${backend.serverAddress}`),
    ctl: [
      'env', `BULRUSH_ENTRY_URLS=http://${first.address}`, `BULRUSH_OPERATOR_KEY=${cluster.OPERATOR_KEY}`,
      'BULRUSH_OPERATOR=demo',
      'node', 'dist/src/bin/bulrushctl.js'
    ]
  })}`)
  await stopped
}

async function run (): Promise<number> {
  const urls = deployment.entries.map(entry => `http://${entry.address}`)
  const callers = deployment.options.teams.map(team => new caller.Caller(team, urls))
  console.log(`${deployment.entries.length} entries, ${deployment.backends.length} backend servers with their agents are up`)
  const calls: Promise<{ kind: string, record: caller.CallRecord }>[] = []
  const startedAtMs = performance.now()
  const killBackendAtMs = LOAD_DURATION_MS / 3
  const killEntryAtMs = LOAD_DURATION_MS * 2 / 3
  const killed: string[] = []
  for (let index = 0; performance.now() - startedAtMs < LOAD_DURATION_MS; index++) {
    const elapsedMs = performance.now() - startedAtMs
    if (elapsedMs > killBackendAtMs && killed.length === 0) {
      const victim = deployment.backends.find(backend => backend.serves === 'draft-model')!
      victim.server.kill('SIGKILL')
      killed.push(victim.server.name)
      console.log(`killed backend server ${victim.host} at ${Math.round(elapsedMs)} ms`)
    }
    if (elapsedMs > killEntryAtMs && killed.length === 1) {
      const victim = deployment.entries.at(-1)!
      victim.process.kill('SIGKILL')
      killed.push(victim.host)
      console.log(`killed ${victim.host} at ${Math.round(elapsedMs)} ms`)
    }
    calls.push(sendOne(callers[index % callers.length]!, index))
    await new Promise(resolve => setTimeout(resolve, 1_000 / REQUESTS_PER_SECOND))
  }
  return reportResults(await Promise.all(calls))
}

async function sendOne (from: caller.Caller, index: number): Promise<{ kind: string, record: caller.CallRecord }> {
  if (index % 4 === 0) return { kind: 'draft', record: await from.draft('draft-model', `parcel ${index} is missing`, 40) }
  if (index % 4 === 3) {
    return { kind: 'voucher', record: await from.plain('voucher', '/issue', `voucher ${index}`, false) }
  }
  return { kind: 'lookup', record: await from.plain('lookup', '/status', `subscription ${index}`, true) }
}

async function reportResults (results: { kind: string, record: caller.CallRecord }[]): Promise<number> {
  const runs = new Map<string, number>()
  for (const backend of deployment.backends.filter(candidate => candidate.serves === 'voucher')) {
    const response = await fetch(`http://${backend.serverAddress}/runs`)
    const answer = await response.json() as { runs: Record<string, number> }
    for (const [key, count] of Object.entries(answer.runs)) runs.set(key, (runs.get(key) ?? 0) + count)
  }
  const vouchers = results.filter(result => result.kind === 'voucher').map(result => result.record)
  const summary = {
    sent: results.length,
    answered: count('answered'),
    wrong: count('wrong'),
    lost: count('lost') + count('refused'),
    doubled: vouchers.filter(record => (runs.get(record.key) ?? 0) > 1).length,
    resent: results.filter(result => result.record.sends > 1).length
  }
  for (const kind of ['draft', 'lookup', 'voucher']) {
    const records = results.filter(result => result.kind === kind).map(result => result.record)
    const durations = records.map(record => record.durationMs).sort((a, b) => a - b)
    const p50 = durations[Math.floor(durations.length / 2)] ?? 0
    const p99 = durations[Math.floor(durations.length * 0.99)] ?? 0
    console.log(`${kind.padEnd(8)} ${String(records.length).padStart(4)} sent, ` +
      `${records.filter(record => record.outcome === 'answered').length} answered, p50 ${p50.toFixed(1)} ms, p99 ${p99.toFixed(1)} ms`)
  }
  for (const { kind, record } of results.filter(result => result.record.outcome !== 'answered').slice(0, 5)) {
    console.log(`${kind} ${record.outcome}: status ${record.status}, outcome ${record.stated}`)
  }
  console.log(JSON.stringify(summary))
  return summary.wrong + summary.lost + summary.doubled === 0 ? 0 : 1

  function count (outcome: caller.CallOutcome): number {
    return results.filter(result => result.record.outcome === outcome).length
  }
}
