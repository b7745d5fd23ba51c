/**
 * Cost of the control plane on one entry: CPU time, memory and socket bytes by the number of agents that report to it,
 * of entries in its region, of digests from each of them, and of entries in other regions.
 */

import type * as experiment from './experiment.js'
import * as measuredProcess from './measured-process.js'
import * as standinPeers from './standin-peers.js'
import * as environment from '../src/coordination/environment.js'
import type * as platform from '../src/protocol/platform.js'
import * as logging from '../src/transport/logging.js'
import * as metrics from '../src/transport/metrics.js'

interface Scenario {
  /** Agents that have the entry as a home. */
  agents: number
  /** Entries in the same region. */
  peers: number
  /** Digests of each peer. */
  digests: number
  /** Entries in other regions. */
  farPeers: number
}

interface Sweep {
  name: string
  title: string
  variable: keyof Scenario
  scenarios: Scenario[]
  settleMs?: number
}

/** Full size (docs/design.md, section 3): 33 report streams, and 56 peers that are each the first home of 17 agents. */
const FULL_SIZE: Scenario = { agents: 33, peers: 56, digests: 17, farPeers: 24 }

const SWEEPS: Sweep[] = [
  {
    name: 'control-agents',
    title: 'agents that report',
    variable: 'agents',
    scenarios: [0, 33, 100, 200].map(agents => ({ agents, peers: 0, digests: 0, farPeers: 0 }))
  },
  {
    name: 'control-peers',
    title: 'entries in the region, 17 digests each',
    variable: 'peers',
    scenarios: [0, 14, 28, 56].map(peers => ({ agents: 0, peers, digests: 17, farPeers: 0 }))
  },
  {
    name: 'control-digests',
    title: 'digests of each of 28 entries in the region',
    variable: 'digests',
    scenarios: [0, 17, 33, 66].map(digests => ({ agents: 0, peers: 28, digests, farPeers: 0 }))
  },
  {
    name: 'control-far',
    title: 'entries in other regions, 132 digests each',
    variable: 'farPeers',
    scenarios: [0, 6, 12, 24].map(farPeers => ({ agents: 0, peers: 0, digests: 132, farPeers }))
  },
  { name: 'control-full', title: 'full size', variable: 'agents', scenarios: [FULL_SIZE] },
  { name: 'control-steady', title: 'full size, settled', variable: 'agents', scenarios: [FULL_SIZE], settleMs: 240_000 }
]

/**
 * Connections and heap are stable after this time, but just-in-time compilation is not complete: at about 100 messages
 * a second it continues for minutes. `control-steady` measures the cost afterwards.
 */
const SETTLE_MS = 15_000
const WINDOW_MS = 15_000

const STATUS_RUNS = 5
const OPERATOR_KEY = 'operator-key-for-measurements'

/** CPU time and memory that bulrushctl status uses on its own host while an entry has the state of full size. */
const controlStatus: experiment.Experiment = {
  name: 'control-status',
  description: 'CPU time and memory of bulrushctl status against an entry at full size',
  async run () {
    const rows: (string | number)[][] = []
    await withLoadedEntry(FULL_SIZE, SETTLE_MS, async entry => {
      const entryUrl = `http://${entry.ready['address'] as string}`
      for (let round = 1; round <= STATUS_RUNS; round++) {
        const usage = await measuredProcess.measureCommand('src/bin/bulrushctl.js', [
          'status', '--json', '--entry-urls', entryUrl, '--operator-key', OPERATOR_KEY, '--operator', 'bench'
        ])
        rows.push([round, usage.exitCode ?? -1, usage.cpuMs, usage.wallMs, usage.maxRssMb, usage.outputBytes])
      }
    })
    const columns = ['run', 'exit code', 'CPU ms', 'wall ms', 'max RSS MB', 'document B']
    return { tables: [{ title: 'bulrushctl status', columns, rows }], conclusions: [] }
  }
}

export const experiments: experiment.Experiment[] = [...SWEEPS.map(sweep => ({
  name: sweep.name,
  description: `cost of the control plane on one entry: ${sweep.title}`,
  async run () {
    const rows: [number, measuredProcess.WindowUsage][] = []
    for (const scenario of sweep.scenarios) {
      rows.push([scenario[sweep.variable], await measureEntry(scenario, sweep.settleMs ?? SETTLE_MS)])
    }
    const table: experiment.Table = {
      title: sweep.title,
      columns: [sweep.variable, 'CPU %', 'in B/s', 'out B/s', 'heap MB', 'RSS MB', 'sockets'],
      rows: rows.map(([x, usage]) => [
        x, usage.cpuPercent, Math.round(usage.inBytesPerSecond), Math.round(usage.outBytesPerSecond),
        usage.heapMb, usage.rssMb, usage.sockets
      ])
    }
    return { tables: [table], conclusions: rows.length > 1 ? [describeSlopes(sweep, rows)] : [] }
  }
})), controlStatus]

function describeSlopes (sweep: Sweep, rows: [number, measuredProcess.WindowUsage][]): string {
  const slope = (read: (usage: measuredProcess.WindowUsage) => number): string => {
    const line = measuredProcess.fitLine(rows.map(([x, usage]) => [x, read(usage)] as const))
    return `${line.intercept.toFixed(3)} + ${line.slope.toPrecision(3)} x`
  }
  return `${sweep.title}: CPU % ${slope(usage => usage.cpuPercent)}; in B/s ${slope(usage => usage.inBytesPerSecond)}; ` +
    `out B/s ${slope(usage => usage.outBytesPerSecond)}; heap MB ${slope(usage => usage.heapMb)}; ` +
    `RSS MB ${slope(usage => usage.rssMb)}`
}

function measureEntry (scenario: Scenario, settleMs: number): Promise<measuredProcess.WindowUsage> {
  return withLoadedEntry(scenario, settleMs, entry => measuredProcess.measureWindow(entry, WINDOW_MS))
}

/** Starts an entry with stand-in peers and agents, and calls `measure` after `settleMs`. */
async function withLoadedEntry<T> (
  scenario: Scenario, settleMs: number, measure: (entry: measuredProcess.MeasuredProcess) => Promise<T>
): Promise<T> {
  const platformProcess = await measuredProcess.startMeasured('standins/platform.js', [])
  const hostListUrl = `http://${platformProcess.ready['hosts'] as string}/`
  const entry = await measuredProcess.startMeasured('src/bin/bulrush-entry.js', [
    '--host', 'entry-under-test', '--failure-domain', 'r0-domain-0', '--region', 'r0',
    '--host-list-url', hostListUrl, '--table-url', `http://${platformProcess.ready['table'] as string}`,
    '--operator-key', OPERATOR_KEY
  ], ['--expose-gc'])
  const controller = new AbortController()
  try {
    const log = logging.createEventLog({ format: 'json', level: 'error', labels: {} })
    const env = await environment.createEnvironment(log, metrics.createMetrics('', {}))
    const entryPeerAddress = entry.ready['peerAddress'] as string
    const self: platform.ListedHost = {
      host: 'entry-under-test',
      role: 'entry',
      address: entry.ready['address'] as string,
      peerAddress: entryPeerAddress,
      failureDomain: 'r0-domain-0',
      region: 'r0',
      state: 'live'
    }
    const hosts = [self]
    for (let number = 1; number <= scenario.peers + scenario.farPeers; number++) {
      const region = number <= scenario.peers ? 'r0' : `r${1 + number % 6}`
      hosts.push(await standinPeers.startStandinPeer(
        env,
        { entryPeerAddress, entryRegion: self.region, number, region, digests: scenario.digests },
        controller.signal))
    }
    await publishHosts(hostListUrl, hosts)
    standinPeers.startStandinAgents(env, self, hosts.filter(host => host.region === 'r0'), scenario.agents, controller.signal)
    await measuredProcess.sleep(settleMs)
    return await measure(entry)
  } finally {
    controller.abort()
    await Promise.all([entry.stop(), platformProcess.stop()])
  }
}

/** Writes the hosts to the stand-in of the host list, in the format of its HTTP service discovery. */
export async function publishHosts (hostListUrl: string, hosts: platform.ListedHost[]): Promise<void> {
  await fetch(hostListUrl, {
    method: 'PUT',
    body: JSON.stringify(hosts.map(host => ({
      targets: [host.address],
      labels: {
        role: host.role,
        host: host.host,
        peer_address: host.peerAddress,
        failure_domain: host.failureDomain,
        region: host.region,
        state: host.state
      }
    })))
  })
}
