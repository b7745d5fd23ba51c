import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'

const CALLS = 300
/** The entry may exit when callers have had this time to leave it. */
const GRACE_MS = 7_000

let deployment: cluster.Cluster

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [],
    services: [{ name: 'lookup', servers: 1, delayMs: 1, repeatable: true }],
    teams: ['support'],
    drainTimeoutMs: 20_000
  })
  await deployment.start()
})

vitest.afterEach(() => deployment.stop())

// Guards against connections that are closed with calls which a stopping entry has not read.
vitest.test('calls that arrive while a stopping entry is held up are answered', async () => {
  const entry = deployment.entries[0]!
  entry.process.kill('SIGTERM')
  await timers.setTimeout(500)
  entry.process.kill('SIGSTOP')
  const statuses = Promise.all(Array.from({ length: CALLS }, async () => {
    const response = await fetch(`http://${entry.address}/services/lookup/x`, {
      method: 'POST', headers: { authorization: `Bearer ${cluster.teamKey('support')}` }, body: 'question'
    }).catch(() => undefined)
    return response?.status ?? 0
  }))
  await timers.setTimeout(GRACE_MS)
  entry.process.kill('SIGCONT')
  vitest.expect((await statuses).filter(status => status === 0).length).toBe(0)
})
