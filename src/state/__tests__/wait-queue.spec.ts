import * as vitest from 'vitest'
import * as waitQueue from '../wait-queue.js'

const { expect, test } = vitest

function callOf (id: string, fields: Partial<waitQueue.WaitingCall> = {}): waitQueue.WaitingCall {
  return {
    id,
    priority: 1,
    arrivedAtMs: 0,
    latestTimelyStartMs: 300,
    latestStartMs: 6_000,
    clientDeadlineAtMs: 8_000,
    isReturning: false,
    ...fields
  }
}

function orderAt (calls: waitQueue.WaitingCall[], nowMs: number): string[] {
  const rest = [...calls]
  const ids: string[] = []
  while (rest.length > 0) ids.push(rest.splice(waitQueue.nextIndex(rest, nowMs), 1)[0]!.id)
  return ids
}

test('after an outage, requests that can still be timely go before late ones', () => {
  const calls = [callOf('late'), callOf('timely', { arrivedAtMs: 500, latestTimelyStartMs: 900 })]
  expect(orderAt(calls, 600)).toEqual(['timely', 'late'])
})

test('among late requests, the one whose client waits longest from now goes first', () => {
  const calls = [callOf('old'), callOf('young', { arrivedAtMs: 500, latestTimelyStartMs: 800 })]
  expect(orderAt(calls, 1_500)).toEqual(['young', 'old'])
})

test('more urgent teams go first among equals', () => {
  const calls = [callOf('usual'), callOf('urgent', { priority: 0, arrivedAtMs: 50 })]
  expect(orderAt(calls, 100)).toEqual(['urgent', 'usual'])
})

test('what cannot end before its deadline is given up at once', () => {
  const calls = [callOf('hopeless', { latestStartMs: 1_000 }), callOf('fine')]
  expect(waitQueue.removeExpired(calls, 1_001).map(call => call.id)).toEqual(['hopeless'])
  expect(calls.map(call => call.id)).toEqual(['fine'])
})

test('with a slow rank, a request that would wait past its client\'s patience is refused at once', () => {
  // 20 requests a second arrive for 5 s; 8 a second find a slot, as when a rank is four times as slow.
  const rate: waitQueue.PlacementRate = { placedAtMs: [] }
  const waiting: waitQueue.WaitingCall[] = []
  let [refused, expired, served] = [0, 0, 0]
  for (let nowMs = 0; nowMs < 5_000; nowMs += 25) {
    if (nowMs % 50 === 0) {
      const call = callOf(String(nowMs), { arrivedAtMs: nowMs, latestTimelyStartMs: nowMs + 300, latestStartMs: nowMs + 1_700 })
      if (waitQueue.hasQueueCapacity(rate, waiting.length, call, nowMs)) waiting.push(call)
      else refused += 1
    }
    expired += waitQueue.removeExpired(waiting, nowMs).length
    if (nowMs % 125 === 0 && waiting.length > 0) {
      waiting.splice(waitQueue.nextIndex(waiting, nowMs), 1)
      waitQueue.notePlaced(rate, nowMs)
      served += 1
    }
  }
  expect(served).toBeGreaterThan(35)
  expect(refused).toBeGreaterThan(35)
  // Those that were let in and expired took a client's patience for nothing.
  expect(expired).toBeLessThan(refused)
})

test('a client that was refused before may wait longer than a new one', () => {
  const rate: waitQueue.PlacementRate = { placedAtMs: [100, 300, 500, 700, 900] }
  expect(waitQueue.hasQueueCapacity(rate, 4, callOf('new', { latestTimelyStartMs: 1_300 }), 1_000)).toBe(false)
  expect(waitQueue.hasQueueCapacity(rate, 4, callOf('back', { latestTimelyStartMs: 1_300, isReturning: true }), 1_000)).toBe(true)
})

test('refused clients come back later the longer the backlog, and not together', () => {
  expect(waitQueue.retryAfterMs(2_000, 8_000, 0)).toBeGreaterThan(waitQueue.retryAfterMs(100, 8_000, 0))
  expect(waitQueue.retryAfterMs(100, 8_000, 0.9)).toBeGreaterThan(waitQueue.retryAfterMs(100, 8_000, 0.1))
  expect(waitQueue.retryAfterMs(undefined, 8_000, 1)).toBeLessThan(8_000 / 3)
})

test('the pause is within what a client with little time left honours', () => {
  for (const expectedMs of [100, 5_000, undefined]) {
    expect(waitQueue.retryAfterMs(expectedMs, 2_400, 1)).toBeLessThan(2_400 / 3)
  }
})

test('while a group forms again, the two waits of each client span the outage', () => {
  // A rank is away for 4.5 s and the group forms for 0.6 s; 7 gateways get 6 requests a second each.
  const [outageMs, patienceMs, slotsPerGateway] = [5_100, 1_850, 96 / 7]
  const due = Array.from({ length: 30 }, (_, index) => (
    { atMs: index * 170, sentAtMs: index * 170, isReturning: false }
  ))
  let waiting: (typeof due[number] & { startByMs: number })[] = []
  let [served, lost] = [0, 0]
  for (let nowMs = 0; nowMs <= outageMs; nowMs += 10) {
    for (const expired of waiting.filter(call => call.startByMs < nowMs)) comeBack(expired, nowMs)
    waiting = waiting.filter(call => call.startByMs >= nowMs)
    for (const arrival of due.filter(call => call.atMs <= nowMs)) {
      due.splice(due.indexOf(arrival), 1)
      if (waitQueue.hasQueueCapacityInOutage(waiting.length, slotsPerGateway, arrival)) {
        waiting.push({ ...arrival, startByMs: nowMs + patienceMs })
      } else comeBack(arrival, nowMs)
    }
  }
  served += waiting.length + due.length
  expect(lost).toBe(0)
  expect(served).toBe(30)

  function comeBack (call: typeof due[number], nowMs: number): void {
    const { isReturning, sentAtMs } = call
    const pauseMs = waitQueue.retryAfterMs(undefined, sentAtMs + 8_000 - nowMs, nowMs % 100 / 100)
    if (isReturning) lost += 1
    else due.push({ atMs: nowMs + pauseMs, sentAtMs, isReturning: true })
  }
})
