import * as vitest from 'vitest'
import * as caller from '../caller.js'
import * as cluster from '../cluster.js'

const TOKENS = 120

let deployment: cluster.Cluster

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 2,
    models: [{ name: 'draft-model', servers: 2, stepMs: 10 }],
    services: [],
    teams: ['support'],
    proxied: ['agent', 'backend']
  })
  await deployment.start()
})

vitest.afterEach(() => deployment.stop())

let callers: caller.Caller[]

function startDrafts (count: number, tokens = TOKENS): Promise<caller.CallRecord[]> {
  const urls = deployment.entries.map(entry => `http://${entry.address}`)
  callers = Array.from({ length: count }, () => new caller.Caller('support', urls))
  return Promise.all(callers.map((one, index) => one.draft('draft-model', `parcel ${index} is missing`, tokens)))
}

/** Sum over all engines of the answers that they run, or have continued or cancelled. */
async function sumOfEngines (field: 'running' | 'continued' | 'cancelled'): Promise<number> {
  const alive = deployment.backends.filter(backend => !backend.server.hasExited())
  const counts = await Promise.all(alive.map(async backend => {
    const response = await fetch(`http://${backend.serverAddress}/health`)
    return (await response.json() as Record<string, number>)[field]!
  }))
  return counts.reduce((sum, count) => sum + count, 0)
}

async function runningOn (backend: cluster.BackendNode): Promise<number> {
  const response = await fetch(`http://${backend.serverAddress}/health`)
  return (await response.json() as { running: number }).running
}

async function waitUntilRunning (count: number): Promise<void> {
  await cluster.waitFor('all drafts run', 3_000, async () => await sumOfEngines('running') >= count)
}

function expectAllAnswered (records: caller.CallRecord[]): void {
  vitest.expect(records.map(record => record.outcome)).toEqual(records.map(() => 'answered'))
}

// Guards against events that are lost or repeated when the connection between entry and agent breaks.
vitest.test('stream survives a broken connection to the agent', async () => {
  const drafts = startDrafts(8)
  await waitUntilRunning(8)
  for (const backend of deployment.backends) backend.agentProxy!.resetAll()
  const records = await drafts
  expectAllAnswered(records)
  // The entry resumes by itself: the caller sees one unbroken stream.
  vitest.expect(records.every(record => record.sends === 1)).toBe(true)
  vitest.expect(await sumOfEngines('continued')).toBe(0)
})

// Guards against a stream that is abandoned although the engine still runs it.
vitest.test('stream survives a broken connection to the engine', async () => {
  const drafts = startDrafts(8)
  await waitUntilRunning(8)
  for (const backend of deployment.backends) backend.backendProxy!.resetAll()
  const records = await drafts
  expectAllAnswered(records)
  vitest.expect(records.every(record => record.sends === 1)).toBe(true)
  vitest.expect(await sumOfEngines('continued')).toBe(0)
})

// Guards against a stream that counts as lost while its engine runs it and can't be reached for a moment.
vitest.test('stream survives engines that are unreachable for a moment', async () => {
  const drafts = startDrafts(8, 300)
  await cluster.waitFor('all drafts have started', 3_000, () => callers.every(one => one.events > 0))
  for (const { backendProxy } of deployment.backends) {
    backendProxy!.setFaults({ refuse: true })
    backendProxy!.resetAll()
  }
  await new Promise(resolve => setTimeout(resolve, 2_000))
  for (const { backendProxy } of deployment.backends) backendProxy!.setFaults({})
  const records = await drafts
  expectAllAnswered(records)
  vitest.expect(records.every(record => record.sends === 1)).toBe(true)
  vitest.expect(await sumOfEngines('continued')).toBe(0)
})

// Guards against offsets that a new agent process computes differently.
vitest.test('stream survives an agent restart', async () => {
  // The drafts outlast the start of the new processes, which takes seconds on a busy machine.
  const drafts = startDrafts(8, 600)
  await waitUntilRunning(8)
  const old = deployment.backends.map(backend => backend.agent)
  await Promise.all(deployment.backends.map(backend => deployment.restartAgent(backend)))
  vitest.expect(await sumOfEngines('running')).toBe(8)
  // The proxies set the time without an agent, below the time after which a stream continues on another host.
  for (const backend of deployment.backends) backend.agentProxy!.setFaults({ refuse: true })
  for (const agent of old) agent.kill('SIGKILL')
  await Promise.all(old.map(agent => agent.exited))
  await new Promise(resolve => setTimeout(resolve, 700))
  for (const backend of deployment.backends) backend.agentProxy!.setFaults({})
  const records = await drafts
  expectAllAnswered(records)
  vitest.expect(records.every(record => record.sends === 1)).toBe(true)
  vitest.expect(await sumOfEngines('continued')).toBe(0)
})

// Guards against streams that are refused while both agents take seconds to restart.
vitest.test('streams complete when agents are down for longer than a stream waits for its host', async () => {
  const drafts = startDrafts(8)
  await waitUntilRunning(8)
  await Promise.all(deployment.backends.map(async backend => {
    backend.agent.kill('SIGKILL')
    await backend.agent.exited
    await new Promise(resolve => setTimeout(resolve, 2_500))
    await deployment.restartAgent(backend)
  }))
  expectAllAnswered(await drafts)
})

// Guards against a stream that is refused although an engine runs it, because its agents end before the first event.
vitest.test('streams without an event yet complete when agents are down for longer than a stream waits for its host', async () => {
  for (const { agentProxy } of deployment.backends) agentProxy!.setFaults({ frozen: ['toClient'] })
  const drafts = startDrafts(8)
  await waitUntilRunning(8)
  await Promise.all(deployment.backends.map(async backend => {
    backend.agent.kill('SIGKILL')
    await backend.agent.exited
    backend.agentProxy!.resetAll()
    backend.agentProxy!.setFaults({})
    await new Promise(resolve => setTimeout(resolve, 2_500))
    await deployment.restartAgent(backend)
  }))
  expectAllAnswered(await drafts)
  vitest.expect(await sumOfEngines('continued')).toBe(0)
})

// Guards against an answer that ends early when its engine dies.
vitest.test('stream continues on another backend server when its own dies', async () => {
  const drafts = startDrafts(8)
  // A draft without an event is sent again unchanged; only one that has started is continued.
  await cluster.waitFor('all drafts have started', 3_000, () => callers.every(one => one.events > 0))
  const running = await Promise.all(deployment.backends.map(runningOn))
  vitest.expect(Math.min(...running)).toBeGreaterThan(0)
  deployment.backends[0]!.server.kill('SIGKILL')
  const records = await drafts
  expectAllAnswered(records)
  vitest.expect(records.every(record => record.sends === 1)).toBe(true)
  vitest.expect(await sumOfEngines('continued')).toBeGreaterThan(0)
})

// Guards against a caller that has to start over, or gets the rest of another caller's stream, at the next entry.
vitest.test('stream resumes at another entry when its entry dies', async () => {
  const drafts = startDrafts(8)
  await waitUntilRunning(8)
  const response = await fetch(`http://${deployment.entries[0]!.address}/v1/entries?team=support`)
  const answer = await response.json() as { entries: { url: string }[] }
  const used = deployment.entries.find(entry => answer.entries[0]!.url.endsWith(entry.address))!
  used.process.kill('SIGKILL')
  const records = await drafts
  expectAllAnswered(records)
  vitest.expect(records.every(record => record.sends > 1)).toBe(true)
  vitest.expect(await sumOfEngines('continued')).toBe(0)
})

// Guards against answers that are swapped when chunks arrive late.
vitest.test('delayed answers are not swapped', async () => {
  deployment.backends[0]!.agentProxy!.setFaults({ delayMs: 40 })
  deployment.backends[1]!.backendProxy!.setFaults({ delayMs: 25 })
  expectAllAnswered(await startDrafts(24))
})

// Guards against engines that keep working for callers that have disconnected.
vitest.test('abandoned stream is cancelled', async () => {
  const controller = new AbortController()
  const response = await fetch(`http://${deployment.entries[0]!.address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${cluster.teamKey('support')}` },
    body: JSON.stringify({
      model: 'draft-model', messages: [{ role: 'user', content: 'hello' }], stream: true, max_tokens: 3_000
    }),
    signal: controller.signal
  })
  vitest.expect(response.status).toBe(200)
  controller.abort()
  await cluster.waitFor('the engine cancels the answer', 10_000, async () => await sumOfEngines('cancelled') === 1)
})
