import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as expertRebalance from '../expert-rebalance.js'
import * as mapChanges from '../map-changes.js'

const { expect, test } = vitest

/** Time in which a lead's link of 5.6 Mbit/s should carry a map to 62 agents: a switch takes under a second. */
const SPREAD_MS = 150
const LINK_BYTES_PER_MS = 5.6e6 / 8 / 1_000

test('the changes of a plan reach a large group in time over the lead\'s link', () => {
  const [ranks, sets, experts] = [63, 8, 252]
  const map = expertRebalance.initialMap(sets, experts, ranks)
  const counts = Array.from({ length: sets }, (_, set) => Array.from({ length: experts }, (_, expert) =>
    1_000 / (1 + (expert * 31 + set * 17) % experts) ** 0.67))
  const plan = expertRebalance.rebalance(map, counts, {
    ranks, placesPerRank: 5, maxNewPerRankAndSet: 2, maxNewPerRank: 4, slowdowns: [], minGainPerCopy: 0.02
  })
  const changes = mapChanges.changesBetween(map, plan.map)
  const spreadMs = 62 * JSON.stringify(changes).length / LINK_BYTES_PER_MS
  expect(62 * JSON.stringify(plan.map).length / LINK_BYTES_PER_MS).toBeGreaterThan(SPREAD_MS)
  expect(spreadMs).toBeLessThan(SPREAD_MS)
  expect(mapChanges.digestOf(mapChanges.applyChanges(map, changes)!)).toBe(mapChanges.digestOf(plan.map))
})

test('any map is reached by its changes', () => {
  const maps = fc.array(fc.array(fc.uniqueArray(fc.integer({ min: 0, max: 9 })), { minLength: 3, maxLength: 3 }),
    { minLength: 2, maxLength: 2 })
  fc.assert(fc.property(maps, maps, (before, after) => {
    const sorted = after.map(ranks => ranks.map(experts => experts.sort((a, b) => a - b)))
    expect(mapChanges.applyChanges(before, mapChanges.changesBetween(before, sorted))).toEqual(sorted)
  }))
})

test('changes that don\'t fit the map are refused', () => {
  expect(mapChanges.applyChanges([[[1]]], mapChanges.changesBetween([[[2]]], [[[]]]))).toBeUndefined()
  expect(mapChanges.applyChanges([[[1]]], mapChanges.changesBetween([[[], []]], [[[], [2]]]))).toBeUndefined()
  expect(mapChanges.applyChanges([[[1]]], 'no changes')).toBeUndefined()
})
