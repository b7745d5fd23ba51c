import * as crypto from 'node:crypto'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as keyedCalls from '../keyed-calls.js'

const DAY_MS = 24 * 3_600_000

let deployment: cluster.Cluster

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 2,
    models: [],
    services: [{ name: 'voucher', servers: 2, delayMs: 1, repeatable: false }],
    teams: ['support']
  })
  await deployment.start()
})

vitest.afterEach(() => deployment.setPlatform('table', { refusals: 0, clockAheadMs: 0 }))
vitest.afterAll(() => deployment.stop())

function send (index: number, key: string): Promise<keyedCalls.StatedAnswer> {
  return keyedCalls.issueVoucher(deployment.entries[index]!.address, { key })
}

async function runsOfKey (key: string): Promise<number> {
  return (await keyedCalls.runsOf(deployment)).get(key) ?? 0
}

// Guards against refused callers when two transactions conflict on one row.
vitest.test('transaction conflict does not fail a call', async () => {
  const key = crypto.randomUUID()
  await deployment.setPlatform('table', { refusals: 2, refusal: 'TransactionConflict' })
  vitest.expect((await send(0, key)).outcome).toBe('completed')
  vitest.expect((await send(1, key)).outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a dispatch without a claim, and callers that wait, while the table service throttles requests.
vitest.test('throttled claims are refused at once', async () => {
  const key = crypto.randomUUID()
  for (const [index, refusal] of ['ThrottlingException', 'ThrottlingError'].entries()) {
    await deployment.setPlatform('table', { refusals: 1_000, refusal })
    const answer = await send(index, key)
    vitest.expect(answer).toMatchObject({ status: 503, outcome: 'may_have_run', reason: 'claim_unavailable' })
    vitest.expect(answer.durationMs).toBeLessThan(1_000)
    vitest.expect(await runsOfKey(key)).toBe(0)
  }
  await deployment.setPlatform('table', { refusals: 0 })
  await cluster.waitFor('the pause after the refusals ends', 2_000, async () =>
    (await send(0, crypto.randomUUID())).outcome === 'completed')
  vitest.expect((await send(0, key)).outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(1)
})

// Guards against a claim that expires before its lifetime ends, and a retry that fails permanently afterwards.
vitest.test('claim expires after its lifetime', async () => {
  const key = crypto.randomUUID()
  const first = await send(0, key)
  await deployment.setPlatform('table', { clockAheadMs: DAY_MS - 60_000 })
  vitest.expect((await send(1, key)).bodyDigest).toBe(first.bodyDigest)
  vitest.expect(await runsOfKey(key)).toBe(1)
  await deployment.setPlatform('table', { clockAheadMs: DAY_MS + 60_000 })
  vitest.expect((await send(1, key)).outcome).toBe('completed')
  vitest.expect(await runsOfKey(key)).toBe(2)
})
