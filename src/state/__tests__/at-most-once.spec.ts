import fc from 'fast-check'
import * as vitest from 'vitest'
import * as attemptLedger from '../attempt-ledger.js'
import * as claims from '../claim.js'
import * as issuedKeys from '../issued-keys.js'
import * as recordedResults from '../recorded-results.js'
import * as onceModel from '../../../standins/once-model.js'

const SEED = Number(process.env['ONCE_SEED'] ?? 1034949905)
const RUNS = Number(process.env['ONCE_RUNS'] ?? 10_000)
const entryIncarnation = 'a'.repeat(32)
const attempt = { attemptId: `${entryIncarnation}.1`, agentIncarnation: 'b'.repeat(32), agentAddress: '127.0.0.1:1' }

// Guards against a second run of a key, and against not_run for a request that runs, under crashes and under loss,
// delay, reordering and duplication of messages. Also fails if the schedules do not reach every ending.
vitest.test('model of claim, ledger and takeover: a key runs at most once, and never after not_run', () => {
  const reached = new Set<string>()
  console.log(`once model: ONCE_SEED=${SEED} runs=${RUNS}`)
  fc.assert(fc.property(fc.array(fc.nat(0xffff), { minLength: 40, maxLength: 400, size: 'max' }), schedule => {
    const model = new onceModel.OnceModel(schedule)
    vitest.expect(model.run()).toEqual([])
    for (const ending of model.endings()) reached.add(ending)
  }), { seed: SEED, numRuns: RUNS })
  for (const ending of ['answered', 'replayed', 'not_run', 'may_have_run', 'store_unavailable', 'key_reused', 'crashed']) {
    vitest.expect(reached).toContain(ending)
  }
})

// Guards against not_run from an entry that could not read the claim.
vitest.test('a claim that cannot be read does not give not_run', () => {
  let step = claims.startKeyedCall('f')
  step = claims.advanceKeyedCall(step.call, { type: 'no_server' })
  vitest.expect(step.command).toEqual({ type: 'read' })
  step = claims.advanceKeyedCall(step.call, { type: 'store_unavailable' })
  vitest.expect(step.command).toMatchObject({ type: 'finish', result: 'store_unavailable' })
})

// Guards against a takeover when the claim's row has expired and so its history is lost.
vitest.test('a claim that disappeared gives may_have_run', () => {
  let step = claims.startKeyedCall('f')
  step = claims.advanceKeyedCall(step.call, { type: 'reserved', attempt })
  step = claims.advanceKeyedCall(step.call, { type: 'committed' })
  step = claims.advanceKeyedCall(step.call, { type: 'sent', result: 'superseded' })
  step = claims.advanceKeyedCall(step.call, { type: 'read', held: undefined })
  vitest.expect(step.command).toMatchObject({ type: 'finish', result: 'may_have_run' })
})

// Guards against an owner that resumes and runs the request after the caller got not_run from another entry.
vitest.test('a superseded call never sends the request again', () => {
  let step = claims.startKeyedCall('f')
  step = claims.advanceKeyedCall(step.call, { type: 'reserved', attempt })
  step = claims.advanceKeyedCall(step.call, { type: 'committed' })
  const { call } = claims.advanceKeyedCall(step.call, { type: 'sent', result: 'superseded' })
  const held = { revision: 2, claim: { ...attempt, attemptId: `${entryIncarnation}.2`, fingerprint: 'f' } }
  step = claims.advanceKeyedCall(call, { type: 'read', held: { ...held, claim: { ...held.claim, state: 'released' } } })
  vitest.expect(step.command).toEqual({ type: 'finish', result: 'not_run' })
  step = claims.advanceKeyedCall(call, { type: 'read', held: { ...held, claim: { ...held.claim, state: 'open' } } })
  vitest.expect(step.command.type).toBe('resolve')
  step = claims.advanceKeyedCall(step.call, { type: 'resolved', state: 'tombstoned' })
  vitest.expect(step.command.type).toBe('release')
})

// Guards against an entry that is blocked by its own claim when the answer to the write was lost.
vitest.test('a request is sent when the conflict is with its own claim', () => {
  let step = claims.startKeyedCall('f')
  step = claims.advanceKeyedCall(step.call, { type: 'reserved', attempt })
  step = claims.advanceKeyedCall(step.call, {
    type: 'conflict', held: { revision: 1, claim: { ...attempt, fingerprint: 'f', state: 'open' } }
  })
  vitest.expect(step.command).toEqual({ type: 'send', attempt })
})

// Guards against a ledger that grows without bound when an entry stops raising its watermark, and against a second run
// of an attempt that was removed from it.
vitest.test('the ledger is bounded and refuses the attempts that it removed', () => {
  const ledger = attemptLedger.createLedger()
  for (let sequence = 1; sequence <= 20_000; sequence++) {
    attemptLedger.beginAttempt(ledger, { entryIncarnation, sequence }, 0)
  }
  vitest.expect(ledger.entries.get(entryIncarnation)!.states.size).toBeLessThanOrEqual(4_096)
  for (let sequence = 1; sequence <= 20_000; sequence++) {
    vitest.expect(attemptLedger.beginAttempt(ledger, { entryIncarnation, sequence }, 0)).not.toBe('begun')
  }
})

// Guards against an expired key that counts as new once its claim is removed.
vitest.test('an expired key is refused', () => {
  const keys = issuedKeys.createIssuedKeys()
  issuedKeys.issueNumbers(keys, 1, 0)
  const write = { claim: { ...attempt, fingerprint: 'f', state: 'open' as const }, expectedRevision: 0 }
  vitest.expect(issuedKeys.writeIssuedClaim(keys, 1, write).kind).toBe('committed')
  vitest.expect(issuedKeys.keyStatus(keys, 1, issuedKeys.KEY_LIFETIME_MS)).toBe('valid')
  vitest.expect(issuedKeys.keyStatus(keys, 1, issuedKeys.KEY_LIFETIME_MS * 2)).toBe('expired')
  vitest.expect(issuedKeys.writeIssuedClaim(keys, 1, write).kind).toBe('conflict')
  vitest.expect(keys.claims.size).toBe(0)
  vitest.expect(issuedKeys.keyStatus(keys, 2, 0)).toBe('never_issued')
})

// Guards against recorded results that exceed their size limit or are kept beyond their lifetime.
vitest.test('recorded results are bounded', () => {
  const results = recordedResults.createRecordedResults()
  const body = Buffer.alloc(recordedResults.MAX_RESULT_BYTES)
  for (let index = 0; index < 20; index++) {
    recordedResults.recordResult(results, `${index}`, { status: 200, headers: {}, body, recordedAtMs: 0 })
  }
  vitest.expect(results.sizeBytes).toBeLessThanOrEqual(recordedResults.MAX_RECORDED_BYTES)
  vitest.expect(recordedResults.findResult(results, '19', 1)).toBeDefined()
  vitest.expect(recordedResults.findResult(results, '0', 1)).toBeUndefined()
  vitest.expect(recordedResults.findResult(results, '19', recordedResults.RESULT_LIFETIME_MS)).toBeUndefined()
})
