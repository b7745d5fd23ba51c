/**
 * The agent process on a platform: reports the load of the rank beside it to the entries, carries out orders of the
 * group's lead, and leads the group itself when elected.
 */

import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as clusterView from '../../state/cluster-view.js'
import * as countWindow from '../../state/count-window.js'
import * as expertRebalance from '../../state/expert-rebalance.js'
import * as mapChanges from '../../state/map-changes.js'
import * as revision from '../../state/revision.js'
import * as rankCall from '../../protocol/rank-call.js'
import * as metricsServer from '../../transport/metrics-server.js'
import * as membershipRow from '../cluster/membership-row.js'
import * as peerLinks from '../cluster/peer-links.js'
import * as sharedDocuments from '../cluster/shared-documents.js'
import * as leadElection from './lead-election.js'
import * as mapLead from './map-lead.js'
import * as rankCaller from './rank-caller.js'
import * as rankWatch from './rank-watch.js'
import type * as controlStore from '../../protocol/control-store.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as platformSettings from '../../protocol/platform-settings.js'
import type * as rankControl from '../../protocol/rank-control.js'
import type * as rankSwitch from '../../state/rank-switch.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as runtime from '../runtime.js'

/** The part of the platform's adapter that an agent uses. */
export interface AgentAdapter {
  store: controlStore.ControlStore
  rankAt: (address: string) => rankControl.RankControl
}

/** Interval at which the lead advances its map switch; an update of a rank advances it at once. */
const LEAD_TICK_MS = 50
/** Agents send their rank's state to the lead ten times a second, so a few lost datagrams don't exceed this timeout. */
const AGENT_TIMEOUT_MS = 1_200
/** Maximum wait at shutdown for a switch to end; its copies and orders take about a second. */
const DRAIN_TIMEOUT_MS = 3_000
/** Maximum number of maps kept: the one in use and later ones that were prepared but abandoned. */
const MAX_KEPT_MAPS = 6
/** Interval at which the rank's counts are read while a lead plans, so that it can request any recent window. */
const COUNTS_INTERVAL_MS = 250
/** Counts are read for this long after a request of a lead; a lead that plans sends one about every second. */
const COUNTS_REQUEST_MS = 5_000
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
  readonly #watch: rankWatch.RankWatch
  readonly #peers: peerLinks.PeerLinks
  readonly #documents: sharedDocuments.SharedDocuments
  readonly #election: leadElection.LeadElection
  readonly #lead: mapLead.MapLead
  readonly #remoteRanks = new Map<string, rankControl.RankControl>()
  readonly #maps: { epoch: number, version: number, map: rankControl.ExpertMap }[] = []
  readonly #counts = countWindow.createWindow()
  /** The last request of a lead for counts, and when reading them stops. */
  #countsRequest: { sets: number, untilMs: number } | undefined
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
    this.#watch = new rankWatch.RankWatch({
      runtime: env, rank: this.#rank, onReport: reading => { this.#noteReading(reading) }, signal
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
    this.#election = new leadElection.LeadElection({
      runtime: env,
      store: adapter.store,
      peers: this.#peers,
      address: options.peerAddress,
      ownRank: () => this.#peerRank(),
      storeEra: () => this.#storeEra(),
      signal
    })
    this.#lead = new mapLead.MapLead({
      runtime: env,
      caller: new rankCaller.RankCaller(),
      callOwnRank: async call => await this.#execute(call),
      rankAt: address => this.#remoteRank(address),
      addressesOf: rank => this.#addressesOf(rank),
      engine: () => this.#engine(),
      mapOf: (epoch, version) => this.#mapOf(epoch, version),
      isLeading: term => this.#election.term === term,
      onFenced: () => { this.#election.resign('a rank has orders of a later lead') },
      signal
    })
  }

  async start (): Promise<void> {
    await this.#peers.open()
    await this.#listen()
    await metricsServer.serveMetrics(this.#options.metricsAddress, this.#env.metrics, this.#signal)
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
    const countsTimer = setInterval(() => { this.#readCounts() }, COUNTS_INTERVAL_MS)
    this.#signal.addEventListener('abort', () => {
      clearInterval(timer)
      clearInterval(countsTimer)
    }, { once: true })
  }

  async #readCounts (): Promise<void> {
    if (this.#countsRequest === undefined || this.#env.nowMs() > this.#countsRequest.untilMs) return
    const counts = await this.#rank.counts(this.#countsRequest.sets, this.#signal)
    if (counts !== undefined) countWindow.addSample(this.#counts, counts, this.#env.nowMs())
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
      this.#lead.noteRank({ ...message.state, readAtMs: this.#env.nowMs() - message.ageMs })
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
    const state = rankWatch.rankStateOf(reading)
    if (state === undefined) return
    this.#lead.noteRank(state)
    const { leadAddress } = this.#election
    if (leadAddress !== undefined && this.#election.term === undefined) {
      this.#peers.sendTo(leadAddress, { kind: 'rank', group: report.group!.name, state, ageMs })
    }
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

  #addressesOf (rank: number): mapLead.RankAddresses {
    const group = this.#watch.group?.name
    const peer = [...this.#peers.view.peers.values()].find(candidate =>
      candidate.status.rank?.group === group && candidate.status.rank?.rank === rank)
    if (peer === undefined) return { agent: undefined, rank: undefined }
    const isAlive = this.#env.nowMs() - peer.heardAtMs <= AGENT_TIMEOUT_MS
    return { agent: isAlive ? peer.status.address : undefined, rank: peer.status.rank?.address }
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

  async #execute (call: rankCall.RankCall): Promise<rankCall.RankCallAnswer> {
    if (call.kind === 'counts') {
      this.#countsRequest = { sets: call.sets, untilMs: this.#env.nowMs() + COUNTS_REQUEST_MS }
      const counts = await this.#rank.counts(call.sets, this.#signal)
      if (counts === undefined) return { kind: 'counts', counts }
      const { nowMs, random } = this.#env
      return { kind: 'counts', counts: countWindow.countsSince(this.#counts, counts, call.windowMs, nowMs(), random) }
    }
    if (call.kind === 'placed') return { kind: 'placed', placed: await this.#rank.placedExperts(this.#signal) }
    if (call.kind === 'state') return { kind: 'state', ...await this.#readState() }
    if (!this.#election.isCurrentTerm(call.term)) return { kind: 'rejected', reason: 'another agent leads' }
    const order = call.order.kind === 'prepare_changes' ? this.#expandOrder(call.epoch, call.order) : call.order
    if (order === undefined) return { kind: 'map_unknown' }
    if (order.kind === 'prepare') this.#keepMap(call.epoch, order)
    const outcome = await this.#rank.order(order, call.epoch, call.term, this.#signal)
    return { kind: 'ordered', outcome, ...await this.#readState() }
  }

  /** @returns the order with the whole map; undefined when the base map is unknown or the digest differs. */
  #expandOrder (epoch: number, order: rankCall.PrepareChanges): rankControl.RankOrder | undefined {
    const base = this.#mapOf(epoch, order.baseVersion)
    const map = base === undefined ? undefined : mapChanges.applyChanges(base, order.changes)
    if (map === undefined || mapChanges.digestOf(map) !== order.digest) return undefined
    return { kind: 'prepare', version: order.version, map }
  }

  #mapOf (epoch: number, version: number): rankControl.ExpertMap | undefined {
    const [engine, group] = [this.#engine(), this.#watch.group]
    if (version === 0 && engine !== undefined && group !== undefined) {
      return expertRebalance.initialMap(engine.expertSets, engine.expertsPerSet, group.size)
    }
    return this.#maps.find(known => known.epoch === epoch && known.version === version)?.map
  }

  /** Reads the rank's current state. */
  async #readState (): Promise<{ state: rankSwitch.RankState | undefined, ageMs: number }> {
    const readAtMs = this.#env.nowMs()
    const report = await this.#rank.report(this.#signal)
    return {
      state: report === undefined ? undefined : rankWatch.rankStateOf({ report, readAtMs }),
      ageMs: this.#env.nowMs() - readAtMs
    }
  }

  /** Keeps a prepared map, since this agent may become the lead and then needs the map in use. */
  #keepMap (epoch: number, order: rankControl.RankOrder & { kind: 'prepare' }): void {
    if (this.#maps.some(known => known.epoch === epoch && known.version === order.version)) return
    this.#maps.push({ epoch, version: order.version, map: order.map })
    if (this.#maps.length > MAX_KEPT_MAPS) this.#maps.shift()
  }

  async #listen (): Promise<void> {
    const server = http.createServer({ noDelay: true }, (request, response) => {
      this.#handleRequest(request, response)
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
    const call = request.url === rankCall.RANK_CALL_PATH ? await readCall(request) : undefined
    const answer: rankCall.RankCallAnswer = call === undefined
      ? { kind: 'rejected', reason: 'the call can\'t be read' }
      : await this.#execute(call)
    const body = JSON.stringify(answer)
    response.writeHead(call === undefined ? 400 : 200, { 'Content-Length': Buffer.byteLength(body) }).end(body)
  }
}

async function readCall (request: http.IncomingMessage): Promise<rankCall.RankCall | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > MAX_CALL_BYTES) return undefined
      chunks.push(chunk)
    }
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as rankCall.RankCall
  } catch {
    return undefined
  }
}
