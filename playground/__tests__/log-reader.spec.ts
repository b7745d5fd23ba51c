import * as vitest from 'vitest'
import * as cluster from '../cluster.js'

let deployment: cluster.Cluster

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [],
    services: [{ name: 'lookup', servers: 1, delayMs: 1, repeatable: true }],
    teams: ['support'],
    drainTimeoutMs: 1_000
  })
  await deployment.start()
})

vitest.afterEach(async () => { await deployment.stop() })

// Guards against a process that a closed output pipe ends, or that writes about it without end.
vitest.test('an entry and an agent whose log reader has gone go on and stop in order', async () => {
  const processes = [deployment.entries[0]!.process, deployment.backends[0]!.agent]
  for (const running of processes) running.closeOutput()
  const call = async (): Promise<number> =>
    await fetch(`http://${deployment.entries[0]!.address}/services/lookup/x`, {
      method: 'POST', headers: { authorization: `Bearer ${cluster.teamKey('support')}` }, body: 'question'
    }).then(response => response.status, () => 0)
  // A refused call writes a line.
  await fetch(`http://${deployment.entries[0]!.address}/services/none/x`, { method: 'POST' })
  for (let count = 0; count < 5; count++) vitest.expect(await call()).toBe(200)
  for (const running of processes) running.kill('SIGTERM')
  vitest.expect(await Promise.all(processes.map(async running => await running.exited))).toEqual([0, 0])
}, 20_000)
