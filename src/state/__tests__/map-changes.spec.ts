import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as expertRebalance from '../expert-rebalance.js'
import * as mapChanges from '../map-changes.js'

const { expect, test } = vitest

/** Time in which a lead with a link of 5.6 Mbit/s should send a map to 62 agents, as a switch takes under a second. */
const SEND_ALL_MS = 150
const LINK_BYTES_PER_MS = 5.6e6 / 8 / 1_000

// Guards against switches that are slow because the lead sends complete maps to a large group.
test('the changes of a plan reach a large group in time over the lead\'s link', () => {
  const [ranks, sets, experts] = [63, 8, 252]
  const map = expertRebalance.initialMap(sets, experts, ranks)
  const counts = Array.from({ length: sets }, (_, set) => Array.from({ length: experts }, (_, expert) =>
    1_000 / (1 + (expert * 31 + set * 17) % experts) ** 0.67))
  const plan = expertRebalance.rebalance(map, counts, {
    ranks,
    placesPerRank: 5,
    maxNewPerRankAndSet: 2,
    maxNewPerRank: 4,
    slowdowns: [],
    minGainPerCopy: expertRebalance.minGainPerCopy(ranks),
    minGainPerPlan: expertRebalance.MIN_GAIN_PER_PLAN
  })
  const changes = mapChanges.changesBetween(map, plan.map)
  const sendAllMs = 62 * JSON.stringify(changes).length / LINK_BYTES_PER_MS
  expect(62 * JSON.stringify(plan.map).length / LINK_BYTES_PER_MS).toBeGreaterThan(SEND_ALL_MS)
  expect(sendAllMs).toBeLessThan(SEND_ALL_MS)
  expect(mapChanges.digestOf(mapChanges.applyChanges(map, changes)!)).toBe(mapChanges.digestOf(plan.map))
})

// Guards against an agent that ends up with another map than the lead sent.
test('changes applied to a map give the map that they were computed for', () => {
  const maps = fc.array(fc.array(fc.uniqueArray(fc.integer({ min: 0, max: 9 })), { minLength: 3, maxLength: 3 }),
    { minLength: 2, maxLength: 2 })
  fc.assert(fc.property(maps, maps, (before, after) => {
    const sorted = after.map(ranks => ranks.map(experts => experts.sort((a, b) => a - b)))
    expect(mapChanges.applyChanges(before, mapChanges.changesBetween(before, sorted))).toEqual(sorted)
  }))
})

// Guards against an agent that applies changes to the wrong map or decodes a corrupt message.
test('changes that don\'t apply to the map are refused', () => {
  expect(mapChanges.applyChanges([[[1]]], mapChanges.changesBetween([[[2]]], [[[]]]))).toBeUndefined()
  expect(mapChanges.applyChanges([[[1]]], mapChanges.changesBetween([[[], []]], [[[], [2]]]))).toBeUndefined()
  expect(mapChanges.applyChanges([[[1]]], 'no changes')).toBeUndefined()
})
