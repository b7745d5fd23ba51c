import * as vitest from 'vitest'
import * as sharedRetryBudget from '../shared-retry-budget.js'

const { expect, test } = vitest

const OPTIONS: sharedRetryBudget.BudgetOptions = { ratio: 0.2, extra: 90, windowMs: 10_000, gateways: 7 }

test('all gateways together stay within the shared budget in every window', () => {
  const gateways = Array.from({ length: OPTIONS.gateways }, sharedRetryBudget.createBudget)
  const repeatsAtMs: number[] = []
  let requests = 0
  // An outage: each request asks for repeats again and again.
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

test('a quiet gateway can still repeat its share of the extra', () => {
  const budget = sharedRetryBudget.createBudget()
  let taken = 0
  while (sharedRetryBudget.takeRepeat(budget, OPTIONS, 0)) taken += 1
  expect(taken).toBeGreaterThan(8)
  expect(taken).toBeLessThanOrEqual(90 / 7)
})
