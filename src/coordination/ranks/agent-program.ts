/**
 * The agent process on a platform: reports the load of the rank beside it to the entries, carries out orders of the
 * group's lead, and leads the group itself when elected.
 */

import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as clusterView from '../../state/cluster-view.js'
import * as rankState from '../../state/rank-state.js'
import * as revision from '../../state/revision.js'
import * as rankCall from '../../protocol/rank-call.js'
import * as clientConnections from '../../transport/client-connections.js'
import * as httpServer from '../../transport/http-server.js'
import * as metricsServer from '../../transport/metrics-server.js'
import * as clientGuard from '../client-guard.js'
import * as membershipRow from '../cluster/membership-row.js'
import * as peerLinks from '../cluster/peer-links.js'
import * as sharedDocuments from '../cluster/shared-documents.js'
import * as leadElection from './lead-election.js'
import * as mapLead from './map-lead.js'
import * as rankCaller from './rank-caller.js'
import * as rankExecutor from './rank-executor.js'
import * as rankWatch from './rank-watch.js'
import type * as orderSender from './order-sender.js'
import type * as controlStore from '../../protocol/control-store.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as platformSettings from '../../protocol/platform-settings.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as rankSwitch from '../../state/rank-switch.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as clientPool from '../../transport/client-pool.js'
import type * as runtime from '../runtime.js'

/** The part of the platform's adapter that an agent uses. */
export interface AgentAdapter {
  store: controlStore.ControlStore
  rankAt: (address: string) => rankControl.RankControl
}

/** Interval at which the lead advances its map switch; an update of a rank advances it at once. */
const LEAD_TICK_MS = 50
/** An agent in a small group sends its rank's state ten times a second, so a few lost datagrams don't exceed this. */
const MIN_AGENT_TIMEOUT_MS = 1_200
/** Age up to which the index of agents by rank is used. */
const MAX_INDEX_AGE_MS = 50
/** A lead whose host is alive answers well within this time. */
const LEAD_QUESTION_TIMEOUT_MS = 250
/** Maximum wait at shutdown for a switch to end; its copies and orders take about a second. */
const DRAIN_TIMEOUT_MS = 3_000
/** A timer that fires a little early must not skip a repeat. */
const STATE_TIMER_TOLERANCE_MS = 20
const MAX_CALL_BYTES = 1024 * 1024

export async function startAgent (
  options: platformSettings.AgentOptions, adapter: AgentAdapter, env: runtime.Runtime, signal: AbortSignal
): Promise<{ drain: () => Promise<void> }> {
  const agent = new Agent(options, adapter, env, signal)
  await agent.start()
  return { drain: async () => { await agent.drain() } }
}

class Agent {
  readonly #options: platformSettings.AgentOptions
  readonly #adapter: AgentAdapter
  readonly #env: runtime.Runtime
  readonly #signal: AbortSignal
  readonly #rank: rankControl.RankControl
  readonly #clients: clientPool.ClientPool
  readonly #watch: rankWatch.RankWatch
  readonly #peers: peerLinks.PeerLinks
  readonly #documents: sharedDocuments.SharedDocuments
  readonly #election: leadElection.LeadElection
  readonly #lead: mapLead.MapLead
  readonly #remoteRanks = new Map<string, rankControl.RankControl>()
  readonly #executor: rankExecutor.RankExecutor
  /** Agents by the rank beside them, and when the index was built. */
  #agentsByRank: { peers: Map<number, clusterView.Peer>, atMs: number } | undefined
  /** The state that the lead was sent last. */
  #sentState: { state: rankState.RankState, leadAddress: string, atMs: number } | undefined
  /** Term for which the lead was started; undefined while another agent leads. */
  #ledTerm: number | undefined

  constructor (
    options: platformSettings.AgentOptions, adapter: AgentAdapter, env: runtime.Runtime, signal: AbortSignal
  ) {
    this.#options = options
    this.#adapter = adapter
    this.#env = env
    this.#signal = signal
    this.#rank = adapter.rankAt(options.rankAddress)
    this.#clients = clientGuard.createClientGuard(options, clientGuard.textReport(env), signal)
    this.#watch = new rankWatch.RankWatch({
      runtime: env,
      rank: this.#rank,
      onReport: reading => { this.#noteReading(reading) },
      onExtraReport: reading => { this.#noteState(reading) },
      isLeading: () => this.#election.term !== undefined,
      signal
    })
    this.#peers = new peerLinks.PeerLinks({
      runtime: env,
      address: options.peerAddress,
      role: 'agent',
      seeds: peerLinks.seedAddresses(options.seedHosts, options.peerAddress),
      status: () => this.#status(),
      onMessage: message => { this.#receive(message) },
      signal
    })
    this.#documents = new sharedDocuments.SharedDocuments({
      runtime: env, wanted: 'configuration', onConfiguration: () => {}, onBackends: () => {}, signal
    })
    const caller = new rankCaller.RankCaller(() => this.#ownLead())
    this.#election = new leadElection.LeadElection({
      runtime: env,
      store: adapter.store,
      peers: this.#peers,
      address: options.peerAddress,
      ownRank: () => this.#peerRank(),
      storeEra: () => this.#storeEra(),
      askTerm: async lead => {
        const group = this.#watch.group?.name
        if (group === undefined) return undefined
        const answer = await caller.call(lead, { kind: 'lead', group }, signal, LEAD_QUESTION_TIMEOUT_MS)
        return answer?.kind === 'lead' ? answer.term : undefined
      },
      signal
    })
    this.#executor = new rankExecutor.RankExecutor({
      runtime: env,
      rank: this.#rank,
      caller,
      group: () => this.#watch.group,
      engine: () => this.#engine(),
      isCurrentTerm: term => this.#election.isCurrentTerm(term),
      ownTerm: () => this.#election.term,
      onOrder: () => { this.#watch.expectChange() },
      onPopularityChange: () => { this.#lead.notePopularityChange() },
      signal
    })
    this.#lead = new mapLead.MapLead({
      runtime: env,
      caller,
      callOwnRank: async call => await this.#executor.execute(call),
      rankAt: address => this.#remoteRank(address),
      addressesOf: rank => this.#addressesOf(rank),
      engine: () => this.#engine(),
      mapOf: (epoch, version) => this.#executor.mapOf(epoch, version),
      isLeading: term => this.#election.term === term,
      onFenced: () => { this.#election.resign('a rank has orders of a later lead') },
      signal
    })
  }

  async start (): Promise<void> {
    await this.#peers.open()
    await this.#listen()
    await metricsServer.serveMetrics(this.#options.metricsAddress, this.#env.metrics, this.#clients, this.#signal)
    membershipRow.keepMembership({
      runtime: this.#env,
      store: this.#adapter.store,
      address: this.#options.peerAddress,
      role: 'agent',
      storeEra: () => this.#storeEra(),
      onMembers: addresses => { clusterView.addAddresses(this.#peers.view, addresses, this.#env.nowMs()) },
      signal: this.#signal
    })
    const timer = setInterval(() => { this.#advanceLead() }, LEAD_TICK_MS)
    this.#signal.addEventListener('abort', () => {
      clearInterval(timer)
    }, { once: true })
  }

  /** Completes a switch that has begun before giving up the lead, so that the group does not stay held. */
  async drain (): Promise<void> {
    this.#lead.stopPlanning()
    const endMs = this.#env.nowMs() + DRAIN_TIMEOUT_MS
    while (this.#election.term !== undefined && this.#lead.isSwitching && this.#env.nowMs() < endMs) {
      await timers.setTimeout(LEAD_TICK_MS)
    }
    this.#election.resign('the process stops')
  }

  #status (): clusterView.PeerStatus {
    return {
      address: this.#options.peerAddress,
      role: 'agent',
      failureDomain: this.#options.failureDomain,
      state: 'ready',
      clientAddress: '',
      configurationVersion: 0,
      backendRevision: revision.NO_REVISION,
      storeEra: this.#storeEra(),
      rank: this.#peerRank()
    }
  }

  /** The store may reach this process only through its peers. */
  #storeEra (): number {
    return Math.max(this.#adapter.store.era, this.#peers.view.storeEra)
  }

  #peerRank (): clusterView.PeerRank | undefined {
    const group = this.#watch.group
    return group === undefined ? undefined : { group: group.name, rank: group.rank, address: this.#options.rankAddress }
  }

  #receive (message: peerMessage.PeerMessage): void {
    if (message.kind === 'status') this.#documents.noteStatus(message.status)
    else if (message.kind === 'lead') this.#election.noteLead(message.group, message.term, message.address)
    else if (message.kind === 'rank' && message.group === this.#watch.group?.name) {
      this.#noteRank({ ...message.state, readAtMs: this.#env.nowMs() - message.ageMs })
    }
  }

  #noteReading (reading: rankWatch.RankReading): void {
    const { report, readAtMs } = reading
    const ageMs = Math.round(this.#env.nowMs() - readAtMs)
    this.#peers.sendLoad({
      kind: 'load',
      rankAddress: this.#options.rankAddress,
      startedAtUnixMs: report.startedAtUnixMs,
      isLeaving: report.isLeaving,
      load: {
        running: report.running,
        waiting: report.waiting,
        slots: 0,
        slowdown: report.slowdown,
        cacheTokensUsed: report.cacheTokensUsed
      },
      step: report.step,
      ageMs
    })
    this.#noteState(reading)
  }

  #noteRank (state: rankState.RankState): void {
    const { group } = this.#watch
    if (group === undefined || this.#ledTerm === undefined) this.#lead.noteRank(state)
    else this.#lead.noteRankDuringSwitch(state, group)
  }

  /** Tells the lead the state of the rank when it has changed or is due to be repeated. */
  #noteState (reading: rankWatch.RankReading): void {
    const { report, readAtMs } = reading
    const state = rankWatch.rankStateOf(reading)
    if (state === undefined) return
    this.#noteRank(state)
    const { leadAddress } = this.#election
    if (leadAddress === undefined || this.#election.term !== undefined) return
    const sent = this.#sentState?.leadAddress === leadAddress ? this.#sentState : undefined
    const isDue = sent === undefined || rankState.isChanged(sent.state, state) ||
      readAtMs - sent.atMs >= rankState.stateRepeatMs(report.group!.size) - STATE_TIMER_TOLERANCE_MS
    if (!isDue) return
    this.#sentState = { state, leadAddress, atMs: readAtMs }
    const ageMs = Math.round(this.#env.nowMs() - readAtMs)
    this.#peers.sendTo(leadAddress, { kind: 'rank', group: report.group!.name, state, ageMs })
  }

  /** The group that this agent leads, as each of its calls to other agents states it. */
  #ownLead (): rankCall.SentRankCall['lead'] {
    const [group, { term }] = [this.#watch.group?.name, this.#election]
    return group === undefined || term === undefined ? undefined : { group, term, address: this.#options.peerAddress }
  }

  #advanceLead (): void {
    const group = this.#watch.group
    const { term } = this.#election
    if (group === undefined || term === undefined) {
      this.#ledTerm = undefined
      return
    }
    if (this.#ledTerm !== term) {
      this.#ledTerm = term
      this.#lead.startTerm(group, term, this.#previousLead())
    }
    this.#lead.advance(group)
  }

  #previousLead (): rankSwitch.PreviousLead | undefined {
    const { previousLead } = this.#election
    if (previousLead === undefined) return undefined
    return { rank: this.#peers.view.peers.get(previousLead.address)?.status.rank?.rank, term: previousLead.term }
  }

  #addressesOf (rank: number): orderSender.RankAddresses {
    const peer = this.#indexedAgents().get(rank)
    if (peer === undefined) return { agent: undefined, rank: undefined, failureDomain: '' }
    const timeoutMs = Math.max(MIN_AGENT_TIMEOUT_MS, rankState.stateLifetimeMs(this.#watch.group?.size ?? 0))
    const isAlive = this.#env.nowMs() - peer.heardAtMs <= timeoutMs
    return {
      agent: isAlive ? peer.status.address : undefined,
      rank: peer.status.rank?.address,
      failureDomain: peer.status.failureDomain
    }
  }

  /** A lead looks all ranks up several times for each round of orders. */
  #indexedAgents (): Map<number, clusterView.Peer> {
    const nowMs = this.#env.nowMs()
    if (this.#agentsByRank === undefined || nowMs - this.#agentsByRank.atMs > MAX_INDEX_AGE_MS) {
      const group = this.#watch.group?.name
      const peers = new Map<number, clusterView.Peer>()
      for (const peer of this.#peers.view.peers.values()) {
        if (peer.status.rank !== undefined && peer.status.rank.group === group) peers.set(peer.status.rank.rank, peer)
      }
      this.#agentsByRank = { peers, atMs: nowMs }
    }
    return this.#agentsByRank.peers
  }

  #remoteRank (address: string): rankControl.RankControl {
    let rank = this.#remoteRanks.get(address)
    if (rank === undefined) {
      rank = this.#adapter.rankAt(address)
      this.#remoteRanks.set(address, rank)
    }
    return rank
  }

  /** Engine parameters of the service that uses expert maps. */
  #engine (): routingTable.EngineModel | undefined {
    for (const service of this.#documents.routing?.services.values() ?? []) {
      if (service.engine !== undefined && service.engine.expertSets > 0) return service.engine
    }
    return undefined
  }

  async #listen (): Promise<void> {
    const server = clientConnections.createServer({
      http: { noDelay: true },
      handler: (request, response) => {
        this.#handleRequest(request, response).catch((error: Error) => {
          response.destroy()
          this.#env.log.emit('requestFault', { url: request.url, detail: error.stack })
        })
      },
      pool: this.#clients
    })
    const [host, port] = this.#options.peerAddress.split(':')
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), host, resolve)
    })
    this.#signal.addEventListener('abort', () => {
      server.close()
      server.closeAllConnections()
    }, { once: true })
  }

  async #handleRequest (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const sent = request.url === rankCall.RANK_CALL_PATH ? await readCall(request) : undefined
    // The datagrams of a lead may be lost on a link that its calls fill.
    if (sent?.lead !== undefined) this.#election.noteLead(sent.lead.group, sent.lead.term, sent.lead.address)
    const answer: rankCall.RankCallAnswer = sent === undefined
      ? { kind: 'rejected', reason: 'the call can\'t be read' }
      : await this.#executor.execute(sent.call)
    const body = JSON.stringify(answer)
    response.writeHead(sent === undefined ? 400 : 200, { 'Content-Length': Buffer.byteLength(body) }).end(body)
  }
}

async function readCall (request: http.IncomingMessage): Promise<rankCall.SentRankCall | undefined> {
  const read = await httpServer.readBody(request, MAX_CALL_BYTES)
  if (read.kind !== 'whole') return undefined
  try {
    return rankCall.parseRankCall(JSON.parse(read.body.concat().toString('utf8')))
  } catch {
    return undefined
  }
}
