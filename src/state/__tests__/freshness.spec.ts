import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as freshness from '../freshness.js'

type Step = { kind: 'wait' | 'message' | 'tick' } | { kind: 'confirm', ageMs: number }

const stepArbitrary = fc.record({
  afterMs: fc.integer({ min: 0, max: 3_000 }),
  step: fc.oneof(
    fc.constantFrom<Step>({ kind: 'wait' }, { kind: 'message' }, { kind: 'tick' }),
    fc.integer({ min: 0, max: 3_000 }).map(ageMs => ({ kind: 'confirm' as const, ageMs })))
})

// Guards against an entry that serves with a copy not confirmed since a pause, or after too long without contact.
vitest.test('serves only with a copy that was confirmed since the last pause', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 40 }), steps => {
    const state = freshness.createFreshness(0)
    let nowMs = 0
    let ranAtMs = 0
    let pausedUntilMs = 0
    let lastContactAtMs = 0
    let confirmedRoundMs = -1
    for (const { afterMs, step } of steps) {
      nowMs += afterMs
      if (step.kind === 'wait') continue
      if (nowMs - ranAtMs > freshness.PAUSE_THRESHOLD_MS) pausedUntilMs = nowMs
      ranAtMs = nowMs
      if (step.kind === 'message') {
        freshness.noteMessage(state, nowMs, true)
        lastContactAtMs = nowMs
      }
      if (step.kind === 'tick') freshness.detectInterruption(state, nowMs, true)
      if (step.kind === 'confirm' && freshness.confirm(state, nowMs - step.ageMs, nowMs, true)) {
        confirmedRoundMs = nowMs - step.ageMs
        lastContactAtMs = Math.max(lastContactAtMs, confirmedRoundMs)
      }
      freshness.detectInterruption(state, nowMs, true)
      if (!state.isConfirmed) continue
      vitest.expect(confirmedRoundMs).toBeGreaterThanOrEqual(pausedUntilMs)
      vitest.expect(nowMs - lastContactAtMs).toBeLessThanOrEqual(freshness.CUT_OFF_TIMEOUT_MS)
    }
  }))
})

// Guards against messages that waited in a buffer during a pause and are treated as current.
vitest.test('message read after a pause confirms nothing', () => {
  const state = freshness.createFreshness(0)
  freshness.confirm(state, 0, 0, true)
  freshness.noteMessage(state, 10_000, true)
  vitest.expect(state.isConfirmed).toBe(false)
  vitest.expect(freshness.confirm(state, 9_999, 10_001, true)).toBe(false)
  vitest.expect(freshness.confirm(state, 10_000, 10_002, true)).toBe(true)
})

// Guards against stale nodes that confirm each other, and nodes that wait for each other for ever.
vitest.test('peers confirm by one confirmed answer or by a majority', () => {
  vitest.expect(freshness.isConfirmedByPeers(4, [{ isConfirmed: true }])).toBe(true)
  vitest.expect(freshness.isConfirmedByPeers(4, [{ isConfirmed: false }])).toBe(false)
  vitest.expect(freshness.isConfirmedByPeers(4, [{ isConfirmed: false }, { isConfirmed: false }])).toBe(true)
  vitest.expect(freshness.isConfirmedByPeers(1, [])).toBe(false)
  vitest.expect(freshness.isConfirmedByPeers(0, [])).toBe(true)
})
