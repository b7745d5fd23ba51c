import * as vitest from 'vitest'
import * as limitGate from '../limit-gate.js'
import * as backendPool from '../../../state/backend-pool.js'
import * as limitMessages from '../../../protocol/limit-messages.js'
import type * as serviceQueue from '../service-queue.js'

const { expect, test } = vitest

const WAITING = 90
const row: backendPool.BackendRow = {
  id: 'b1', startedAtUnixMs: 1, service: 's', address: '127.0.0.1:1', failureDomain: 'z', slots: 8, state: 'ready', group: undefined
}

// Guards against permits that are lost because all of an entry are in one message, which is too long for a datagram.
test('many permits for an entry are sent in several messages', () => {
  let nowMs = 0
  const permits: limitMessages.Permit[][] = []
  const controller = new AbortController()
  const pool = backendPool.createPool()
  backendPool.setRows(pool, [row], nowMs)
  const gate = new limitGate.LimitGate({
    runtime: {
      nowMs: () => nowMs,
      random: () => 0.5,
      log: { emit: () => {} },
      metrics: { backendLimit: { set: () => {} }, limitPermits: { inc: () => {} } } as never
    },
    pool,
    queue: () => ({ waitingCount: () => 0, arrivalsPerSecond: () => 0 }) as unknown as serviceQueue.ServiceQueue,
    self: 'own',
    readyEntries: () => ['own'],
    entryCounts: () => ({ heard: 2, known: 2 }),
    sendTo: (_, message) => { if (message.kind === 'permits') permits.push(message.permits) },
    broadcast: () => {},
    signal: controller.signal
  })
  gate.noteResponse(row, { kind: 'limit', perSecond: 1_000 }, nowMs)
  const demand: limitMessages.PermitDemandMessage = {
    kind: 'permitDemand', service: 's', entry: 'other', waiting: WAITING, perSecond: 0, sent: []
  }
  // The first demand only starts the accumulation of permits.
  gate.receive(demand)
  nowMs = 300
  gate.receive(demand)
  controller.abort()
  expect(permits.flat().length).toBe(WAITING)
  expect(Math.max(...permits.map(list => list.length))).toBeLessThanOrEqual(limitMessages.MAX_PERMITS)
})
