import * as vitest from 'vitest'
import * as countWindow from '../../../state/count-window.js'
import * as expertRebalance from '../../../state/expert-rebalance.js'
import * as mapChanges from '../../../state/map-changes.js'
import * as mapLead from '../map-lead.js'
import type * as rankCall from '../../../protocol/rank-call.js'
import type * as rankControl from '../../../protocol/rank-control.js'
import type * as rankSwitch from '../../../state/rank-switch.js'
import type * as routingTable from '../../../state/routing-table.js'
import type * as rankCaller from '../rank-caller.js'

const { afterEach, beforeEach, expect, test, vi } = vitest

const RANKS = 4
const EXPERTS = 8
const TICK_MS = 10
/** Time in which each rank copies the experts of a proposed map. */
const COPY_MS = 500
/** Enough for the settling time of a change and a collection of counts. */
const NEXT_PLAN_MS = 200

const own: rankControl.RankGroup = { name: 'g', epoch: 1, rank: 0, size: RANKS, isOpen: true }
const model = {
  expertSets: 1,
  expertsPerSet: EXPERTS,
  placesPerRank: 4,
  spareCopies: 2,
  expertMegabytes: 1,
  linkMegabitsPerSecond: 1_000
} as unknown as routingTable.EngineModel

let lead: mapLead.MapLead
let controller: AbortController
/** Expert that most requests choose; undefined if they choose all alike. */
let popular: number | undefined
/** Maps that the ranks were told to prepare, as changes of a base version or whole. */
let prepared: { version: number, map: rankControl.ExpertMap, base: number | undefined, atMs: number }[]
/** Steps before which a rank was told to hold. */
let heldSteps: number[]
/** Time that ranks take to answer with their counts. */
let countsDelayMs: number
/** Rank that refuses to prepare maps. */
let refusing: number | undefined
/** Version that the latest reading of rank 1 shows in use; those of the others are older. */
let versionOfRank1: number

const initial = expertRebalance.initialMap(1, EXPERTS, RANKS)

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000, toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'Date'] })
  controller = new AbortController()
  popular = 1
  prepared = []
  heldSteps = []
  countsDelayMs = 0
  refusing = undefined
  versionOfRank1 = 0
  lead = new mapLead.MapLead({
    runtime: {
      nowMs: () => Date.now(),
      random: () => 0.5,
      log: { emit: () => {} },
      metrics: { mapSwitches: { inc: () => {} }, passMs: { set: () => {} }, expertSkew: { set: () => {} } } as never
    },
    caller: {
      call: (agent: string, call: rankCall.RankCall) => answerOf(Number(agent), call)
    } as unknown as rankCaller.RankCaller,
    callOwnRank: call => answerOf(own.rank, call),
    rankAt: () => { throw new Error('no rank is called directly') },
    addressesOf: rank => ({ agent: String(rank), rank: undefined, failureDomain: `d${rank}` }),
    engine: () => model,
    mapOf: () => initial,
    isLeading: () => true,
    onFenced: () => {},
    signal: controller.signal
  })
  lead.startTerm(own, 1, undefined)
})

afterEach(() => {
  controller.abort()
  vi.useRealTimers()
})

function countsOf (): countWindow.PackedCounts | undefined {
  const chosen = Array.from({ length: EXPERTS }, (_, expert) => popular === undefined || expert === popular ? 100 : 1)
  const window = countWindow.createWindow()
  countWindow.addSample(window, { epoch: 1, step: 0, counts: [chosen.map(() => 0)] }, 0)
  countWindow.addSample(window, { epoch: 1, step: 9, counts: [chosen] }, 100)
  return countWindow.countsWithin(window, 500, 100, () => 0.5)
}

async function answerOf (rank: number, call: rankCall.RankCall): Promise<rankCall.RankCallAnswer> {
  if (call.kind === 'counts') {
    const counts = countsOf()
    if (countsDelayMs > 0) await new Promise(resolve => { setTimeout(resolve, countsDelayMs) })
    return { kind: 'counts', counts }
  }
  if (call.kind !== 'order') throw new Error(`unexpected call ${call.kind}`)
  const { order } = call
  if (order.kind === 'hold') heldSteps.push(order.step)
  const isPrepare = order.kind === 'prepare' || order.kind === 'prepare_changes'
  // The lead's own rank gets the whole map.
  if (isPrepare && rank !== own.rank && order.version !== prepared.at(-1)?.version) {
    const map = order.kind === 'prepare' ? order.map : mapChanges.applyChanges(initial, order.changes)!
    const base = order.kind === 'prepare' ? undefined : order.baseVersion
    prepared.push({ version: order.version, map, base, atMs: Date.now() })
  }
  return { kind: 'ordered', outcome: isPrepare && rank === refusing ? 'refused' : 'accepted', state: undefined, ageMs: 0 }
}

function stateOf (rank: number): rankSwitch.RankState {
  const latest = prepared.at(-1)
  const isReady = latest !== undefined && Date.now() - latest.atMs >= COPY_MS
  return {
    rank,
    epoch: 1,
    isOpen: true,
    step: Math.floor(Date.now() / 50),
    mapVersion: rank === 1 ? versionOfRank1 : 0,
    preparedVersion: isReady ? latest.version : undefined,
    armed: undefined,
    heldStep: undefined,
    slowdown: 1,
    readAtMs: Date.now()
  }
}

async function run (durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
    for (let rank = 0; rank < RANKS; rank++) lead.noteRank(stateOf(rank))
    lead.advance(own)
    await vi.advanceTimersByTimeAsync(TICK_MS)
  }
}

function copiesOf (map: rankControl.ExpertMap, expert: number): number {
  return map[0]!.filter(experts => experts.includes(expert)).length
}

// Guards against a plan from before a change of popularity that delays the one that fits by its copies and its switch.
test('a map that is being prepared when popularity changes gives way to one that fits', async () => {
  await run(COPY_MS / 2)
  expect(prepared.map(({ map }) => copiesOf(map, 1))).toEqual([RANKS])
  popular = 6
  lead.notePopularityChange()
  await run(NEXT_PLAN_MS)
  expect(prepared.map(({ map }) => copiesOf(map, 6))).toEqual([1, RANKS])
  expect(prepared[1]!.version).toBeGreaterThan(prepared[0]!.version)
})

// Guards against a group that keeps its first map, since its requests differ and look like changes of popularity.
test('a map is completed although popularity seems to change all the time', async () => {
  for (let changes = 0; changes < 10; changes++) {
    await run(NEXT_PLAN_MS)
    lead.notePopularityChange()
  }
  expect(heldSteps.length).toBeGreaterThan(0)
})

// Guards against a plan from counts that were on their way when popularity changed.
test('counts of before a change that arrive after it are not used', async () => {
  countsDelayMs = 50
  await run(countsDelayMs - TICK_MS)
  popular = 6
  lead.notePopularityChange()
  await run(2 * NEXT_PLAN_MS)
  expect(prepared.map(({ map }) => copiesOf(map, 1))).toEqual([1])
  expect(copiesOf(prepared[0]!.map, 6)).toBe(RANKS)
})

// Guards against a group that stays on an outdated map for seconds, since a rank has refused the next one.
test('a map that a rank refuses is followed by another one', async () => {
  refusing = 2
  await run(COPY_MS / 2)
  expect(prepared.length).toBe(1)
  refusing = undefined
  popular = 6
  await run(2 * NEXT_PLAN_MS)
  expect(prepared.map(({ map }) => copiesOf(map, 6))).toEqual([1, RANKS])
})

// Guards against a plan that starts from the map before the last one: ranks refuse it.
test('a plan starts from the newest map that any rank uses', async () => {
  popular = undefined
  await run(NEXT_PLAN_MS)
  expect(prepared).toEqual([])
  versionOfRank1 = 7
  popular = 1
  await run(3 * NEXT_PLAN_MS)
  expect(prepared[0]).toMatchObject({ base: 7 })
})
