import * as vitest from 'vitest'
import type * as gatedCall from '../gated-call.js'
import * as suspectGate from '../suspect-gate.js'
import type * as peerMessage from '../../../protocol/peer-message.js'

const { afterEach, beforeEach, expect, test } = vitest

let nowMs: number
let sent: peerMessage.PeerMessage[]
let gate: suspectGate.SuspectGate
let controller: AbortController

beforeEach(() => {
  nowMs = 0
  sent = []
  controller = new AbortController()
  gate = new suspectGate.SuspectGate({
    runtime: { nowMs: () => nowMs, random: () => 0.5, log: { emit: () => {} }, metrics: {} as never },
    broadcast: message => { sent.push(message) },
    signal: controller.signal
  })
})

afterEach(() => { controller.abort() })

const callOf = (id: string, service: string, parts: string[]): gatedCall.GatedCall =>
  ({ id, service, features: { request: id, parts }, signal: controller.signal })

function crash (call: gatedCall.GatedCall, backend: string, tried: string[] = []): void {
  gate.receive({ kind: 'crash', interrupted: { ...call.features, backend, tried } })
}

// Guards against a request that was queued before its part was blamed and is sent afterwards.
test('a queued request with a part that is blamed meanwhile is not sent', async () => {
  crash(callOf('r1', 's', ['a']), 'b1')
  const queued = callOf('r2', 's', ['a'])
  expect(await gate.enter(queued, () => 1_000)).toBe('open')
  crash(callOf('r3', 's', ['a']), 'b2', ['a'])
  expect(gate.start(queued)).toBeUndefined()
  expect(await gate.enter(queued, () => 1_000)).toBe('blamed')
})

test('only one of two requests with a suspected part is sent, and the other follows when a response begins', async () => {
  crash(callOf('r1', 's', ['a']), 'b1')
  const [first, second] = [callOf('r2', 's', ['a']), callOf('r3', 's', ['a'])]
  await Promise.all([gate.enter(first, () => 1_000), gate.enter(second, () => 1_000)])
  expect(gate.start(first)).toEqual(['a'])
  expect(gate.start(second)).toBeUndefined()
  gate.noteBegun(first)
  expect(sent).toEqual([{ kind: 'cleared', features: ['a'] }])
  expect(await gate.enter(second, () => 1_000)).toBe('open')
  expect(gate.start(second)).toEqual([])
})

// Guards against requests that are held for one which waits until another service is back.
test('a suspected request of another service holds none of this one', async () => {
  crash(callOf('r1', 's', ['a', 'b']), 'b1')
  const other = callOf('plain', 'other', [])
  crash(other, 'b2')
  expect(await gate.enter(other, () => 1_000)).toBe('open')
  const call = callOf('r2', 's', ['a', 'b'])
  expect(await gate.enter(call, () => 1_000)).toBe('open')
  expect(gate.start(call)).toBeUndefined()
  nowMs = 600
  expect(gate.start(call)).toEqual(['a', 'b'])
})

test('a request that waits in vain ends when it can no longer be served', async () => {
  crash(callOf('r1', 's', ['a']), 'b1')
  const first = callOf('r2', 's', ['a'])
  await gate.enter(first, () => 1_000)
  gate.start(first)
  const entered = gate.enter(callOf('r3', 's', ['a']), () => 1_000)
  nowMs = 1_001
  expect(await entered).toBe('too_late')
})

// Guards against a request that is held until its deadline although its process stops before.
test('a request that waits ends when its process stops and it no longer fits', async () => {
  crash(callOf('r1', 's', ['a']), 'b1')
  const first = callOf('r2', 's', ['a'])
  await gate.enter(first, () => 60_000)
  gate.start(first)
  let latestMs = 60_000
  const entered = gate.enter(callOf('r3', 's', ['a']), () => latestMs)
  nowMs = 10
  latestMs = 9
  expect(await entered).toBe('too_late')
})
