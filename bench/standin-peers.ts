/**
 * Stand-in peers and agents of an entry under test, in the driver's process: the project's own exchange and reporter
 * code over stub state, with loads that change at a fixed rate.
 */

import * as protobuf from '@bufbuild/protobuf'
import * as silentPolicies from './silent-policies.js'
import * as environment from '../src/coordination/environment.js'
import * as agentReporter from '../src/coordination/agent-reporter.js'
import type * as configurationGuard from '../src/coordination/configuration-guard.js'
import type * as configurationPeers from '../src/coordination/configuration-peers.js'
import type * as configurationTask from '../src/coordination/configuration-task.js'
import type * as configurationSync from '../src/coordination/configuration-sync.js'
import type * as membershipTask from '../src/coordination/membership-task.js'
import * as peerExchange from '../src/coordination/peer-exchange.js'
import * as controlPb from '../src/gen/bulrush/v1/control_pb.js'
import type * as platform from '../src/protocol/platform.js'
import * as digestTable from '../src/state/digest-table.js'
import * as peerChoice from '../src/state/peer-choice.js'
import type * as serverView from '../src/state/server-view.js'
import type * as agentPresence from '../src/state/agent-presence.js'
import * as peerServer from '../src/transport/peer-server.js'

/** Share of the loads that change from one report to the next. */
const CHANGED_SHARE = 0.5

const RANKS_PER_GROUP = 128
const REPORT_PERIOD_MS = 1_000
const REFRESH_ROUNDS = 3
/**
 * Number of the first agent's backend server. It is above the numbers of the servers that report to stand-in entries,
 * so that the agents are in other groups.
 */
const FIRST_AGENT = 65_536

export function serverIdentity (number: number, region = 'r0'): serverView.ServerIdentity {
  return {
    incarnation: number.toString(16).padStart(32, '0'),
    host: `backend-${number}`,
    address: `10.${number >> 16 & 255}.${number >> 8 & 255}.${number & 255}:8000`,
    failureDomain: `${region}-domain-${number % 3}`,
    region,
    serves: [{ kind: 'model', name: `model-${number % 15}` }],
    group: `group-${Math.floor(number / RANKS_PER_GROUP)}`,
    rank: number % RANKS_PER_GROUP
  }
}

/** @returns a function that gives the load of the next report. */
export function changingLoad (env: environment.Environment): () => serverView.ServerLoad {
  const load: serverView.ServerLoad = {
    running: 9, waiting: 1, concurrencyLimit: 64, firstByteMs: 120, engineReportAgeMs: 50, status: 'serving'
  }
  return () => {
    if (env.random() < CHANGED_SHARE) load.running = 4 + Math.floor(env.random() * 12)
    return { ...load }
  }
}

export interface StandinPeerOptions {
  entryPeerAddress: string
  entryRegion: string
  number: number
  region: string
  /** Backend servers that report to this stand-in. */
  digests: number
}

/** Starts a listener and an exchange with the entry under test. @returns the peer's element of the host list. */
export async function startStandinPeer (
  env: environment.Environment, options: StandinPeerOptions, signal: AbortSignal
): Promise<platform.ListedHost> {
  // The server needs the exchange, which is created after it.
  const later: { exchange?: peerExchange.PeerExchange } = {}
  const peerAddress = await peerServer.listenForPeers({
    address: '127.0.0.1:0',
    signal,
    routes: router => {
      router.service(controlPb.EntryPeer, { exchange: (requests, context) => later.exchange!.serve(requests, context) })
      router.service(controlPb.AgentReport, { report: acceptReports })
    }
  })
  const listed: platform.ListedHost = {
    host: `entry-${options.number}`,
    role: 'entry',
    address: peerAddress,
    peerAddress,
    failureDomain: `${options.region}-domain-${options.number % 3}`,
    region: options.region,
    state: 'live'
  }
  const digests = digestTable.createDigestTable(REFRESH_ROUNDS)
  const exchange = peerExchange.startPeerExchange(env, {
    self: { ...listed, incarnation: options.number.toString(16).padStart(32, 'f') },
    tracker: {
      noteHomeAlive: () => {},
      markAgentConnected: () => {},
      report: () => {},
      lose: () => {},
      retainAgents: () => {},
      listAgentsConnectedTo: () => connectedAgents
    },
    configuration: { read: async () => 0 } as unknown as configurationTask.ConfigurationTask,
    sync: { confirmedAgeMs: () => 0, confirm: () => {} } as unknown as configurationSync.ConfigurationSync,
    members: { post: () => {} } as unknown as membershipTask.MembershipTask,
    guard: { noteMessage: () => {} } as unknown as configurationGuard.ConfigurationGuard,
    peers: { fillGap: async () => {} } as unknown as configurationPeers.ConfigurationPeers,
    unrecordedStops: () => [],
    onStops: () => {},
    digests,
    policies: silentPolicies.inactivePolicyExchange,
    claims: { receive: () => {}, lose: () => {} },
    isDraining: () => false,
    inFlight: () => 12
  }, signal)
  later.exchange = exchange
  const servers = Array.from({ length: options.digests }, (_, index) => ({
    identity: serverIdentity(options.number * options.digests + index, options.region), load: changingLoad(env)
  }))
  for (const { identity } of servers) digestTable.setAgent(digests, identity, true)
  let sequence = 0
  let connectedAgents: agentPresence.ConnectedAgent[] = []
  const report = (): void => {
    sequence += 1
    connectedAgents = servers.map(({ identity, load }) =>
      ({ identity, load: load(), sequence, reportedAtMs: env.nowMs() }))
    for (const agent of connectedAgents) digestTable.setReport(digests, agent.identity.incarnation, agent)
  }
  report()
  environment.every(REPORT_PERIOD_MS, signal, report)
  const known = [{ peerAddress: options.entryPeerAddress, region: options.entryRegion, failureDomain: '' }]
  // Each stand-in knows only the entry under test, so that this is one of the two entries that send it summaries.
  const connect = (): void => exchange.connectTo(known)
  environment.every(REPORT_PERIOD_MS, signal, connect)
  return listed
}

/** Starts `count` agents that have the entry under test as a home; `hosts` holds all entries of the region. */
export function startStandinAgents (
  env: environment.Environment,
  entry: platform.ListedHost,
  hosts: platform.ListedHost[],
  count: number,
  signal: AbortSignal
): void {
  const hostList: platform.HostList = { read: async () => ({ kind: 'ok', value: hosts }) }
  for (let number = FIRST_AGENT, started = 0; started < count; number++) {
    const identity = serverIdentity(number, entry.region)
    const homes = peerChoice.chooseHomes(identity.address, identity.region, hosts, () => false, env.hash64)
    if (!homes.some(home => home.peerAddress === entry.peerAddress)) continue
    started += 1
    agentReporter.startReporter(env, { identity, load: changingLoad(env), hostList, onEntryMessage: () => {} }, signal)
  }
}

/** Report handler of a home entry that accepts reports and ignores them. */
export async function * acceptReports (
  requests: AsyncIterable<controlPb.AgentMessage>
): AsyncGenerator<controlPb.EntryMessage> {
  yield protobuf.create(controlPb.EntryMessageSchema, {})
  for await (const request of requests) if (request.body.case === 'crash') return
}
