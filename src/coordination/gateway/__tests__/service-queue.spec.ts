import * as vitest from 'vitest'
import * as backendPool from '../../../state/backend-pool.js'
import * as serviceQueue from '../service-queue.js'

const { afterEach, beforeEach, expect, test } = vitest

let pool: backendPool.BackendPool
let queue: serviceQueue.ServiceQueue
let controller: AbortController

beforeEach(() => {
  pool = backendPool.createPool()
  backendPool.setRows(pool, ['s0', 's1'].map((id, index) => ({
    id,
    service: 's',
    address: `10.0.0.${index}:80`,
    failureDomain: 'd',
    slots: 1,
    state: 'ready' as const,
    startedAtUnixMs: 1,
    group: undefined
  })), 0)
  controller = new AbortController()
  queue = new serviceQueue.ServiceQueue({
    runtime: { nowMs: () => 0, random: () => 0.5, log: { emit: () => {} }, metrics: {} as never },
    pool,
    failureDomain: 'd',
    backlogAtLimit: () => 0,
    onWaiting: () => {},
    gatewayCount: () => 1,
    signal: controller.signal
  })
})

afterEach(() => { controller.abort() })

function acquire (id: string, excluded: string[] = []): Promise<serviceQueue.PlaceResult> {
  return queue.acquire({
    call: {
      id,
      priority: 1,
      arrivedAtMs: 0,
      latestTimelyStartMs: 300,
      latestStartMs: 2_000,
      clientDeadlineAtMs: 8_000,
      isReturning: false
    },
    service: 's',
    excluded: new Set(excluded),
    tokens: 1,
    signal: controller.signal
  })
}

// Guards against slots that stay free because the first call in the queue may not use them.
test('a call that may not use a free slot does not block the next call', async () => {
  for (const backend of pool.backends.values()) backendPool.noteSent(backend, 1, 0)
  const placed: string[] = []
  for (const [id, excluded] of [['retry', ['s0']], ['next', []]] as const) {
    acquire(id, [...excluded]).then(result => { if (result.kind === 'placed') placed.push(`${id} ${result.backend.row.id}`) })
  }
  backendPool.noteFinished(pool.backends.get('s0')!, 1)
  queue.placeWaiting()
  await Promise.resolve()
  await Promise.resolve()
  expect(placed).toEqual(['next s0'])
})

// Guards against a process that starts while a group is forming and refuses calls, since it has never seen the group
// open.
test('a listed service that was never open queues as many calls as it has slots', async () => {
  backendPool.setRows(pool, Array.from({ length: 3 }, (_, rank) => ({
    id: `r${rank}`,
    service: 's',
    address: `10.0.1.${rank}:80`,
    failureDomain: 'd',
    slots: 2,
    state: 'ready' as const,
    startedAtUnixMs: 1,
    group: { name: 'g', epoch: 0, rank, isOpen: false, size: 3 }
  })), 0)
  let refused = 0
  for (let call = 0; call < 8; call++) {
    acquire(`c${call}`).then(result => { if (result.kind === 'refused') refused += 1 })
  }
  await Promise.resolve()
  await Promise.resolve()
  expect(refused).toBe(2)
  expect(queue.waitingCount('s')).toBe(6)
})

test('a waiting call that a shutdown leaves too little time is refused at once', async () => {
  await acquire('first')
  await acquire('second')
  let latestStartMs = 2_000
  const waiting = queue.acquire({
    call: {
      id: 'waiting',
      priority: 1,
      arrivedAtMs: 0,
      latestTimelyStartMs: 300,
      latestStartMs,
      clientDeadlineAtMs: 8_000,
      isReturning: false
    },
    service: 's',
    excluded: new Set(),
    tokens: 1,
    latestStartMs: () => latestStartMs,
    signal: controller.signal
  })
  expect(queue.waitingCount('s')).toBe(1)
  latestStartMs = -1
  queue.refreshLatestStarts()
  expect(await waiting).toMatchObject({ kind: 'refused', reason: 'too_late' })
})
