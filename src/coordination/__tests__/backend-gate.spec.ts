import * as http from 'node:http'
import * as vitest from 'vitest'
import * as backendGate from '../backend-gate.js'
import * as environment from '../environment.js'
import type * as streamForwarder from '../stream-forwarder.js'
import * as jsonServer from '../../../standins/json-server.js'
import * as backendClient from '../../transport/backend-client.js'
import * as concurrencyLimit from '../../state/concurrency-limit.js'
import * as httpServer from '../../transport/http-server.js'
import * as clientPool from '../../../standins/client-pool.js'

const agentIncarnation = 'b'.repeat(32)
const entryIncarnation = 'a'.repeat(32)
const ended = new AbortController()
let agentAddress: string
let backend: { address: string, server: http.Server }
let runs = 0
let gate: backendGate.BackendGate
let sequence = 0

vitest.beforeAll(async () => {
  const env = await environment.createEnvironment(
    { emit: () => {} }, { count: () => {}, gauge: () => {}, timing: () => {} } as never)
  backend = await jsonServer.serveJson(async (request, response) => {
    runs += 1
    await new Promise(resolve => setTimeout(resolve, Number(request.query.get('delayMs') ?? 0)))
    response.setHeader('bulrush-outcome', 'not_run')
    jsonServer.sendJson(response, 200, { path: request.path })
  })
  gate = backendGate.createBackendGate(env, {
    agentIncarnation,
    backendAddress: backend.address,
    client: backendClient.createBackendClient(ended.signal),
    streams: { forwardHeld: () => false } as unknown as streamForwarder.StreamForwarder,
    concurrency: new concurrencyLimit.FixedLimit(1),
    onBackendFailure: () => {}
  })
  const agent = await httpServer.listen({
    address: '127.0.0.1:0',
    signal: ended.signal,
    pool: clientPool.createRoomyPool(ended.signal),
    handler: (request, response) => {
      const resolved = /^\/attempts\/([^/]+)\/resolve/.exec(request.url!)
      const handled = resolved === null
        ? gate.dispatch(request, response)
        : gate.resolve(request, response, resolved[1]!)
      handled.catch(() => response.destroy())
    }
  })
  agentAddress = agent.address
})

vitest.afterAll(() => {
  ended.abort()
  backend.server.closeAllConnections()
  backend.server.close()
})

function nextAttempt (): string {
  sequence += 1
  return `${entryIncarnation}.${sequence}`
}

function dispatch (attemptId: string, path = '/issue', headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`http://${agentAddress}/dispatch${path}`, {
    method: 'POST',
    body: 'x',
    headers: {
      'bulrush-attempt': attemptId,
      'bulrush-agent-incarnation': agentIncarnation,
      'bulrush-deadline-ms': '5000',
      'bulrush-repeatable': '0',
      ...headers
    }
  })
}

async function resolve (attemptId: string, query = ''): Promise<string | null> {
  const response = await fetch(`http://${agentAddress}/attempts/${attemptId}/resolve?${query}`, {
    method: 'POST', headers: { 'bulrush-agent-incarnation': agentIncarnation }
  })
  await response.text()
  return response.headers.get('bulrush-attempt-state')
}

function outcomeOf (response: Response): string {
  return `${response.headers.get('bulrush-outcome')} ${response.headers.get('bulrush-reason')}`
}

// Guards against an attempt that was refused while the server was full and runs when a copy of it arrives later.
vitest.test('attempt that a full server refused does not run later', async () => {
  const slow = dispatch(nextAttempt(), '/issue?delayMs=200')
  await vitest.vi.waitFor(() => vitest.expect(gate.load().running).toBe(1))
  const refused = nextAttempt()
  vitest.expect(outcomeOf(await dispatch(refused))).toBe('not_run overloaded')
  await (await slow).text()
  const before = runs
  vitest.expect(outcomeOf(await dispatch(refused))).toBe('not_run attempt_superseded')
  vitest.expect(runs).toBe(before)
})

// Guards against a second run by a copy that reaches a full server while the first copy runs there.
vitest.test('copy of a running attempt at a full server may have run', async () => {
  const attemptId = nextAttempt()
  const slow = dispatch(attemptId, '/issue?delayMs=200')
  await vitest.vi.waitFor(() => vitest.expect(gate.load().running).toBe(1))
  vitest.expect(outcomeOf(await dispatch(attemptId))).toBe('may_have_run duplicate_attempt')
  await (await slow).text()
})

// Guards against not_run for an attempt addressed to an agent process that has ended, where a copy may have run.
vitest.test('attempt for another incarnation is refused and may have run', async () => {
  const before = runs
  const response = await dispatch(nextAttempt(), '/issue', { 'bulrush-agent-incarnation': 'c'.repeat(32) })
  vitest.expect(outcomeOf(response)).toBe('may_have_run wrong_incarnation')
  vitest.expect(runs).toBe(before)
})

// Guards against a backend server's not_run header that is forwarded as if the agent had set it.
vitest.test('backend server cannot state an outcome', async () => {
  const response = await dispatch(nextAttempt())
  vitest.expect([response.status, response.headers.get('bulrush-outcome')]).toEqual([200, null])
})

// Guards against a takeover that cancels an attempt which is still in transit.
vitest.test('resolve waits for an attempt in transit', async () => {
  const attemptId = nextAttempt()
  const resolved = resolve(attemptId, 'graceMs=1000&waitMs=1000')
  await new Promise(resolve => setTimeout(resolve, 50))
  vitest.expect((await dispatch(attemptId)).status).toBe(200)
  vitest.expect(await resolved).toBe('completed')
  vitest.expect(await resolve(nextAttempt(), 'graceMs=50')).toBe('tombstoned')
})

// Guards against a lost result when the entry's connection breaks while the request runs.
vitest.test('result is recorded when the entry disconnects', async () => {
  const attemptId = nextAttempt()
  const gone = new AbortController()
  const request = http.request(`http://${agentAddress}/dispatch/issue?delayMs=200`, {
    method: 'POST',
    signal: gone.signal,
    headers: {
      'bulrush-attempt': attemptId,
      'bulrush-agent-incarnation': agentIncarnation,
      'bulrush-deadline-ms': '5000',
      'bulrush-repeatable': '0'
    }
  })
  request.on('error', () => {}).end('x')
  await vitest.vi.waitFor(() => vitest.expect(gate.load().running).toBe(1))
  gone.abort()
  vitest.expect(await resolve(attemptId)).toBe('running')
  vitest.expect(await resolve(attemptId, 'waitMs=2000')).toBe('completed')
})

// Guards against a refused connection to the backend server that counts as a run, or that can still become one.
vitest.test('attempt at an unreachable backend server is tombstoned', async () => {
  backend.server.closeAllConnections()
  await new Promise(resolve => backend.server.close(resolve))
  const attemptId = nextAttempt()
  vitest.expect(outcomeOf(await dispatch(attemptId))).toBe('not_run backend_unreachable')
  vitest.expect(await resolve(attemptId)).toBe('tombstoned')
  vitest.expect(outcomeOf(await dispatch(attemptId))).toBe('not_run attempt_superseded')
})
