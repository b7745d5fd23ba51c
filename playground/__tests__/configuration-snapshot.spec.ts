import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as seedTeams from '../seed-teams.js'
import * as logEvents from '../../src/protocol/log-events.js'

const BOUND_MS = 5_000
const TEAMS = 1_200

let deployment: cluster.Cluster
let entry: cluster.EntryNode
let revision = 0

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [],
    services: [],
    teams: ['support'],
    proxied: ['caller', 'peer'],
    snapshotPeriodMs: 500,
    entryFlags: ['--log-level', 'debug']
  })
  await deployment.start()
  entry = deployment.entries[0]!
  revision = await seedTeams.seedTeams(deployment, TEAMS, 2)
  await cluster.waitFor('the snapshot is written', BOUND_MS, () => hasEvent('snapshotWritten', { revision }))
})

vitest.afterAll(() => deployment.stop())

function hasEvent (name: logEvents.LogEventName, fields: Record<string, unknown> = {}, fromLine = 0): boolean {
  return entry.process.lines.slice(fromLine).some(line => line['event'] === logEvents.logEvents[name].number &&
    Object.entries(fields).every(([key, value]) => line[key] === value))
}

/** Restarts the entry, which has no peers. @returns the reads of the table service until the entry is ready. */
async function restart (): Promise<{ reads: number, queries: number }> {
  entry.process.kill('SIGKILL')
  await entry.process.exited
  const before = await deployment.platformCounts()
  await deployment.restartEntry(entry)
  await cluster.waitFor('the entry is ready', BOUND_MS, async () => {
    const response = await fetch(`http://${entry.address}/readyz`)
    return response.ok && (await response.json() as { revision: number }).revision === revision
  })
  const after = await deployment.platformCounts()
  return { reads: after.reads - before.reads, queries: after.queries - before.queries }
}

// Guards against a start that reads all rows of the table service although the object store holds them.
vitest.test('entry without peers starts from the snapshot', async () => {
  vitest.expect((await restart()).queries).toBe(1)
  vitest.expect(hasEvent('snapshotUsed', { revision })).toBe(true)
})

// Guards against an entry that cannot start without the object store.
vitest.test('entry starts while the object store is down, refuses requests or is slow', async () => {
  for (const faults of [{ mode: 'down' }, { mode: 'refusing' }, { mode: 'up', delayMs: 3_000 }]) {
    await deployment.setPlatform('objects', faults)
    vitest.expect((await restart()).queries).toBe(7)
    vitest.expect(hasEvent('snapshotUnused')).toBe(true)
  }
  await deployment.setPlatform('objects', { mode: 'up', delayMs: 0 })
})

// Guards against a slow object store that delays changes, and against harm from a write whose answer is lost.
vitest.test('slow snapshot writes and lost answers do not delay changes', async () => {
  await deployment.setPlatform('objects', { delayMs: 700, lostAnswers: 1 })
  for (const priority of [1, 2]) {
    const fromLine = entry.process.lines.length
    const document = { name: 'late', template: 'standard', parameters: { priority }, keyDigests: [] }
    const startedAtMs = performance.now()
    await deployment.putDocument('teams', 'late', priority === 1 ? 0 : revision, document, entry)
    vitest.expect(performance.now() - startedAtMs).toBeLessThan(700)
    revision += 1
    await cluster.waitFor('the write has ended', BOUND_MS, () =>
      hasEvent(priority === 1 ? 'snapshotNotWritten' : 'snapshotWritten', {}, fromLine))
  }
  await deployment.setPlatform('objects', { delayMs: 0 })
  vitest.expect((await restart()).queries).toBe(1)
})
