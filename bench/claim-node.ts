/**
 * Process that runs the claim part of some entries of one region: the project's own exchange streams, membership and
 * claim sharing over stub state. Prints a ready line; the driver controls it with JSON over HTTP.
 * Usage: claim-node.js FIRST_NUMBER COUNT TABLE_URL
 */

import * as crypto from 'node:crypto'
import * as events from 'node:events'
import * as silentPolicies from './silent-policies.js'
import * as jsonServer from '../standins/json-server.js'
import * as claimSharing from '../src/coordination/claim-sharing.js'
import * as claimStore from '../src/coordination/claim-store.js'
import type * as configurationGuard from '../src/coordination/configuration-guard.js'
import type * as configurationPeers from '../src/coordination/configuration-peers.js'
import type * as configurationSync from '../src/coordination/configuration-sync.js'
import type * as configurationTask from '../src/coordination/configuration-task.js'
import * as environment from '../src/coordination/environment.js'
import * as membershipTask from '../src/coordination/membership-task.js'
import * as peerExchange from '../src/coordination/peer-exchange.js'
import * as controlPb from '../src/gen/bulrush/v1/control_pb.js'
import * as digestTable from '../src/state/digest-table.js'
import type * as membership from '../src/state/membership.js'
import type * as peerChoice from '../src/state/peer-choice.js'
import * as peerServer from '../src/transport/peer-server.js'
import * as tableClient from '../src/transport/table-client.js'

/** Request of the driver to each process for one round. */
export interface RoundOptions {
  claimsPerSecond: number
  durationMs: number
  /** Claims a second above which entries share transactions; if absent, each entry writes its own. */
  shareAbove?: number
  /** Time that decides which entry writes; the wall clock if absent. */
  slotAtMs?: number
}

export interface RoundResult {
  latenciesMs: number[]
  failed: number
  /** Claims whose writer did not answer in time. */
  unanswered: number
}

interface Node {
  identity: membership.EntryIdentity
  parts: claimSharing.ClaimSharingParts
  store: claimStore.ClaimStore
  exchange: peerExchange.PeerExchange
  members: membershipTask.MembershipTask
}

const TICK_MS = 2
const TABLE_TIMEOUT_MS = 5_000
const REFRESH_ROUNDS = 3

const [first, count, tableUrl] = process.argv.slice(2) as [string, string, string]
const ended = new AbortController()
events.EventEmitter.setMaxListeners(0, ended.signal)
let slotAtMs: number | undefined
let unanswered = 0
const env: environment.Environment = {
  ...await environment.createEnvironment({ emit: () => {} }, {
    count: () => { unanswered += 1 }, gauge: () => {}, timingMs: () => {}, close: async () => {}
  }),
  wallClockMs: () => slotAtMs ?? Date.now()
}

async function startNode (number: number): Promise<Node> {
  // The server and claim sharing need the exchange, which is created after them.
  const later: { exchange?: peerExchange.PeerExchange } = {}
  const peerAddress = await peerServer.listenForPeers({
    address: '127.0.0.1:0',
    signal: ended.signal,
    routes: router => {
      router.service(controlPb.EntryPeer, { exchange: (requests, context) => later.exchange!.serve(requests, context) })
    }
  })
  const identity: membership.EntryIdentity = {
    incarnation: number.toString(16).padStart(32, 'f'),
    host: `entry-${number}`,
    address: peerAddress,
    peerAddress,
    failureDomain: `domain-${number % 3}`,
    region: 'r0'
  }
  const members = membershipTask.startMembershipTask(env, ended.signal, error => { throw error })
  const table = new tableClient.DynamoTable(
    { url: tableUrl, tableName: 'bench', timeoutMs: TABLE_TIMEOUT_MS }, ended.signal)
  const parts: claimSharing.ClaimSharingParts = {
    self: identity,
    members,
    table,
    sendTo: (incarnation, fields) => later.exchange!.sendTo(incarnation, fields),
    shareAbove: Infinity
  }
  const sharing = claimSharing.createClaimSharing(env, parts, ended.signal)
  const exchange = peerExchange.startPeerExchange(env, {
    self: identity,
    tracker: {
      noteHomeAlive: () => {},
      markAgentConnected: () => {},
      report: () => {},
      lose: () => {},
      retainAgents: () => {},
      listAgentsConnectedTo: () => []
    },
    configuration: { read: async () => 0 } as unknown as configurationTask.ConfigurationTask,
    sync: { confirmedAgeMs: () => 0, confirm: () => {} } as unknown as configurationSync.ConfigurationSync,
    members,
    guard: { noteMessage: () => {} } as unknown as configurationGuard.ConfigurationGuard,
    peers: { fillGap: async () => {} } as unknown as configurationPeers.ConfigurationPeers,
    unrecordedStops: () => [],
    onStops: () => {},
    digests: digestTable.createDigestTable(REFRESH_ROUNDS),
    policies: silentPolicies.inactivePolicyExchange,
    claims: sharing,
    isDraining: () => false,
    inFlight: () => 0
  }, ended.signal)
  later.exchange = exchange
  return { identity, parts, store: claimStore.createTableClaimStore(table, sharing), exchange, members }
}

const nodes = await Promise.all(Array.from({ length: Number(count) }, (_, index) => startNode(Number(first) + index)))

/** Opens the streams and waits until every node has all the other entries as members. */
async function connect (entries: peerChoice.PeerCandidate[]): Promise<void> {
  for (;;) {
    for (const node of nodes) {
      node.exchange.connectTo(entries.filter(entry => entry.peerAddress !== node.identity.peerAddress))
    }
    await new Promise(resolve => setTimeout(resolve, 200))
    const memberCounts = await Promise.all(nodes.map(node => node.members.read(members => members.entries.size)))
    if (memberCounts.every(size => size >= entries.length - 1)) return
  }
}

async function run (options: RoundOptions): Promise<RoundResult> {
  slotAtMs = options.slotAtMs
  for (const node of nodes) node.parts.shareAbove = options.shareAbove ?? Infinity
  const result: RoundResult = { latenciesMs: [], failed: 0, unanswered: 0 }
  unanswered = 0
  const claims: Promise<void>[] = []
  const startedAtMs = performance.now()
  for (let elapsedMs = 0; elapsedMs < options.durationMs; elapsedMs = performance.now() - startedAtMs) {
    while (claims.length < elapsedMs / 1_000 * options.claimsPerSecond) {
      claims.push(claimOnce(nodes[claims.length % nodes.length]!.store, result))
    }
    await new Promise(resolve => setTimeout(resolve, TICK_MS))
  }
  await Promise.all(claims)
  return { ...result, unanswered }
}

async function claimOnce (store: claimStore.ClaimStore, result: RoundResult): Promise<void> {
  const startedAtMs = performance.now()
  const attempt = { attemptId: `${'a'.repeat(32)}.1`, agentIncarnation: 'b'.repeat(32), agentAddress: '127.0.0.1:1' }
  const written = await store.write(crypto.randomUUID(), {
    claim: { ...attempt, fingerprint: 'f'.repeat(64), state: 'open' }, expectedRevision: 0
  })
  if (written.kind === 'committed') result.latenciesMs.push(performance.now() - startedAtMs)
  else result.failed += 1
}

const control = await jsonServer.serveJson(async (request, response) => {
  const input = JSON.parse(request.body.toString('utf8')) as unknown
  if (request.path === '/connect') await connect(input as peerChoice.PeerCandidate[])
  const result = request.path === '/run' ? await run(input as RoundOptions) : {}
  jsonServer.sendJson(response, 200, result)
})
process.once('SIGTERM', () => process.exit(0))
console.log(JSON.stringify({ ready: true, control: control.address, entries: nodes.map(node => node.identity) }))
