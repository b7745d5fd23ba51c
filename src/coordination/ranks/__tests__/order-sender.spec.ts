import * as vitest from 'vitest'
import * as countCollector from '../count-collector.js'
import * as orderSender from '../order-sender.js'
import type * as rankCall from '../../../protocol/rank-call.js'
import type * as rankControl from '../../../protocol/rank-control.js'
import type * as routingTable from '../../../state/routing-table.js'
import type * as rankCaller from '../rank-caller.js'

const { beforeEach, expect, test } = vitest

const RANKS = 129
const DOMAINS = 5
const OWN_RANK = 3
/** Half a second of a host's link of 4.2 Mbit/s. */
const HALF_SECOND_BYTES = 262_500

let calls: { address: string, call: rankCall.RankCall }[]
let sentBytes: number
/** Timeouts of the calls. */
let waitsMs: (number | undefined)[]
/** Agents that answer no call. */
let silent: Set<string>
let outcomes: Map<number, rankControl.OrderOutcome>
let directOrders: number[]

beforeEach(() => {
  calls = []
  sentBytes = 0
  waitsMs = []
  silent = new Set()
  outcomes = new Map()
  directOrders = []
})

const own: rankControl.RankGroup = { name: 'g', epoch: 1, rank: OWN_RANK, size: RANKS, isOpen: true }

function addressesOf (rank: number): orderSender.RankAddresses {
  return { agent: `agent-${rank}`, rank: `rank-${rank}`, failureDomain: `d${rank % DOMAINS}` }
}

const ordered: rankCall.RankCallAnswer = { kind: 'ordered', outcome: 'accepted', state: undefined, ageMs: 0 }

const caller = {
  call: async (address: string, call: rankCall.RankCall, _signal: AbortSignal, timeoutMs?: number) => {
    calls.push({ address, call })
    waitsMs.push(timeoutMs)
    sentBytes += JSON.stringify(call).length
    if (silent.has(address)) return undefined
    if (call.kind === 'relay') {
      return { kind: 'relayed', answers: call.targets.filter(target => !silent.has(target.address)).map(({ rank }) => ({ rank, answer: ordered })) }
    }
    if (call.kind === 'sum_counts') return countsOf(call.agents.length + 1)
    return call.kind === 'counts' ? countsOf(1) : ordered
  }
} as unknown as rankCaller.RankCaller

/** Counts of some ranks of which each chose expert 1 once. */
function countsOf (ranks: number): rankCall.RankCallAnswer {
  return { kind: 'counts', counts: { epoch: 1, experts: 2, scale: ranks, steps: Buffer.from([0, 1]).toString('base64') } }
}

function createSender (): orderSender.OrderSender {
  return new orderSender.OrderSender({
    runtime: { nowMs: () => 0, random: () => 0.5, log: { emit: () => {} }, metrics: {} as never },
    caller,
    callOwnRank: async () => ordered,
    rankAt: address => ({
      order: async () => {
        directOrders.push(Number(address.split('-')[1]))
        return 'accepted'
      }
    }) as unknown as rankControl.RankControl,
    addressesOf,
    onState: () => {},
    signal: new AbortController().signal
  })
}

const context: orderSender.OrderContext = {
  group: 'g', own, term: 1, compact: order => order, onOutcome: (rank, _, outcome) => { outcomes.set(rank, outcome) }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve()
}

function orderToAll (order: rankControl.RankOrder): { rank: number, order: rankControl.RankOrder }[] {
  return Array.from({ length: RANKS }, (_, rank) => ({ rank, order }))
}

// Guards against a map that is sent 128 times over the link of the lead's host.
test('an order to all ranks of a large group takes one message for each failure domain', async () => {
  const map = Array.from({ length: 16 }, () => Array.from({ length: RANKS }, () => [1, 2, 3]))
  createSender().send(orderToAll({ kind: 'prepare', version: 2, map }), context)
  await settle()
  expect(calls).toHaveLength(DOMAINS)
  expect(outcomes.size).toBe(RANKS)
  expect(sentBytes).toBeLessThan(HALF_SECOND_BYTES)
})

// Guards against ranks that get no order because the agent that should pass it on, or another one, does not answer.
test('ranks whose order was not passed on get it from the lead', async () => {
  const sender = createSender()
  silent.add('agent-10')
  sender.send(orderToAll({ kind: 'arm', version: 2, step: 9 }), context)
  await settle()
  const { address } = calls.find(({ call }) => call.kind === 'relay')!
  silent.add(address)
  sender.send(orderToAll({ kind: 'arm', version: 2, step: 9 }), context)
  sender.send(orderToAll({ kind: 'arm', version: 2, step: 9 }), context)
  await settle()
  expect(outcomes.size).toBe(RANKS)
  expect(new Set(directOrders)).toContain(10)
})

// Guards against a group that is held for the whole timeout of a relay whose host stands still.
test('the lead waits for a relay only briefly while the group may be held', async () => {
  createSender().send(orderToAll({ kind: 'arm', version: 2, step: 9 }), context)
  await settle()
  expect(Math.max(...waitsMs.map(waitMs => waitMs ?? Infinity))).toBeLessThanOrEqual(300)
})

// Guards against a hold that freezes together with the host that passes it on.
test('a hold is sent to its rank directly', async () => {
  createSender().send([{ rank: 7, order: { kind: 'hold', step: 9 } }], context)
  await settle()
  expect(directOrders).toEqual([7])
})

// Guards against counts that fill the link of the lead's host in each cycle.
test('counts of a large group are added up in each failure domain', async () => {
  const collector = new countCollector.CountCollector({
    nowMs: () => 0, caller, callOwnRank: async () => countsOf(1), addressesOf, signal: new AbortController().signal
  })
  const model = { expertSets: 1, expertsPerSet: 2 } as unknown as routingTable.EngineModel
  expect(await collector.collect(own, model)).toEqual([[0, RANKS]])
  expect(calls).toHaveLength(DOMAINS)
  const [first] = calls
  silent.add(first!.address)
  calls = []
  const sum = await collector.collect(own, model)
  // Another agent of the same domain adds up in the next round.
  expect(sum).toEqual([[0, RANKS]])
})
