import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as operator from '../operator.js'
import * as logEvents from '../../src/protocol/log-events.js'
import * as faultProxy from '../../standins/fault-proxy.js'

/** Maximum time until a change is in force in all connected regions. */
const BOUND_MS = 5_000
const ENTRIES = 6
const SOURCE_ADDRESSES = { kista: '127.0.0.2', odense: '127.0.0.3', 'quan-7': '127.0.0.4' }

let deployment: cluster.Cluster
let tableProxy: faultProxy.FaultProxy
/** Entries of the region that is cut off, and those of the other two. */
let cutEntries: cluster.EntryNode[]
let otherEntries: cluster.EntryNode[]

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'odense', 'quan-7'],
    regions: { kista: 'stockholm', odense: 'fyn', 'quan-7': 'saigon' },
    sourceAddresses: SOURCE_ADDRESSES,
    entries: 2,
    models: [],
    services: [{ name: 'lookup', servers: 3, delayMs: 1, repeatable: true }],
    teams: ['support'],
    proxied: ['peer']
  })
  await deployment.start()
  tableProxy = new faultProxy.FaultProxy(deployment.platform.ready['table'] as string)
  await tableProxy.listen()
  for (let index = 2; index < ENTRIES; index++) {
    const isCutOff = deployment.domainOf(index) === 'quan-7'
    await deployment.startEntry(index, isCutOff ? ['--table-url', `http://${tableProxy.address}`] : [])
  }
  await deployment.publishHosts()
  await deployment.waitUntilServing()
  cutEntries = deployment.entries.filter(entry => entry.failureDomain === 'quan-7')
  otherEntries = deployment.entries.filter(entry => entry.failureDomain !== 'quan-7')
  // An entry connects to at most two entries of each other region, which is all of them here.
  await cluster.waitFor('all entries know each other', 10_000, async () =>
    (await Promise.all(deployment.entries.map(entry => deployment.statusOf(entry)))).every(status =>
      status.entries.filter(entry => entry.heardAtMs !== null).length === ENTRIES - 1))
})

vitest.afterEach(async () => {
  await deployment.stop()
  await tableProxy.close()
})

/** Blocks or restores a region's links to the others and to the table service. Links inside the region keep working. */
function setCutOff (isCutOff: boolean): void {
  const { 'quan-7': source, ...others } = SOURCE_ADDRESSES
  for (const entry of otherEntries) entry.peerProxy!.setFaults({ frozenClients: isCutOff ? [source] : [] })
  for (const entry of cutEntries) entry.peerProxy!.setFaults({ frozenClients: isCutOff ? Object.values(others) : [] })
  tableProxy.setFaults({ frozen: isCutOff ? ['toTarget', 'toClient'] : [] })
}

function putTeam (key: string, expectedRevision: number, entry: cluster.EntryNode): Promise<Response> {
  return deployment.putDocument('teams', 'support', expectedRevision, operator.teamDocument('support', key), entry)
}

async function isInForce (key: string, entries: cluster.EntryNode[]): Promise<boolean> {
  const probes = await Promise.all(entries.map(entry => operator.probe(entry.address, 'lookup', key)))
  return probes.every(one => one.status === 200)
}

/** Revisions that came into force at an entry, in order. */
function appliedAt (entry: cluster.EntryNode): number[] {
  return entry.process.lines.filter(line => line['event'] === logEvents.logEvents.configurationApplied.number)
    .map(line => line['revision'] as number)
}

// Guards against a change that a cut-off region still misses after its return, or that late messages revert.
vitest.test('change reaches connected regions in time and a cut-off region after its return', async () => {
  await putTeam('k1', 2, otherEntries[0]!)
  await cluster.waitFor('the change is in force in all regions', BOUND_MS, () => isInForce('k1', deployment.entries))
  setCutOff(true)
  await putTeam('k2', 3, otherEntries[0]!)
  const reachedMs = await cluster.waitFor('the change is in force in the connected regions', BOUND_MS, () =>
    isInForce('k2', otherEntries))
  // The cut-off region can't accept a change; a conflict would appear after its return.
  vitest.expect(await putTeam('k3', 3, cutEntries[0]!).catch((error: Error) => error.message)).toMatch(/: 503 /)
  await putTeam('k4', 4, otherEntries[1]!)
  await cluster.waitFor('the next change is in force in the connected regions', BOUND_MS, () =>
    isInForce('k4', otherEntries))
  // Entries that still reach each other keep serving with their configuration (section 14 of the design).
  vitest.expect(await isInForce('k1', cutEntries)).toBe(true)
  // The region first gets the changes from the table service, and then the delayed pushes.
  tableProxy.setFaults({})
  const returnedMs = await cluster.waitFor('the change is in force in the returned region', BOUND_MS, () =>
    isInForce('k4', cutEntries))
  setCutOff(false)
  // In the second outage, messages in transit are lost.
  setCutOff(true)
  await putTeam('k5', 5, otherEntries[0]!)
  setCutOff(false)
  for (const proxy of [tableProxy, ...deployment.entries.map(entry => entry.peerProxy!)]) proxy.resetAll()
  const repairedMs = await cluster.waitFor('the lost change is in force everywhere', BOUND_MS, () => isInForce('k5', deployment.entries))
  console.log(`in force after ${Math.round(reachedMs)} ms, after the return of the region after ${Math.round(returnedMs)} ms, ` +
    `after the loss of its messages after ${Math.round(repairedMs)} ms`)
  for (const entry of deployment.entries) {
    const applied = appliedAt(entry)
    vitest.expect(applied).toEqual([...new Set(applied)].sort((a, b) => a - b))
    vitest.expect(applied.at(-1)).toBe(6)
  }
  const { changes } = (await operator.ctl(deployment.entries, ['audit'])).document
  vitest.expect(changes).toHaveLength(6)
})
