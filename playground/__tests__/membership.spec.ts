import * as vitest from 'vitest'
import * as cluster from '../cluster.js'

let deployment: cluster.Cluster

vitest.beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 4,
    models: [{ name: 'draft-model', servers: 4, stepMs: 2 }],
    services: [],
    teams: ['support'],
    proxied: ['peer']
  })
  await deployment.start()
})

vitest.afterEach(() => deployment.stop())

async function hostsSeenBy (entry: cluster.EntryNode): Promise<string[]> {
  const status = await deployment.statusOf(entry)
  return status.servers.map(server => server.identity.host).sort()
}

async function entriesOfferedBy (entry: cluster.EntryNode): Promise<string[]> {
  const response = await fetch(`http://${entry.address}/v1/entries?team=support`)
  const answer = await response.json() as { entries: { url: string }[] }
  return answer.entries.map(offered => offered.url)
}

/** @returns the time in ms until no observer had the backend server in its view. */
function waitUntilUnseen (host: string, timeoutMs: number, observers = deployment.entries): Promise<number> {
  return cluster.waitFor(`${host} is out of all views`, timeoutMs, async () => {
    const views = await Promise.all(observers.map(hostsSeenBy))
    return views.every(hosts => !hosts.includes(host))
  })
}

/** Polls the views for the duration and fails when one lacks a host. */
async function expectInView (entries: cluster.EntryNode[], hosts: string[], durationMs: number): Promise<void> {
  const endsAtMs = performance.now() + durationMs
  while (performance.now() < endsAtMs) {
    for (const entry of entries) vitest.expect(await hostsSeenBy(entry), entry.host).toEqual(containing(hosts))
    await new Promise(resolve => setTimeout(resolve, 200))
  }

  function containing (wanted: string[]): unknown {
    return vitest.expect.arrayContaining(wanted)
  }
}

// Guards against a dead agent that stays in the views until its reports expire after 10 s.
vitest.test('dead agent leaves all views', async () => {
  const dead = deployment.backends[0]!
  dead.agent.kill('SIGKILL')
  vitest.expect(await waitUntilUnseen(dead.host, 4_000)).toBeLessThan(3_000)
})

// Guards against a paused agent that stays in the views while its connection is open, and one that does not return.
vitest.test('paused agent leaves all views and returns', async () => {
  const paused = deployment.backends[1]!
  paused.agent.kill('SIGSTOP')
  vitest.expect(await waitUntilUnseen(paused.host, 8_000)).toBeLessThan(6_000)
  paused.agent.kill('SIGCONT')
  await cluster.waitFor('the agent is back in all views', 12_000, async () => {
    const views = await Promise.all(deployment.entries.map(hostsSeenBy))
    return views.every(hosts => hosts.includes(paused.host))
  })
})

// Guards against offering callers an entry that is dead, paused or leaving.
vitest.test('dead, paused and leaving entries are not offered', async () => {
  const [observer, dead, paused, leaving] = deployment.entries as [
    cluster.EntryNode, cluster.EntryNode, cluster.EntryNode, cluster.EntryNode]
  await cluster.waitFor('all entries are offered', 5_000, async () => (await entriesOfferedBy(observer)).length === 4)
  const waitUntilNotOffered = (entry: cluster.EntryNode, timeoutMs: number): Promise<number> =>
    cluster.waitFor(`${entry.host} is not offered`, timeoutMs, async () =>
      !(await entriesOfferedBy(observer)).includes(`http://${entry.address}`))
  dead.process.kill('SIGKILL')
  vitest.expect(await waitUntilNotOffered(dead, 4_000)).toBeLessThan(2_000)
  paused.process.kill('SIGSTOP')
  vitest.expect(await waitUntilNotOffered(paused, 9_000)).toBeLessThan(7_000)
  leaving.isLeaving = true
  await deployment.publishHosts()
  vitest.expect(await waitUntilNotOffered(leaving, 6_000)).toBeLessThan(4_000)
})

// Guards against removal of agents when one home entry receives nothing from them while the other still does.
vitest.test('agents stay in all views when one home entry is cut off from them', async () => {
  const hosts = deployment.backends.map(backend => backend.host).sort()
  // An agent connects to its home entries one after the other. While only one reports it, removal would be correct.
  await cluster.waitFor('every entry knows two home entries of each agent', 10_000, async () => {
    const statuses = await Promise.all(deployment.entries.map(entry => deployment.statusOf(entry)))
    return statuses.every(status => status.servers.every(server => server.homes >= 2))
  })
  deployment.entries[0]!.peerProxy!.setFaults({ frozen: ['toTarget'] })
  await expectInView(deployment.entries, hosts, 9_000)
  deployment.entries[0]!.peerProxy!.setFaults({})
  await expectInView(deployment.entries, hosts, 4_000)
})

// Guards against removal of agents in the remaining failure domain, and lost agents that stay in the views.
vitest.test('agents of the remaining failure domain stay in view when the other one is lost', async () => {
  const lostEntries = deployment.entries.filter(entry => entry.failureDomain === 'solna')
  const remainingEntries = deployment.entries.filter(entry => entry.failureDomain === 'kista')
  const remainingHosts = deployment.backends.filter(backend => backend.failureDomain === 'kista')
    .map(backend => backend.host)
  const lostBackends = deployment.backends.filter(backend => backend.failureDomain === 'solna')
  for (const entry of lostEntries) entry.process.kill('SIGKILL')
  for (const backend of lostBackends) backend.agent.kill('SIGKILL')
  const [times] = await Promise.all([
    Promise.all(lostBackends.map(backend => waitUntilUnseen(backend.host, 14_000, remainingEntries))),
    expectInView(remainingEntries, remainingHosts, 15_000)
  ])
  // An agent whose other home entry died with it leaves the views when that entry's last report expires, after 10 s.
  vitest.expect(Math.max(...times)).toBeLessThan(12_500)
})

// Guards against peers and agents that reconnect in step, or at a fixed rate, to an unreachable entry.
vitest.test('reconnects to an unreachable entry back off and the entry rejoins', async () => {
  const unreachable = deployment.entries[0]!
  const proxy = unreachable.peerProxy!
  proxy.setFaults({ refuse: true })
  proxy.resetAll()
  const before = proxy.connections
  await new Promise(resolve => setTimeout(resolve, 12_000))
  const clients = deployment.entries.length - 1 + deployment.backends.length
  vitest.expect(proxy.connections - before).toBeLessThanOrEqual(clients * 7)
  proxy.setFaults({})
  const rejoinedMs = await cluster.waitFor('the entry is offered again', 15_000, async () => {
    const offers = await Promise.all(deployment.entries.slice(1).map(entriesOfferedBy))
    return offers.every(urls => urls.includes(`http://${unreachable.address}`))
  })
  vitest.expect(rejoinedMs).toBeLessThan(12_000)
  await deployment.waitUntilServing()
})
