/**
 * The entry process: composes the tasks and servers of one entry host.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as protobuf from '@bufbuild/protobuf'
import * as zod from 'zod'
import * as addressAnswer from './address-answer.js'
import * as admissionGate from './admission-gate.js'
import * as agentTracker from './agent-tracker.js'
import * as attemptPolicy from './attempt-policy.js'
import * as attemptSender from './attempt-sender.js'
import * as callHandler from './call-handler.js'
import * as callWindow from './call-window.js'
import * as claimSharing from './claim-sharing.js'
import * as claimStore from './claim-store.js'
import * as clientGuard from './client-guard.js'
import * as configurationGuard from './configuration-guard.js'
import * as configurationPeers from './configuration-peers.js'
import * as configurationSync from './configuration-sync.js'
import * as configurationTask from './configuration-task.js'
import * as dispatcher from './dispatcher.js'
import * as drainModule from './drain.js'
import * as entryGate from './entry-gate.js'
import * as environment from './environment.js'
import * as explainLog from './explain-log.js'
import * as hostListReader from './host-list-reader.js'
import * as hostView from './host-view.js'
import * as keyIssuer from './key-issuer.js'
import * as keyedDispatcher from './keyed-dispatcher.js'
import * as membershipTask from './membership-task.js'
import * as operatorApi from './operator-api.js'
import * as retryingTable from './retrying-table.js'
import * as peerExchange from './peer-exchange.js'
import * as plannedStops from './planned-stops.js'
import * as policyExchange from './policy-exchange.js'
import * as reportHub from './report-hub.js'
import * as serverTask from './server-task.js'
import * as snapshotStore from './snapshot-store.js'
import * as streamRecovery from './stream-recovery.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as call from '../protocol/call.js'
import * as controlMessages from '../protocol/control-messages.js'
import * as wire from '../protocol/operator-api.js'
import type * as platform from '../protocol/platform.js'
import * as problem from '../protocol/problem.js'
import * as settings from '../protocol/settings.js'
import * as membership from '../state/membership.js'
import * as outcomes from '../state/outcome.js'
import * as route from '../state/route.js'
import * as arrivalsModule from '../transport/arrivals.js'
import * as backendClient from '../transport/backend-client.js'
import * as hostListClient from '../transport/host-list-client.js'
import * as httpServer from '../transport/http-server.js'
import * as objectClient from '../transport/object-client.js'
import * as peerServer from '../transport/peer-server.js'
import * as tableClient from '../transport/table-client.js'

export const entrySettings = {
  ...settings.commonSettings,
  peerListen: {
    flag: 'peer-listen',
    description: 'address of the listener for entries and agents; port 0 selects a free port',
    fallback: '127.0.0.1:0',
    schema: settings.schemas.address
  },
  peerAdvertise: {
    flag: 'peer-advertise',
    description: 'address that entries and agents use to reach the peer listener; empty uses the listener\'s own',
    fallback: '',
    schema: zod.union([zod.literal(''), settings.schemas.address])
  },
  tableUrl: { flag: 'table-url', description: 'URL of the table service', schema: settings.schemas.httpUrl },
  tableName: {
    flag: 'table-name', description: 'name of the table', fallback: 'bulrushroute', schema: settings.schemas.text
  },
  shareClaimsAbove: {
    flag: 'share-claims-above',
    description: 'claims per second for callers\' own keys in the region above which entries share their table writes',
    fallback: '40',
    schema: settings.schemas.integer(0, 1_000_000)
  },
  objectStoreUrl: {
    flag: 'object-store-url',
    description: 'URL of the object store with the bucket for configuration snapshots; empty disables snapshots',
    fallback: '',
    schema: settings.schemas.optionalHttpUrl
  },
  objectStoreKey: {
    flag: 'object-store-key',
    description: 'key of the snapshot in the object store',
    fallback: 'configuration-snapshot',
    schema: settings.schemas.text
  },
  snapshotPeriodMs: {
    flag: 'snapshot-period-ms',
    description: 'mean time between two snapshots that an entry writes, in ms',
    fallback: '300000',
    schema: settings.schemas.integer(100, 86_400_000)
  },
  operatorKey: { flag: 'operator-key', description: 'key that operators must send', schema: settings.schemas.text }
} satisfies settings.SettingTable

export type ResolvedEntrySettings = settings.Resolved<typeof entrySettings>

export interface RunningEntry {
  identity: membership.EntryIdentity
  /** IP addresses and ports of the listeners, which differ from the identity's where others are advertised. */
  listening: string
  peerListening: string
  /** Removes the entry from address answers; settles when those have expired and nothing is in flight. */
  drain: () => Promise<void>
}

const HOST_REFRESH_PERIOD_MS = 1_000
const METRICS_PERIOD_MS = 5_000
/** A reachable peer answers within this time; when none has, the table service is read. */
const PEER_WAIT_MS = 1_000

/** Starts an entry. Everything that it opens closes when the signal aborts. */
export async function startEntry (
  options: ResolvedEntrySettings,
  outerEnv: environment.Environment,
  signal: AbortSignal,
  onBroken: (error: Error) => void,
  policy: route.RoutePolicy = new route.LeastExpectedWork()
): Promise<RunningEntry> {
  const { env, explain } = explainLog.withExplainLog(outerEnv)
  // The listeners are opened first, because the identity contains their addresses; requests wait for the rest.
  let markStarted = (): void => {}
  const started = new Promise<void>(resolve => { markStarted = resolve })
  const arrivals = new arrivalsModule.Arrivals()
  const clients = clientGuard.createClientGuard(options, clientGuard.statsdReport(env), signal)
  const callerServer = await httpServer.listen({
    address: options.listen,
    signal,
    pool: clients,
    arrivals,
    handler: (request, response) => { started.then(() => handle(request, response)).catch(onBroken) }
  })
  const peerListening = await peerServer.listenForPeers({
    address: options.peerListen,
    signal,
    pool: clients,
    routes: router => {
      router.service(controlPb.AgentReport, {
        report: (requests, context) => whenStarted(() => hub.serve(requests, context))
      })
      router.service(controlPb.EntryPeer, {
        exchange: (requests, context) => whenStarted(() => exchange.serve(requests, context)),
        fetchConfiguration: request => whenStarted(() => peers.serve(Number(request.afterRevision)))
      })
    }
  })
  const self: membership.EntryIdentity = {
    incarnation: environment.newIncarnation(),
    host: options.host,
    address: options.advertise || callerServer.address,
    peerAddress: options.peerAdvertise || peerListening,
    failureDomain: options.failureDomain,
    region: options.region
  }
  const client = backendClient.createBackendClient(signal)
  const servers = serverTask.startServerTask(env, policy, signal, onBroken)
  const members = membershipTask.startMembershipTask(env, signal, onBroken)
  const hosts = hostView.createHostView(env, {
    self, members, servers, stops: () => stops, onWithdrawal: () => hub.broadcast(stopsMessage())
  })
  const guard = configurationGuard.createConfigurationGuard(env, () => hosts.knownPeers().length > 0, signal)
  const configuration = configurationTask.startConfigurationTask(env, (changes, origin) => {
    // Peers without a copy see the revision in the heartbeat and fetch the snapshot from this entry.
    if (origin === 'snapshot') exchange.push([])
    else exchange.push(changes, origin)
    stops.applyChanges(changes, origin === 'snapshot')
  }, signal, onBroken)
  const table = new tableClient.DynamoTable(
    { url: options.tableUrl, tableName: options.tableName, timeoutMs: options.platformTimeoutMs }, signal)
  const snapshots = options.objectStoreUrl === ''
    ? undefined
    : snapshotStore.createSnapshotStore(env, {
      objects: new objectClient.S3ObjectStore(options.objectStoreUrl, options.platformTimeoutMs),
      key: options.objectStoreKey,
      periodMs: options.snapshotPeriodMs
    }, configuration, signal)
  const sync = configurationSync.startConfigurationSync(env, {
    table: retryingTable.createRetryingTable(env, table),
    task: configuration,
    guard,
    isReader: () => hosts.isTableReader(),
    isFirstReader: () => hosts.isFirstReader(),
    snapshots
  }, signal)
  const peers = configurationPeers.createConfigurationPeers(
    env, { task: configuration, guard, knownPeers: () => hosts.knownPeers() }, signal)
  guard.setRecovery(recoverConfiguration)
  const stops = plannedStops.startPlannedStops(env, {
    configuration, sync, capacity: () => hosts.capacity(), onChange: applyStops
  }, signal)
  const drain = drainModule.createDrain(env, () => exchange.push([]))
  const announce = (): void => {
    policies.markChanged()
    exchange.pushDigests()
  }
  const attempts = attemptPolicy.createAttemptPolicy(env, announce)
  const admission = admissionGate.startAdmissionGate(env, { self: self.peerAddress, servers, announce }, signal)
  const policies = policyExchange.createPolicyExchange(admission, attempts)
  const sender = attemptSender.createAttemptSender(env, {
    entryIncarnation: self.incarnation, servers, client, attempts
  })
  const issuer = keyIssuer.createKeyIssuer(env, { entryIncarnation: self.incarnation, members, client })
  const sharing = claimSharing.createClaimSharing(env, {
    self,
    members,
    table,
    sendTo: (incarnation, fields) => exchange.sendTo(incarnation, fields),
    shareAbove: options.shareClaimsAbove
  }, signal)
  const dispatch = dispatcher.createDispatcher(env, { servers, sender, attempts })
  const window = callWindow.createCallWindow(env)
  const calls = callHandler.createCallHandler(env, {
    window,
    configuration,
    sender,
    admission,
    dispatcher: dispatch,
    keyedDispatcher: keyedDispatcher.createKeyedDispatcher(env, { servers, sender, attempts }),
    claims: claimStore.createTableClaimStore(table, sharing),
    issuer,
    recovery: streamRecovery.createStreamRecovery(env, { servers, client, dispatcher: dispatch })
  })
  const gate = entryGate.createEntryGate(env, {
    guard, drain, inFlight: () => calls.inFlight(), arrivals
  }, signal)
  const operators = operatorApi.createOperatorApi({
    operatorKeyDigest: crypto.createHash('sha256').update(options.operatorKey).digest(),
    configuration,
    sync,
    servers,
    members,
    stops,
    explain,
    client,
    countHomes: incarnation => tracker.countHomes(incarnation),
    self: () => ({ ...self, isDraining: drain.isDraining(), isServing: guard.mayServe(), inFlight: calls.inFlight() })
  }, env.nowMs)
  const tracker = agentTracker.startAgentTracker(env, servers, signal)
  const hub = reportHub.startReportHub(env, {
    tracker,
    selfIncarnation: () => self.incarnation,
    greeting: greetAgent,
    homeEntries: () => members.read(known => membership.homeEntries(known, self, env.nowMs())),
    onAgentChange: () => exchange.pushDigests(),
    onCrash: attempts.noteCrash
  }, signal)
  const exchange = peerExchange.startPeerExchange(env, {
    self,
    tracker,
    configuration,
    sync,
    guard,
    peers,
    unrecordedStops: () => stops.unrecorded(),
    onStops: received => stops.merge(received),
    members,
    digests: hub.digests,
    policies,
    claims: sharing,
    isDraining: () => !gate.isAdvertised(),
    inFlight: () => calls.inFlight()
  }, signal)
  const hostList = hostListReader.startHostListReader(env, {
    hostList: new hostListClient.HttpHostList(options.hostListUrl, options.platformTimeoutMs),
    members,
    self,
    onList: applyHostList,
    onEntries: entries => exchange.connectTo(entries)
  }, signal, onBroken)
  environment.every(METRICS_PERIOD_MS, signal, () => { reportMetrics().catch(onBroken) })
  markStarted()
  environment.every(HOST_REFRESH_PERIOD_MS, signal, () => { hosts.refresh().catch(onBroken) })
  await hostList.read()
  await hosts.refresh()
  await recoverConfiguration()
  return { identity: self, listening: callerServer.address, peerListening, drain: drainUntilEmpty }

  /** Without a copy the peers are asked first: the table service is then read only for what they do not hold. */
  async function recoverConfiguration (): Promise<void> {
    const confirmation = peers.confirmWithPeers()
    if (!guard.hasCopy()) await Promise.race([confirmation, new Promise(resolve => setTimeout(resolve, PEER_WAIT_MS))])
    if (!guard.mayServe()) await Promise.all([confirmation, sync.recover()])
  }

  async function drainUntilEmpty (): Promise<void> {
    drain.set('terminated', true)
    // Callers learn of calls that don't end in time; otherwise the exit would close their connections without a word.
    const answerByMs = window.begin(options.drainTimeoutMs)
    const lastAnswers = setTimeout(() => { calls.endOpen() }, answerByMs - env.nowMs())
    await gate.waitUntilDrained()
    clearTimeout(lastAnswers)
    env.log.emit('drainFinished')
  }

  function applyStops (isPushNeeded: boolean): void {
    drain.set('planned_stop', stops.stopFor(self) !== undefined)
    hub.broadcast(stopsMessage())
    if (isPushNeeded) exchange.push([])
    hosts.refresh().catch(onBroken)
  }

  async function * whenStarted<M> (open: () => AsyncIterable<M>): AsyncGenerator<M> {
    await started
    yield * open()
  }

  async function handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0]!
    if (path === call.CHAT_PATH || path.startsWith(call.SERVICE_PREFIX)) {
      const refusal = gate.refusalOf(request.headers)
      return refusal === undefined ? calls.handle(request, response) : refuse(refusal, request, response)
    }
    if (path.startsWith(wire.OPERATOR_PREFIX)) return operators.handle(request, response)
    request.resume()
    if (path === '/healthz') return problem.sendJson(response, 200, { status: 'ok' })
    if (path === '/readyz') return answerReady(response)
    if (path === '/v1/entries') return answerEntries(request, response)
    problem.sendProblem(response, outcomes.refuse('not_found', 404, 'not_run', `path: there is no ${path}`), 'none')
  }

  function refuse (refusal: outcomes.Refusal, request: http.IncomingMessage, response: http.ServerResponse): void {
    const requestId = crypto.randomUUID()
    request.resume()
    env.log.emit('requestRefused', { requestId, reason: refusal.reason, outcome: refusal.outcome })
    env.metrics.count('entry.refused', 1, { reason: refusal.reason })
    problem.sendProblem(response, refusal, requestId)
  }

  async function reportMetrics (): Promise<void> {
    env.metrics.gauge('entry.in_flight', calls.inFlight())
    env.metrics.gauge('entry.servers', (await servers.list()).length)
    env.metrics.gauge('entry.configuration_revision', await configuration.read(copy => copy.revision))
    if (Number.isFinite(sync.confirmedAgeMs())) env.metrics.gauge('entry.configuration_age_ms', sync.confirmedAgeMs())
    env.metrics.gauge('entry.table_available', sync.isTableAvailable() ? 1 : 0)
  }

  async function answerReady (response: http.ServerResponse): Promise<void> {
    const revision = await configuration.read(copy => copy.revision)
    const isReady = gate.isAdvertised()
    const status = isReady ? 'ready' : drain.isDraining() ? 'draining' : 'configuration not confirmed'
    problem.sendJson(response, isReady ? 200 : 503, { status, revision })
  }

  async function answerEntries (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const query = new URL(request.url ?? '/', 'http://entry').searchParams
    const team = query.get('team') ?? ''
    const keyCount = addressAnswer.parseKeyCount(query.get('keys'), team)
    if (typeof keyCount !== 'number') return problem.sendProblem(response, keyCount, 'none')
    const answer = await members.read(known => addressAnswer.buildAddressAnswer(env, {
      self,
      isSelfDraining: !gate.isAdvertised(),
      members: known,
      team,
      // Keys are valid only while the entry that issued them runs.
      issueKeys: () => gate.isAdvertised() ? issuer.issue(team, keyCount) : []
    }))
    // Keys are single-use, so an answer with keys must not be shared.
    const caching = keyCount > 0 ? 'no-store' : `max-age=${answer.timeToLiveSeconds}`
    problem.sendJson(response, 200, answer, { 'cache-control': caching })
  }

  /** Applies the host list's states of this host and of hosts that leave. */
  function applyHostList (listed: readonly platform.ListedHost[]): void {
    const own = listed.find(host => host.role === 'entry' && host.peerAddress === self.peerAddress)
    // The list lags, so a host that is missing from it may be new; only a listed state counts.
    if (own !== undefined) drain.set('host_leaving', own.state === 'leaving')
    hosts.applyHostList(listed)
  }

  async function greetAgent (): Promise<controlPb.EntryMessage> {
    return stopsMessage()
  }

  function stopsMessage (): controlPb.EntryMessage {
    return protobuf.create(controlPb.EntryMessageSchema, {
      stops: hosts.stopsForAgents().map(controlMessages.stopToMessage),
      hostStates: { leaving: hosts.leavingHosts() }
    })
  }
}
