import * as vitest from 'vitest'
import * as countWindow from '../../../state/count-window.js'
import * as countCollector from '../count-collector.js'
import type * as rankCall from '../../../protocol/rank-call.js'
import type * as rankControl from '../../../protocol/rank-control.js'
import type * as routingTable from '../../../state/routing-table.js'
import type * as rankCaller from '../rank-caller.js'

const { expect, test } = vitest

// Load pattern: popularity changes at once in a group of 32 ranks, whose agents read their counts every 300 ms, each at
// another moment. A pass takes 100 ms.
const RANKS = 32
const EXPERTS = 2
const CHANGE_AT_MS = 1_000
const NOTICED_AT_MS = 1_150
const COLLECTED_AT_MS = 1_270
const PASS_MS = 100
const READ_INTERVAL_MS = 300

let nowMs = 0
const windows = Array.from({ length: RANKS }, () => countWindow.createWindow())

/** Each pass chooses an expert ten times; the other one since the change, but for a few requests of each rank. */
function countsAt (atMs: number): rankControl.ExpertCounts {
  const step = Math.floor(atMs / PASS_MS)
  const before = Math.min(step, CHANGE_AT_MS / PASS_MS)
  const after = step - before
  return { epoch: 1, step, counts: [[before * 10 + after, before + after * 10]] }
}

function read (rank: number, call: rankCall.RankCall): rankCall.RankCallAnswer {
  if (call.kind !== 'counts') throw new Error(`unexpected call ${call.kind}`)
  countWindow.addSample(windows[rank]!, countsAt(nowMs), nowMs)
  return { kind: 'counts', counts: countWindow.countsWithin(windows[rank]!, call.windowMs, nowMs, () => 0.5) }
}

const caller = {
  call: async (address: string, call: rankCall.RankCall) => read(Number(address), call)
} as unknown as rankCaller.RankCaller

// Guards against a plan that fits neither the popularity before a change nor that after it.
test('counts that are collected after a change have nothing from before it', async () => {
  const collector = new countCollector.CountCollector({
    nowMs: () => nowMs,
    caller,
    callOwnRank: async call => read(0, call),
    addressesOf: rank => ({ agent: String(rank), rank: undefined, failureDomain: `d${rank % 8}` }),
    signal: new AbortController().signal
  })
  const own = { name: 'g', epoch: 1, rank: 0, size: RANKS, isOpen: true }
  const model = { expertSets: 1, expertsPerSet: EXPERTS } as unknown as routingTable.EngineModel
  for (nowMs = 0; nowMs < NOTICED_AT_MS; nowMs += 10) {
    windows.forEach((window, rank) => {
      if ((nowMs + rank * 10) % READ_INTERVAL_MS === 0) countWindow.addSample(window, countsAt(nowMs), nowMs)
    })
  }
  nowMs = NOTICED_AT_MS
  collector.start(own, model)
  nowMs = COLLECTED_AT_MS
  const counts = await collector.collect(own, model)
  expect(counts![0]![1]! / counts![0]![0]!).toBeGreaterThan(9)
})
