import * as vitest from 'vitest'
import * as caller from '../caller.js'
import * as cluster from '../cluster.js'

let deployment: cluster.Cluster

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'quan-7'],
    regions: { kista: 'stockholm', 'quan-7': 'saigon' },
    entries: 4,
    models: [{ name: 'draft-model', servers: 4, stepMs: 2 }],
    services: [],
    teams: ['support'],
    proxied: ['peer']
  })
  await deployment.start()
})

vitest.afterEach(() => deployment.stop())

function inRegion<N extends { failureDomain: string }> (nodes: N[], failureDomain: string): N[] {
  return nodes.filter(node => node.failureDomain === failureDomain)
}

async function viewOf (entry: cluster.EntryNode): Promise<string[]> {
  return (await deployment.statusOf(entry)).servers.map(server => server.identity.host)
}

// Guards against a region that has no servers for a model and can't use those of another region.
vitest.test('requests reach servers of another region through its summaries', async () => {
  for (const backend of inRegion(deployment.backends, 'kista')) backend.agent.kill('SIGKILL')
  const entry = inRegion(deployment.entries, 'kista')[0]!
  const localHosts = inRegion(deployment.backends, 'kista').map(backend => backend.host)
  await cluster.waitFor('only servers of the other region are in view', 5_000, async () => {
    const seen = await viewOf(entry)
    return seen.length > 0 && !seen.some(host => localHosts.includes(host))
  })
  const record = await new caller.Caller('support', [`http://${entry.address}`]).draft('draft-model', 'hello', 5)
  vitest.expect(record.outcome).toBe('answered')
})

// Guards against a region that removes its own servers when it is cut off, and one that doesn't rejoin.
vitest.test('cut-off region keeps its own servers in view and rejoins', async () => {
  const cutEntries = inRegion(deployment.entries, 'quan-7')
  const ownHosts = inRegion(deployment.backends, 'quan-7').map(backend => backend.host)
  const otherEntries = inRegion(deployment.entries, 'kista')
  // Blocks all links to the entries of the other region; links inside the cut-off region keep working.
  for (const entry of otherEntries) entry.peerProxy!.setFaults({ frozen: ['toTarget', 'toClient'] })
  const endsAtMs = performance.now() + 14_000
  while (performance.now() < endsAtMs) {
    for (const entry of cutEntries) vitest.expect(await viewOf(entry)).toEqual(vitest.expect.arrayContaining(ownHosts))
    await new Promise(resolve => setTimeout(resolve, 200))
  }
  for (const entry of otherEntries) entry.peerProxy!.setFaults({})
  const rejoinedMs = await cluster.waitFor('all servers are in all views again', 25_000, async () => {
    const views = await Promise.all(deployment.entries.map(viewOf))
    return views.every(hosts => hosts.length === deployment.backends.length)
  })
  vitest.expect(rejoinedMs).toBeLessThan(20_000)
})
