/**
 * Elects the agent that leads a group. The lead is recorded in one row of the store, which is written only when the
 * lead changes. Its term increases each time and fences orders of earlier leads. While the store is unavailable, no new
 * lead is elected. A store that comes back from an older copy has lost the latest rows, so terms of a later era of the
 * store are higher than all terms of earlier ones, and a lead writes its row again in the new era.
 */

import * as clusterView from '../../state/cluster-view.js'
import * as socketAddress from '../../protocol/socket-address.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as controlStore from '../../protocol/control-store.js'
import type * as peerLinks from '../cluster/peer-links.js'
import type * as runtime from '../runtime.js'

export interface LeadElectionOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  peers: Pick<peerLinks.PeerLinks, 'view' | 'broadcast' | 'sendTo' | 'alivePeers'>
  address: string
  /** Group and rank of the agent's own rank. */
  ownRank: () => clusterView.PeerRank | undefined
  /** Asks an agent directly for its term; undefined when it does not lead or does not answer. */
  askTerm: (address: string) => Promise<number | undefined>
  /** Highest era of the store that this process knows of. */
  storeEra: () => number
  signal: AbortSignal
}

const TABLE = 'bulrush-leads'
const TICK_MS = 150
/** A silent lead is replaced after this time, which must be less than clients wait for an event of a held group. */
const LEAD_TIMEOUT_MS = 700
/** After its start a process first listens to its peers for this long before it may take the lead. */
const STARTUP_LISTEN_MS = 1_200
/** A timer that fires later than this shows that the process or its host was paused; another agent may lead by now. */
const MAX_TIMER_DELAY_MS = 700
const TAKEOVER_RETRY_MS = 500
/**
 * Additional wait before a takeover for each lower rank that is alive: within this time a lower rank takes the lead and
 * its message arrives.
 */
const TAKEOVER_DELAY_PER_RANK_MS = 400
/** Agents with the lowest ranks that hear of the lead at every tick. */
const FREQUENT_ANNOUNCEMENTS = 16
const TICKS_PER_FULL_ANNOUNCEMENT = 4
/** Terms of an era; leads of a group change far less often while the store keeps its history. */
const TERMS_PER_ERA = 4_096

export class LeadElection {
  /** Term of this agent's lead; undefined while another agent leads. */
  term: number | undefined
  leadAddress: string | undefined
  /** The agent that led before this one. */
  previousLead: RecordedLead | undefined
  #highestTerm = 0
  readonly #options: LeadElectionOptions
  readonly #startedAtMs: number
  #leadSeenAtMs = -Infinity
  #lastTickMs: number
  #lastTickUnixMs = Date.now()
  #lastTakeoverMs = -Infinity
  #isTakingOver = false
  #announcements = 0

  constructor (options: LeadElectionOptions) {
    this.#options = options
    this.#startedAtMs = options.runtime.nowMs()
    this.#lastTickMs = this.#startedAtMs
    const timer = setInterval(() => { this.#tick() }, TICK_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  /** Called for each message of a lead. */
  noteLead (group: string, term: number, address: string): void {
    if (group !== this.#options.ownRank()?.group || term < this.#highestTerm) return
    this.#highestTerm = term
    if (address === this.#options.address) return
    this.leadAddress = address
    this.#leadSeenAtMs = this.#options.runtime.nowMs()
    if (this.term !== undefined && term > this.term) this.resign(`another agent leads in term ${term}`)
  }

  /** Gives up the lead; has no effect on an agent that does not lead. @param reason for the log. */
  resign (reason: string): void {
    if (this.term === undefined) return
    this.#options.runtime.log.emit('mapLeadLost', { term: this.term, reason })
    this.term = undefined
  }

  /** Whether an order of this term may be carried out: no later term is known. */
  isCurrentTerm (term: number): boolean {
    return term >= this.#highestTerm
  }

  #tick (): void {
    const { runtime: { nowMs, random }, address, ownRank } = this.#options
    const wasPaused = nowMs() - this.#lastTickMs > TICK_MS + MAX_TIMER_DELAY_MS ||
      Date.now() - this.#lastTickUnixMs > TICK_MS + MAX_TIMER_DELAY_MS
    this.#lastTickMs = nowMs()
    this.#lastTickUnixMs = Date.now()
    if (wasPaused) {
      this.resign('the process was paused')
      // Another agent may lead by now; its messages are awaited before this agent may take over again.
      this.#leadSeenAtMs = nowMs()
    }
    const own = ownRank()
    if (own === undefined) return
    if (this.term !== undefined) {
      this.#announce({ kind: 'lead', group: own.group, term: this.term, address })
    }
    if (this.#isTakingOver || !this.#isWriteNeeded(own) ||
      nowMs() - this.#lastTakeoverMs < TAKEOVER_RETRY_MS * (1 + random())) {
      return
    }
    this.#lastTakeoverMs = nowMs()
    this.#isTakingOver = true
    this.#takeOver(own).finally(() => { this.#isTakingOver = false })
  }

  /** In a large group, only the ranks that would take over first hear of the lead at every tick. */
  #announce (message: peerMessage.PeerMessage): void {
    const { peers } = this.#options
    const agents = peers.alivePeers('agent')
    this.#announcements += 1
    if (agents.length <= FREQUENT_ANNOUNCEMENTS || this.#announcements % TICKS_PER_FULL_ANNOUNCEMENT === 0) {
      peers.broadcast(message, 'agent')
      return
    }
    const rankOf = (peer: clusterView.Peer): number => peer.status.rank?.rank ?? Infinity
    for (const peer of agents.sort((a, b) => rankOf(a) - rankOf(b)).slice(0, FREQUENT_ANNOUNCEMENTS)) {
      peers.sendTo(peer.status.address, message)
    }
  }

  /** A lead writes its row again when the store has lost it. */
  #isWriteNeeded (own: clusterView.PeerRank): boolean {
    return this.term === undefined ? this.#shouldTakeOver(own) : eraOfTerm(this.term) < this.#options.storeEra()
  }

  /**
   * The lowest rank whose agent is alive replaces a silent lead. Each other agent waits longer the more lower ranks
   * seem alive, instead of until all of them have timed out: when many agents exit at once in a large group, each still
   * counts as alive for seconds.
   */
  #shouldTakeOver (own: clusterView.PeerRank): boolean {
    const { runtime: { nowMs }, peers } = this.#options
    // The silent lead itself may still count as alive.
    const lower = peers.alivePeers('agent').filter(({ status: { address, rank } }) =>
      address !== this.leadAddress && rank?.group === own.group && rank.rank < own.rank)
    const silentSinceMs = Math.max(this.#leadSeenAtMs, this.#startedAtMs + STARTUP_LISTEN_MS - LEAD_TIMEOUT_MS)
    return nowMs() - silentSinceMs >= LEAD_TIMEOUT_MS + lower.length * TAKEOVER_DELAY_PER_RANK_MS
  }

  /** Whether the store records a newer lead from which this process has received no message yet. */
  #isUnknownLead (recorded: RecordedLead): boolean {
    return recorded.term > this.#highestTerm && recorded.address !== this.#options.address
  }

  /**
   * Waits for messages of the recorded lead. When the processes of a large group start together, some have not received
   * messages of all others yet when the first one leads; without this wait each of them would replace the one before.
   */
  #waitForRecordedLead (recorded: RecordedLead): void {
    const { runtime: { nowMs }, peers } = this.#options
    this.#highestTerm = recorded.term
    this.leadAddress = recorded.address
    this.#leadSeenAtMs = nowMs()
    clusterView.addAddresses(peers.view, [recorded.address], nowMs())
  }

  /**
   * Load pattern: the datagrams of a lead are lost while its orders fill the link of its host. Without the question,
   * two agents of a large group replaced each other every two seconds, and each change left the group held.
   */
  async #isLeadAlive (group: string): Promise<boolean> {
    const { address, askTerm } = this.#options
    const { leadAddress } = this
    if (this.term !== undefined || leadAddress === undefined || leadAddress === address) return false
    const term = await askTerm(leadAddress)
    if (term === undefined || term < this.#highestTerm) return false
    this.noteLead(group, term, leadAddress)
    return true
  }

  async #takeOver (own: clusterView.PeerRank): Promise<void> {
    const { group } = own
    const { runtime: { log }, store, address, signal } = this.#options
    if (await this.#isLeadAlive(group)) return
    const listed = await store.list(TABLE, '', signal)
    // A message of a lead may have arrived during the call to the store.
    if (listed.kind !== 'ok' || !this.#isWriteNeeded(own)) return
    const { era } = listed.value.revision
    const row = listed.value.rows.find(candidate => candidate.key === group)
    const recorded = parseLead(row?.value)
    if (recorded !== undefined && this.#isUnknownLead(recorded)) {
      this.resign(`the store records term ${recorded.term}`)
      this.#waitForRecordedLead(recorded)
      return
    }
    const term = Math.max(this.#highestTerm, recorded?.term ?? 0, era * TERMS_PER_ERA) + 1
    const written = await store.write(
      [{ table: TABLE, partition: '', key: group, value: Buffer.from(JSON.stringify({ term, address })) }],
      [{ table: TABLE, partition: '', key: group, revision: row?.revision }],
      signal
    )
    // A write without an answer may have taken effect; the next takeover then finds the row and uses a higher term.
    // In another era the condition compared revisions of two histories, and this era has no term for the lead yet.
    if (written.kind !== 'ok' || written.value.era !== era) return
    this.#highestTerm = term
    this.term = term
    this.previousLead = recorded
    this.leadAddress = address
    log.emit('mapLeadTaken', { group, term, before: row?.value?.toString('utf8') })
  }
}

/** Era of the store in which a lead of a term was elected. */
function eraOfTerm (term: number): number {
  return Math.floor(term / TERMS_PER_ERA)
}

/** Stored as JSON in the row of a group. */
export interface RecordedLead {
  term: number
  address: string
}

function parseLead (value: Buffer | undefined): RecordedLead | undefined {
  if (value === undefined) return undefined
  try {
    const parsed = JSON.parse(value.toString('utf8')) as Partial<RecordedLead>
    const isValid = Number.isSafeInteger(parsed.term) && socketAddress.isSocketAddress(parsed.address)
    if (isValid) return parsed as RecordedLead
  } catch {
    // An unreadable row is overwritten by the next lead.
  }
  return undefined
}
