/**
 * Which agent leads a group. The lead is recorded in one row of the store, written only when the lead changes; its
 * number rises each time and fences the orders. While the store is away nobody new takes over.
 */

import * as clusterView from '../../state/cluster-view.js'
import type * as controlStore from '../../protocol/control-store.js'
import type * as peerLinks from '../cluster/peer-links.js'
import type * as runtime from '../runtime.js'

export interface LeadElectionOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  peers: Pick<peerLinks.PeerLinks, 'view' | 'broadcast' | 'alivePeers'>
  address: string
  /** Group and rank of the agent's own rank. */
  ownRank: () => clusterView.PeerRank | undefined
  signal: AbortSignal
}

const TABLE = 'bulrush-leads'
const TICK_MS = 150
/** A lead that was silent for this long is replaced; shorter than clients wait for the next event of a held group. */
const LEAD_SILENT_MS = 700
/** A process hears its peers before it takes the lead. */
const LISTEN_FIRST_MS = 1_200
/** A timer that fires this late means that the process or its host stood still; another agent may lead by now. */
const STANDSTILL_MS = 700
const RETRY_TAKEOVER_MS = 500
/** A lower rank that lives leads and is heard within this time after its own turn. */
const TURN_MS = 400

export class LeadElection {
  /** Number of this agent's lead; undefined while another agent leads. */
  term: number | undefined
  leadAddress: string | undefined
  /** The agent that led before this one. */
  previousLead: RecordedLead | undefined
  #highestTerm = 0
  readonly #options: LeadElectionOptions
  readonly #startedAtMs: number
  #leadHeardAtMs = -Infinity
  #lastTickMs: number
  #lastTickUnixMs = Date.now()
  #lastTryMs = -Infinity
  #isTrying = false

  constructor (options: LeadElectionOptions) {
    this.#options = options
    this.#startedAtMs = options.runtime.nowMs()
    this.#lastTickMs = this.#startedAtMs
    const timer = setInterval(() => { this.#tick() }, TICK_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  noteLead (group: string, term: number, address: string): void {
    if (group !== this.#options.ownRank()?.group || term < this.#highestTerm) return
    this.#highestTerm = term
    if (address === this.#options.address) return
    this.leadAddress = address
    this.#leadHeardAtMs = this.#options.runtime.nowMs()
    if (this.term !== undefined && term > this.term) this.resign(`an agent with number ${term} leads`)
  }

  resign (reason: string): void {
    if (this.term === undefined) return
    this.#options.runtime.log.emit('mapLeadLost', { term: this.term, reason })
    this.term = undefined
  }

  /** Whether an order with this number may be carried out here. */
  isCurrentTerm (term: number): boolean {
    return term >= this.#highestTerm
  }

  #tick (): void {
    const { runtime: { nowMs, random }, peers, address, ownRank } = this.#options
    const stoodStill = nowMs() - this.#lastTickMs > TICK_MS + STANDSTILL_MS ||
      Date.now() - this.#lastTickUnixMs > TICK_MS + STANDSTILL_MS
    this.#lastTickMs = nowMs()
    this.#lastTickUnixMs = Date.now()
    if (stoodStill) {
      this.resign('the process stood still')
      // Another agent may lead by now; it is heard before this one tries to lead again.
      this.#leadHeardAtMs = nowMs()
    }
    const own = ownRank()
    if (own === undefined) return
    if (this.term !== undefined) {
      peers.broadcast({ kind: 'lead', group: own.group, term: this.term, address }, 'agent')
      return
    }
    if (this.#isTrying || !this.#shouldTakeOver(own) ||
      nowMs() - this.#lastTryMs < RETRY_TAKEOVER_MS * (1 + random())) {
      return
    }
    this.#lastTryMs = nowMs()
    this.#isTrying = true
    this.#takeOver(own).finally(() => { this.#isTrying = false })
  }

  /**
   * The lowest rank whose agent lives takes over a silent lead. The others wait longer the more lower ranks seem to
   * live. Load pattern: many agents end at once, and in a large group each counts as alive for seconds.
   */
  #shouldTakeOver (own: clusterView.PeerRank): boolean {
    const { runtime: { nowMs }, peers } = this.#options
    // The silent lead itself may count as alive, too.
    const lower = peers.alivePeers('agent').filter(({ status: { address, rank } }) =>
      address !== this.leadAddress && rank?.group === own.group && rank.rank < own.rank)
    const silentSinceMs = Math.max(this.#leadHeardAtMs, this.#startedAtMs + LISTEN_FIRST_MS - LEAD_SILENT_MS)
    return nowMs() - silentSinceMs >= LEAD_SILENT_MS + lower.length * TURN_MS
  }

  /** Whether the store records a lead that this process has had no chance to hear. */
  #isUnheard (recorded: RecordedLead): boolean {
    return recorded.term > this.#highestTerm && recorded.address !== this.#options.address
  }

  /**
   * Load pattern: the processes of a large group start together and have not all heard one another when the first one
   * leads. Without this wait each of them would take the lead from the one before.
   */
  #awaitRecorded (recorded: RecordedLead): void {
    const { runtime: { nowMs }, peers } = this.#options
    this.#highestTerm = recorded.term
    this.leadAddress = recorded.address
    this.#leadHeardAtMs = nowMs()
    clusterView.addAddresses(peers.view, [recorded.address], nowMs())
  }

  async #takeOver (own: clusterView.PeerRank): Promise<void> {
    const { group } = own
    const { runtime: { log }, store, address, signal } = this.#options
    const listed = await store.list(TABLE, '', signal)
    // A lead may have been heard while the store answered.
    if (listed.kind !== 'ok' || !this.#shouldTakeOver(own)) return
    const row = listed.value.rows.find(candidate => candidate.key === group)
    const recorded = leadOf(row?.value)
    if (recorded !== undefined && this.#isUnheard(recorded)) {
      this.#awaitRecorded(recorded)
      return
    }
    const term = Math.max(this.#highestTerm, recorded?.term ?? 0) + 1
    const written = await store.write(
      [{ table: TABLE, partition: '', key: group, value: Buffer.from(JSON.stringify({ term, address })) }],
      [{ table: TABLE, partition: '', key: group, revision: row?.revision ?? 0 }],
      signal
    )
    // A write without an answer may have taken effect; the next try then finds the row and takes a higher number.
    if (written.kind !== 'ok') return
    this.#highestTerm = term
    this.term = term
    this.previousLead = recorded
    this.leadAddress = address
    log.emit('mapLeadTaken', { group, term, before: row?.value?.toString('utf8') })
  }
}

export interface RecordedLead {
  term: number
  address: string
}

function leadOf (value: Buffer | undefined): RecordedLead | undefined {
  if (value === undefined) return undefined
  try {
    const parsed = JSON.parse(value.toString('utf8')) as Partial<RecordedLead>
    if (typeof parsed.term === 'number' && typeof parsed.address === 'string') return parsed as RecordedLead
  } catch {
    // The row is replaced by the next lead.
  }
  return undefined
}
