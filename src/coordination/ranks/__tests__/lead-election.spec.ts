import * as vitest from 'vitest'
import * as clusterView from '../../../state/cluster-view.js'
import * as leadElection from '../lead-election.js'
import type * as controlStore from '../../../protocol/control-store.js'

const { afterEach, beforeEach, expect, test, vi } = vitest

const RANKS = 30
/** Longer than an agent listens at its start, waits for the recorded lead and retries a takeover. */
const ELECTION_MS = 6_000

let controller: AbortController
let row: controlStore.StoredRow | undefined
let era = 0
/** Whether calls reach the lead, also while its datagrams are lost. */
let canAskLead = false
let leads: number[]
let storeDelayMs = 0
/** Ranks that the agents count as alive. */
let countedAlive: number[] = []

beforeEach(() => {
  vi.useFakeTimers()
  controller = new AbortController()
  row = undefined
  era = 0
  canAskLead = false
  leads = []
  storeDelayMs = 0
  countedAlive = []
  elections = new Map()
})

afterEach(() => {
  controller.abort()
  vi.useRealTimers()
})

const store: controlStore.ControlStore = {
  get era () { return era },
  list: async () => {
    if (storeDelayMs > 0) await new Promise(resolve => { setTimeout(resolve, storeDelayMs) })
    return { kind: 'ok', value: { rows: row === undefined ? [] : [row], revision: row?.revision ?? { era, number: 0 } } }
  },
  changes: async () => ({ kind: 'unavailable', reason: 'not used' }),
  write: async ([write], [condition]) => {
    const number = row?.revision.number ?? 0
    if (number !== (condition!.revision?.number ?? 0)) return { kind: 'conflict', rows: [] }
    row = { ...write!, revision: { era, number: number + 1 } }
    return { kind: 'ok', value: row.revision }
  }
}

let elections: Map<string, leadElection.LeadElection>

function peerOf (rank: number): clusterView.Peer {
  return {
    heardAtMs: 0,
    status: {
      address: `10.0.0.${rank}:7000`,
      role: 'agent',
      failureDomain: 'd',
      state: 'ready',
      clientAddress: '',
      configurationVersion: 0,
      backendRevision: { era: 0, number: 0 },
      storeEra: era,
      rank: { group: 'g', rank, address: '10.0.0.99:1' }
    }
  }
}

/** Starts an agent without known peers; it receives messages of a lead from `receivesFromMs` on. */
function startAgent (rank: number, receivesFromMs: number): void {
  const address = `10.0.0.${rank}:7000`
  elections.set(address, new leadElection.LeadElection({
    runtime: {
      nowMs: () => Date.now(),
      random: () => rank / RANKS,
      log: { emit: event => { if (event === 'mapLeadTaken') leads.push(rank) } },
      metrics: {} as never
    },
    store,
    peers: {
      view: clusterView.createView(address),
      alivePeers: () => countedAlive.map(other => peerOf(other)),
      sendTo: () => {},
      broadcast: message => {
        if (message.kind !== 'lead' || Date.now() < receivesFromMs) return
        for (const other of elections.values()) other.noteLead(message.group, message.term, message.address)
      }
    },
    address,
    ownRank: () => ({ group: 'g', rank, address: '10.0.0.99:1' }),
    askTerm: async lead => canAskLead ? elections.get(lead)?.term : undefined,
    storeEra: () => era,
    signal: controller.signal
  }))
}

// Guards against agents of a large group that start together and replace the lead one after the other.
test('agents that have received no messages yet don\'t replace each other\'s lead', async () => {
  const startMs = Date.now()
  for (let rank = 0; rank < RANKS; rank++) startAgent(rank, startMs + 1_800)
  await vi.advanceTimersByTimeAsync(ELECTION_MS)
  expect(leads).toHaveLength(1)
})

// Guards against a takeover after a message of the lead has arrived during the call to the store.
test('a lead whose message arrives during the store call is not replaced', async () => {
  storeDelayMs = 100
  for (let rank = 0; rank < RANKS; rank++) {
    startAgent(rank, 0)
    await vi.advanceTimersByTimeAsync(7)
  }
  await vi.advanceTimersByTimeAsync(ELECTION_MS)
  expect(leads).toHaveLength(1)
})

// Guards against a group without a lead for seconds, until all agents that exited together have timed out.
test('after several agents exit at once, a remaining one leads before they time out', async () => {
  countedAlive = [0, 1, 2, 3, 4, 5, 6]
  for (let rank = 3; rank < 7; rank++) startAgent(rank, 0)
  await vi.advanceTimersByTimeAsync(ELECTION_MS)
  expect(leads).toEqual([3])
})

// Guards against waiting without end for a lead that the store records but that has exited.
test('a recorded lead that stays silent is replaced', async () => {
  row = {
    table: 't', partition: '', key: 'g', revision: { era: 0, number: 4 }, value: Buffer.from(JSON.stringify({ term: 7, address: '10.0.0.50:1' }))
  }
  startAgent(3, Infinity)
  await vi.advanceTimersByTimeAsync(ELECTION_MS)
  expect(leads).toEqual([3])
  expect([...elections.values()].at(-1)!.term).toBe(8)
})

// Guards against agents that replace each other every two seconds while the orders of a lead fill the link of its host,
// so that its datagrams are lost.
test('a lead whose datagrams are lost is asked before it is replaced', async () => {
  canAskLead = true
  row = { table: 't', partition: '', key: 'g', revision: { era: 0, number: 4 }, value: Buffer.from(JSON.stringify({ term: 7, address: '10.0.0.50:1' })) }
  for (let rank = 0; rank < 4; rank++) startAgent(rank, Infinity)
  await vi.advanceTimersByTimeAsync(5 * ELECTION_MS)
  expect(leads).toHaveLength(1)
})

// Guards against an agent that stops because another writer's row names no address.
test('an unreadable row of a lead is replaced', async () => {
  for (const value of ['not json', '{"term":"7","address":"10.0.0.50:1"}', '{"term":7,"address":"nowhere"}', 'null']) {
    leads = []
    elections = new Map()
    row = { table: 't', partition: '', key: 'g', revision: { era: 0, number: 4 }, value: Buffer.from(value) }
    startAgent(3, 0)
    await vi.advanceTimersByTimeAsync(ELECTION_MS)
    expect(leads).toEqual([3])
    controller.abort()
    controller = new AbortController()
  }
})
