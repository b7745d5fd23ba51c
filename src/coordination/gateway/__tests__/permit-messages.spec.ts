import * as vitest from 'vitest'
import * as limitGate from '../limit-gate.js'
import * as backendPool from '../../../state/backend-pool.js'
import * as limitMessages from '../../../protocol/limit-messages.js'
import type * as serviceQueue from '../service-queue.js'

const { afterEach, beforeEach, expect, test, vi } = vitest

const WAITING = 90
const row: backendPool.BackendRow = {
  id: 'b1', startedAtUnixMs: 1, service: 's', address: '127.0.0.1:1', failureDomain: 'z', slots: 8, state: 'ready', group: undefined
}

let controller: AbortController
let sent: limitMessages.LimitMessage[]

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000 })
  controller = new AbortController()
  sent = []
})

afterEach(() => {
  controller.abort()
  vi.useRealTimers()
})

/** A gate that knows a limit. @param coordinator address of the entry that grants the permits. */
function createGate (perSecond: number, coordinator: () => string): limitGate.LimitGate {
  const pool = backendPool.createPool()
  backendPool.setRows(pool, [row], Date.now())
  const queue = { waitingCount: () => 0, arrivalsPerSecond: () => 1, placeWaiting: () => {} }
  const gate = new limitGate.LimitGate({
    runtime: {
      nowMs: () => Date.now(),
      random: () => 0.5,
      log: { emit: () => {} },
      metrics: { backendLimit: { set: () => {} }, limitPermits: { inc: () => {} } } as never
    },
    pool,
    queue: () => queue as unknown as serviceQueue.ServiceQueue,
    self: 'own',
    readyEntries: () => [coordinator()],
    entryCounts: () => ({ heard: 2, known: 2 }),
    sendTo: (_, message) => { sent.push(message) },
    broadcast: () => {},
    signal: controller.signal
  })
  gate.noteResponse(row, { kind: 'limit', perSecond }, Date.now())
  return gate
}

/** Numbers of permits that the gate has returned. */
function returned (): number[] {
  return sent.flatMap(message => message.kind === 'permitDemand' ? message.unused ?? [] : []).map(([, , count]) => count)
}

// Guards against permits that are lost because all of an entry are in one message, which is too long for a datagram.
test('many permits for an entry are sent in several messages', () => {
  const gate = createGate(1_000, () => 'own')
  const demand: limitMessages.PermitDemandMessage = {
    kind: 'permitDemand', service: 's', entry: 'other', waiting: WAITING, perSecond: 0, sent: []
  }
  // The first demand only starts the accumulation of permits.
  gate.receive(demand)
  vi.setSystemTime(Date.now() + 300)
  gate.receive(demand)
  const permits = sent.flatMap(message => message.kind === 'permits' ? [message.permits] : [])
  expect(permits.flat().length).toBe(WAITING)
  expect(Math.max(...permits.map(list => list.length))).toBeLessThanOrEqual(limitMessages.MAX_PERMITS)
})

// Guards against a limit that stays unused because nobody learns that permits were not needed.
test('permits that end unused are returned to the entry that granted them', () => {
  const gate = createGate(2, () => 'other')
  vi.advanceTimersByTime(3_000)
  gate.receive({ kind: 'permits', service: 's', waiting: 0, permits: [['b1', 1, 400], ['b1', 1, 450]] })
  vi.advanceTimersByTime(350)
  expect(returned()).toEqual([])
  vi.advanceTimersByTime(1_000)
  expect(returned().reduce((sum, count) => sum + count, 0)).toBe(2)
})

// Guards against a coordinator that takes back permits of the one before, which it has not counted.
test('permits of an earlier coordinator are not returned', () => {
  let coordinator = 'other'
  const gate = createGate(2, () => coordinator)
  vi.advanceTimersByTime(3_000)
  gate.receive({ kind: 'permits', service: 's', waiting: 0, permits: [['b1', 1, 400]] })
  coordinator = 'next'
  vi.advanceTimersByTime(5_000)
  expect(returned()).toEqual([])
})
