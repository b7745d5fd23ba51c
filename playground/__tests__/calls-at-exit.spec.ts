import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'

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

/** @returns the status of the answer, 0 if the connection ends without one. */
async function callOnce (): Promise<number> {
  return await fetch(`http://${deployment.entries[0]!.address}/services/archive/x`, {
    method: 'POST', headers: { authorization: `Bearer ${cluster.teamKey('support')}` }, body: 'question'
  }).then(response => response.status, () => 0)
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
