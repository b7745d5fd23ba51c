import * as vitest from 'vitest'
import * as availability from '../availability.js'
import * as backendPool from '../backend-pool.js'

const { expect, test } = vitest

function rowOf (id: string, fields: Partial<backendPool.BackendRow> = {}): backendPool.BackendRow {
  return {
    id,
    service: 's',
    address: `${id}:80`,
    failureDomain: 'd',
    slots: 8,
    state: 'ready',
    startedAtUnixMs: 1,
    group: undefined,
    ...fields
  }
}

function poolOf (rows: backendPool.BackendRow[]): backendPool.BackendPool {
  const pool = backendPool.createPool()
  backendPool.setRows(pool, rows, 0)
  return pool
}

/** The row of `a` is gone from 2,000 ms on and listed again from the given time on. */
function lapse (pool: backendPool.BackendPool, untilMs: number, row = rowOf('a')): backendPool.Backend {
  backendPool.setRows(pool, [rowOf('b')], 2_000)
  backendPool.setRows(pool, [row, rowOf('b')], untilMs)
  return pool.backends.get('a')!
}

// Guards against requests during a pause that a server asked for before its row lapsed.
test('a pause outlives the row of its server', () => {
  const pool = poolOf([rowOf('a'), rowOf('b')])
  availability.notePause(pool.backends.get('a')!, 9_000, 1_000)
  const backend = lapse(pool, 5_000)
  expect(availability.blockOf(pool, backend, 9_900)).toBe('paused')
  expect(availability.blockOf(pool, backend, 10_100)).toBeUndefined()
})

// Guards against a long pause that is forgotten after the usual time.
test('a pause is remembered for as long as it lasts', () => {
  const pool = poolOf([rowOf('a'), rowOf('b')])
  availability.notePause(pool.backends.get('a')!, 120_000, 1_000)
  expect(availability.blockOf(pool, lapse(pool, 110_000), 110_000)).toBe('paused')
})

// Guards against a pause of a response that arrives while the row is gone.
test('a pause that is noted without a row counts when the row returns', () => {
  const pool = poolOf([rowOf('a'), rowOf('b')])
  const backend = pool.backends.get('a')!
  backendPool.setRows(pool, [rowOf('b')], 2_000)
  availability.notePause(backend, 4_000, 2_500)
  backendPool.setRows(pool, [rowOf('a'), rowOf('b')], 3_000)
  expect(availability.blockOf(pool, pool.backends.get('a')!, 6_000)).toBe('paused')
})

// Guards against an ejected server, and one whose address another instance holds, that is tried again at once.
test('ejection, replacement and requests in flight outlive the row', () => {
  const pool = poolOf([rowOf('a'), rowOf('b')])
  const before = pool.backends.get('a')!
  backendPool.noteSent(before, 50, 1_500)
  backendPool.noteResult(pool, before, 'unreachable', 1_900)
  backendPool.noteResult(pool, before, 'replaced', 1_900)
  const backend = lapse(pool, 2_500)
  expect(availability.avoidanceOf(pool, backend, 3_000)).toBe('ejected')
  expect(availability.blockOf(pool, backend, 3_000)).toBe('replaced')
  backendPool.noteFinished(before, 50)
  expect([backend.inFlight, backend.inFlightTokens]).toEqual([0, 0])
})

// Guards against a new instance that inherits the pause of an earlier one.
test('another start or address is another instance', () => {
  for (const fields of [{ startedAtUnixMs: 2 }, { address: 'other:80' }]) {
    const pool = poolOf([rowOf('a'), rowOf('b')])
    availability.notePause(pool.backends.get('a')!, 9_000, 1_000)
    expect(availability.blockOf(pool, lapse(pool, 5_000, rowOf('a', fields)), 5_000)).toBeUndefined()
  }
})

// Guards against memory that grows with each server that has ever been listed.
test('a server that stays away is forgotten', () => {
  const pool = poolOf([])
  for (let index = 0; index < 1_000; index++) backendPool.setRows(pool, [rowOf(`s${index}`)], index * 1_000)
  expect(pool.retired.size).toBeLessThan(70)
})

// Guards against requests to a broken group whose rows lapse together.
test('the trouble of a group outlives its rows', () => {
  const group = { name: 'g', epoch: 2, rank: 0, isOpen: true, size: 1 }
  const pool = poolOf([rowOf('a', { group })])
  backendPool.noteGroupBroken(pool, pool.backends.get('a')!, 1_900)
  expect(availability.blockOf(pool, lapse(pool, 2_100, rowOf('a', { group })), 2_200)).toBe('group_closed')
  backendPool.setRows(pool, [rowOf('b')], 70_000)
  expect([pool.brokenUntilMs.size, pool.groupListedAtMs.size]).toEqual([0, 0])
})
