import * as vitest from 'vitest'
import * as admissionGate from '../admission-gate.js'
import * as environment from '../environment.js'
import type * as call from '../../protocol/call.js'
import type * as route from '../../state/route.js'

const ended = new AbortController()
let capacity: route.Capacity
let announcements: number

vitest.beforeEach(() => {
  capacity = { servers: 1, free: 10 }
  announcements = 0
})

vitest.afterAll(() => ended.abort())

async function startGate (): Promise<admissionGate.AdmissionGate> {
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  return admissionGate.startAdmissionGate(env, {
    self: 'e0', servers: { capacity: async () => capacity }, announce: () => { announcements += 1 }
  }, ended.signal)
}

function callOf (id: string, changes: object = {}): call.Call {
  return {
    requestId: id,
    team: { name: 'support', limits: { requestsPerSecond: 1e6, concurrentRequests: 2 } },
    target: { kind: 'model', name: 'm' },
    priority: 5,
    deadlineAtMs: performance.now() + 5_000,
    ...changes
  } as unknown as call.Call
}

const open = { name: 'open', limits: { requestsPerSecond: 1e6, concurrentRequests: 1e6 } }

// Guards against delayed refusals, and against retry times that make refused callers return at the same moment.
vitest.test('call over the team limit is refused without delay', async () => {
  const gate = await startGate()
  await gate.admit(callOf('a'), ended.signal)
  await gate.admit(callOf('b'), ended.signal)
  const tookMs: number[] = []
  const retryAfterMs: number[] = []
  for (let count = 0; count < 2_000; count++) {
    const startedMs = performance.now()
    const refused = await gate.admit(callOf(String(count)), ended.signal)
    tookMs.push(performance.now() - startedMs)
    vitest.expect(refused).toMatchObject({ kind: 'refused', reason: 'team_limit', status: 429, outcome: 'not_run' })
    if (refused.kind === 'refused') retryAfterMs.push(refused.retryAfterMs!)
  }
  tookMs.sort((a, b) => a - b)
  vitest.expect(tookMs[1_980]).toBeLessThan(20)
  vitest.expect(Math.max(...retryAfterMs) - Math.min(...retryAfterMs)).toBeGreaterThan(4_000)
  vitest.expect(announcements).toBeGreaterThan(0)
})

// Guards against a full queue that makes a call wait for its refusal.
vitest.test('call that exceeds the queue is refused without delay', async () => {
  const gate = await startGate()
  capacity = { servers: 1, free: 0 }
  const refused: unknown[] = []
  const all = Array.from({ length: 50 }, async (_, index) => {
    const result = await gate.admit(callOf(String(index), { team: open }), ended.signal)
    if (result.kind === 'refused') refused.push(result.reason)
    return result.kind
  })
  await new Promise(resolve => setTimeout(resolve, 20))
  vitest.expect(refused).toEqual(Array(47).fill('overloaded'))
  capacity = { servers: 1, free: 10 }
  vitest.expect((await Promise.all(all)).filter(kind => kind === 'admitted').length).toBe(3)
})

// Guards against a call that waits past its deadline while no capacity becomes free.
vitest.test('queued call is refused at its deadline', async () => {
  const gate = await startGate()
  capacity = { servers: 1, free: 0 }
  const result = await gate.admit(callOf('a', { deadlineAtMs: performance.now() + 50 }), ended.signal)
  vitest.expect(result).toMatchObject({ kind: 'refused', reason: 'overloaded', outcome: 'not_run' })
})

// Guards against a call that still counts in the team limit or the queue after its caller has disconnected.
vitest.test('call of a disconnected caller leaves the queue and the team limit', async () => {
  const gate = await startGate()
  capacity = { servers: 1, free: 0 }
  const gone = new AbortController()
  const waiting = [gate.admit(callOf('a'), gone.signal), gate.admit(callOf('b'), gone.signal)]
  await new Promise(resolve => setTimeout(resolve, 10))
  gone.abort()
  vitest.expect((await Promise.all(waiting)).map(result => result.kind)).toEqual(['refused', 'refused'])
  capacity = { servers: 1, free: 10 }
  const next = await gate.admit(callOf('c'), ended.signal)
  vitest.expect(next.kind).toBe('admitted')
})

// Guards against refusals while no server is known: the dispatcher knows the reason, and tries ejected servers.
vitest.test('call is admitted when no server is in rotation', async () => {
  const gate = await startGate()
  capacity = { servers: 0, free: 0 }
  vitest.expect((await gate.admit(callOf('a'), ended.signal)).kind).toBe('admitted')
})
