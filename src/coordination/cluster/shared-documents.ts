/**
 * The configuration and the list of backend servers, from the store or, while it does not answer, from a peer with a
 * newer version. Older versions are never applied.
 */

import * as http from 'node:http'
import * as httpCall from '../../transport/http-call.js'
import * as backendTable from '../../state/backend-table.js'
import * as revisionModule from '../../state/revision.js'
import * as routingTable from '../../state/routing-table.js'
import * as tableDocument from '../../state/table-document.js'
import type * as backendPool from '../../state/backend-pool.js'
import type * as clusterView from '../../state/cluster-view.js'
import type * as runtime from '../runtime.js'

/** Which documents a process fetches from peers. Agents don't need the list of backend servers. */
export type WantedDocuments = 'all' | 'configuration'

export interface SharedDocumentsOptions {
  runtime: runtime.Runtime
  wanted: WantedDocuments
  onConfiguration: (table: routingTable.RoutingTable) => void
  onBackends: (rows: backendPool.BackendRow[]) => void
  signal: AbortSignal
}

/** JSON form in which peers serve the documents. */
interface PeerDocuments extends tableDocument.TableDocument {
  configuration: routingTable.Configuration | null
}

const PATHS = { all: '/documents', configuration: '/documents/configuration', removed: '/documents/removed' }
/** Minimum interval of an agent's fetches: it only reads the engine parameters, which seldom change. */
const CONFIGURATION_INTERVAL_MS = 5_000
const FETCH_TIMEOUT_MS = 800
/** A configuration with thousands of routes takes about 1 MB. */
const MAX_DOCUMENTS_BYTES = 8 * 1024 * 1024
const SETTLE_INTERVAL_MS = 200

export class SharedDocuments {
  routing: routingTable.RoutingTable | undefined
  readonly table = backendTable.createTable()
  readonly #options: SharedDocumentsOptions
  readonly #agent = new http.Agent({ keepAlive: false })
  #isFetching = false
  #fetchedAtMs = -Infinity
  /** Whether a peer has told which instances were removed before this process started. */
  #knowsRemoved = false
  #encodedCache: { version: number, text: string } | undefined

  constructor (options: SharedDocumentsOptions) {
    this.#options = options
    const timer = setInterval(() => {
      if (backendTable.settle(this.table, options.runtime.nowMs())) this.publishBackends()
    }, SETTLE_INTERVAL_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  get configurationVersion (): number {
    return this.routing?.configuration.version ?? 0
  }

  /** Applies a configuration that is newer than the current one. @param source origin of the document, for the log. */
  applyConfiguration (configuration: routingTable.Configuration, source: string): void {
    if (configuration.version <= this.configurationVersion) return
    this.routing = routingTable.compileRoutingTable(configuration)
    this.#options.runtime.log.emit('configurationApplied', {
      version: configuration.version, source, routes: configuration.routes.length, teams: configuration.teams?.length
    })
    this.#options.onConfiguration(this.routing)
  }

  publishBackends (): void {
    const rows = backendTable.rowsOf(this.table)
    this.#options.runtime.log.emit('backendsApplied', {
      revision: this.table.revision,
      ready: rows.filter(row => row.state === 'ready').length,
      draining: rows.filter(row => row.state === 'draining').map(row => row.id)
    })
    this.#options.onBackends(rows)
  }

  /** @returns the documents that a peer requests; undefined for an unknown path. */
  encode (path: string): string | undefined {
    if (path === PATHS.configuration) return `{"configuration":${this.#encodedConfiguration()}}`
    if (path === PATHS.removed) return this.#encodedRemoved()
    if (path !== PATHS.all) return undefined
    const table = JSON.stringify(tableDocument.encodeTable(this.table, this.#options.runtime.nowMs()))
    return `{"configuration":${this.#encodedConfiguration()},${table.slice(1)}`
  }

  #encodedRemoved (): string {
    return JSON.stringify({ removed: tableDocument.encodeRemoved(this.table, this.#options.runtime.nowMs()) })
  }

  /** The encoded form is cached, since many peers request the same version within a second. */
  #encodedConfiguration (): string {
    const version = this.configurationVersion
    if (this.#encodedCache?.version !== version) {
      this.#encodedCache = { version, text: JSON.stringify(this.routing?.configuration ?? null) }
    }
    return this.#encodedCache.text
  }

  /** Fetches the documents from a peer that has newer ones. */
  noteStatus (status: clusterView.PeerStatus): void {
    const isNewer = this.#isNewer(status)
    const lacksRemoved = this.#options.wanted === 'all' && !this.#knowsRemoved && status.role === 'entry'
    if (this.#isFetching || !(isNewer || lacksRemoved)) return
    this.#isFetching = true
    this.#fetchedAtMs = this.#options.runtime.nowMs()
    const fetching = isNewer ? this.#fetch(status.address) : this.#fetchRemoved(status.address)
    fetching.catch((error: Error) => {
      this.#options.runtime.log.emit('peerFetchFailed', { peer: status.address, reason: error.message })
    }).finally(() => { this.#isFetching = false })
  }

  #isNewer (status: clusterView.PeerStatus): boolean {
    const isNewer = status.configurationVersion > this.configurationVersion
    if (this.#options.wanted === 'all') return isNewer || this.#isAhead(status.backendRevision)
    const isDue = this.#options.runtime.nowMs() - this.#fetchedAtMs > CONFIGURATION_INTERVAL_MS
    return isNewer && (isDue || this.routing === undefined)
  }

  #isAhead (revision: unknown): boolean {
    const parsed = revisionModule.parseRevision(revision)
    return parsed !== undefined && revisionModule.isBefore(this.table.revision, parsed)
  }

  async #call (peer: string, path: string): Promise<Extract<httpCall.HttpCallResult, { kind: 'answer' }>> {
    const result = await httpCall.callHttp({
      address: peer,
      method: 'GET',
      path,
      agent: this.#agent,
      maxBodyBytes: MAX_DOCUMENTS_BYTES,
      timeoutMs: FETCH_TIMEOUT_MS,
      signal: this.#options.signal
    })
    if (result.kind === 'failed') throw new Error(result.reason)
    return result
  }

  /** A process that starts after the store was restored would use servers that left before it started. */
  async #fetchRemoved (peer: string): Promise<void> {
    const answer = await this.#call(peer, PATHS.removed)
    this.#knowsRemoved = true
    // An earlier version doesn't know the path.
    if (answer.status !== 200) return
    const { removed } = JSON.parse(answer.body.toString('utf8')) as { removed: tableDocument.ToldRemoval[] }
    if (tableDocument.mergeRemoved(this.table, removed, this.#options.runtime.nowMs())) this.publishBackends()
  }

  async #fetch (peer: string): Promise<void> {
    const result = await this.#call(peer, PATHS[this.#options.wanted])
    const documents = JSON.parse(result.body.toString('utf8')) as PeerDocuments
    if (documents.configuration !== null) this.applyConfiguration(documents.configuration, peer)
    if (this.#options.wanted === 'configuration') return
    if (documents.removed !== undefined) this.#knowsRemoved = true
    if (tableDocument.mergeTable(this.table, documents, this.#options.runtime.nowMs())) this.publishBackends()
  }
}
