/**
 * The entry process on a platform: serves requests, the client directory and readiness checks, and keeps in touch with
 * the store and the other processes.
 */

import type * as http from 'node:http'
import * as availability from '../../state/availability.js'
import * as backendPool from '../../state/backend-pool.js'
import * as backendTable from '../../state/backend-table.js'
import * as clusterView from '../../state/cluster-view.js'
import * as feedSchedule from '../../state/feed-schedule.js'
import * as peerSchedule from '../../state/peer-schedule.js'
import * as arrivalsModule from '../../transport/arrivals.js'
import * as bufferBudget from '../../transport/buffer-budget.js'
import * as clientConnections from '../../transport/client-connections.js'
import * as metricsServer from '../../transport/metrics-server.js'
import * as clientGuard from '../client-guard.js'
import * as membershipRow from '../cluster/membership-row.js'
import * as peerLinks from '../cluster/peer-links.js'
import * as sharedDocuments from '../cluster/shared-documents.js'
import * as tableWatch from '../cluster/table-watch.js'
import * as blameRecord from './blame-record.js'
import * as callEnd from './call-end.js'
import * as limitGate from './limit-gate.js'
import * as serveCall from './serve-call.js'
import * as serviceQueue from './service-queue.js'
import * as shutdown from './shutdown.js'
import * as suspectGate from './suspect-gate.js'
import type * as backendInstance from '../../state/backend-instance.js'
import type * as controlStore from '../../protocol/control-store.js'
import * as peerMessage from '../../protocol/peer-message.js'
import type * as platformAdapter from '../../protocol/platform-adapter.js'
import type * as platformSettings from '../../protocol/platform-settings.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as runtime from '../runtime.js'
import type * as clientPool from '../../transport/client-pool.js'
import type * as context from './context.js'

/** Multiple of the address lifetime after which clients have left; some cache an answer three times as long. */
const CLIENT_LEAVE_LIFETIMES = 3.3
const MAX_ADDRESSES = 64
/** Keeps clients, which reuse a connection until shortly before the idle time, from using one that is closing. */
const IDLE_MARGIN_MS = 500
const MAX_HEADER_BYTES = 64 * 1024

export async function startEntry (
  options: platformSettings.EntryOptions, adapter: platformAdapter.PlatformAdapter, env: runtime.Runtime,
  signal: AbortSignal
): Promise<{ drain: () => Promise<void> }> {
  const entry = new Entry(options, adapter, env, signal)
  await entry.start()
  return { drain: async () => { await entry.drain() } }
}

class Entry {
  readonly #options: platformSettings.EntryOptions
  readonly #adapter: platformAdapter.PlatformAdapter
  readonly #env: runtime.Runtime
  readonly #signal: AbortSignal
  readonly #pool: backendPool.BackendPool
  readonly #documents: sharedDocuments.SharedDocuments
  readonly #peers: peerLinks.PeerLinks
  readonly #limitGate: limitGate.LimitGate
  readonly #context: context.GatewayContext
  #clientServer: http.Server | undefined
  readonly #shutdown: shutdown.Shutdown
  readonly #clients: clientPool.ClientPool
  /** What clients send to the listener for requests. */
  readonly #arrivals = new arrivalsModule.Arrivals()

  constructor (
    options: platformSettings.EntryOptions, adapter: platformAdapter.PlatformAdapter, env: runtime.Runtime,
    signal: AbortSignal
  ) {
    this.#options = options
    this.#adapter = adapter
    this.#env = env
    this.#signal = signal
    this.#clients = clientGuard.createClientGuard(options, clientGuard.textReport(env), signal)
    this.#pool = backendPool.createPool({ drainTimeoutMs: options.drainTimeoutMs })
    this.#documents = new sharedDocuments.SharedDocuments({
      runtime: env,
      wanted: 'all',
      onConfiguration: table => { this.#applyLimits(table) },
      onBackends: rows => {
        backendPool.setRows(this.#pool, rows, env.nowMs())
        this.#context.queue.placeWaiting()
      },
      signal
    })
    this.#peers = new peerLinks.PeerLinks({
      runtime: env,
      address: options.peerAddress,
      role: 'entry',
      seeds: peerLinks.seedAddresses(options.seedHosts, options.peerAddress),
      status: () => this.#status(),
      onMessage: message => { this.#receive(message) },
      signal
    })
    this.#limitGate = new limitGate.LimitGate({
      runtime: env,
      pool: this.#pool,
      queue: () => this.#context.queue,
      self: options.peerAddress,
      readyEntries: () => this.#readyEntries(),
      entryCounts: () => ({
        heard: this.#peers.alivePeers('entry').length + 1,
        known: clusterView.knownPeers(this.#peers.view, 'entry') + 1
      }),
      sendTo: (address, message) => { this.#peers.sendTo(address, message) },
      broadcast: message => { this.#peers.broadcast(message, 'entry') },
      signal
    })
    this.#shutdown = new shutdown.Shutdown({
      runtime: env,
      shutdownMs: options.shutdownMs,
      hasReadyPeer: () => this.#readyEntries().length > 0,
      firstResponseMs: service => backendPool.firstResponseMs(this.#pool, service),
      arrivals: this.#arrivals
    })
    const recordsSinceMs = options.systemStart === 'first' ? -Infinity : env.nowMs()
    this.#context = {
      ...env,
      codec: adapter.calls,
      failureDomain: options.failureDomain,
      pool: this.#pool,
      queue: new serviceQueue.ServiceQueue({
        runtime: env,
        pool: this.#pool,
        failureDomain: options.failureDomain,
        gatewayCount: () => this.#gatewayCount(),
        backlogAtLimit: service => this.#limitGate.backlog(service),
        onWaiting: service => { this.#limitGate.noteWaiting(service) },
        signal
      }),
      suspects: new suspectGate.SuspectGate({
        runtime: env,
        broadcast: message => { this.#peers.broadcast(message, 'entry') },
        signal
      }),
      budgets: new Map(),
      budgetOptions: () => ({
        ratio: options.retryRatio,
        extra: options.retryExtra,
        windowMs: options.retryWindowS * 1_000,
        gateways: this.#gatewayCount(),
        recordsSinceMs
      }),
      routing: () => this.#documents.routing,
      shutdown: this.#shutdown,
      responseBuffers: bufferBudget.createBudget(options.maxBufferedResponseBytes),
      onLeaving: row => {
        if (this.#noteLeaving(row, 'response')) {
          this.#peers.broadcast({ kind: 'leaving', backendId: row.id, startedAtUnixMs: row.startedAtUnixMs }, 'entry')
        }
      },
      limits: this.#limitGate
    }
  }

  #gatewayCount (): number {
    return Math.max(this.#options.expectedEntries, clusterView.knownPeers(this.#peers.view, 'entry') + 1)
  }

  #readyEntries (): string[] {
    const own = this.#status()
    const statuses = [...this.#peers.alivePeers('entry').map(peer => peer.status), own]
    return statuses.filter(status => status.state === 'ready').map(status => status.address)
  }

  async start (): Promise<void> {
    await this.#peers.open()
    this.#clientServer = await this.#listen(this.#options.clientAddress, (request, response) => {
      serveCall.serveCall(this.#context, request, response).catch((error: Error) => {
        callEnd.endFaultyCall(response)
        this.#env.log.emit('requestFault', { url: request.url, detail: error.stack })
      })
    }, this.#arrivals)
    await this.#listen(this.#options.readinessAddress, (request, response) => {
      this.#answerReadiness(request, response)
    })
    await this.#listen(this.#options.directoryAddress, (request, response) => {
      this.#answerDirectory(request, response)
    })
    await this.#listen(this.#options.peerAddress, (request, response) => { this.#answerPeer(request, response) })
    await metricsServer.serveMetrics(this.#options.metricsAddress, this.#env.metrics, this.#clients, this.#signal)
    this.#watchStore()
  }

  #watchStore (): void {
    const { store, configurationRow, backendTable: backends } = this.#adapter
    const scheduleOf = (content: feedSchedule.FeedContent): feedSchedule.FeedSchedule => feedSchedule.feedSchedule(
      content, this.#options.peerAddress, this.#peers.alivePeers('entry').map(peer => peer.status.address)
    )
    const shared = { runtime: this.#env, store, signal: this.#signal }
    const applyRow = (answer: controlStore.RowsAnswer): void => { this.#applyConfigurationRow(answer) }
    tableWatch.watchTable({
      ...shared,
      table: configurationRow.table,
      schedule: () => scheduleOf('configuration'),
      onSnapshot: applyRow,
      onChanges: applyRow,
      onAvailable: () => {}
    })
    blameRecord.keepBlameRecord({
      ...shared,
      blamed: () => this.#context.suspects.blamed(),
      onRecorded: features => { this.#context.suspects.applyRecorded(features) },
      isWriter: () => this.#readyEntries().sort()[0] === this.#options.peerAddress
    })
    tableWatch.watchTable({
      ...shared,
      table: backends,
      schedule: () => scheduleOf('backends'),
      onSnapshot: answer => {
        backendTable.replaceAll(this.#documents.table, this.#decodeBackends(answer), answer.revision, this.#env.nowMs())
        this.#documents.publishBackends()
      },
      onChanges: answer => {
        backendTable.applyChanges(
          this.#documents.table, this.#decodeBackends(answer), answer.revision, this.#env.nowMs()
        )
        this.#documents.publishBackends()
      },
      onAvailable: () => { backendTable.noteStoreRecovery(this.#documents.table, this.#env.nowMs()) }
    })
    membershipRow.keepMembership({
      runtime: this.#env,
      store,
      address: this.#options.peerAddress,
      role: 'entry',
      storeEra: () => this.#storeEra(),
      onMembers: addresses => { clusterView.addAddresses(this.#peers.view, addresses, this.#env.nowMs()) },
      signal: this.#signal
    })
  }

  #applyConfigurationRow (answer: controlStore.RowsAnswer): void {
    // The answer holds every change of the row; the newest one is last.
    const row = answer.rows.findLast(candidate => candidate.key === this.#adapter.configurationRow.key)
    if (row?.value === undefined) return
    const decoded = this.#adapter.decodeConfiguration(row.value)
    if (decoded.kind === 'ok') {
      this.#documents.applyConfiguration(decoded.configuration, 'store')
      this.#peers.sendStatus()
    } else this.#env.log.emit('configurationUnreadable', { revision: row.revision, problem: decoded.problem })
  }

  #decodeBackends (answer: controlStore.RowsAnswer): backendTable.BackendChange[] {
    return answer.rows.map(row => {
      const decoded = row.value === undefined ? undefined : this.#adapter.decodeBackendRow(row.key, row.value)
      if (row.value !== undefined && decoded === undefined) {
        this.#env.log.emit('backendRowUnreadable', { id: row.key, text: row.value.toString('utf8', 0, 300) })
      }
      return { id: row.key, row: decoded, wasDeleted: row.value === undefined }
    })
  }

  #status (): clusterView.PeerStatus {
    return {
      address: this.#options.peerAddress,
      role: 'entry',
      failureDomain: this.#options.failureDomain,
      state: this.#shutdown.isDraining ? 'draining' : this.#documents.routing === undefined ? 'starting' : 'ready',
      clientAddress: this.#options.clientAddress,
      configurationVersion: this.#documents.configurationVersion,
      backendRevision: this.#documents.table.revision,
      storeEra: this.#storeEra(),
      rank: undefined
    }
  }

  /** The store may reach this process only through its peers. */
  #storeEra (): number {
    return Math.max(this.#adapter.store.era, this.#peers.view.storeEra)
  }

  #receive (message: peerMessage.PeerMessage): void {
    const nowMs = this.#env.nowMs()
    if (message.kind === 'status') this.#documents.noteStatus(message.status)
    else if (message.kind === 'load') {
      const backend = backendPool.backendAt(this.#pool, message.rankAddress)
      if (backend === undefined) return
      if (message.isLeaving && message.startedAtUnixMs === backend.row.startedAtUnixMs) this.#noteLeaving(backend.row, 'agent')
      backendPool.noteLoad(backend, message.load, nowMs - message.ageMs)
      const group = backend.row.group
      if (group !== undefined) backendPool.noteProgress(this.#pool, group.name, message.step, nowMs)
      this.#context.queue.placeWaiting()
    } else if (message.kind === 'leaving') {
      this.#noteLeaving({ id: message.backendId, startedAtUnixMs: message.startedAtUnixMs }, 'peer')
    } else if (peerMessage.isCrashMessage(message)) {
      this.#context.suspects.receive(message)
    } else if (message.kind === 'limits' || message.kind === 'permitDemand' || message.kind === 'permits') {
      this.#limitGate.receive(message)
    }
  }

  /** @returns whether it was not known that the instance leaves. */
  #noteLeaving (instance: backendInstance.InstanceId, source: 'response' | 'agent' | 'peer'): boolean {
    const isNew = availability.noteLeaving(this.#pool, instance, this.#env.nowMs())
    if (isNew) this.#env.log.emit('backendLeaving', { backend: instance.id, startedAtUnixMs: instance.startedAtUnixMs, source })
    return isNew
  }

  #applyLimits (table: routingTable.RoutingTable): void {
    if (this.#clientServer === undefined) return
    const { headerTimeoutMs, idleTimeoutMs, maxHeaderBytes } = table.configuration.limits
    this.#clientServer.headersTimeout = headerTimeoutMs
    // Node reads this for each new connection. The parser counts a little less than what was sent.
    Object.assign(this.#clientServer, { maxHeaderSize: maxHeaderBytes + 1 })
    this.#clientServer.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS
  }

  #answerReadiness (request: http.IncomingMessage, response: http.ServerResponse): void {
    const isReady = this.#adapter.directory.isReadinessQuery(request) && this.#status().state === 'ready'
    response.writeHead(isReady ? 200 : 503, { 'Content-Length': 0 }).end()
  }

  #answerDirectory (request: http.IncomingMessage, response: http.ServerResponse): void {
    const { directory } = this.#adapter
    if (!directory.isAddressQuery(request)) {
      response.writeHead(404, { 'Content-Length': 0 }).end()
      return
    }
    const silentSinceMs = this.#env.nowMs() - peerSchedule.peerTimeoutMs(this.#peers.view, 'entry', 'entry')
    const addresses = clusterView.clientAddresses(
      this.#peers.view, this.#status(), directory.clientFailureDomain(request), silentSinceMs, MAX_ADDRESSES
    )
    const body = directory.encodeAnswer({ addresses, timeToLiveS: this.#options.addressLifetimeS })
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  }

  #answerPeer (request: http.IncomingMessage, response: http.ServerResponse): void {
    const body = this.#documents.encode(request.url ?? '')
    response.writeHead(body === undefined ? 404 : 200, {
      'Content-Length': Buffer.byteLength(body ?? ''), Connection: 'close'
    }).end(body)
  }

  async #listen (
    address: string, handler: clientConnections.RequestHandler, arrivals?: arrivalsModule.Arrivals
  ): Promise<http.Server> {
    const server = clientConnections.createServer({
      http: { maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: 1_000, noDelay: true },
      handler,
      pool: this.#clients,
      ...(arrivals === undefined ? {} : { arrivals })
    })
    const [host, port] = address.split(':')
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), host, 1_024, resolve)
    })
    this.#signal.addEventListener('abort', () => {
      server.close()
      server.closeAllConnections()
    }, { once: true })
    return server
  }

  /** Removes this process from the directory, serves clients with cached addresses, and resolves when it may exit. */
  async drain (): Promise<void> {
    this.#shutdown.begin()
    this.#peers.sendStatus()
    this.#context.queue.refreshLatestStarts()
    const clientLeaveMs = Math.min(
      this.#options.addressLifetimeS * 1_000 * CLIENT_LEAVE_LIFETIMES, this.#options.shutdownMs / 2
    )
    await this.#shutdown.finish(this.#clientServer, clientLeaveMs)
  }
}
