import * as vitest from 'vitest'
import * as rankExecutor from '../rank-executor.js'
import type * as rankControl from '../../../protocol/rank-control.js'
import type * as routingTable from '../../../state/routing-table.js'
import type * as runtime from '../../runtime.js'
import type * as rankCaller from '../rank-caller.js'

const { afterEach, beforeEach, expect, test } = vitest

const [SETS, EXPERTS] = [2, 4]

let controller: AbortController
let isOpen: boolean
let hasChanged: boolean
let changes: number
let executor: rankExecutor.RankExecutor

beforeEach(() => {
  vitest.vi.useFakeTimers()
  controller = new AbortController()
  isOpen = false
  hasChanged = false
  changes = 0
  const totals = new Array<number>(EXPERTS).fill(0)
  const rank = {
    counts: async (sets: number): Promise<rankControl.ExpertCounts> => {
      for (let expert = 0; expert < EXPERTS; expert++) totals[expert]! += (expert < 2) === hasChanged ? 1 : 50
      return { epoch: 1, step: totals[0]!, counts: Array.from({ length: sets }, () => [...totals]) }
    }
  } as unknown as rankControl.RankControl
  executor = new rankExecutor.RankExecutor({
    runtime: { nowMs: () => Date.now(), random: () => 0.5 } as unknown as runtime.Runtime,
    rank,
    caller: {} as rankCaller.RankCaller,
    group: () => ({ name: 'g', epoch: 1, rank: 0, size: 8, isOpen }),
    engine: () => ({ expertSets: SETS, expertsPerSet: EXPERTS }) as routingTable.EngineModel,
    isCurrentTerm: () => true,
    ownTerm: () => undefined,
    onOrder: () => {},
    onPopularityChange: () => { changes += 1 },
    signal: controller.signal
  })
})

afterEach(() => {
  controller.abort()
  vitest.vi.useRealTimers()
})

// Load pattern: after a power loss all groups open on their initial map, and passes are slow until the first plan.
test('counts are ready for a lead soon after the group opens', async () => {
  isOpen = true
  await vitest.vi.advanceTimersByTimeAsync(150)
  const answer = await executor.execute({ kind: 'counts', sets: SETS, windowMs: 1_200 })
  expect(answer.kind === 'counts' && answer.counts).toBeTruthy()
})

// Guards against counts of both sides of a change, also when the lead asks at the moment of the change.
test('a change of popularity is reported once', async () => {
  isOpen = true
  await vitest.vi.advanceTimersByTimeAsync(1_000)
  hasChanged = true
  await vitest.vi.advanceTimersByTimeAsync(1_000)
  expect(changes).toBe(1)
})
