import * as vitest from 'vitest'
import * as backendPool from '../backend-pool.js'
import * as placement from '../placement.js'

const { expect, test } = vitest

function rankOf (pool: backendPool.BackendPool): backendPool.Backend {
  backendPool.setRows(pool, [{
    id: 'r0',
    service: 's',
    address: '10.0.0.1:80',
    failureDomain: 'd',
    slots: 8,
    state: 'ready',
    startedAtUnixMs: 1,
    group: { name: 'g', epoch: 2, rank: 0, isOpen: true, size: 2 }
  }])
  return pool.backends.get('r0')!
}

// Guards against requests that are taken back from a group that has just opened and is at its first long passes.
test('a group without a known pass is not the fault of one rank', () => {
  const pool = backendPool.createPool()
  expect(backendPool.isGroupStalled(pool, rankOf(pool), 1_000)).toBe(true)
})

test('in a group that makes passes, a silent rank is at fault itself', () => {
  const pool = backendPool.createPool()
  const rank = rankOf(pool)
  backendPool.noteProgress(pool, 'g', undefined, 900)
  expect(backendPool.isGroupStalled(pool, rank, 1_000)).toBe(false)
  expect(backendPool.isGroupStalled(pool, rank, 1_600)).toBe(true)
})

// Guards against a request that is offered to one earlier instance after the other, after all hosts lost power.
test('a rank whose address another instance holds takes its group out until it forms anew', () => {
  const pool = backendPool.createPool()
  const rowsIn = (epoch: number): backendPool.BackendRow[] => Array.from({ length: 63 }, (_, rank) => ({
    id: `r${rank}`,
    service: 's',
    address: `10.0.0.${rank}:80`,
    failureDomain: 'd',
    slots: 7,
    state: 'ready',
    startedAtUnixMs: 1,
    group: { name: 'g', epoch, rank, isOpen: true, size: 63 }
  }))
  const placeAt = (nowMs: number): placement.Placement['kind'] =>
    placement.place(pool, { service: 's', failureDomain: 'd', excluded: new Set(), nowMs, random: () => 0.5 }).kind
  backendPool.setRows(pool, rowsIn(1))
  expect(placeAt(0)).toBe('backend')
  backendPool.noteVerdict(pool, pool.backends.get('r5')!, 'replaced', 0)
  expect(placeAt(10)).toBe('none')
  backendPool.setRows(pool, rowsIn(2))
  expect(placeAt(20)).toBe('backend')
})
