import * as vitest from 'vitest'
import * as logEvents from '../../src/protocol/log-events.js'
import * as cluster from '../cluster.js'
import * as seedTeams from '../seed-teams.js'

const ENTRIES = 12
const TEAMS = 1_200
/** Number of pages in which one entry reads all 1,201 rows from the table service. */
const PAGES = 7
/** The same rate per entry as 2,000 reads per second for 400 entries. */
const READS_PER_SECOND = 60
/** Maximum time until entries are ready. */
const BOUND_MS = 5_000

let deployment: cluster.Cluster
let revision = 0

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna', 'södra'],
    entries: ENTRIES,
    models: [],
    services: [],
    teams: ['support'],
    // With proxies, restarted entries keep the addresses in the host list.
    proxied: ['caller', 'peer']
  })
  await deployment.start()
  revision = await seedTeams.seedTeams(deployment, TEAMS, 2)
  await cluster.waitFor('all entries hold all teams', 15_000, async () => (await readyEntries()).length === ENTRIES)
})

vitest.afterAll(() => deployment.stop())

async function isReady (entry: cluster.EntryNode): Promise<boolean> {
  try {
    const response = await fetch(`http://${entry.address}/readyz`, { signal: AbortSignal.timeout(1_000) })
    return response.ok && (await response.json() as { revision: number }).revision === revision
  } catch {
    return false
  }
}

async function readyEntries (entries = deployment.entries): Promise<cluster.EntryNode[]> {
  const ready = await Promise.all(entries.map(isReady))
  return entries.filter((_, index) => ready[index])
}

async function killAll (entries: cluster.EntryNode[]): Promise<void> {
  for (const entry of entries) entry.process.kill('SIGKILL')
  await Promise.all(entries.map(entry => entry.process.exited))
}

function restartAll (entries: cluster.EntryNode[]): Promise<void[]> {
  return Promise.all(entries.map(entry => deployment.restartEntry(entry)))
}

/** Entries that read the whole configuration from the table service, with the time at which they had it. */
function readsSince (sinceMs: number): string[] {
  return deployment.entries.flatMap(({ host, process }) => process.lines
    .filter(line => line['event'] === logEvents.logEvents.configurationRead.number)
    .map(line => `${host} in ${String(line['tookMs'])} ms at ${Date.parse(line['timestamp'] as string) - sinceMs} ms`))
}

/** Number of requests of all kinds to the table service between two counts. */
function requestsSince (before: cluster.PlatformCounts, after: cluster.PlatformCounts): number {
  return after.reads + after.throttled + after.cut - before.reads - before.throttled - before.cut
}

// Guards against a restarted failure domain that needs the table service although peers hold the configuration.
vitest.test('failure domain restarts during a table outage', async () => {
  const restarted = deployment.entries.filter(entry => entry.failureDomain === 'kista')
  await killAll(restarted)
  await deployment.setPlatform('table', { mode: 'down' })
  await restartAll(restarted)
  const readyMs = await cluster.waitFor('the failure domain is ready', BOUND_MS, async () =>
    (await readyEntries(restarted)).length === restarted.length)
  console.log(`failure domain ready ${Math.round(readyMs)} ms after its processes`)
  await deployment.setPlatform('table', { mode: 'up' })
})

// Guards against entries that all start without a configuration and keep reading the table service at the same time.
vitest.test('all entries are ready after a table outage within the read limit', async () => {
  await killAll(deployment.entries)
  await deployment.setPlatform('table', { mode: 'down', readsPerSecond: READS_PER_SECOND })
  await restartAll(deployment.entries)
  const duringOutage = await deployment.platformCounts()
  await new Promise(resolve => setTimeout(resolve, 3_000))
  vitest.expect(await readyEntries()).toEqual([])
  const before = await deployment.platformCounts()
  const outageRate = requestsSince(duringOutage, before) / 3
  // One attempt of each entry every 250 ms would be 48/s.
  vitest.expect(outageRate).toBeLessThan(ENTRIES * 2.25)
  const upAtMs = Date.now()
  await deployment.setPlatform('table', { mode: 'up' })
  const readyMs = await cluster.waitFor('all entries are ready', BOUND_MS, async () =>
    (await readyEntries()).length === ENTRIES)
  const after = await deployment.platformCounts()
  const reads = after.reads - before.reads
  const pages = after.queries - before.queries
  console.log(`outage: ${outageRate.toFixed(1)} requests/s; ready ${Math.round(readyMs)} ms after it with ${reads} reads, ${pages} of pages, ` +
    `${after.throttled - before.throttled} refused`)
  console.log(`read from the table: ${readsSince(upAtMs).join(', ')}`)
  // Peers are the first source: most entries copy the configuration of those that read it first.
  vitest.expect(pages).toBeLessThan(ENTRIES * PAGES / 3)
})

// Guards against a continued burst of reads that the limit refuses, and against an entry that is never served.
vitest.test('entries without a reachable peer share the read limit', async () => {
  await killAll(deployment.entries)
  for (const entry of deployment.entries) entry.peerProxy!.setFaults({ refuse: true })
  await deployment.setPlatform('table', { mode: 'down', readsPerSecond: READS_PER_SECOND / 2 })
  await restartAll(deployment.entries)
  const before = await deployment.platformCounts()
  await deployment.setPlatform('table', { mode: 'up' })
  const readyMs = await cluster.waitFor('all entries are ready', 2 * BOUND_MS, async () =>
    (await readyEntries()).length === ENTRIES)
  const after = await deployment.platformCounts()
  const reads = after.reads - before.reads
  const refused = after.throttled - before.throttled
  console.log(`without peers: ready ${Math.round(readyMs)} ms after the outage with ${reads} reads, ${refused} refused`)
  vitest.expect(reads).toBeLessThan((readyMs / 1_000 + 1) * READS_PER_SECOND / 2)
  vitest.expect(refused).toBeGreaterThan(0)
  vitest.expect(refused).toBeLessThan(reads)
})
