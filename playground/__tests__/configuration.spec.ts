import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as operator from '../operator.js'
import * as faultProxy from '../../standins/fault-proxy.js'

/** Maximum time until a change is in force, or until a cut-off entry refuses requests. */
const BOUND_MS = 5_000

let deployment: cluster.Cluster
let tableProxy: faultProxy.FaultProxy
/** Entry that reaches the table service through a separate proxy, so that it alone can be cut off. */
let remote: cluster.EntryNode

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna', 'södra'],
    entries: 2,
    models: [],
    services: [{ name: 'lookup', servers: 2, delayMs: 1, repeatable: true }],
    teams: ['support'],
    proxied: ['peer']
  })
  await deployment.start()
  tableProxy = new faultProxy.FaultProxy(deployment.platform.ready['table'] as string)
  await tableProxy.listen()
  remote = await deployment.startEntry(2, ['--table-url', `http://${tableProxy.address}`])
  await deployment.publishHosts()
  await deployment.waitUntilServing()
  await cluster.waitFor('all entries know each other', 5_000, async () =>
    (await Promise.all(deployment.entries.map(operator.fetchEntryUrls))).every(offered => offered.length === 3))
})

vitest.afterEach(async () => {
  await deployment.stop()
  await tableProxy.close()
})

function put (name: string, revision: number, document: object, entry: cluster.EntryNode, operationId = ''): Promise<Response> {
  return fetch(`http://${entry.address}/admin/v1/teams/${name}`, {
    method: 'PUT',
    headers: {
      authorization: `Bearer ${cluster.OPERATOR_KEY}`,
      'if-match': `"${revision}"`,
      ...(operationId === '' ? {} : { 'x-operation-id': operationId })
    },
    body: JSON.stringify(document)
  })
}

/** Replaces the team's key. @returns the time at which the change was accepted. */
async function rotateKey (key: string, entry = deployment.entries[0]!): Promise<number> {
  const answer = await put('support', 2, operator.teamDocument('support', key), entry)
  vitest.expect(answer.status).toBe(200)
  return performance.now()
}

async function audit (): Promise<{ revision: number, entityName: string, operationId: string }[]> {
  return (await operator.ctl(deployment.entries, ['audit'])).document.changes
}

/** Blocks or restores everything that the remote entry receives from its peers and the table service. */
function setRemoteLinks (isBlocked: boolean): void {
  const directions: faultProxy.Direction[] = isBlocked ? ['toClient'] : []
  for (const entry of deployment.entries.slice(0, 2)) entry.peerProxy!.setFaults({ frozen: directions })
  remote.peerProxy!.setFaults({ frozen: isBlocked ? ['toTarget'] : [] })
  tableProxy.setFaults({ frozen: isBlocked ? ['toClient'] : [] })
}

// Guards against a lost update, and against an operator whose change conflicts and who does not see the accepted one.
vitest.test('one of several concurrent changes is accepted and the other operators see both versions', async () => {
  const answers = await Promise.all(Array.from({ length: 9 }, (_, index) =>
    put('support', 2, operator.teamDocument('support', 'k', index), deployment.entries[index % 3]!)))
  const statuses = answers.map(answer => answer.status).sort()
  vitest.expect(statuses).toEqual([200, ...Array<number>(8).fill(412)])
  const conflict = await answers.find(answer => answer.status === 412)!.json() as Record<string, unknown>
  vitest.expect(conflict).toMatchObject({ expectedRevision: 2, currentRevision: 3, current: {}, yours: {} })
  const others = await Promise.all(Array.from({ length: 9 }, (_, index) =>
    put(`team-${index}`, 0, operator.teamDocument(`team-${index}`, `key-${index}`), deployment.entries[index % 3]!)))
  vitest.expect(others.map(answer => answer.status)).toEqual(Array<number>(9).fill(200))
  const revisions = (await audit()).map(change => change.revision)
  vitest.expect(revisions).toEqual(Array.from({ length: 12 }, (_, index) => index + 1))
})

// Guards against an accepted change that is reported as lost, and against one that applies twice.
vitest.test('change whose answer was lost is accepted once', async () => {
  await deployment.setPlatform('table', { lostAnswers: 1 })
  const first = await put('support', 2, operator.teamDocument('support', 'k1'), deployment.entries[0]!, 'operation-1')
  vitest.expect([first.status, await first.json()]).toEqual([200, { revision: 3 }])
  const later = await put('support', 3, operator.teamDocument('support', 'k2'), deployment.entries[1]!, 'operation-2')
  vitest.expect(later.status).toBe(200)
  const repeated = await put('support', 2, operator.teamDocument('support', 'k1'), remote, 'operation-1')
  vitest.expect([repeated.status, await repeated.json()]).toEqual([200, { revision: 3 }])
  const conflicting = await put('support', 2, operator.teamDocument('support', 'k3'), remote, 'operation-3')
  vitest.expect(conflicting.status).toBe(412)
  vitest.expect((await audit()).slice(2).map(change => change.operationId)).toEqual(['operation-1', 'operation-2'])
})

// Guards against two changes with one operation id, of which one would be reported as accepted although it was not.
vitest.test('reuse of an operation id for another change is refused', async () => {
  vitest.expect((await put('support', 2, operator.teamDocument('support', 'k1'), remote, 'operation-1')).status).toBe(200)
  vitest.expect((await put('support', 3, operator.teamDocument('support', 'k2'), remote, 'operation-1')).status).toBe(409)
})

// Guards against a change that reaches some entries too late.
vitest.test('change is in force at all entries within the bound', async () => {
  const startedAtMs = performance.now()
  const written = await put('support', 2, operator.teamDocument('support', 'new-key'), deployment.entries[0]!)
  vitest.expect(written.status).toBe(200)
  await cluster.waitFor('the change is in force at all entries', BOUND_MS, async () => {
    const probes = await Promise.all(deployment.entries.flatMap(entry =>
      [operator.probe(entry.address, 'lookup', 'new-key'), operator.probe(entry.address, 'lookup', cluster.teamKey('support'))]))
    return probes.map(one => one.status).join() === '200,401,200,401,200,401'
  })
  // Measured from the write; the bound does not include the start of bulrushctl.
  vitest.expect(performance.now() - startedAtMs).toBeLessThan(BOUND_MS)
})

// Guards against an apply that reports a change as in force at an entry where it is not.
vitest.test('apply names the entries where the change is in force', async () => {
  const applied = await operator.ctl(deployment.entries, ['teams', 'apply', '-', '--expected-revision', '2'],
    JSON.stringify(operator.teamDocument('support', 'new-key')))
  vitest.expect(applied.code).toBe(0)
  vitest.expect(applied.document.inForce).toHaveLength(3)
  const probes = await Promise.all(deployment.entries.flatMap(entry =>
    [operator.probe(entry.address, 'lookup', 'new-key'), operator.probe(entry.address, 'lookup', cluster.teamKey('support'))]))
  vitest.expect(probes.map(one => one.status)).toEqual([200, 401, 200, 401, 200, 401])
})

// Guards against load on the table service that grows with the number of entries.
vitest.test('only two entries of the region poll the table service', async () => {
  const readCount = async (): Promise<number> => {
    const response = await fetch(`http://${deployment.platform.ready['control'] as string}/`)
    return (await response.json() as { counts: { reads: number } }).counts.reads
  }
  const before = await readCount()
  await new Promise(resolve => setTimeout(resolve, 5_000))
  const perSecond = (await readCount() - before) / 5
  vitest.expect(perSecond).toBeGreaterThan(1.5)
  vitest.expect(perSecond).toBeLessThan(2.5)
})

// Guards against an entry that serves an old configuration while it is cut off, or after it receives late updates.
vitest.test('cut-off entry refuses requests and never returns to an old configuration', async () => {
  const oldKey = cluster.teamKey('support')
  setRemoteLinks(true)
  const acceptedAtMs = await rotateKey('new-key')
  await cluster.waitFor('the cut-off entry refuses requests', BOUND_MS, async () =>
    (await operator.probe(remote.address, 'lookup', oldKey)).reason === 'configuration_stale')
  vitest.expect(performance.now() - acceptedAtMs).toBeLessThan(BOUND_MS)
  const refused = await operator.probe(remote.address, 'lookup', oldKey)
  vitest.expect(refused).toMatchObject({ status: 503, outcome: 'not_run' })
  // The entry cannot know whether an earlier request with the same key ran.
  const keyed = await operator.probe(remote.address, 'lookup', oldKey, 1_500, { 'idempotency-key': 'k' })
  vitest.expect(keyed).toMatchObject({ status: 503, outcome: 'may_have_run' })
  setRemoteLinks(false)
  const probes: operator.Probe[] = []
  await cluster.waitFor('the entry serves again', 10_000, async () => {
    probes.push(await operator.probe(remote.address, 'lookup', oldKey))
    return (await operator.probe(remote.address, 'lookup', 'new-key')).status === 200
  })
  vitest.expect(probes.filter(one => one.status === 200)).toEqual([])
})

// Guards against a resumed entry that answers requests from its old configuration before it reads the update.
vitest.test('resumed entry serves only after it has confirmed its revision', async () => {
  const oldKey = cluster.teamKey('support')
  remote.process.kill('SIGSTOP')
  const acceptedAtMs = await rotateKey('new-key')
  const applied = await operator.ctl(deployment.entries, ['teams', 'apply', '-', '--expected-revision', '3'],
    JSON.stringify(operator.teamDocument('support', 'newer-key')))
  vitest.expect(applied.code).toBe(7)
  vitest.expect(applied.document.notConfirmed.map((entry: { host: string }) => entry.host)).toEqual([remote.host])
  await new Promise(resolve => setTimeout(resolve, Math.max(0, acceptedAtMs + BOUND_MS - performance.now())))
  // The updates wait in the proxies, and the requests wait in the entry's socket.
  setRemoteLinks(true)
  const waitingProbes = Promise.all(Array.from({ length: 20 }, () =>
    operator.probe(remote.address, 'lookup', oldKey, 8_000)))
  await new Promise(resolve => setTimeout(resolve, 200))
  remote.process.kill('SIGCONT')
  const early = await waitingProbes
  vitest.expect(early.every(one => one.status === 503 && one.outcome === 'not_run')).toBe(true)
  setRemoteLinks(false)
  await cluster.waitFor('the entry serves again', 10_000, async () =>
    (await operator.probe(remote.address, 'lookup', 'newer-key')).status === 200)
  vitest.expect((await operator.probe(remote.address, 'lookup', oldKey)).status).toBe(401)
})

// Guards against an outage of the table service that prevents replacement hosts from serving.
vitest.test('new entry serves during a table outage', async () => {
  await rotateKey('new-key')
  await deployment.setPlatform('table', { mode: 'down' })
  for (const entry of [deployment.entries[1]!, remote]) {
    entry.process.kill('SIGKILL')
    await entry.process.exited
  }
  const newEntry = await deployment.startEntry(3)
  // The remaining entry stops serving 4 s after its last message from a peer, and a slow start of the new entry can
  // take longer. The updated host list lets it serve again.
  await deployment.publishHosts()
  await cluster.waitFor('the new entry serves', BOUND_MS, async () =>
    (await operator.probe(newEntry.address, 'lookup', 'new-key')).status === 200)
  const refused = await put('support', 3, operator.teamDocument('support', 'k'), newEntry)
  vitest.expect([refused.status, (await refused.json() as { outcome: string }).outcome]).toEqual([503, 'not_run'])
})

// Guards against an entry without any configuration that rejects callers' keys as invalid.
vitest.test('entry without a configuration is not ready', async () => {
  await deployment.setPlatform('table', { mode: 'down' })
  for (const entry of deployment.entries) {
    entry.process.kill('SIGKILL')
    await entry.process.exited
  }
  const newEntry = await deployment.startEntry(3)
  vitest.expect((await fetch(`http://${newEntry.address}/readyz`)).status).toBe(503)
  vitest.expect(await operator.probe(newEntry.address, 'lookup', cluster.teamKey('support')))
    .toMatchObject({ status: 503, reason: 'configuration_stale', outcome: 'not_run' })
  vitest.expect(await operator.fetchEntryUrls(newEntry)).toEqual([])
  await deployment.setPlatform('table', { mode: 'up' })
  await cluster.waitFor('the entry is ready', BOUND_MS, async () =>
    (await fetch(`http://${newEntry.address}/readyz`)).ok)
})

// Guards against a new entry that trusts the snapshot of a peer that was paused during a change.
vitest.test('new entry does not serve the old configuration of a stale peer', async () => {
  const stale = deployment.entries[1]!
  stale.process.kill('SIGSTOP')
  await rotateKey('new-key')
  await new Promise(resolve => setTimeout(resolve, 2_000))
  await deployment.setPlatform('table', { mode: 'down' })
  // The stale entry resumes while it receives nothing from its peers; the new entry can reach both others.
  for (const entry of deployment.entries) entry.peerProxy!.setFaults({ frozen: entry === stale ? [] : ['toClient'] })
  const starting = deployment.startEntry(3)
  stale.process.kill('SIGCONT')
  const newEntry = await starting
  const early = await operator.probe(newEntry.address, 'lookup', cluster.teamKey('support'))
  vitest.expect(early).toMatchObject({ status: 503, reason: 'configuration_stale' })
  for (const entry of deployment.entries) entry.peerProxy!.setFaults({})
  await cluster.waitFor('the new entry serves', 10_000, async () =>
    (await operator.probe(newEntry.address, 'lookup', 'new-key')).status === 200)
  vitest.expect((await operator.probe(newEntry.address, 'lookup', cluster.teamKey('support'))).status).toBe(401)
})
