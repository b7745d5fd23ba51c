import * as events from 'node:events'
import * as vitest from 'vitest'
import * as clusterView from '../../../state/cluster-view.js'
import * as leadElection from '../lead-election.js'
import type * as controlStore from '../../../protocol/control-store.js'
import type * as revision from '../../../state/revision.js'

const { afterEach, beforeEach, expect, test, vi } = vitest

const AGENTS = 5
const SEEDS = 60
const FAULTS_MS = 20_000
/** A silent lead is replaced, and a row that was lost is written again, within this time. */
const CALM_MS = 8_000
const STEP_MS = 50
const ERA_SPREAD_MS = 500

/** One store that all agents share, with copies that it can be restored from. */
class SimulatedStore {
  era = 1
  isDown = false
  /** A write takes effect, and its answer is lost. */
  isLosingAnswers = false
  row: controlStore.StoredRow | undefined
  #number = 10
  readonly #copies: { row: controlStore.StoredRow | undefined, number: number }[] = []

  copy (): void {
    this.#copies.push({ row: this.row, number: this.#number })
  }

  restore (index: number): void {
    const copy = this.#copies[index % this.#copies.length]
    if (copy === undefined) return
    this.era += 1
    this.row = copy.row
    this.#number = copy.number
    // Later copies belong to the history that was lost.
    this.#copies.splice(this.#copies.indexOf(copy) + 1)
  }

  write (value: Buffer, expected: revision.Revision | undefined): controlStore.StoreOutcome<revision.Revision> {
    // The store compares numbers only: a condition of another era may hold by chance.
    if ((this.row?.revision.number ?? 0) !== (expected?.number ?? 0)) return { kind: 'conflict', rows: [] }
    this.#number += 1
    const at = { era: this.era, number: this.#number }
    this.row = { table: 't', partition: '', key: 'g', value, revision: at }
    return this.isLosingAnswers ? { kind: 'unknown', reason: 'lost' } : { kind: 'ok', value: at }
  }

  get newest (): revision.Revision {
    return { era: this.era, number: this.#number }
  }
}

interface Agent {
  election: leadElection.LeadElection
  /** Receives no messages and reaches no store. */
  isCutOff: boolean
  /** Era that it has seen in an answer. */
  era: number
}

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

function randomOf (seed: number): () => number {
  let state = seed * 2_654_435_761 % 4_294_967_296
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

// Guards against two leads with one term, of which ranks accept orders of both: the restored store gives the term out
// again. Each fault comes at any point of an election.
test('no two agents lead in the same term, and one leads in the era of the restored store', async () => {
  for (let seed = 1; seed <= SEEDS; seed++) await explore(seed)
})

async function explore (seed: number): Promise<void> {
  const random = randomOf(seed)
  const store = new SimulatedStore()
  const controller = new AbortController()
  events.EventEmitter.setMaxListeners(0, controller.signal)
  const takenBy = new Map<number, string>()
  const agents: Agent[] = []
  const delay = (): Promise<void> => new Promise(resolve => { setTimeout(resolve, random() * 120) })
  for (let rank = 0; rank < AGENTS; rank++) {
    const address = `10.0.0.${rank}:1`
    const reach = async (): Promise<boolean> => {
      await delay()
      if (store.isDown || agent.isCutOff) return false
      agent.era = Math.max(agent.era, store.era)
      return true
    }
    const election = new leadElection.LeadElection({
      runtime: {
        nowMs: () => Date.now(),
        random,
        log: {
          emit: (event, fields) => {
            if (event !== 'mapLeadTaken') return
            const term = fields!['term'] as number
            expect(takenBy.get(term) ?? address, `seed ${seed}: term ${term}`).toBe(address)
            takenBy.set(term, address)
          }
        },
        metrics: {} as never
      },
      store: {
        get era () { return agent.era },
        list: async () => {
          if (!await reach()) return { kind: 'unavailable', reason: 'down' }
          const answer = { rows: store.row === undefined ? [] : [store.row], revision: store.newest }
          await delay()
          return { kind: 'ok', value: answer }
        },
        changes: async () => ({ kind: 'unavailable', reason: 'not used' }),
        write: async ([write], [condition]) => {
          if (!await reach()) return { kind: 'unavailable', reason: 'down' }
          const written = store.write(write!.value, condition!.revision)
          await delay()
          return written
        }
      },
      peers: {
        view: clusterView.createView(address),
        alivePeers: () => [],
        sendTo: () => {},
        broadcast: message => {
          if (message.kind !== 'lead') return
          for (const other of agents) {
            if (other === agent || other.isCutOff || agent.isCutOff || random() < 0.1) continue
            other.election.noteLead(message.group, message.term, message.address)
          }
        }
      },
      address,
      ownRank: () => ({ group: 'g', rank, address: '10.0.0.99:1' }),
      askTerm: async lead => await askTerm(agent, lead),
      storeEra: () => agent.era,
      signal: controller.signal
    })
    const agent: Agent = { election, isCutOff: false, era: 1 }
    agents.push(agent)
  }
  const askTerm = async (asking: Agent, lead: string): Promise<number | undefined> => {
    await delay()
    const asked = agents.find((_, rank) => lead === `10.0.0.${rank}:1`)!
    return asked.isCutOff || asking.isCutOff ? undefined : asked.election.term
  }
  /** Entries watch the store and state its era to the agents. */
  const spreadEra = (): void => {
    if (store.isDown) return
    for (const agent of agents) if (!agent.isCutOff) agent.era = store.era
  }
  for (let atMs = 0; atMs < FAULTS_MS; atMs += STEP_MS) {
    const roll = random()
    const target = agents[Math.floor(random() * AGENTS)]!
    if (roll < 0.02) store.copy()
    else if (roll < 0.035) store.restore(Math.floor(random() * 8))
    else if (roll < 0.05) store.isDown = !store.isDown
    else if (roll < 0.06) store.isLosingAnswers = !store.isLosingAnswers
    else if (roll < 0.08) target.isCutOff = !target.isCutOff
    else if (roll < 0.09) target.election.resign('drawn')
    if (atMs % ERA_SPREAD_MS === 0) spreadEra()
    await vi.advanceTimersByTimeAsync(STEP_MS)
  }
  store.isDown = false
  store.isLosingAnswers = false
  for (const agent of agents) agent.isCutOff = false
  spreadEra()
  await vi.advanceTimersByTimeAsync(CALM_MS)
  const leads = agents.filter(agent => agent.election.term !== undefined)
  expect(leads.length, `seed ${seed}`).toBe(1)
  const recorded = JSON.parse(store.row!.value!.toString()) as leadElection.RecordedLead
  expect(recorded.term, `seed ${seed}`).toBe(leads[0]!.election.term)
  expect(store.row!.revision.era, `seed ${seed}`).toBe(store.era)
  controller.abort()
}
