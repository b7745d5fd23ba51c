import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as caller from '../caller.js'
import * as cluster from '../cluster.js'
import * as operator from '../operator.js'

const DRAIN_TIMEOUT_MS = 20_000
const STEP_MS = 20

let deployment: cluster.Cluster

async function start (options: Partial<cluster.ClusterOptions> = {}): Promise<void> {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 2,
    models: [{ name: 'draft-model', servers: 2, stepMs: STEP_MS }],
    services: [{ name: 'lookup', servers: 2, delayMs: 2_500, repeatable: true }],
    teams: ['support'],
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    ...options
  })
  await deployment.start()
}

vitest.afterEach(async () => {
  for (const entry of deployment.entries) entry.process.kill('SIGINT')
  for (const backend of deployment.backends) backend.agent.kill('SIGINT')
  await deployment.stop()
})

function startDrafts (count: number, tokens: number, entries = deployment.entries): {
  callers: caller.Caller[], records: Promise<caller.CallRecord[]>
} {
  const urls = entries.map(entry => `http://${entry.address}`)
  const callers = Array.from({ length: count }, () => new caller.Caller('support', urls))
  const records = callers.map((one, index) => one.draft('draft-model', `parcel ${index} is missing`, tokens))
  return { callers, records: Promise.all(records) }
}

async function waitUntilStarted (callers: caller.Caller[]): Promise<void> {
  await cluster.waitFor('all drafts have started', 5_000, () => callers.every(one => one.events > 0))
}

/** The entry that all callers of the team use. */
async function entryInUse (): Promise<cluster.EntryNode> {
  const statuses = await Promise.all(deployment.entries.map(async entry => await deployment.statusOf(entry)))
  return deployment.entries[statuses.findIndex(status => status.self.inFlight > 0)]!
}

async function pauseModelServers (durationMs: number): Promise<void> {
  const servers = deployment.backends.filter(backend => backend.kind === 'model').map(backend => backend.server)
  for (const server of servers) server.kill('SIGSTOP')
  await timers.setTimeout(durationMs)
  for (const server of servers) server.kill('SIGCONT')
}

// Guards against a stream that is given up while it runs, because its backend server pauses during a planned stop.
vitest.test('streams whose backend servers pause are delivered whole while agents and entries stop', async () => {
  await start()
  const { callers, records } = startDrafts(8, 200)
  await waitUntilStarted(callers)
  for (const { agent } of deployment.backends) agent.kill('SIGTERM')
  for (const { process: entry } of deployment.entries) entry.kill('SIGTERM')
  await pauseModelServers(1_200)
  await timers.setTimeout(200)
  await pauseModelServers(1_900)
  const ended = await records
  vitest.expect(ended.map(record => [record.outcome, record.sends])).toEqual(ended.map(() => ['answered', 1]))
})

// Guards against a request that is refused although the backend server that runs it ends in time.
vitest.test('requests that may be repeated are answered by the servers that run them while these and their entries stop', async () => {
  await start()
  const sent = Array.from({ length: 8 }, (_, index) =>
    new caller.Caller('support', [`http://${deployment.entries[index % 2]!.address}`]).plain('lookup', '/x', `${index}`, true))
  await timers.setTimeout(700)
  for (const { agent } of deployment.backends) agent.kill('SIGTERM')
  for (const { process: entry } of deployment.entries) entry.kill('SIGTERM')
  const ended = await Promise.all(sent)
  vitest.expect(ended.map(record => [record.outcome, record.sends])).toEqual(ended.map(() => ['answered', 1]))
})

// Guards against a stream that no entry takes over when its own ends before another one that stops at the same time.
vitest.test('streams of an entry that ends are resumed at another one that stops too', async () => {
  await start()
  const { callers, records } = startDrafts(4, 600)
  await waitUntilStarted(callers)
  const first = await entryInUse()
  const second = deployment.entries.find(entry => entry !== first)!
  const others = operator.readStream(second.address, 'support', 'draft-model', 800)
  await timers.setTimeout(300)
  for (const { process: entry } of [first, second]) entry.kill('SIGTERM')
  await timers.setTimeout(7_500)
  first.process.kill('SIGKILL')
  const ended = await records
  vitest.expect(ended.map(record => record.outcome)).toEqual(ended.map(() => 'answered'))
  vitest.expect(ended.every(record => record.sends > 1)).toBe(true)
  vitest.expect(await others).toBe(true)
})

// Guards against a stream that counts as lost while its agent restarts, when its caller goes to another entry.
vitest.test('streams are resumed at another entry while their agents restart', async () => {
  await start()
  const { callers, records } = startDrafts(4, 400)
  await waitUntilStarted(callers)
  const models = deployment.backends.filter(backend => backend.kind === 'model')
  for (const { agent } of models) agent.kill('SIGKILL')
  await timers.setTimeout(500)
  ;(await entryInUse()).process.kill('SIGKILL')
  await timers.setTimeout(500)
  await Promise.all(models.map(async backend => { await deployment.restartAgent(backend) }))
  const ended = await records
  vitest.expect(ended.map(record => record.outcome)).toEqual(ended.map(() => 'answered'))
  vitest.expect(ended.every(record => record.sends > 1)).toBe(true)
})

// Guards against an agent that ends with the rest of a stream whose caller is on its way to another entry.
vitest.test('a stopping agent waits for callers that have lost their entry', async () => {
  await start({ models: [{ name: 'draft-model', servers: 1, stepMs: STEP_MS }] })
  const [first, second] = deployment.entries as [cluster.EntryNode, cluster.EntryNode]
  const leaving = new AbortController()
  const begun = await openDraft(first, {}, leaving.signal)
  const { value } = await begun.body!.getReader().read()
  leaving.abort()
  const backend = deployment.backends.find(node => node.kind === 'model')!
  await cluster.waitFor('the engine ends the stream', 5_000, async () =>
    (await (await fetch(`http://${backend.serverAddress}/health`)).json() as { running: number }).running === 0)
  backend.agent.kill('SIGTERM')
  await timers.setTimeout(500)
  const lastEventId = /^id: (.*)$/m.exec(Buffer.from(value!).toString())![1]!
  const rest = await openDraft(second, { 'last-event-id': lastEventId })
  vitest.expect([rest.status, (await rest.text()).endsWith('data: [DONE]\n\n')]).toEqual([200, true])
  vitest.expect(await backend.agent.exited).toBe(0)
})

async function openDraft (
  entry: cluster.EntryNode, headers: Record<string, string>, signal: AbortSignal | null = null
): Promise<Response> {
  const messages = [{ role: 'user', content: 'hello' }]
  return await fetch(`http://${entry.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${cluster.teamKey('support')}`, ...headers },
    body: JSON.stringify({ model: 'draft-model', messages, stream: true, max_tokens: 50 }),
    signal
  })
}
