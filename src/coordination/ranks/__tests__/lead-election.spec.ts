import * as vitest from 'vitest'
import * as clusterView from '../../../state/cluster-view.js'
import * as leadElection from '../lead-election.js'
import type * as controlStore from '../../../protocol/control-store.js'

const { afterEach, beforeEach, expect, test, vi } = vitest

const RANKS = 30
/** Longer than an election listens, waits for the recorded lead and tries again. */
const SETTLED_MS = 6_000

let controller: AbortController
let row: controlStore.StoredRow | undefined
let taken: number[]
let storeDelayMs = 0
/** Ranks whose agents the others have not yet missed. */
let takenAsAlive: number[] = []

beforeEach(() => {
  vi.useFakeTimers()
  controller = new AbortController()
  row = undefined
  taken = []
  storeDelayMs = 0
  takenAsAlive = []
  elections = new Map()
})

afterEach(() => {
  controller.abort()
  vi.useRealTimers()
})

const store: controlStore.ControlStore = {
  list: async () => {
    if (storeDelayMs > 0) await new Promise(resolve => { setTimeout(resolve, storeDelayMs) })
    return { kind: 'ok', value: { rows: row === undefined ? [] : [row], revision: row?.revision ?? 0 } }
  },
  changes: async () => ({ kind: 'unavailable', reason: 'not used' }),
  write: async ([write], [condition]) => {
    if ((row?.revision ?? 0) !== condition!.revision) return { kind: 'conflict', rows: [] }
    row = { ...write!, revision: condition!.revision + 1 }
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
      backendRevision: 0,
      rank: { group: 'g', rank, address: '10.0.0.99:1' }
    }
  }
}

/** An agent that has heard no other one; messages of a lead arrive from `hearsFromMs` on. */
function startAgent (rank: number, hearsFromMs: number): void {
  const address = `10.0.0.${rank}:7000`
  elections.set(address, new leadElection.LeadElection({
    runtime: {
      nowMs: () => Date.now(),
      random: () => rank / RANKS,
      log: { emit: event => { if (event === 'mapLeadTaken') taken.push(rank) } },
      metrics: {} as never
    },
    store,
    peers: {
      view: clusterView.createView(address),
      alivePeers: () => takenAsAlive.map(other => peerOf(other)),
      broadcast: message => {
        if (message.kind !== 'lead' || Date.now() < hearsFromMs) return
        for (const other of elections.values()) other.noteLead(message.group, message.term, message.address)
      }
    },
    address,
    ownRank: () => ({ group: 'g', rank, address: '10.0.0.99:1' }),
    signal: controller.signal
  }))
}

test('agents that have not heard one another don\'t take the lead from each other', async () => {
  const startMs = Date.now()
  for (let rank = 0; rank < RANKS; rank++) startAgent(rank, startMs + 1_800)
  await vi.advanceTimersByTimeAsync(SETTLED_MS)
  expect(taken).toHaveLength(1)
})

test('a lead that is heard while the store answers is not replaced', async () => {
  storeDelayMs = 100
  for (let rank = 0; rank < RANKS; rank++) {
    startAgent(rank, 0)
    await vi.advanceTimersByTimeAsync(7)
  }
  await vi.advanceTimersByTimeAsync(SETTLED_MS)
  expect(taken).toHaveLength(1)
})

test('when several agents end at once, one of the rest leads before they are missed', async () => {
  takenAsAlive = [0, 1, 2, 3, 4, 5, 6]
  for (let rank = 3; rank < 7; rank++) startAgent(rank, 0)
  await vi.advanceTimersByTimeAsync(SETTLED_MS)
  expect(taken).toEqual([3])
})

test('a recorded lead that stays silent is replaced', async () => {
  row = {
    table: 't', partition: '', key: 'g', revision: 4, value: Buffer.from(JSON.stringify({ term: 7, address: '10.0.0.50:1' }))
  }
  startAgent(3, Infinity)
  await vi.advanceTimersByTimeAsync(SETTLED_MS)
  expect(taken).toEqual([3])
  expect([...elections.values()].at(-1)!.term).toBe(8)
})
