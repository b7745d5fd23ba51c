import * as crypto from 'node:crypto'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as keyedCalls from '../keyed-calls.js'

const SEED = Number(process.env['ONCE_SEED'] ?? 1034949905)
const SOAK_DURATION_MS = 10_000
const SOAK_CALLERS = 8

let deployment: cluster.Cluster

async function start (servers: number, entryFlags: string[] = []): Promise<void> {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 3,
    models: [],
    services: [{ name: 'voucher', servers, delayMs: 1, repeatable: false }],
    teams: ['support'],
    entryFlags,
    proxied: ['table', 'agent', 'peer']
  })
  await deployment.start()
}

vitest.afterEach(() => deployment.stop())

function entry (index: number): string {
  return deployment.entries[index]!.address
}

/** Sends a slow call and waits until it runs. */
async function sendSlow (options: keyedCalls.CallOptions): Promise<{ answer: Promise<keyedCalls.StatedAnswer> }> {
  const answer = keyedCalls.issueVoucher(entry(0), { delayMs: 1_500, ...options })
  await cluster.waitFor('the call runs', 5_000, async () => (await keyedCalls.runsOf(deployment)).has(options.key!))
  return { answer }
}

async function backendThatRan (key: string): Promise<cluster.BackendNode> {
  for (const backend of deployment.backends) {
    const response = await fetch(`http://${backend.serverAddress}/runs?key=${key}`)
    if ((await response.json() as { runs: number }).runs > 0) return backend
  }
  throw new Error('no backend server ran the key')
}

async function runsOfKey (key: string): Promise<number> {
  return (await keyedCalls.runsOf(deployment)).get(key) ?? 0
}

// Guards against a second run when the caller's entry dies and another one receives the retry.
vitest.test('no second run when the entry is killed during the call', async () => {
  await start(2)
  const key = crypto.randomUUID()
  await sendSlow({ key })
  deployment.entries[0]!.process.kill('SIGKILL')
  const retry = await keyedCalls.issueVoucher(entry(1), { key, delayMs: 1_500 })
  vitest.expect(retry.outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a second run when the agent that held the attempt is gone, and a caller that waits for that agent.
vitest.test('no second run when the agent is killed during the call', async () => {
  await start(2)
  const key = crypto.randomUUID()
  const first = await sendSlow({ key })
  const killedAtMs = performance.now()
  ;(await backendThatRan(key)).agent.kill('SIGKILL')
  vitest.expect((await first.answer).outcome).toBe('may_have_run')
  vitest.expect(performance.now() - killedAtMs).toBeLessThan(1_000)
  const retry = await keyedCalls.issueVoucher(entry(1), { key, delayMs: 1_500 })
  vitest.expect(retry.outcome).toBe('may_have_run')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a takeover from an agent that is only paused.
vitest.test('no second run when the agent is paused during the call', async () => {
  await start(2)
  const key = crypto.randomUUID()
  const first = await sendSlow({ key })
  const { agent } = await backendThatRan(key)
  agent.kill('SIGSTOP')
  const during = await keyedCalls.issueVoucher(entry(1), { key, delayMs: 1_500 })
  vitest.expect(during.outcome).toBe('may_have_run')
  vitest.expect(during.durationMs).toBeLessThan(3_000)
  agent.kill('SIGCONT')
  vitest.expect((await first.answer).outcome).toBe('completed')
  vitest.expect((await keyedCalls.issueVoucher(entry(1), { key, delayMs: 1_500 })).outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a run on a second backend server after the first one died with the request.
vitest.test('no run on a second backend server when the first one is killed during the call', async () => {
  await start(2)
  const key = crypto.randomUUID()
  const first = await sendSlow({ key })
  const busy = await backendThatRan(key)
  busy.server.kill('SIGKILL')
  vitest.expect((await first.answer).outcome).toBe('may_have_run')
  vitest.expect((await keyedCalls.issueVoucher(entry(1), { key, delayMs: 1_500 })).outcome).toBe('may_have_run')
  vitest.expect(await runsOfKey(key)).toBe(0)
})

// Guards against a first dispatch by an entry that did not issue the key.
vitest.test('issued keys are refused as may_have_run after their issuer was killed', async () => {
  await start(2)
  const [unused, used] = await keyedCalls.fetchKeys(entry(0), 2)
  vitest.expect((await keyedCalls.issueVoucher(entry(1), { key: used! })).outcome).toBe('completed')
  deployment.entries[0]!.process.kill('SIGKILL')
  for (const key of [unused!, used!]) {
    const answer = await keyedCalls.issueVoucher(entry(1), { key })
    vitest.expect(answer).toMatchObject({ outcome: 'may_have_run', reason: 'key_expired' })
    vitest.expect(answer.durationMs).toBeLessThan(1_000)
  }
  vitest.expect(await runsOfKey(unused!)).toBe(0)
  vitest.expect(await runsOfKey(used!)).toBe(1)
})

// Guards against a caller that waits for a paused issuer, and against a second run after it resumes.
vitest.test('issued key runs once when its issuer is paused and resumes', async () => {
  await start(2)
  const [key] = await keyedCalls.fetchKeys(entry(0), 1)
  deployment.entries[0]!.process.kill('SIGSTOP')
  const answer = await keyedCalls.issueVoucher(entry(1), { key: key!, timeoutMs: 20_000 })
  vitest.expect(answer.outcome).toBe('may_have_run')
  vitest.expect(answer.durationMs).toBeLessThan(6_000)
  deployment.entries[0]!.process.kill('SIGCONT')
  const retries: string[] = []
  await cluster.waitFor('the issuer is reachable again', 10_000, async () => {
    const { outcome, reason, durationMs } = await keyedCalls.issueVoucher(entry(1), { key: key! })
    retries.push(`${outcome} ${reason} in ${Math.round(durationMs)} ms`)
    return outcome === 'completed'
  }).catch((error: unknown) => { throw new Error(`the issuer is not reachable: ${retries.join(', ')}`, { cause: error }) })
  vitest.expect(await runsOfKey(key!)).toBe(1)
})

// Guards against errors under combined faults: a second run, or not_run for a request that ran or runs later.
vitest.test.for([
  ['soak with faults and late duplicates', '1000000'],
  ['soak with shared claim writes', '0']
])('%s', async ([, shareAbove]) => {
  await start(3, ['--share-claims-above', shareAbove!])
  console.log(`once soak: ONCE_SEED=${SEED}`)
  const random = randomFrom(SEED)
  for (const { agentProxy } of deployment.backends) agentProxy!.setFaults({ isCapturing: true })
  for (const { agentProxy } of deployment.backends) agentProxy!.resetAll()
  const endAtMs = performance.now() + SOAK_DURATION_MS
  const answers: { key: string, answer: keyedCalls.StatedAnswer }[] = []
  await Promise.all([injectFaults(), ...Array.from({ length: SOAK_CALLERS }, () => callUntilEnd())])
  for (const { agentProxy } of deployment.backends) agentProxy!.setFaults({})
  let replayed = 0
  for (const { agentProxy, agent } of deployment.backends) {
    const copies = agentProxy!.captures.splice(0).map(pieces => Buffer.concat(pieces))
    if (agent.hasExited()) continue
    replayed += copies.length
    await Promise.all(copies.filter(bytes => bytes.length > 0).map(bytes => agentProxy!.replay(bytes)))
  }
  const runs = await keyedCalls.runsOf(deployment)
  const counts = new Map<string, number>()
  for (const { key, answer } of answers) {
    const statement = `${answer.outcome} ${answer.reason}`.trim()
    counts.set(statement, (counts.get(statement) ?? 0) + 1)
    const outcomesOfKey = answers.filter(other => other.key === key).map(other => other.answer.outcome)
    if (answer.outcome === 'not_run') vitest.expect(runs.get(answer.requestId) ?? 0).toBe(0)
    if (outcomesOfKey.every(outcome => outcome === 'not_run')) vitest.expect(runs.get(key) ?? 0).toBe(0)
    if (answer.outcome === 'completed') vitest.expect(runs.get(key)).toBe(1)
  }
  vitest.expect([...runs.values()].filter(count => count > 1)).toEqual([])
  console.log(`once soak: ${JSON.stringify(Object.fromEntries(counts))}, ${replayed} connections replayed`)
  vitest.expect(counts.get('completed')).toBeGreaterThan(100)
  vitest.expect(answers.some(({ answer }) => answer.outcome === 'not_run')).toBe(true)

  async function callUntilEnd (): Promise<void> {
    while (performance.now() < endAtMs) {
      const [issued] = random() < 0.4 ? await keyedCalls.fetchKeys(entry(1), 1).catch(() => []) : []
      const key = issued ?? crypto.randomUUID()
      const sends = 1 + Math.floor(random() * 4)
      const body = 'x'.repeat(random() < 0.5 ? 10 : 9_000)
      const call = { key, delayMs: Math.floor(random() * 60), timeoutMs: 1_500, body }
      for (let send = 0; send < sends; send++) {
        const copies = random() < 0.3 ? [call, call] : [call]
        const received = await Promise.all(copies.map(copy =>
          keyedCalls.issueVoucher(entry(Math.floor(random() * 3)), copy)))
        answers.push(...received.map(answer => ({ key, answer })))
      }
    }
  }

  async function sendLarge (): Promise<void> {
    const key = crypto.randomUUID()
    const call = { key, body: 'x'.repeat(9_000), timeoutMs: 5_000 }
    answers.push({ key, answer: await keyedCalls.issueVoucher(entry(2), call) })
  }

  async function injectFaults (): Promise<void> {
    for (let round = 0; performance.now() < endAtMs; round++) {
      const { agentProxy } = deployment.backends[Math.floor(random() * 3)]!
      const pausedProcess = deployment.entries[Math.floor(random() * 3)]!.process
      // Faults are injected in turn, so that a slow machine covers all of them too.
      switch (round % 8) {
        case 0: agentProxy!.setFaults({ isCapturing: true, resetAfterBytes: { toClient: 200 } }); break
        case 1:
          // Attempts with a large body are cut off on the way to every agent, and cancels arrive.
          for (const backend of deployment.backends) {
            backend.agentProxy!.setFaults({ isCapturing: true, resetAfterBytes: { toTarget: 3_000 } })
          }
          await sendLarge()
          break
        case 2: agentProxy!.setFaults({ isCapturing: true, frozen: ['toTarget'] }); break
        case 3: agentProxy!.setFaults({ isCapturing: true, delayMs: 100 }); break
        case 4: await deployment.setPlatform('table', { lostAnswers: 3 }); break
        case 5: await deployment.setPlatform('table', { mode: 'down' }); break
        case 6: deployment.entries[Math.floor(random() * 3)]!.peerProxy!.setFaults({ frozen: ['toClient'] }); break
        default: pausedProcess.kill('SIGSTOP')
      }
      if (random() < 0.3) agentProxy!.resetAll()
      if (round === 16) deployment.backends[0]!.agent.kill('SIGKILL')
      if (round === 22) deployment.entries[0]!.process.kill('SIGKILL')
      await new Promise(resolve => setTimeout(resolve, 250))
      pausedProcess.kill('SIGCONT')
      await deployment.setPlatform('table', { mode: 'up', lostAnswers: 0 })
      for (const backend of deployment.backends) backend.agentProxy!.setFaults({ isCapturing: true })
      for (const { peerProxy } of deployment.entries) peerProxy!.setFaults({})
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }
})

/** Linear congruential generator with the constants of Numerical Recipes. */
function randomFrom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}
