import * as stream from 'node:stream'
import * as vitest from 'vitest'
import * as attemptPolicy from '../attempt-policy.js'
import * as attemptSender from '../attempt-sender.js'
import * as dispatcher from '../dispatcher.js'
import * as environment from '../environment.js'
import type * as serverTask from '../server-task.js'
import type * as call from '../../protocol/call.js'
import type * as backendClient from '../../transport/backend-client.js'

type Responder = (request: backendClient.BackendRequest) => backendClient.BackendResult

let sent: string[]

/** A sender and a dispatcher for two backend servers; `respond` returns the answers of their agents. */
async function senderOver (
  respond: Responder
): Promise<{ sender: attemptSender.AttemptSender, run: dispatcher.Dispatcher }> {
  sent = []
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const client: backendClient.BackendClient = {
    request: async request => {
      sent.push(request.path.startsWith('/dispatch') ? 'dispatch' : 'resolve')
      return respond(request)
    }
  }
  const incarnations = ['b'.repeat(32), 'c'.repeat(32)]
  const servers = {
    post: () => {},
    pick: async ({ excluded }: { excluded: Set<string> }) => {
      const incarnation = incarnations.find(candidate => !excluded.has(candidate))
      return incarnation === undefined
        ? { kind: 'none', reason: 'no_backend_server' }
        : { kind: 'chosen', record: { identity: { incarnation, address: incarnation.slice(0, 1) } } }
    }
  } as unknown as serverTask.ServerTask
  const attempts = attemptPolicy.createAttemptPolicy(env, () => {})
  const sender = attemptSender.createAttemptSender(env, {
    entryIncarnation: 'a'.repeat(32), servers, client, attempts
  })
  return { sender, run: dispatcher.createDispatcher(env, { servers, sender, attempts }) }
}

function answer (status: number, headers: Record<string, string>): backendClient.BackendResult {
  return { kind: 'answer', status, headers, body: stream.Readable.from([]) }
}

function callOf (isRepeatable: boolean, timeoutMs = 5_000): call.Call {
  return {
    requestId: 'r',
    team: { name: 'support' },
    headers: {},
    target: { kind: 'plain', name: 'voucher' },
    body: Buffer.alloc(0),
    isRepeatable,
    deadlineAtMs: performance.now() + timeoutMs
  } as unknown as call.Call
}

const signal = new AbortController().signal
const tombstoned = answer(200, { 'bulrush-attempt-state': 'tombstoned' })

// Guards against not_run for a request when the cancel of its attempt has no answer either.
vitest.test('attempt may have run when neither it nor its cancel is answered', async () => {
  const { run } = await senderOver(() => ({ kind: 'no_answer', detail: 'reset' }))
  vitest.expect(await run.run(callOf(false), signal)).toMatchObject({ outcome: 'may_have_run' })
  vitest.expect(sent).toEqual(['dispatch', 'resolve'])
})

// Guards against may_have_run, and an abandoned request, where a tombstone allows another backend server.
vitest.test('tombstone allows another backend server', async () => {
  const { run } = await senderOver(request => request.path.startsWith('/dispatch')
    ? { kind: 'no_answer', detail: 'reset' }
    : tombstoned)
  vitest.expect(await run.run(callOf(false), signal)).toMatchObject({ outcome: 'not_run' })
  vitest.expect(sent).toEqual(['dispatch', 'resolve', 'dispatch', 'resolve'])
})

// Guards against an error page of an HTTP server that is forwarded as the result, or counts as a refusal.
vitest.test('answer without the attempt id counts as no answer', async () => {
  const { run } = await senderOver(request => request.path.startsWith('/dispatch')
    ? answer(408, { 'bulrush-outcome': 'not_run' })
    : answer(200, { 'bulrush-attempt-state': 'running' }))
  vitest.expect(await run.run(callOf(false), signal)).toMatchObject({ kind: 'refused', outcome: 'may_have_run' })
})

// Guards against not_run for a repeatable request whose first attempt may have run.
vitest.test('one attempt that may have run decides the outcome', async () => {
  let dispatches = 0
  const { run } = await senderOver(request => {
    if (!request.path.startsWith('/dispatch') || ++dispatches === 1) return { kind: 'no_answer', detail: 'reset' }
    return { kind: 'not_sent', detail: 'refused' }
  })
  vitest.expect(await run.run(callOf(true), signal)).toMatchObject({ outcome: 'may_have_run' })
  vitest.expect(dispatches).toBe(2)
  vitest.expect(await run.run(callOf(true), signal, 'may_have_run')).toMatchObject({ outcome: 'may_have_run' })
})

// Guards against a claim's owner that resumes after the deadline and still sends the attempt.
vitest.test('attempt after the deadline is not sent', async () => {
  const { sender } = await senderOver(() => ({ kind: 'no_answer', detail: 'reset' }))
  const reserved = sender.reserve({ incarnation: 'b'.repeat(32), address: 'b', host: 'h' })
  const result = await reserved.send(callOf(false, -1), signal)
  vitest.expect(result).toMatchObject({ reason: 'deadline_exceeded', outcome: 'not_run' })
  vitest.expect(sent).toEqual([])
})
