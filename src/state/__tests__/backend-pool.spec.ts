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
  }], 0)
  return pool.backends.get('r0')!
}

// Guards against requests that are moved away from a group that has just opened and is making its first long passes.
test('a group without a known pass counts as stalled as a whole', () => {
  const pool = backendPool.createPool()
  expect(backendPool.isGroupStalled(pool, rankOf(pool), 1_000)).toBe(true)
})

// Guards against a request that stays at a silent rank because its group is considered stalled while it makes passes.
test('a group counts as stalled only when it has made no pass for a while', () => {
  const pool = backendPool.createPool()
  const rank = rankOf(pool)
  backendPool.noteProgress(pool, 'g', undefined, 900)
  expect(backendPool.isGroupStalled(pool, rank, 1_000)).toBe(false)
  expect(backendPool.isGroupStalled(pool, rank, 1_600)).toBe(true)
})

const RANKS = 63

function rowsIn (epoch: number): backendPool.BackendRow[] {
  return Array.from({ length: RANKS }, (_, rank) => ({
    id: `r${rank}`,
    service: 's',
    address: `10.0.0.${rank}:80`,
    failureDomain: 'd',
    slots: 7,
    state: 'ready',
    startedAtUnixMs: 1,
    group: { name: 'g', epoch, rank, isOpen: true, size: RANKS }
  }))
}

function placeAt (pool: backendPool.BackendPool, nowMs: number): placement.Placement['kind'] {
  return placement.place(pool, {
    service: 's', failureDomain: 'd', excluded: new Set(), nowMs, random: () => 0.5
  }).kind
}

// Guards against a request that is sent to one earlier instance after the other, after all hosts lost power.
test('a group is avoided after several replaced ranks in a row, until it forms again', () => {
  const pool = backendPool.createPool()
  backendPool.setRows(pool, rowsIn(1), 0)
  for (const id of ['r5', 'r9', 'r17']) backendPool.noteResult(pool, pool.backends.get(id)!, 'replaced', 0)
  expect(placeAt(pool, 10)).toBe('none')
  backendPool.setRows(pool, rowsIn(2), 0)
  expect(placeAt(pool, 20)).toBe('backend')
})

// Guards against avoiding a whole group because one restarted rank's row stays outdated during an outage of the store.
test('a single replaced rank does not lead to avoiding its group', () => {
  const pool = backendPool.createPool()
  backendPool.setRows(pool, rowsIn(1), 0)
  for (let atMs = 0; atMs < 20_000; atMs += 500) {
    backendPool.noteResult(pool, pool.backends.get('r5')!, 'replaced', atMs)
    expect(placeAt(pool, atMs + 10)).toBe('backend')
  }
  for (const id of ['r9', 'r17']) {
    backendPool.noteResult(pool, pool.backends.get('r30')!, 'succeeded', 20_000)
    backendPool.noteResult(pool, pool.backends.get(id)!, 'replaced', 20_000)
  }
  expect(placeAt(pool, 20_010)).toBe('backend')
})
