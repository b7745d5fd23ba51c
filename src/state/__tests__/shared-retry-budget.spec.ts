import * as vitest from 'vitest'
import * as sharedRetryBudget from '../shared-retry-budget.js'

const { expect, test } = vitest

const OPTIONS: sharedRetryBudget.BudgetOptions = { ratio: 0.2, extra: 90, windowMs: 10_000, gateways: 7 }

// Guards against gateways that each stay within their part but together multiply the load of an outage.
test('all gateways together stay within the shared budget in every window', () => {
  const gateways = Array.from({ length: OPTIONS.gateways }, sharedRetryBudget.createBudget)
  const repeatsAtMs: number[] = []
  let requests = 0
  // As during an outage, each request is retried again and again.
  for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
    const budget = gateways[nowMs / 10 % gateways.length]!
    if (nowMs % 50 === 0) {
      sharedRetryBudget.noteRequest(budget, nowMs)
      requests += 1
    }
    if (sharedRetryBudget.takeRepeat(budget, OPTIONS, nowMs)) repeatsAtMs.push(nowMs)
  }
  for (const fromMs of repeatsAtMs) {
    const inWindow = repeatsAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + OPTIONS.windowMs).length
    expect(inWindow).toBeLessThanOrEqual(0.2 * 200 + 90)
  }
  expect(requests).toBe(600)
})

// Guards against a gateway with little traffic that can't retry.
test('a gateway without requests may still use its part of the extra', () => {
  const budget = sharedRetryBudget.createBudget()
  let taken = 0
  while (sharedRetryBudget.takeRepeat(budget, OPTIONS, 0)) taken += 1
  expect(taken).toBeGreaterThan(8)
  expect(taken).toBeLessThanOrEqual(90 / 7)
})
