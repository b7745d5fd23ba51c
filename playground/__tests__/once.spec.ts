import * as crypto from 'node:crypto'
import * as vitest from 'vitest'
import * as engine from '../../standins/engine.js'
import type * as faultProxy from '../../standins/fault-proxy.js'
import * as cluster from '../cluster.js'
import * as keyedCalls from '../keyed-calls.js'

let deployment: cluster.Cluster

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 3,
    models: [{ name: 'draft-model', servers: 1, stepMs: 10, repeatable: false }],
    services: [{ name: 'voucher', servers: 2, delayMs: 1, repeatable: false }],
    teams: ['support', 'chat'],
    proxied: ['table', 'agent']
  })
  await deployment.start()
})

vitest.afterEach(async () => {
  setAgentFaults({})
  deployment.tableProxy!.setFaults({})
  await deployment.setPlatform('table', { mode: 'up', lostAnswers: 0, delayMs: 0 })
  // Ejections and pauses after the faults of one test must not affect the next test.
  await deployment.waitUntilServing()
  await cluster.waitFor('all entries accept callers\' own keys', 10_000, async () => {
    const calls = [0, 1, 2].map(index => keyedCalls.issueVoucher(entry(index), { key: crypto.randomUUID() }))
    return (await Promise.all(calls)).every(answer => answer.outcome === 'completed')
  })
})

vitest.afterAll(() => deployment.stop())

function entry (index: number): string {
  return deployment.entries[index]!.address
}

function setAgentFaults (faults: Partial<faultProxy.ProxyFaults>): void {
  for (const backend of deployment.backends) backend.agentProxy!.setFaults(faults)
}

async function runsOfKey (key: string): Promise<number> {
  return (await keyedCalls.runsOf(deployment)).get(key) ?? 0
}

// Guards against a retry that runs the request again after its answer was delivered.
vitest.test('retry at another entry gets the recorded result', async () => {
  const key = crypto.randomUUID()
  const first = await keyedCalls.issueVoucher(entry(0), { key })
  const second = await keyedCalls.issueVoucher(entry(1), { key })
  vitest.expect([first.outcome, second.outcome]).toEqual(['completed', 'completed'])
  vitest.expect(second.bodyDigest).toBe(first.bodyDigest)
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a retry that runs before the first attempt or in addition to it.
vitest.test('retry joins a running attempt', async () => {
  const key = crypto.randomUUID()
  const sends = [0, 1, 2, 0].map(index => keyedCalls.issueVoucher(entry(index), { key, delayMs: 1_500 }))
  const answers = await Promise.all(sends)
  vitest.expect(answers.map(answer => answer.outcome)).toEqual(Array(4).fill('completed'))
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a result that is returned for a different request with the same key.
vitest.test('same key with another body is refused', async () => {
  const [issued] = await keyedCalls.fetchKeys(entry(0), 1)
  for (const key of [crypto.randomUUID(), issued!]) {
    vitest.expect((await keyedCalls.issueVoucher(entry(0), { key, body: 'a' })).outcome).toBe('completed')
    const reused = await keyedCalls.issueVoucher(entry(1), { key, body: 'b' })
    vitest.expect(reused).toMatchObject({ status: 422, reason: 'key_reused', outcome: 'not_run' })
    vitest.expect(await runsOfKey(key)).toBe(1)
  }
})

// Guards against an entry that mistakes its own claim for another's when the write took effect and its answer is lost.
vitest.test('entry recognizes its claim when the answer to the write is lost', async () => {
  const key = crypto.randomUUID()
  await deployment.setPlatform('table', { lostAnswers: 1 })
  vitest.expect((await keyedCalls.issueVoucher(entry(0), { key })).outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against not_run, or a second run, when the answer of a request that ran is lost.
vitest.test('lost answer of the agent leads to may_have_run and no second run', async () => {
  const key = crypto.randomUUID()
  setAgentFaults({ resetAfterBytes: { toClient: 0 } })
  for (const agent of deployment.backends) agent.agentProxy!.resetAll()
  const [keyed, plain] = await Promise.all([
    keyedCalls.issueVoucher(entry(0), { key }), keyedCalls.issueVoucher(entry(0), { body: 'no key' })
  ])
  vitest.expect([keyed.outcome, plain.outcome]).toEqual(['may_have_run', 'may_have_run'])
  vitest.expect(Math.max(keyed.durationMs, plain.durationMs)).toBeLessThan(1_500)
  setAgentFaults({})
  const retry = await keyedCalls.issueVoucher(entry(1), { key })
  vitest.expect(retry.outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
  vitest.expect(await runsOfKey(plain.requestId)).toBe(1)
})

// Guards against a refusal, or a second run, when the answer is interrupted and the agent still holds it.
vitest.test('interrupted answer is fetched again from the agent', async () => {
  // An answer has about 2.5 kB, so that the second one on a connection is interrupted in its body.
  setAgentFaults({ resetAfterBytes: { toClient: 4_000 } })
  for (const agent of deployment.backends) agent.agentProxy!.resetAll()
  const countConnections = (): number =>
    deployment.backends.reduce((sum, agent) => sum + agent.agentProxy!.connections, 0)
  const before = countConnections()
  for (let index = 0; index < 8; index++) {
    const answer = await keyedCalls.issueVoucher(entry(0), { body: `broken ${index}`, paddingBytes: 2_000 })
    vitest.expect(answer.outcome).toBe('completed')
    vitest.expect(await runsOfKey(answer.requestId)).toBe(1)
  }
  vitest.expect(countConnections() - before).toBeGreaterThan(4)
})

// Guards against a cancelled attempt that runs when a delayed copy of it arrives.
vitest.test('delayed attempt does not run after not_run', async () => {
  const body = 'x'.repeat(20_000)
  // The attempt is cut off on its way to the agent, and the cancel, which is smaller, arrives.
  setAgentFaults({ resetAfterBytes: { toTarget: 5_000 }, isCapturing: true })
  for (const agent of deployment.backends) agent.agentProxy!.resetAll()
  const key = crypto.randomUUID()
  const answers = [
    await keyedCalls.issueVoucher(entry(0), { body }), await keyedCalls.issueVoucher(entry(1), { key, body })
  ]
  vitest.expect(answers.map(answer => answer.outcome)).toEqual(['not_run', 'not_run'])
  setAgentFaults({})
  let replayed = 0
  for (const { agentProxy } of deployment.backends) {
    for (const bytes of agentProxy!.captures.splice(0).map(pieces => Buffer.concat(pieces))) {
      if (!bytes.includes('POST /dispatch')) continue
      replayed += 1
      vitest.expect(await agentProxy!.replay(bytes)).toContain('attempt_superseded')
    }
  }
  vitest.expect(replayed).toBeGreaterThanOrEqual(2)
  vitest.expect(await runsOfKey(key)).toBe(0)
  vitest.expect(await runsOfKey(answers[0]!.requestId)).toBe(0)
  vitest.expect((await keyedCalls.issueVoucher(entry(2), { key, body })).outcome).toBe('completed')
})

// Guards against a second run when a completed attempt arrives again.
vitest.test('duplicate of an attempt does not run', async () => {
  const key = crypto.randomUUID()
  setAgentFaults({ isCapturing: true })
  for (const agent of deployment.backends) agent.agentProxy!.resetAll()
  vitest.expect((await keyedCalls.issueVoucher(entry(0), { key })).outcome).toBe('completed')
  const answers: string[] = []
  for (const { agentProxy } of deployment.backends) {
    for (const pieces of agentProxy!.captures.splice(0)) answers.push(await agentProxy!.replay(Buffer.concat(pieces)))
  }
  vitest.expect(answers.join()).toContain('duplicate_attempt')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a dispatch without a claim, and against callers that wait for the end of an outage.
vitest.test('table outage: callers\' own keys are refused and issued keys work', async () => {
  await deployment.setPlatform('table', { mode: 'down' })
  const own = await keyedCalls.issueVoucher(entry(0), { key: crypto.randomUUID() })
  vitest.expect(own).toMatchObject({ status: 503, outcome: 'may_have_run', reason: 'claim_unavailable' })
  vitest.expect(own.durationMs).toBeLessThan(1_000)
  const keys = await keyedCalls.fetchKeys(entry(0), 2)
  for (const [index, key] of keys.entries()) {
    const first = await keyedCalls.issueVoucher(entry(index), { key })
    const retry = await keyedCalls.issueVoucher(entry(2), { key })
    vitest.expect([first.outcome, retry.outcome]).toEqual(['completed', 'completed'])
    vitest.expect(await runsOfKey(key)).toBe(1)
  }
})

// Guards against callers that wait long for a table service that accepts connections and does not answer.
vitest.test('unresponsive table service: callers\' own keys are refused', async () => {
  deployment.tableProxy!.setFaults({ frozen: ['toClient'] })
  const shortCall = await keyedCalls.issueVoucher(entry(0), { key: crypto.randomUUID(), timeoutMs: 200 })
  vitest.expect(shortCall).toMatchObject({ outcome: 'may_have_run', reason: 'deadline_exceeded' })
  vitest.expect(shortCall.durationMs).toBeLessThan(500)
  const first = await keyedCalls.issueVoucher(entry(0), { key: crypto.randomUUID() })
  const second = await keyedCalls.issueVoucher(entry(0), { key: crypto.randomUUID() })
  vitest.expect([first.reason, second.reason]).toEqual(['claim_unavailable', 'claim_unavailable'])
  vitest.expect(first.durationMs).toBeLessThan(3_000)
  vitest.expect(second.durationMs).toBeLessThan(300)
})

// Guards against keys that a caller invents or that were issued to another team.
vitest.test('forged issued keys and those of another team are refused', async () => {
  const [key] = await keyedCalls.fetchKeys(entry(0), 1, 'chat')
  for (const candidate of [key!, key!.replace(/\.\d+\./, '.999999.')]) {
    const answer = await keyedCalls.issueVoucher(entry(1), { key: candidate })
    vitest.expect(answer).toMatchObject({ status: 400, outcome: 'not_run' })
  }
  vitest.expect(await runsOfKey(key!)).toBe(0)
})

// Guards against a paused owner that sends its attempt after another entry has taken over the key.
vitest.test('no second run when the owner is paused between claim and attempt', async () => {
  const key = crypto.randomUUID()
  deployment.tableProxy!.setFaults({ frozen: ['toClient'] })
  const first = keyedCalls.issueVoucher(entry(0), { key })
  await new Promise(resolve => setTimeout(resolve, 200))
  deployment.entries[0]!.process.kill('SIGSTOP')
  deployment.tableProxy!.setFaults({})
  const second = await keyedCalls.issueVoucher(entry(1), { key })
  vitest.expect(second.outcome).toBe('completed')
  deployment.entries[0]!.process.kill('SIGCONT')
  vitest.expect((await first).outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a second run, or an incomplete text, when a retry arrives while the stream is still running.
vitest.test('retry joins a running stream', async () => {
  const key = crypto.randomUUID()
  const messages = [{ role: 'user', content: 'pause my plan' }]
  const streams = await Promise.all([0, 1, 2].map(async index => {
    await new Promise(resolve => setTimeout(resolve, index * 150))
    const response = await fetch(`http://${entry(index)}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${cluster.teamKey('support')}`, 'idempotency-key': key },
      body: JSON.stringify({ model: 'draft-model', messages, stream: true, max_tokens: 60 })
    })
    return response.text()
  }))
  for (const text of streams) {
    const pieces = [...text.matchAll(/"content":"([^"]*)"/g)].map(match => match[1]!)
    vitest.expect(pieces.join('')).toBe(engine.expectedText(messages, 60))
  }
  vitest.expect(await runsOfKey(key)).toBe(1)
})
