import type * as http from 'node:http'
import * as vitest from 'vitest'
import * as claimStore from '../claim-store.js'
import * as environment from '../environment.js'
import * as jsonServer from '../../../standins/json-server.js'
import type * as claims from '../../state/claim.js'
import type * as platform from '../../protocol/platform.js'
import * as tableService from '../../../standins/table-service.js'
import * as tableClient from '../../transport/table-client.js'

const ended = new AbortController()
const standin = new tableService.TableStandin()
let server: { address: string, server: http.Server }
let store: claimStore.ClaimStore
let env: environment.Environment
let table: tableClient.DynamoTable

vitest.beforeAll(async () => {
  server = await jsonServer.serveJson((request, response) => standin.handle(request, response))
  table = new tableClient.DynamoTable(
    { url: `http://${server.address}`, tableName: 'test', timeoutMs: 1_000 }, ended.signal)
  env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  store = claimStore.createTableClaimStore(table, claimStore.createClaimWriter(env, table, ended.signal))
})

vitest.afterAll(() => {
  ended.abort()
  server.server.closeAllConnections()
  server.server.close()
})

/** Claims a key for an attempt; no claim of the key may exist. */
function claim (key: string, sequence: number): Promise<claims.ClaimWriteResult> {
  const attemptId = `${'a'.repeat(32)}.${sequence}`
  return store.write(key, {
    claim: { attemptId, agentIncarnation: 'b'.repeat(32), agentAddress: '127.0.0.1:1', fingerprint: 'f', state: 'open' },
    expectedRevision: 0
  })
}

async function claimKinds (...keys: string[]): Promise<string[]> {
  return (await Promise.all(keys.map((key, index) => claim(key, index)))).map(result => result.kind)
}

// Guards against claims that need a write each, which the table service could not sustain.
vitest.test('concurrent claims share a write', async () => {
  const writes = standin.counts.writes
  const kinds = await claimKinds(...Array.from({ length: 250 }, (_, index) => `shared-${index}`))
  vitest.expect(new Set(kinds)).toEqual(new Set(['committed']))
  vitest.expect(standin.counts.writes - writes).toBe(3)
})

// Guards against two owners of a key whose claims share a transaction.
vitest.test('two claims of one key have one owner', async () => {
  vitest.expect((await claimKinds('twice', 'twice', 'other')).sort()).toEqual(['committed', 'committed', 'conflict'])
})

// Guards against a held key that makes all claims of its transaction fail.
vitest.test('conflict returns the held claim and affects only its key', async () => {
  await claim('held', 77)
  const [held, free] = await Promise.all([claim('held', 78), claim('free', 79)])
  vitest.expect(held).toMatchObject({ kind: 'conflict', held: { revision: 1, claim: { attemptId: `${'a'.repeat(32)}.77` } } })
  vitest.expect(free.kind).toBe('committed')
})

// Guards against a claim that blocks its own owner, or its whole transaction, when the answer is lost.
vitest.test('lost answer is distinguished from a lost race', async () => {
  standin.faults.lostAnswers = 1
  vitest.expect(await claimKinds('lost-1', 'lost-2')).toEqual(['committed', 'committed'])
  standin.faults.lostAnswers = 2
  vitest.expect(await claimKinds('gone')).toEqual(['unavailable'])
  vitest.expect(await claimKinds('paused')).toEqual(['unavailable'])
  vitest.expect((await store.read('gone', ended.signal))).toMatchObject({ kind: 'ok', value: { revision: 1 } })
  vitest.expect((await store.read('paused', ended.signal))).toEqual({ kind: 'ok', value: undefined })
})

// Guards against an entry that hands over a write, writes it again, and takes the row of the first copy for another
// call's claim.
vitest.test('second copy of a write is recognised', async () => {
  const writer = claimStore.createClaimWriter(env, table, ended.signal)
  const attempt = { attemptId: `${'a'.repeat(32)}.1`, agentIncarnation: 'b'.repeat(32), agentAddress: '127.0.0.1:1' }
  const copies = claimStore.createTableClaimStore(table, {
    async write (operation) {
      await writer.write(operation)
      return writer.write(operation)
    }
  })
  const open = { ...attempt, fingerprint: 'f', state: 'open' as const }
  vitest.expect(await copies.write('copies', { claim: open, expectedRevision: 0 })).toEqual({ kind: 'committed' })
  const released = { claim: { ...open, state: 'released' as const }, expectedRevision: 1 }
  vitest.expect(await copies.write('copies', released)).toEqual({ kind: 'committed' })
  vitest.expect(await copies.write('copies', released)).toEqual({
    kind: 'conflict', held: { revision: 2, claim: released.claim }
  })
})

// Guards against a write rate that grows with the table service's speed, and against a burst that is delayed.
vitest.test('writer keeps its interval, except for full transactions', async () => {
  vitest.vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance'] })
  vitest.onTestFinished(() => { vitest.vi.useRealTimers() })
  const startsMs: number[] = []
  const fast = {
    transact: async () => {
      startsMs.push(env.nowMs())
      return { kind: 'committed' }
    }
  } as unknown as platform.TableService
  const options = { minIntervalMs: 100, maxBatchesInFlight: 4 }
  const writer = claimStore.createClaimWriter(env, fast, ended.signal, options)
  const writeAll = async (
    count: number, name: string, intervalMs: number
  ): Promise<{ startsMs: number[], tookMs: number }> => {
    startsMs.length = 0
    const beganAtMs = env.nowMs()
    let committedAtMs = Infinity
    const writes = Promise.all(Array.from({ length: count }, async (_, index) => {
      await new Promise(resolve => setTimeout(resolve, index * intervalMs))
      const claim = { attemptId: `${index}`, agentIncarnation: '', agentAddress: '', fingerprint: '', state: 'open' as const }
      return writer.write({ key: `${name}-${index}`, write: { claim, expectedRevision: 0 }, operationId: name })
    })).then(() => { committedAtMs = env.nowMs() })
    await vitest.vi.advanceTimersByTimeAsync(1_000)
    await writes
    return { startsMs: [...startsMs], tookMs: committedAtMs - beganAtMs }
  }
  // 50 claims in 250 ms: one transaction at once, and one for each interval.
  const paced = await writeAll(50, 'paced', 5)
  vitest.expect(paced.startsMs.length).toBeLessThanOrEqual(5)
  const gapsMs = paced.startsMs.slice(1).map((atMs, index) => atMs - paced.startsMs[index]!)
  vitest.expect(Math.min(...gapsMs)).toBeGreaterThanOrEqual(options.minIntervalMs)
  const burst = await writeAll(800, 'burst', 0)
  vitest.expect(burst.startsMs.length).toBeLessThanOrEqual(9)
  vitest.expect(burst.tookMs).toBeLessThan(options.minIntervalMs)
})

// Guards against claims that are refused, and an outage that is assumed, when a transaction only collided with another
// one.
vitest.test('transaction that collided with another one is retried', async () => {
  // A new writer: that of the earlier tests refuses claims for a while after their outage.
  store = claimStore.createTableClaimStore(table, claimStore.createClaimWriter(env, table, ended.signal))
  for (const refusal of ['TransactionConflict', 'ThrottlingError'] as const) {
    Object.assign(standin.faults, { refusal, refusals: 3 })
    vitest.expect(await claimKinds(`${refusal}-1`, `${refusal}-2`)).toEqual(['committed', 'committed'])
    Object.assign(standin.faults, { refusals: 4 })
    vitest.expect(await claimKinds(`${refusal}-3`)).toEqual(['unavailable'])
    vitest.expect(await claimKinds(`${refusal}-4`)).toEqual(['committed'])
    vitest.expect(await store.read(`${refusal}-3`, ended.signal)).toEqual({ kind: 'ok', value: undefined })
  }
})
