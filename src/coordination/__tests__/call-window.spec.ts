import * as vitest from 'vitest'
import * as callWindow from '../call-window.js'
import type * as call from '../../protocol/call.js'

const { expect, test } = vitest

const SHUTDOWN_MS = 10_000

interface Earlier {
  count: number
  maxTokens: number | undefined
  tookMs: number
}

function completion (maxTokens: number | undefined): call.Call {
  return { target: { kind: 'model', name: 'm' }, maxTokens, deadlineAtMs: 100_000, isRepeatable: true } as unknown as call.Call
}

/** @returns how long after the begin of a planned stop a completion is accepted, after shorter ones. */
function acceptedForMs (maxTokens: number | undefined, earlier: Earlier): number {
  let nowMs = 0
  const window = callWindow.createCallWindow({ nowMs: () => nowMs })
  for (let count = 0; count < earlier.count; count++) {
    const end = window.measure(completion(earlier.maxTokens))
    nowMs += earlier.tookMs
    end(true)
  }
  const startedAtMs = nowMs
  window.begin(SHUTDOWN_MS)
  while (window.refusalOf(completion(maxTokens)) === undefined) nowMs += 10
  return nowMs - startedAtMs
}

// Guards against a long completion that is accepted late in a planned stop because the latest ones were short.
test('a completion is accepted late only if its stated maximum fits', () => {
  const short = { count: 40, maxTokens: 400, tookMs: 300 }
  expect(acceptedForMs(400, short)).toBeLessThan(SHUTDOWN_MS * 0.91 - 400 * 15)
  expect(acceptedForMs(20, short)).toBeGreaterThan(SHUTDOWN_MS * 0.8)
})

// Guards against the same for a completion whose request states no maximum.
test('a few short completions do not show how long one without a maximum takes', () => {
  const short = { maxTokens: undefined, tookMs: 300 }
  const afterManyMs = acceptedForMs(undefined, { count: 40, ...short })
  expect(acceptedForMs(undefined, { count: 6, ...short })).toBeLessThan(afterManyMs - 2_000)
})
