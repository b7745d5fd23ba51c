import * as vitest from 'vitest'
import * as attemptPolicy from '../attempt-policy.js'
import type * as attemptSender from '../attempt-sender.js'
import type * as claimStore from '../claim-store.js'
import * as environment from '../environment.js'
import * as keyedDispatcher from '../keyed-dispatcher.js'
import type * as serverTask from '../server-task.js'
import type * as call from '../../protocol/call.js'
import type * as claims from '../../state/claim.js'
import * as outcomes from '../../state/outcome.js'

const incarnation = 'b'.repeat(32)
let written: string[]

/**
 * Runs a keyed call with a single backend server, which refuses it. `writeResult` gives the claim store's answer to a
 * write, by the state that is written.
 */
async function runRefused (
  writeResult: (state: string) => Promise<claims.ClaimWriteResult>, signal: AbortSignal, onPick = (): void => {}
): Promise<outcomes.Refusal> {
  written = []
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const servers = {
    pick: async ({ excluded }: { excluded: Set<string> }) => {
      onPick()
      return excluded.size > 0
        ? { kind: 'none', reason: 'no_backend_server' }
        : { kind: 'chosen', record: { identity: { incarnation, address: 'agent' } } }
    }
  } as unknown as serverTask.ServerTask
  const sender = {
    reserve: (server: attemptSender.AgentTarget) => ({
      server,
      ref: { attemptId: `${'a'.repeat(32)}.1`, agentIncarnation: incarnation, agentAddress: 'agent' },
      abandon: () => {},
      send: async () => outcomes.refuse('overloaded', 503, 'not_run', 'full')
    })
  } as unknown as attemptSender.AttemptSender
  const store: claimStore.ClaimStore = {
    read: async () => ({ kind: 'ok', value: undefined }),
    write: (_key, { claim }) => {
      written.push(claim.state)
      return writeResult(claim.state)
    }
  }
  const attempts = attemptPolicy.createAttemptPolicy(env, () => {})
  const request = { fingerprint: 'f', deadlineAtMs: performance.now() + 5_000, target: {} } as unknown as call.Call
  const run = keyedDispatcher.createKeyedDispatcher(env, { servers, sender, attempts }).run
  return await run(request, 'key', store, signal) as outcomes.Refusal
}

const committed: claims.ClaimWriteResult = { kind: 'committed' }

// Guards against a call that is reported as not_run although another entry may have taken over its unreleased key.
vitest.test('refused call is reported as not_run only after its claim has been released', async () => {
  const signal = new AbortController().signal
  vitest.expect(await runRefused(async () => committed, signal)).toMatchObject({ outcome: 'not_run', reason: 'overloaded' })
  vitest.expect(written).toEqual(['open', 'released'])
  const unavailable = await runRefused(async state => state === 'open' ? committed : { kind: 'unavailable' }, signal)
  vitest.expect(unavailable.outcome).toBe('may_have_run')
  const startedAtMs = performance.now()
  const silent = await runRefused(state => state === 'open' ? Promise.resolve(committed) : new Promise(() => {}), signal)
  vitest.expect(silent.outcome).toBe('may_have_run')
  vitest.expect(performance.now() - startedAtMs).toBeLessThan(2_000)
})

// Guards against a claim, and an attempt after it, for a caller that has disconnected and may have had its answer from
// another entry.
vitest.test('no claim is written for a caller that has disconnected', async () => {
  const gone = new AbortController()
  await runRefused(async () => committed, gone.signal, () => gone.abort())
  vitest.expect(written).toEqual([])
})
