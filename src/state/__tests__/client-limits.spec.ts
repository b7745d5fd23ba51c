import * as vitest from 'vitest'
import * as clientLimits from '../client-limits.js'

const { expect, test } = vitest

function holder (fields: Partial<clientLimits.Holder>): clientLimits.Holder {
  return { standing: 'idle', address: '10.0.0.1', heldBytes: 0, unsentBytes: 0, ...fields }
}

test('limits grow with the host, and their sum stays within its share of the memory', () => {
  const limits = [[160, 256], [250, 4_100], [602, 8_192]].map(([memoryMb, fileDescriptors]) =>
    clientLimits.clientLimits({ memoryMb: memoryMb!, fileDescriptors: fileDescriptors! }))
  expect(limits.map(({ maxConnections }) => maxConnections)).toEqual([102, 1_000, 2_408])
  const sums = limits.map(({ maxConnections, ownBytes, sharedBytes }) => maxConnections * ownBytes + sharedBytes)
  expect(sums.map(bytes => Math.round(bytes / 1_048_576))).toEqual([32, 50, 120])
})

test('a process without usable resources accepts one connection', () => {
  expect(clientLimits.clientLimits({ memoryMb: 16, fileDescriptors: 1 }).maxConnections).toBe(1)
})

// Replays a crowd of silent connections beside requests that are served.
test('the connection that is silent for longest makes room, and no request that is served', () => {
  const served = holder({ standing: 'served' })
  const oldest = holder({ standing: 'reading' })
  expect(clientLimits.mostDispensable([served, oldest, holder({})])).toBe(oldest)
  expect(clientLimits.mostDispensable([served, holder({ standing: 'sending' }), oldest])).toBe(oldest)
  const sending = holder({ standing: 'sending' })
  expect(clientLimits.mostDispensable([served, sending])).toBe(sending)
  expect(clientLimits.mostDispensable([served])).toBe(undefined)
})

// Replays a crowd from one address beside an idle connection of another one.
test('the connections of a crowd make room before those of other addresses', () => {
  const other = holder({ address: '10.0.0.2' })
  const crowd = Array.from({ length: 3 }, () => holder({}))
  expect(clientLimits.mostDispensable([other, ...crowd])).toBe(crowd[0])
})

// Replays bodies that stop short of their end beside requests with small ones.
test('the one that holds most makes room, and none that holds no more than its own part', () => {
  const [small, large] = [holder({ standing: 'reading', heldBytes: 900 }), holder({ standing: 'reading', heldBytes: 5_000 })]
  expect(clientLimits.largestHolder([small, large], 1_000)).toBe(large)
  expect(clientLimits.largestHolder([small], 1_000)).toBe(undefined)
})

test('a request that is served keeps its body, and not a response that its client leaves', () => {
  const withBody = holder({ standing: 'served', heldBytes: 9_000 })
  const unread = holder({ standing: 'served', heldBytes: 6_000, unsentBytes: 5_000 })
  expect(clientLimits.largestHolder([withBody], 1_000)).toBe(undefined)
  expect(clientLimits.largestHolder([withBody, unread], 1_000)).toBe(unread)
})
