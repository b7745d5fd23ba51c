import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as admission from '../admission.js'
import * as concurrencyLimit from '../concurrency-limit.js'

// Guards against a queue that grows without bound, or in which an urgent call waits behind less urgent ones.
vitest.test('queue is bounded and ordered by priority, then deadline', () => {
  fc.assert(fc.property(fc.array(fc.record({
    priority: fc.integer({ min: 0, max: 9 }), deadlineAtMs: fc.integer({ min: 1, max: 100_000 })
  }), { maxLength: 200 }), fc.integer({ min: 0, max: 500 }), (calls, throughput) => {
    const queue = admission.createQueue(0)
    queue.throughput = throughput
    calls.forEach((call, id) => admission.offer(queue, { ...call, id: String(id) }, admission.DEFAULT_QUEUE_OPTIONS, 0))
    vitest.expect(queue.calls.length).toBeLessThanOrEqual(Math.max(4, Math.ceil(throughput * 0.4)))
    queue.calls.slice(1).forEach((call, index) => {
      const before = queue.calls[index]!
      const isOrdered = before.priority < call.priority ||
        (before.priority === call.priority && before.deadlineAtMs <= call.deadlineAtMs)
      vitest.expect(isOrdered).toBe(true)
    })
  }))
})

// Guards against a call that is queued although it cannot meet its deadline, and one that is served after its deadline.
vitest.test('call that cannot meet its deadline is refused at once', () => {
  const queue = admission.createQueue(0)
  queue.throughput = 100
  queue.serviceMs = 300
  const options = admission.DEFAULT_QUEUE_OPTIONS
  vitest.expect(admission.offer(queue, { id: 'a', priority: 0, deadlineAtMs: 299 }, options, 0)).toBe('too_late')
  vitest.expect(admission.offer(queue, { id: 'b', priority: 0, deadlineAtMs: 301 }, options, 0)).toBe('queued')
  vitest.expect(admission.take(queue, 400)).toMatchObject({ next: undefined, dropped: [{ id: 'b' }] })
})

// Guards against refused callers that all retry in the same second.
vitest.test('retry times are spread', () => {
  const times = Array.from({ length: 100 }, (_, index) => Math.ceil(admission.retryAfterMs(() => index / 100) / 1000))
  vitest.expect(new Set(times).size).toBe(5)
})

// Guards against a limit that exceeds its bounds, or that keeps growing while the server is too slow.
vitest.test('adaptive concurrency stays in its bounds and falls above the target', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 2_000 }), { maxLength: 300 }), latencies => {
    const limit = new concurrencyLimit.AdditiveIncreaseLimit({ targetMs: 200, min: 2, max: 16, initial: 8 })
    latencies.forEach((latencyMs, index) => limit.noteLatency(latencyMs, 16, index * 50))
    vitest.expect(limit.limit()).toBeGreaterThanOrEqual(2)
    vitest.expect(limit.limit()).toBeLessThanOrEqual(16)
    for (let index = 0; index < 200; index++) limit.noteLatency(900, 16, 1e6 + index * 250)
    vitest.expect(limit.limit()).toBe(2)
  }))
})
