import * as stream from 'node:stream'
import * as vitest from 'vitest'
import type * as dispatcher from '../dispatcher.js'
import * as environment from '../environment.js'
import type * as serverTask from '../server-task.js'
import * as streamRecovery from '../stream-recovery.js'
import type * as call from '../../protocol/call.js'
import * as outcomes from '../../state/outcome.js'
import type * as serverView from '../../state/server-view.js'
import type * as backendClient from '../../transport/backend-client.js'

const incarnation = 'b'.repeat(32)
const relayed = [Buffer.from('data: {"choices":[{"delta":{"content":"one "}}]}\n\n')]
const request = {
  requestId: 'r',
  isRepeatable: true,
  body: Buffer.from('{"messages":[{"role":"user","content":"hello"}],"stream":true}'),
  deadlineAtMs: Infinity
} as unknown as call.Call

vitest.beforeEach(() => { vitest.vi.useFakeTimers() })
vitest.afterEach(() => { vitest.vi.useRealTimers() })

interface Scene {
  /** The agent answers again after this time, with this status. */
  restartMs: number
  status?: number
  /** Answer of another backend server, which has no place for the stream before `placeAfterMs`. */
  continued?: Partial<backendClient.BackendAnswer>
  placeAfterMs?: number
}

async function recoverWith (
  restartMs: number, status = 200, continued?: Partial<backendClient.BackendAnswer>
): Promise<{ source: streamRecovery.StreamSource | undefined, tookMs: number }> {
  return await recoverIn({ restartMs, status, ...(continued === undefined ? {} : { continued }) })
}

async function recoverIn ({ restartMs, status = 200, continued, placeAfterMs = 0 }: Scene): Promise<{
  source: streamRecovery.StreamSource | undefined, tookMs: number
}> {
  const real = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const startedAtMs = Date.now()
  const client: backendClient.BackendClient = {
    request: async () => Date.now() - startedAtMs < restartMs
      ? { kind: 'not_sent', detail: 'ECONNREFUSED' }
      : { kind: 'answer', status, headers: {}, body: stream.Readable.from([]) }
  }
  const server: serverView.ServerIdentity = {
    incarnation, host: 'a', address: 'a:1', failureDomain: 'kista', region: 'r'
  } as unknown as serverView.ServerIdentity
  const recovery = streamRecovery.createStreamRecovery({ ...real, nowMs: () => Date.now() }, {
    servers: { findOnHost: async () => [] } as unknown as serverTask.ServerTask,
    client,
    dispatcher: {
      run: async () => continued === undefined
        ? outcomes.refuse('no_backend_server', 503, 'may_have_run', 'none')
        : Date.now() - startedAtMs < placeAfterMs
          ? outcomes.refuse('overloaded', 503, 'may_have_run', 'full')
          : {
              kind: 'answer',
              server,
              attemptId: 'y',
              finish: () => {},
              answer: { kind: 'answer', body: stream.Readable.from(['failed\n\n']), ...continued }
            }
    } as dispatcher.Dispatcher
  })
  const recovered = recovery.recover(request, {
    source: { server, attemptId: 'x' } as unknown as streamRecovery.StreamSource, offsetBytes: 10, relayed
  }, new AbortController().signal)
  let tookMs = 0
  const settled = recovered.finally(() => { tookMs = Date.now() - startedAtMs })
  await vitest.vi.advanceTimersByTimeAsync(60_000)
  return { source: await settled, tookMs }
}

// Guards against a stream that is ended although its only agent restarts after three seconds.
vitest.test('stream resumes after a slow restart on the only host', async () => {
  const { source, tookMs } = await recoverWith(3_000)
  vitest.expect(source?.offsetBytes).toBe(10)
  vitest.expect(tookMs).toBeLessThan(3_400)
})

// Guards against a caller that waits forever for a host that does not restart.
vitest.test('recovery ends when the only host does not restart', async () => {
  const { source, tookMs } = await recoverWith(Infinity)
  vitest.expect(source).toBeUndefined()
  vitest.expect(tookMs).toBeLessThan(13_000)
})

// Guards against waiting for a host that has answered that it no longer holds the stream.
vitest.test('recovery ends at once when the host no longer holds the stream', async () => {
  const { source, tookMs } = await recoverWith(0, 404)
  vitest.expect(source).toBeUndefined()
  vitest.expect(tookMs).toBeLessThan(100)
})

// Guards against the text of an error in the middle of a caller's stream, or an empty one that ends it as complete.
for (const answer of [
  { status: 404, headers: { 'content-type': 'text/plain' } },
  { status: 500, headers: { 'content-type': 'text/event-stream' } },
  { status: 204, headers: {} },
  { status: 200, headers: { 'content-type': 'application/json' } }
]) {
  vitest.test(`an answer of status ${answer.status} and type ${answer.headers['content-type']} continues no stream`, async () => {
    const { source } = await recoverWith(0, 404, answer)
    vitest.expect(source).toBeUndefined()
  })
}

const eventStream = { status: 200, headers: { 'content-type': 'text/event-stream' } }

// Guards against a stream that is cut because the other backend servers are full when its own has failed.
vitest.test('a stream waits for a place on another backend server when its own host has lost it', async () => {
  const { source, tookMs } = await recoverIn({ restartMs: 0, status: 404, continued: eventStream, placeAfterMs: 3_000 })
  vitest.expect(source?.attemptId).toBe('y')
  vitest.expect(tookMs).toBeLessThan(3_500)
})

vitest.test('an event stream of another backend server continues the stream', async () => {
  const { source } = await recoverWith(0, 404, { status: 200, headers: { 'content-type': 'text/event-stream' } })
  vitest.expect(source?.attemptId).toBe('y')
})
