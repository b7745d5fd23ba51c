/**
 * Resource usage of the Node runtime alone and of an agent, the load of entries on the platform's services, and the
 * size of expert maps.
 */

import * as protobuf from '@bufbuild/protobuf'
import * as controlLoad from './control-load.js'
import type * as experiment from './experiment.js'
import * as measuredProcess from './measured-process.js'
import * as standinPeers from './standin-peers.js'
import * as controlPb from '../src/gen/bulrush/v1/control_pb.js'
import type * as platform from '../src/protocol/platform.js'
import * as peerServer from '../src/transport/peer-server.js'

const SETTLE_MS = 10_000
const WINDOW_MS = 15_000

const USAGE_COLUMNS = ['CPU %', 'in B/s', 'out B/s', 'heap MB', 'RSS MB', 'sockets']

function usageCells (usage: measuredProcess.WindowUsage): experiment.Cell[] {
  return [
    usage.cpuPercent, Math.round(usage.inBytesPerSecond), Math.round(usage.outBytesPerSecond), usage.heapMb,
    usage.rssMb, usage.sockets
  ]
}

/**
 * Usage of an agent that reports to two homes.
 *
 * @param listedEntries entries in the host list, of which only the two homes run.
 */
async function measureAgent (listedEntries: number): Promise<measuredProcess.WindowUsage> {
  const controller = new AbortController()
  const platformProcess = await measuredProcess.startMeasured('standins/platform.js', [])
  const backend = await measuredProcess.startMeasured('standins/backend.js', ['model', 'model-0', '5'])
  const hostListUrl = `http://${platformProcess.ready['hosts'] as string}/`
  const homes = await Promise.all([0, 1].map(async number => {
    const known: { entries: platform.ListedHost[] } = { entries: [] }
    const peerAddress = await peerServer.listenForPeers({
      address: '127.0.0.1:0',
      signal: controller.signal,
      routes: router => {
        router.service(controlPb.AgentReport, {
          async * report (requests) {
            yield protobuf.create(controlPb.EntryMessageSchema, {
              entries: known.entries.map(entry => protobuf.create(controlPb.EntryIdentitySchema, entry))
            })
            yield * standinPeers.acceptReports(requests)
          }
        })
      }
    })
    return { known, host: listedEntry(number, peerAddress) }
  }))
  const entries = [
    ...homes.map(home => home.host),
    // These are in another region, so that the agent knows them but reports to the two homes only.
    ...Array.from({ length: listedEntries - 2 }, (_, index) =>
      ({ ...listedEntry(index + 2, `10.0.0.${index}:7000`), region: 'r1' }))
  ]
  for (const home of homes) home.known.entries = entries
  await controlLoad.publishHosts(hostListUrl, entries)
  const agent = await measuredProcess.startMeasured('src/bin/bulrush-agent.js', [
    '--host', 'backend-0', '--failure-domain', 'r0-domain-0', '--region', 'r0', '--host-list-url', hostListUrl,
    '--backend-address', backend.ready['address'] as string, '--models', 'model-0'
  ], ['--expose-gc'])
  try {
    await measuredProcess.sleep(SETTLE_MS)
    return await measuredProcess.measureWindow(agent, WINDOW_MS)
  } finally {
    controller.abort()
    await Promise.all([agent.stop(), backend.stop(), platformProcess.stop()])
  }
}

function listedEntry (number: number, peerAddress: string): platform.ListedHost {
  return {
    host: `entry-${number}`,
    role: 'entry',
    address: peerAddress,
    peerAddress,
    failureDomain: `r0-domain-${number % 3}`,
    region: 'r0',
    state: 'live'
  }
}

interface RequestCounts { reads: number, writes: number, hostListReads: number }

/** @returns requests a second from idle entries to each platform service. */
async function measurePlatform (entries: number): Promise<RequestCounts> {
  const platformProcess = await measuredProcess.startMeasured('standins/platform.js', [])
  const hostListUrl = `http://${platformProcess.ready['hosts'] as string}/`
  const started = await Promise.all(Array.from({ length: entries }, (_, number) =>
    measuredProcess.startMeasured('src/bin/bulrush-entry.js', [
      '--host', `entry-${number}`, '--failure-domain', `r0-domain-${number % 3}`, '--region', 'r0',
      '--host-list-url', hostListUrl, '--table-url', `http://${platformProcess.ready['table'] as string}`,
      '--operator-key', 'operator-key-for-measurements'
    ])))
  try {
    await controlLoad.publishHosts(hostListUrl, started.map((entry, number) => ({
      ...listedEntry(number, entry.ready['peerAddress'] as string), address: entry.ready['address'] as string
    })))
    await measuredProcess.sleep(SETTLE_MS)
    const before = await readCounts()
    await measuredProcess.sleep(WINDOW_MS)
    const after = await readCounts()
    const perSecond = (read: (counts: RequestCounts) => number): number =>
      (read(after) - read(before)) / WINDOW_MS * 1_000
    return {
      reads: perSecond(counts => counts.reads),
      writes: perSecond(counts => counts.writes),
      hostListReads: perSecond(counts => counts.hostListReads)
    }
  } finally {
    await Promise.all([...started, platformProcess].map(running => running.stop()))
  }

  async function readCounts (): Promise<RequestCounts> {
    const response = await fetch(`http://${platformProcess.ready['control'] as string}/counts`, { method: 'POST' })
    return (await response.json() as { counts: RequestCounts }).counts
  }
}

const LAYERS = 60
const EXPERTS_PER_LAYER = 64
const RANKS = 128

/** Bytes of one Prepare message with a full expert map. */
function prepareBytes (slotsPerRank: number): number {
  return protobuf.toBinary(controlPb.PrepareRequestSchema, protobuf.create(controlPb.PrepareRequestSchema, {
    groupIncarnation: '0'.repeat(32),
    ballot: 1n,
    map: {
      version: 1n,
      slotsPerRank,
      layers: Array.from({ length: LAYERS }, () => ({
        expertOfSlot: Array.from({ length: RANKS * slotsPerRank }, (_, slot) => slot % EXPERTS_PER_LAYER)
      }))
    }
  })).length
}

export const experiments: experiment.Experiment[] = [
  {
    name: 'host-runtime',
    description: 'a process with an empty timer, to measure the Node runtime alone',
    async run () {
      const idle = await measuredProcess.startMeasured('bench/idle.js', [], ['--expose-gc'])
      await measuredProcess.sleep(SETTLE_MS)
      const usage = await measuredProcess.measureWindow(idle, WINDOW_MS)
      await idle.stop()
      return { tables: [{ title: 'runtime', columns: USAGE_COLUMNS, rows: [usageCells(usage)] }], conclusions: [] }
    }
  },
  {
    name: 'host-agent',
    description: 'usage of an agent without requests, by the number of entries that its homes name',
    async run () {
      const rows: experiment.Cell[][] = []
      for (const entries of [2, 57, 200]) rows.push([entries, ...usageCells(await measureAgent(entries))])
      return { tables: [{ title: 'agent', columns: ['entries', ...USAGE_COLUMNS], rows }], conclusions: [] }
    }
  },
  {
    name: 'host-platform',
    description: 'requests a second of idle entries to the table service and the host list',
    async run () {
      const rows: experiment.Cell[][] = []
      for (const entries of [1, 4, 8]) {
        const counts = await measurePlatform(entries)
        rows.push([entries, counts.reads, counts.writes, counts.hostListReads])
      }
      const columns = ['entries', 'table reads/s', 'table writes/s', 'host list reads/s']
      return { tables: [{ title: 'platform', columns, rows }], conclusions: [] }
    }
  },
  {
    name: 'host-map',
    description: 'bytes of the expert map that a leader sends to each of 127 other ranks, 60 layers',
    async run () {
      const rows = [1, 2, 4].map(slots => [slots, prepareBytes(slots), prepareBytes(slots) * (RANKS - 1)])
      return { tables: [{ title: 'map', columns: ['slots per rank', 'bytes', 'bytes for the group'], rows }], conclusions: [] }
    }
  }
]
