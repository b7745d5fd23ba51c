import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as expertRebalance from '../expert-rebalance.js'

const { expect, test } = vitest

const LIMITS: expertRebalance.RebalanceLimits = {
  ranks: 12,
  placesPerRank: 8,
  maxNewPerRankAndSet: 3,
  maxNewPerRank: 4,
  slowdowns: [],
  minGainPerCopy: 0.02,
  minGainPerPlan: 0
}
const SETS = 4
const EXPERTS = 72

/** Popularity in which a few experts dominate; their order differs by set. */
function skewedCounts (seed: number): number[][] {
  return Array.from({ length: SETS }, (_, set) => Array.from({ length: EXPERTS }, (_, expert) =>
    1_000 / (1 + (expert * 31 + set * 17 + seed) % EXPERTS) ** 1.1))
}

// Guards against a group that stays slowed down by the rank that holds the popular experts.
test('rebalancing relieves the rank with the popular experts', () => {
  let map = expertRebalance.initialMap(SETS, EXPERTS, LIMITS.ranks)
  const first = expertRebalance.rebalance(map, skewedCounts(3), LIMITS)
  for (let round = 0; round < 4; round++) map = expertRebalance.rebalance(map, skewedCounts(3), LIMITS).map
  const last = expertRebalance.rebalance(map, skewedCounts(3), LIMITS)
  expect(first.skewBefore / SETS).toBeGreaterThan(2)
  expect(last.skewBefore / SETS).toBeLessThan(1.35)
})

// Guards against copies that cost time and gain nothing.
test('a group with even load gets no copies', () => {
  const counts = Array.from({ length: SETS }, () => new Array<number>(EXPERTS).fill(100))
  const plan = expertRebalance.rebalance(expertRebalance.initialMap(SETS, EXPERTS, LIMITS.ranks), counts, LIMITS)
  expect(plan.copies).toBe(0)
})

// Guards against a slow rank that gets its full share of the load and delays the whole group.
test('a slow rank gets less of the load', () => {
  const counts = Array.from({ length: SETS }, () => new Array<number>(EXPERTS).fill(100))
  const limits = { ...LIMITS, slowdowns: [4, ...new Array<number>(11).fill(1)] }
  let map = expertRebalance.initialMap(SETS, EXPERTS, LIMITS.ranks)
  const first = expertRebalance.rebalance(map, counts, limits)
  for (let round = 0; round < 4; round++) map = expertRebalance.rebalance(map, counts, limits).map
  const last = expertRebalance.rebalance(map, counts, limits)
  expect(first.skewBefore / SETS).toBeCloseTo(4, 1)
  expect(last.skewAfter / SETS).toBeLessThan(2)
})

// Guards against a plan that loses an expert or gives a rank more than it can hold or load at once.
test('each plan holds all experts within the capacity of the ranks', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 71 }), { minLength: 1, maxLength: 5 }), seeds => {
    let map = expertRebalance.initialMap(SETS, EXPERTS, LIMITS.ranks)
    for (const seed of seeds) {
      const next = expertRebalance.rebalance(map, skewedCounts(seed), LIMITS)
      next.map.forEach((ranks, set) => {
        const held = new Set(ranks.flat())
        expect(held.size).toBe(EXPERTS)
        ranks.forEach((experts, rank) => {
          expect(new Set(experts).size).toBe(experts.length)
          expect(experts.length).toBeLessThanOrEqual(LIMITS.placesPerRank)
          const before = map[set]![rank]!
          expect(experts.filter(expert => !before.includes(expert)).length)
            .toBeLessThanOrEqual(LIMITS.maxNewPerRankAndSet)
        })
      })
      expect(next.skewAfter).toBeLessThanOrEqual(next.skewBefore + 1e-9)
      map = next.map
    }
  }), { numRuns: 15 })
})

// Guards against a search that becomes too slow for a large group.
test('a group of 63 ranks is planned within 2 s of processor time', () => {
  const limits = { ...LIMITS, ranks: 63, placesPerRank: 5 }
  const counts = Array.from({ length: 8 }, (_, set) => Array.from({ length: 252 }, (_, expert) =>
    1_000 / (1 + (expert * 31 + set * 17) % 252) ** 1.1))
  // Processor time, since other processes on a busy machine do not increase it.
  const before = process.cpuUsage()
  const plan = expertRebalance.rebalance(expertRebalance.initialMap(8, 252, 63), counts, limits)
  const used = process.cpuUsage(before)
  const cpuMs = (used.user + used.system) / 1_000
  console.log(`planned ${plan.copies} copies in ${Math.round(cpuMs)} ms of processor time`)
  expect(plan.skewAfter).toBeLessThan(plan.skewBefore)
  expect(cpuMs).toBeLessThan(2_000)
})

/** A lead that plans for longer than this counts as silent; its host has less than half of a core. */
const LEAD_SILENT_MS = 700
const HOST_CORES = 0.4

// Guards against planning that blocks a lead for so long that it counts as silent.
test('a plan for a large group ends before its lead counts as silent', () => {
  const large: expertRebalance.RebalanceLimits = { ...LIMITS, ranks: 63, placesPerRank: 5, maxNewPerRankAndSet: 2 }
  const [sets, experts] = [8, 252]
  const counts = Array.from({ length: sets }, (_, set) => Array.from({ length: experts }, (_, expert) =>
    1_000 / (1 + (expert * 31 + set * 17) % experts) ** 0.67))
  let map = expertRebalance.initialMap(sets, experts, large.ranks)
  let longestMs = 0
  let plan = expertRebalance.rebalance(map, counts, large)
  const skewBefore = plan.skewBefore / sets
  for (let round = 0; round < 4; round++) {
    const startedAtMs = process.cpuUsage().user / 1_000
    plan = expertRebalance.rebalance(map, counts, large)
    longestMs = Math.max(longestMs, process.cpuUsage().user / 1_000 - startedAtMs)
    map = plan.map
  }
  expect(skewBefore).toBeGreaterThan(3)
  expect(plan.skewAfter / sets).toBeLessThan(1.5)
  expect(longestMs).toBeLessThan(LEAD_SILENT_MS * HOST_CORES)
})
