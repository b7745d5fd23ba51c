import * as vitest from 'vitest'
import * as backendPool from '../backend-pool.js'
import * as placement from '../placement.js'
import * as placementSimulation from './placement-simulation.js'

const { expect, test } = vitest

function poolOf (count: number, slots = 4): backendPool.BackendPool {
  const pool = backendPool.createPool()
  backendPool.setRows(pool, Array.from({ length: count }, (_, index) => ({
    id: `s${index}`,
    service: 's',
    address: `10.0.0.${index}:80`,
    failureDomain: index % 2 === 0 ? 'near' : 'far',
    slots,
    state: 'ready' as const,
    startedAtUnixMs: 1,
    group: undefined
  })), 0)
  return pool
}

function placeOn (pool: backendPool.BackendPool, nowMs: number, excluded: string[] = []): placement.Placement {
  return placement.place(pool, { service: 's', failureDomain: 'near', excluded: new Set(excluded), nowMs, random: () => 0.5 })
}

// Guards against sending all requests between two reports to the server that was least loaded in the first one.
test('requests between two reports are spread over the backend servers', () => {
  const pool = poolOf(4)
  for (const backend of pool.backends.values()) {
    backendPool.noteLoad(backend, { running: 1, waiting: 0, slots: 4, slowdown: 1, cacheTokensUsed: 0 }, 0)
  }
  for (let request = 0; request < 8; request++) {
    const placed = placeOn(pool, 10 + request)
    if (placed.kind === 'backend') backendPool.noteSent(placed.backend, 1, 10 + request)
  }
  expect([...pool.backends.values()].map(backend => backend.inFlight)).toEqual([2, 2, 2, 2])
})

// Guards against requests that wait at a backend server, where they can't be reordered.
test('requests beyond the slots wait at the gateway', () => {
  const pool = poolOf(1, 2)
  const only = pool.backends.get('s0')!
  backendPool.noteSent(only, 1, 0)
  expect(placeOn(pool, 1).kind).toBe('backend')
  backendPool.noteSent(only, 1, 1)
  expect(placeOn(pool, 2).kind).toBe('full')
})

// Guards against overload by gateways that each count only their own requests.
test('slots that other gateways use count too', () => {
  const pool = poolOf(1, 2)
  backendPool.noteLoad(pool.backends.get('s0')!, { running: 2, waiting: 0, slots: 2, slowdown: 1, cacheTokensUsed: 0 }, 100)
  expect(placeOn(pool, 150).kind).toBe('full')
})

// Guards against a server that stays out of use because its last report showed it full.
test('an old report is ignored', () => {
  const pool = poolOf(1, 2)
  backendPool.noteLoad(pool.backends.get('s0')!, { running: 2, waiting: 0, slots: 2, slowdown: 1, cacheTokensUsed: 0 }, 100)
  expect(placeOn(pool, 2_000).kind).toBe('backend')
})

// Guards against requests that are sent to servers which can't run them.
test('a draining backend server and one whose group is not open get no requests', () => {
  const pool = poolOf(2)
  const rows = [...pool.backends.values()].map(backend => backend.row)
  backendPool.setRows(pool, [
    { ...rows[0]!, state: 'draining' },
    { ...rows[1]!, group: { name: 'g', epoch: 1, rank: 0, isOpen: false, size: 2 } }
  ], 0)
  expect(placeOn(pool, 0).kind).toBe('none')
})

// Guards against a slow rank with a full share of the requests, which delays every pass of its group.
test('a slow rank, for which its whole group waits, gets few requests', () => {
  const pool = poolOf(2, 8)
  for (const { row } of [...pool.backends.values()]) {
    backendPool.setRows(pool, [...pool.backends.values()].map(other => other.row.id !== row.id
      ? other.row
      : { ...row, group: { name: 'g', epoch: 1, rank: 0, isOpen: true, size: 2 } }), 0)
  }
  const [slow, healthy] = [pool.backends.get('s0')!, pool.backends.get('s1')!]
  backendPool.noteLoad(slow, { running: 0, waiting: 0, slots: 8, slowdown: 3.9, cacheTokensUsed: 0 }, 0)
  backendPool.noteLoad(healthy, { running: 6, waiting: 0, slots: 8, slowdown: 1, cacheTokensUsed: 0 }, 0)
  expect(placeOn(pool, 1)).toMatchObject({ kind: 'backend', backend: { row: { id: 's1' } } })
})

// Guards against attempts at a failing server, and against ejections that leave too few servers.
test('a failing backend server is ejected, but never most of the servers', () => {
  const pool = poolOf(3)
  const [a, b] = [pool.backends.get('s0')!, pool.backends.get('s1')!]
  backendPool.noteResult(pool, a, 'failed', 0)
  expect(backendPool.noteResult(pool, a, 'failed', 1)).toBe(true)
  backendPool.noteResult(pool, b, 'failed', 2)
  expect(backendPool.noteResult(pool, b, 'failed', 3)).toBe(false)
  const placed = placeOn(pool, 10)
  expect(placed.kind === 'backend' && placed.backend.row.id).not.toBe('s0')
})

// Guards against a restarted server that inherits the requests and failures of its predecessor.
test('a new incarnation with the same id starts with no requests and no failures', () => {
  const pool = poolOf(1)
  const backend = pool.backends.get('s0')!
  backendPool.noteSent(backend, 1, 0)
  backendPool.noteResult(pool, backend, 'failed', 0)
  backendPool.setRows(pool, [{ ...backend.row, startedAtUnixMs: 2 }], 0)
  expect(pool.backends.get('s0')!.inFlight).toBe(0)
  expect(pool.backends.get('s0')!.failuresInRow).toBe(0)
})

// Guards against requests for an instance that reach another one at its address.
test('an address taken over by another instance gets no requests until its row changes', () => {
  const pool = poolOf(2)
  const rows = [...pool.backends.values()].map(backend => backend.row)
  for (const backend of pool.backends.values()) backendPool.noteResult(pool, backend, 'replaced', 0)
  expect(placeOn(pool, 10).kind).toBe('none')
  backendPool.setRows(pool, [rows[0]!, { ...rows[1]!, startedAtUnixMs: 2 }], 0)
  const placed = placeOn(pool, 20)
  expect(placed.kind === 'backend' && placed.backend.row.id).toBe('s1')
})

// Guards against a request that is refused although servers that were full may have free slots again.
test('a request that all backend servers refused is sent to one of them again', () => {
  const pool = poolOf(2)
  expect(placeOn(pool, 0, ['s0']).kind === 'backend').toBe(true)
  expect(placeOn(pool, 0, ['s0', 's1']).kind).toBe('backend')
})

// Guards against gateways that all choose the rank that was least loaded in the last reports.
test('gateways with the same reports do not fill the same rank', () => {
  const shares = [1, 2, 3].map(seed => placementSimulation.simulatePlacement({
    ...BUSY_DAY, random: randomOf(seed)
  }).shareQueued)
  expect(Math.max(...shares)).toBeLessThan(0.025)
})

// Guards against requests that wait on a frozen host until their clients have left.
test('a rank whose host has frozen gets at most one further request from each gateway', () => {
  // Each gateway may send one request to find out whether only the agent has stopped.
  const noticedMs = 1_000
  const counts = [1, 2, 3].map(seed => placementSimulation.simulatePlacement({
    ...BUSY_DAY, frozen: { rank: 2, fromMs: 10_000, untilMs: 14_000 }, durationMs: 15_000, random: randomOf(seed)
  }).sentToFrozenMs.filter(sentMs => sentMs > noticedMs).length)
  expect(Math.max(...counts)).toBeLessThanOrEqual(BUSY_DAY.gateways)
})

// Guards against a gateway that stops using its ranks because it receives no reports itself.
test('a gateway that hears of no rank still uses all of them', () => {
  const pool = poolOf(4)
  const rows = [...pool.backends.values()].map(({ row }, rank) =>
    ({ ...row, group: { name: 'g', epoch: 1, rank, isOpen: true, size: 4 } }))
  backendPool.setRows(pool, rows, 0)
  for (let request = 0; request < 16; request++) {
    const placed = placeOn(pool, 5_000 + request)
    if (placed.kind === 'backend') backendPool.noteSent(placed.backend, 1, 5_000 + request)
  }
  expect([...pool.backends.values()].map(backend => backend.inFlight)).toEqual([4, 4, 4, 4])
})

/** 7 gateways, 12 ranks with 60% to 70% of their slots in use. */
const BUSY_DAY = {
  gateways: 7,
  ranks: 12,
  slots: 8,
  requestsPerS: 45,
  holdMs: 1_500,
  reportIntervalMs: 100,
  reportDelayMs: 20,
  durationMs: 60_000
}

/** Linear congruential generator, so that the load is the same in each run. */
function randomOf (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

// Guards against a second run of a request at the backend server that runs it.
test('a backend server that runs the request gets it no second time', () => {
  const pool = poolOf(2)
  const query = { service: 's', failureDomain: 'near', excluded: new Set(['s0', 's1']), nowMs: 0, random: () => 0.5 }
  expect(placement.place(pool, { ...query, running: new Set(['s0']) })).toMatchObject({ backend: { row: { id: 's1' } } })
  expect(placement.place(pool, { ...query, running: new Set(['s0', 's1']) }).kind).toBe('full')
})
