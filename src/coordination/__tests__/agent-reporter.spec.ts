import * as crypto from 'node:crypto'
import * as protobuf from '@bufbuild/protobuf'
import * as vitest from 'vitest'
import * as agentReporter from '../agent-reporter.js'
import type * as environment from '../environment.js'
import * as controlPb from '../../gen/bulrush/v1/control_pb.js'
import type * as platform from '../../protocol/platform.js'
import type * as serverView from '../../state/server-view.js'
import * as peerServer from '../../transport/peer-server.js'

/** Longer than a home that was replaced stays connected, plus one period of the choice of homes. */
const SETTLE_MS = 5_000

let ended: AbortController

vitest.beforeEach(() => { ended = new AbortController() })
vitest.afterEach(() => ended.abort())

interface Home {
  address: string
  connected: number
}

/** Starts an entry that sends the list of entries to each agent that connects. */
async function startHome (listed: (own: Home) => Home[]): Promise<Home> {
  const home: Home = { address: '', connected: 0 }
  home.address = await peerServer.listenForPeers({
    address: '127.0.0.1:0',
    signal: ended.signal,
    routes: router => router.service(controlPb.AgentReport, {
      async * report (requests) {
        home.connected += 1
        try {
          yield protobuf.create(controlPb.EntryMessageSchema, { entries: listed(home).map(identityOf) })
          const messages = requests[Symbol.asyncIterator]()
          while ((await messages.next()).done !== true && !ended.signal.aborted);
        } finally {
          home.connected -= 1
        }
      }
    })
  })
  return home
}

function identityOf (home: Home): { incarnation: string, peerAddress: string, region: string, failureDomain: string } {
  return { incarnation: home.address, peerAddress: home.address, region: 'r', failureDomain: home.address }
}

function startReporter (homes: Home[]): void {
  const env = {
    nowMs: () => performance.now(),
    random: Math.random,
    hash64: (text: string) => crypto.createHash('sha256').update(text).digest().readBigUInt64BE(),
    log: { emit: () => {} }
  } as unknown as environment.Environment
  agentReporter.startReporter(env, {
    identity: { address: '127.0.0.1:1', region: 'r', incarnation: 'i', serves: [], concurrencyLimit: 1 } as Partial<serverView.ServerIdentity> as serverView.ServerIdentity,
    load: () => ({ status: 'serving', running: 0, waiting: 0 }) as Partial<serverView.ServerLoad> as serverView.ServerLoad,
    hostList: {
      read: async () => ({ kind: 'ok', value: homes.map(home => ({ ...identityOf(home), role: 'entry' })) as unknown as platform.ListedHost[] })
    },
    onEntryMessage: () => {}
  }, ended.signal)
}

// Guards against an agent that closes its other home because an entry that has just started lists itself alone. If the
// home that is left is then cut off, the agent is in no view.
vitest.test('home stays open when the other one lists itself alone', async () => {
  const all: Home[] = []
  all.push(await startHome(own => [own]), await startHome(own => [own]))
  startReporter(all)
  await vitest.vi.waitFor(() => vitest.expect(all.map(home => home.connected)).toEqual([1, 1]), 4_000)
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
  vitest.expect(all.map(home => home.connected)).toEqual([1, 1])
})

// Guards against streams that stay open to every entry that was a home once.
vitest.test('homes are closed when two others were chosen', async () => {
  const later: Home[] = []
  later.push(await startHome(() => later), await startHome(() => later))
  const earlier = [await startHome(() => later), await startHome(() => later)]
  startReporter(earlier)
  await vitest.vi.waitFor(() => vitest.expect(later.map(home => home.connected)).toEqual([1, 1]), 4_000)
  await vitest.vi.waitFor(() => vitest.expect(earlier.map(home => home.connected)).toEqual([0, 0]), SETTLE_MS)
})
