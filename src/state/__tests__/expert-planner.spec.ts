import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as planner from '../expert-planner.js'

const shape = { ranks: 16, experts: 8, slotsPerRank: 2 }
const counts = fc.array(fc.nat(1_000), { minLength: 8, maxLength: 8 })
const options = { ...planner.DEFAULT_PLANNER_OPTIONS, costWeight: 0, minimumGain: 0 }

// Guards against a plan that leaves an expert without a rank or reports moves that it does not make.
vitest.test('plans keep every expert and count their moves', () => {
  fc.assert(fc.property(counts, counts, (first, second) => {
    const start = planner.planFromScratch(shape, first)
    const plan = planner.planExperts(shape, [start], [second], options)
    const slots = plan.layers?.[0] ?? start
    vitest.expect(new Set(slots).size).toBe(shape.experts)
    vitest.expect(planner.movedExperts(shape, start, slots).length).toBeLessThanOrEqual(plan.moves)
    vitest.expect(plan.skewAfter).toBeLessThanOrEqual(plan.skewBefore)
  }), { seed: 11, numRuns: 500 })
})

// Guards against moves whose gain is smaller than their cost.
vitest.test('no expert is moved when the cost weight is high', () => {
  const hot = [[900, 10, 10, 10, 10, 10, 10, 10]]
  const start = [planner.uniformSlots(shape)]
  vitest.expect(planner.planExperts(shape, start, hot, options).moves).toBeGreaterThan(0)
  vitest.expect(planner.planExperts(shape, start, hot, { ...options, costWeight: 1e9 }).layers).toBeUndefined()
})

// Guards against a search that stops because relieving one of several equally loaded ranks does not lower the maximum.
vitest.test('equally loaded ranks are all relieved', () => {
  const hot = [[400, 400, 400, 10, 10, 10, 10, 10]]
  const start = [planner.uniformSlots(shape)]
  const plan = planner.planExperts(shape, start, hot, options)
  vitest.expect(planner.layerSkew(shape, start[0]!, hot[0]!)).toBeCloseTo(2.56, 5)
  vitest.expect(planner.layerSkew(shape, plan.layers![0]!, hot[0]!)).toBeLessThan(1.2)
})

// Guards against a plan with more moves than allowed.
vitest.test('a plan keeps to the maximum number of moves', () => {
  const hot = Array.from({ length: 4 }, () => [900, 10, 10, 10, 10, 10, 10, 10])
  const start = hot.map(() => planner.uniformSlots(shape))
  const plan = planner.planExperts(shape, start, hot, { ...options, maxMoves: 10 })
  vitest.expect(plan.moves).toBeGreaterThan(0)
  vitest.expect(plan.moves).toBeLessThanOrEqual(10)
})

// Guards against moves that follow sampling noise, and against a jump that is averaged away.
vitest.test('smoothing follows a jump and not the noise', () => {
  const before = [[100, 100, 100, 100]]
  const noisy = [[110, 92, 104, 94]]
  const jump = [[100, 1_000, 100, 100]]
  vitest.expect(planner.smoothCounts(before, noisy)[0]![0]).toBeCloseTo(103, 5)
  vitest.expect(planner.smoothCounts(before, jump)[0]![1]).toBeGreaterThan(950)
})

// Guards against moves whose small gain is lost when popularity drifts, and against missing small gains that would last
// because popularity is stable.
vitest.test('small gains count only for stable popularity', () => {
  const pairs = { ranks: 4, experts: 8, slotsPerRank: 2 }
  const uneven = [[100.6, 100.6, 99.4, 99.4, 100, 100, 100, 100]]
  const start = [[0, 1, 2, 3, 4, 5, 6, 7]]
  const plan = (changes: number[]): planner.ExpertPlan =>
    planner.planExperts(pairs, start, uneven, { ...options, minimumGain: 0.01 }, changes)
  vitest.expect(plan([0.03]).layers).toBeUndefined()
  vitest.expect(plan([0]).skewAfter).toBeCloseTo(1, 5)
})
