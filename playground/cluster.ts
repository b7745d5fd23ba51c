/**
 * A complete deployment on loopback, each part in its own process: platform stand-ins, entries, agents and backend
 * servers.
 */

import * as crypto from 'node:crypto'
import * as processRunner from './process-runner.js'
import type * as engine from '../standins/engine.js'
import * as faultProxy from '../standins/fault-proxy.js'

/** Kinds of connections that a fault-injecting proxy can be placed on. */
export type ProxiedLink = 'table' | 'hostList' | 'caller' | 'peer' | 'agent' | 'backend'

export interface ClusterOptions {
  failureDomains: string[]
  entries: number
  models: {
    name: string
    servers: number
    stepMs: number
    repeatable?: boolean
    /** Options of the engine stand-in for each server, by the server's index. */
    engine?: (index: number) => Partial<engine.EngineOptions>
  }[]
  services: { name: string, servers: number, delayMs: number, repeatable: boolean }[]
  teams: string[]
  region?: string
  /** Region of each failure domain. Failure domains that are not listed belong to `region`. */
  regions?: Record<string, string>
  agentFlags?: string[]
  entryFlags?: string[]
  /** Program of the entries, relative to the build output. */
  entryProgram?: string
  /** Maximum duration of the graceful shutdown on SIGTERM; 0, the default, ends processes at once. */
  drainTimeoutMs?: number
  /** Kinds of connections that pass through fault-injecting proxies, one proxy for each target. */
  proxied?: ProxiedLink[]
  /** Source address, on loopback, of the connections from each failure domain's entries. */
  sourceAddresses?: Record<string, string>
  /** Mean time between two snapshots that an entry writes to the object store; undefined disables the object store. */
  snapshotPeriodMs?: number
  /** Limits of entries and agents. */
  processLimits?: { nodeFlags: string[], env: Record<string, string>, maxDescriptors: number }
}

export interface EntryNode {
  process: processRunner.RunningProcess
  host: string
  failureDomain: string
  address: string
  peerAddress: string
  isLeaving: boolean
  callerProxy: faultProxy.FaultProxy | undefined
  peerProxy: faultProxy.FaultProxy | undefined
  entryFlags: string[]
}

export interface PlatformCounts {
  reads: number
  /** Reads that list rows; also counted in `reads`. */
  queries: number
  writes: number
  /** Requests to the table service beyond its rate limit. */
  throttled: number
  /** Requests closed without an answer while the table service was down. */
  cut: number
  objects: { gets: number, puts: number }
}

export interface BackendNode {
  agent: processRunner.RunningProcess
  server: processRunner.RunningProcess
  host: string
  failureDomain: string
  agentAddress: string
  serverAddress: string
  serves: string
  kind: 'model' | 'plain'
  isLeaving: boolean
  agentProxy: faultProxy.FaultProxy | undefined
  backendProxy: faultProxy.FaultProxy | undefined
  agentFlags: string[]
}

export interface EntryStatus {
  revision: number
  self: { inFlight: number }
  servers: { identity: { incarnation: string, host: string }, load: { status: string }, homes: number }[]
  /** The other entries; `heardAtMs` is null for one without a heartbeat since its connection began. */
  entries: { host: string, heardAtMs: number | null }[]
}

const ENTRY_PROGRAM = 'src/bin/bulrush-entry.js'
const AGENT_PROGRAM = 'src/bin/bulrush-agent.js'

export const OPERATOR_KEY = 'operator-key-for-tests'

export class Cluster {
  readonly options: ClusterOptions
  readonly entries: EntryNode[] = []
  readonly backends: BackendNode[] = []
  platform!: processRunner.RunningProcess
  tableProxy: faultProxy.FaultProxy | undefined
  hostListProxy: faultProxy.FaultProxy | undefined
  readonly #proxies: faultProxy.FaultProxy[] = []

  constructor (options: ClusterOptions) {
    this.options = options
  }

  get tableUrl (): string { return `http://${this.tableProxy?.address ?? this.platform.ready['table'] as string}` }
  get hostListUrl (): string { return `http://${this.hostListProxy?.address ?? this.platform.ready['hosts'] as string}/` }

  /** Sets faults of a platform stand-in, such as `{ mode: 'down' }` or `{ lostAnswers: 1 }` for the table service. */
  async setPlatform (service: 'table' | 'hosts' | 'objects', faults: object): Promise<void> {
    await fetch(`http://${this.platform.ready['control'] as string}/${service}`, {
      method: 'POST', body: JSON.stringify(faults)
    })
  }

  async platformCounts (): Promise<PlatformCounts> {
    const response = await fetch(`http://${this.platform.ready['control'] as string}/`)
    return (await response.json() as { counts: PlatformCounts }).counts
  }

  /** Starts a proxy for a connection, if the options request one. */
  async #startProxy (link: ProxiedLink, target = ''): Promise<faultProxy.FaultProxy | undefined> {
    if (this.options.proxied?.includes(link) !== true) return undefined
    const proxy = new faultProxy.FaultProxy(target)
    await proxy.listen()
    this.#proxies.push(proxy)
    return proxy
  }

  async start (): Promise<void> {
    this.platform = await processRunner.startProcess('platform', 'standins/platform.js', [])
    this.tableProxy = await this.#startProxy('table', this.platform.ready['table'] as string)
    this.hostListProxy = await this.#startProxy('hostList', this.platform.ready['hosts'] as string)
    const { models, services } = this.options
    await Promise.all([
      ...Array.from({ length: this.options.entries }, (_, index) => this.startEntry(index)),
      ...models.flatMap(model => Array.from({ length: model.servers }, (_, index) =>
        this.startBackend('model', model.name, index, model.stepMs, model.engine?.(index)))),
      ...services.flatMap(service => Array.from({ length: service.servers }, (_, index) =>
        this.startBackend('plain', service.name, index, service.delayMs)))
    ])
    await this.publishHosts()
    await this.configure()
    await this.waitUntilServing()
  }

  domainOf (index: number): string {
    return this.options.failureDomains[index % this.options.failureDomains.length]!
  }

  regionOf (failureDomain: string): string {
    return this.options.regions?.[failureDomain] ?? this.options.region ?? 'default'
  }

  /** @param flags flags of the entry that override those of the cluster. */
  async startEntry (index: number, flags: string[] = []): Promise<EntryNode> {
    const host = `entry-${index}`
    const failureDomain = this.domainOf(index)
    const callerProxy = await this.#startProxy('caller')
    const peerProxy = await this.#startProxy('peer')
    const entryFlags = [
      '--host', host, '--failure-domain', failureDomain, '--region', this.regionOf(failureDomain),
      '--host-list-url', this.hostListUrl, '--table-url', this.tableUrl, '--operator-key', OPERATOR_KEY,
      '--advertise', callerProxy?.address ?? '', '--peer-advertise', peerProxy?.address ?? '',
      '--drain-timeout-ms', String(this.options.drainTimeoutMs ?? 0), ...this.#snapshotFlags(),
      ...(this.options.entryFlags ?? []), ...flags
    ]
    const started = await this.#startEntryProcess(host, failureDomain, entryFlags)
    callerProxy?.setTarget(started.ready['listening'] as string)
    peerProxy?.setTarget(started.ready['peerListening'] as string)
    const node: EntryNode = {
      process: started,
      host,
      failureDomain,
      address: started.ready['address'] as string,
      peerAddress: started.ready['peerAddress'] as string,
      isLeaving: false,
      callerProxy,
      peerProxy,
      entryFlags
    }
    this.entries.push(node)
    return node
  }

  /** Starts a new process for an entry whose process has ended. Its addresses stay the same if they are proxied. */
  async restartEntry (node: EntryNode): Promise<void> {
    node.process = await this.#startEntryProcess(node.host, node.failureDomain, node.entryFlags)
    node.address = node.process.ready['address'] as string
    node.peerAddress = node.process.ready['peerAddress'] as string
    node.callerProxy?.setTarget(node.process.ready['listening'] as string)
    node.peerProxy?.setTarget(node.process.ready['peerListening'] as string)
  }

  #startEntryProcess (host: string, failureDomain: string, flags: string[]): Promise<processRunner.RunningProcess> {
    const { entryProgram = ENTRY_PROGRAM, sourceAddresses } = this.options
    return this.#startLimited(host, entryProgram, flags, sourceAddresses?.[failureDomain])
  }

  #startLimited (
    host: string, program: string, flags: string[], sourceAddress?: string
  ): Promise<processRunner.RunningProcess> {
    const { nodeFlags, env, maxDescriptors } = this.options.processLimits ?? {}
    return processRunner.startProcess(host, program, flags, sourceAddress, nodeFlags, env, maxDescriptors)
  }

  #snapshotFlags (): string[] {
    if (this.options.snapshotPeriodMs === undefined) return []
    const url = `http://${this.platform.ready['objects'] as string}/bucket`
    return ['--object-store-url', url, '--snapshot-period-ms', String(this.options.snapshotPeriodMs)]
  }

  /** @param flags flags of the agent that override those of the cluster. */
  async startBackend (
    kind: 'model' | 'plain', name: string, index: number, timeMs: number,
    engineOptions: Partial<engine.EngineOptions> = {}, flags: string[] = []
  ): Promise<BackendNode> {
    const host = `${name}-${index}`
    const failureDomain = this.domainOf(index)
    const server = await processRunner.startProcess(`${host}-server`, 'standins/backend.js',
      [kind, name, String(timeMs), '127.0.0.1:0', JSON.stringify(engineOptions)])
    const serverAddress = server.ready['address'] as string
    const backendProxy = await this.#startProxy('backend', serverAddress)
    const agentProxy = await this.#startProxy('agent')
    const agentFlags = [
      '--host', host, '--failure-domain', failureDomain, '--region', this.regionOf(failureDomain),
      '--host-list-url', this.hostListUrl, '--backend-address', backendProxy?.address ?? serverAddress,
      '--advertise', agentProxy?.address ?? '',
      kind === 'model' ? '--models' : '--services', name,
      '--drain-timeout-ms', String(this.options.drainTimeoutMs ?? 0), ...(this.options.agentFlags ?? []), ...flags
    ]
    const agent = await this.#startLimited(host, AGENT_PROGRAM, agentFlags)
    agentProxy?.setTarget(agent.ready['listening'] as string)
    const node: BackendNode = {
      agent,
      server,
      host,
      failureDomain,
      agentAddress: agent.ready['address'] as string,
      serverAddress,
      serves: name,
      kind,
      isLeaving: false,
      agentProxy,
      backendProxy,
      agentFlags
    }
    this.backends.push(node)
    return node
  }

  /** Starts a new process for an agent whose process has ended. */
  async restartAgent (node: BackendNode): Promise<void> {
    node.agent = await this.#startLimited(node.host, AGENT_PROGRAM, node.agentFlags)
    node.agentAddress = node.agent.ready['address'] as string
    node.agentProxy?.setTarget(node.agent.ready['listening'] as string)
  }

  /** Publishes all running entries and agents to the host list. */
  async publishHosts (): Promise<void> {
    const groups = [
      ...this.entries.filter(entry => !entry.process.hasExited()).map(entry => ({
        targets: [entry.address],
        labels: {
          role: 'entry',
          host: entry.host,
          peer_address: entry.peerAddress,
          failure_domain: entry.failureDomain,
          region: this.regionOf(entry.failureDomain),
          state: entry.isLeaving ? 'leaving' : 'live'
        }
      })),
      ...this.backends.filter(backend => !backend.agent.hasExited()).map(backend => ({
        targets: [backend.agentAddress],
        labels: {
          role: 'agent',
          host: backend.host,
          failure_domain: backend.failureDomain,
          region: this.regionOf(backend.failureDomain),
          state: backend.isLeaving ? 'leaving' : 'live'
        }
      }))
    ]
    await fetch(this.hostListUrl, { method: 'PUT', body: JSON.stringify(groups) })
  }

  /** Writes one template and all teams through the operator API of an entry. */
  async configure (): Promise<void> {
    const services = Object.fromEntries([
      ...this.options.models.map(model => [model.name, { kind: 'model', repeatable: model.repeatable ?? true, timeoutMs: 30_000 }]),
      ...this.options.services.map(service =>
        [service.name, { kind: 'plain', repeatable: service.repeatable, timeoutMs: 10_000 }])
    ]) as object
    await this.putDocument('templates', 'standard', 0, {
      name: 'standard',
      parameters: { services, limits: { requestsPerSecond: 100_000, concurrentRequests: 100_000 } }
    })
    for (const team of this.options.teams) {
      await this.putDocument('teams', team, 0, {
        name: team, template: 'standard', parameters: {}, keyDigests: [digestOf(teamKey(team))]
      })
    }
  }

  async putDocument (
    kind: 'templates' | 'teams', name: string, revision: number, document: unknown, entry = this.entries[0]!
  ): Promise<Response> {
    const response = await fetch(`http://${entry.address}/admin/v1/${kind}/${name}`, {
      method: 'PUT',
      headers: {
        authorization: `Bearer ${OPERATOR_KEY}`, 'if-match': `"${revision}"`, 'x-operator': 'playground'
      },
      body: JSON.stringify(document)
    })
    if (!response.ok) throw new Error(`${kind}/${name}: ${response.status} ${await response.text()}`)
    return response
  }

  async statusOf (entry: EntryNode): Promise<EntryStatus> {
    const response = await fetch(`http://${entry.address}/admin/v1/status`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` }, signal: AbortSignal.timeout(2_000)
    })
    return await response.json() as EntryStatus
  }

  /** Waits until every running entry has the configuration and reports every running backend server as serving. */
  async waitUntilServing (timeoutMs = 15_000): Promise<void> {
    const wantedRevision = 1 + this.options.teams.length
    const wantedServers = this.backends.filter(backend => !backend.agent.hasExited()).length
    await waitFor('all entries serve', timeoutMs, async () => {
      const statuses = await Promise.all(this.entries
        .filter(entry => !entry.process.hasExited()).map(entry => this.statusOf(entry)))
      return statuses.every(status => status.revision >= wantedRevision &&
        status.servers.filter(server => server.load.status === 'serving').length >= wantedServers)
    })
  }

  /** Ends all processes, also paused ones, and waits for their exit. Sends SIGKILL after 5 s. */
  async stop (): Promise<void> {
    const all = [
      ...this.entries.map(entry => entry.process),
      ...this.backends.flatMap(backend => [backend.agent, backend.server]),
      ...(this.platform === undefined ? [] : [this.platform])
    ]
    for (const running of all) {
      running.kill('SIGCONT')
      running.kill('SIGTERM')
    }
    const killTimer = setTimeout(() => { for (const running of all) running.kill('SIGKILL') }, 5_000)
    await Promise.all(all.map(running => running.exited))
    clearTimeout(killTimer)
    await Promise.all(this.#proxies.map(proxy => proxy.close()))
  }
}

export function teamKey (team: string): string {
  return `key-of-${team}`
}

export function digestOf (text: string | Buffer): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}

/** Waits for a condition. @returns the time it took, in ms. @throws after `timeoutMs`, with the condition's name. */
export async function waitFor (
  name: string, timeoutMs: number, condition: () => Promise<boolean> | boolean
): Promise<number> {
  const startedAtMs = performance.now()
  for (;;) {
    if (await Promise.resolve(condition()).catch(() => false)) return performance.now() - startedAtMs
    if (performance.now() - startedAtMs > timeoutMs) throw new Error(`condition not met within ${timeoutMs} ms: ${name}`)
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}
