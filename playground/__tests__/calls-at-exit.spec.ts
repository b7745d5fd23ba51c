import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as operator from '../operator.js'

const SHUTDOWN_MS = 2_000
const WORK_MS = 4_000

let deployment: cluster.Cluster

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [],
    services: [{ name: 'archive', servers: 1, delayMs: WORK_MS, repeatable: false }],
    teams: ['support'],
    drainTimeoutMs: SHUTDOWN_MS
  })
  await deployment.start()
})

vitest.afterEach(async () => {
  for (const entry of deployment.entries) entry.process.kill('SIGINT')
  await deployment.stop()
})

/** @returns the answer; undefined if the connection ends without one. */
async function send (entry = deployment.entries[0]!): Promise<Response | undefined> {
  return await fetch(`http://${entry.address}/services/archive/x`, {
    method: 'POST', headers: { authorization: `Bearer ${cluster.teamKey('support')}` }, body: 'question'
  }).catch(() => undefined)
}

/** @returns the status of the answer, 0 if the connection ends without one. */
async function callOnce (entry = deployment.entries[0]!): Promise<number> {
  return (await send(entry))?.status ?? 0
}

// Guards against callers that learn nothing of a call which is in flight when the entry's drain timeout is over.
vitest.test('a call that outlasts the drain timeout of its entry is answered before the entry exits', async () => {
  const status = callOnce()
  await timers.setTimeout(500)
  deployment.entries[0]!.process.kill('SIGTERM')
  vitest.expect(await status).not.toBe(0)
})

// Guards against calls that a stopping entry accepts although it exits before they can end.
vitest.test('a call that arrives during a planned stop and does not fit in is answered', async () => {
  deployment.entries[0]!.process.kill('SIGTERM')
  await timers.setTimeout(1_000)
  vitest.expect(await callOnce()).not.toBe(0)
})

// Guards against calls that run although their entry exits before they can end, and against callers that wait for that.
vitest.test('a stopping entry refuses at once a call that has no time to end', async () => {
  vitest.expect(await callOnce()).toBe(200)
  deployment.entries[0]!.process.kill('SIGTERM')
  await cluster.waitFor('the entry drains', SHUTDOWN_MS, async () =>
    (await fetch(`http://${deployment.entries[0]!.address}/readyz`)).status === 503)
  const sentAtMs = performance.now()
  const answer = await send()
  vitest.expect([answer?.status, answer?.headers.get('bulrush-outcome')]).toEqual([503, 'not_run'])
  vitest.expect(performance.now() - sentAtMs).toBeLessThan(SHUTDOWN_MS / 2)
  vitest.expect(await operator.runsOf(deployment.backends[0]!)).toBe(1)
})

// Guards against calls that are accepted after the last answers were given, and cut by the exit.
vitest.test('a call that arrives just before the exit is answered', async () => {
  const shutdownMs = 6_000
  const entry = await deployment.startEntry(1, ['--drain-timeout-ms', String(shutdownMs)])
  await deployment.publishHosts()
  await deployment.waitUntilServing()
  entry.process.kill('SIGTERM')
  await timers.setTimeout(0.92 * shutdownMs)
  vitest.expect(await callOnce(entry)).toBe(503)
})
