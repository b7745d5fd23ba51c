import * as net from 'node:net'
import * as vitest from 'vitest'
import type * as configurationGuard from '../configuration-guard.js'
import * as configurationPeers from '../configuration-peers.js'
import type * as configurationTask from '../configuration-task.js'
import type * as environment from '../environment.js'
import * as controlPb from '../../gen/bulrush/v1/control_pb.js'
import * as configuration from '../../state/configuration.js'
import * as peerServer from '../../transport/peer-server.js'

let ended: AbortController
const silentServers: net.Server[] = []

vitest.beforeEach(() => { ended = new AbortController() })
vitest.afterEach(() => {
  ended.abort()
  for (const server of silentServers.splice(0)) server.close()
})

/** Address that accepts connections and never answers, like a peer behind a broken link. */
async function listenSilently (): Promise<string> {
  const server = net.createServer(socket => { ended.signal.addEventListener('abort', () => socket.destroy()) })
  silentServers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

async function listenWithCopy (confirmed: boolean): Promise<string> {
  return await peerServer.listenForPeers({
    address: '127.0.0.1:0',
    signal: ended.signal,
    routes: router => router.service(controlPb.EntryPeer, {
      async * fetchConfiguration () {
        yield { snapshot: false, revision: 3n, changes: [], confirmed, held: true }
      }
    })
  })
}

/** @returns time until the copy was confirmed, in ms; undefined if it was not. */
async function timeToConfirm (knownPeers: string[], hasCopy: boolean): Promise<number | undefined> {
  const startedAtMs = performance.now()
  let confirmedAtMs: number | undefined
  const peers = configurationPeers.createConfigurationPeers(
    { nowMs: () => performance.now() } as environment.Environment,
    {
      task: {
        read: async (reader: (copy: configuration.Configuration) => unknown) =>
          reader(configuration.createConfiguration()),
        apply: async () => ({ kind: 'applied' }),
        replace: async () => ({ kind: 'applied' })
      } as unknown as configurationTask.ConfigurationTask,
      guard: {
        hasCopy: () => hasCopy,
        confirm: () => { confirmedAtMs ??= performance.now() }
      } as Partial<configurationGuard.ConfigurationGuard> as configurationGuard.ConfigurationGuard,
      knownPeers: () => knownPeers
    },
    ended.signal
  )
  await peers.confirmWithPeers()
  return confirmedAtMs === undefined ? undefined : confirmedAtMs - startedAtMs
}

// Guards against an entry that refuses callers for seconds because peers of another region are unreachable.
vitest.test('answer of a confirmed neighbour counts before unreachable peers time out', async () => {
  const peers = [await listenWithCopy(true), await listenSilently(), await listenSilently()]
  vitest.expect(await timeToConfirm(peers, true)).toBeLessThan(1_000)
})

// Guards against a wait for the timeout of each unreachable peer that is asked before a neighbour.
vitest.test('unreachable first peers do not delay the question to the next', async () => {
  const peers = [await listenSilently(), await listenSilently(), await listenWithCopy(true)]
  vitest.expect(await timeToConfirm(peers, false)).toBeLessThan(1_500)
})

// Guards against stale entries that confirm one another.
vitest.test('one unconfirmed answer of three peers confirms nothing', async () => {
  const peers = [await listenWithCopy(false), await listenSilently(), await listenSilently()]
  vitest.expect(await timeToConfirm(peers, true)).toBeUndefined()
})
