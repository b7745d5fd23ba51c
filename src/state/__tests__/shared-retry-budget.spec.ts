import * as vitest from 'vitest'
import * as sharedRetryBudget from '../shared-retry-budget.js'

const { expect, test } = vitest

const LONG_AGO_MS = -60_000
const OPTIONS: sharedRetryBudget.BudgetOptions = {
  ratio: 0.2, extra: 90, windowMs: 10_000, gateways: 7, recordsSinceMs: LONG_AGO_MS
}

interface Gateway {
  budget: sharedRetryBudget.SharedRetryBudget
  options: sharedRetryBudget.BudgetOptions
}

const startGateway = (fields: Partial<sharedRetryBudget.BudgetOptions> = {}): Gateway =>
  ({ budget: sharedRetryBudget.createBudget(), options: { ...OPTIONS, ...fields } })

/** Takes a retry and sends it at once. */
function sendRetry ({ budget, options }: Gateway, nowMs: number): boolean {
  const grant = sharedRetryBudget.grantRetry(budget, options, nowMs)
  if (grant !== undefined) grant.sentAtMs = nowMs
  return grant !== undefined
}

function sendAll (gateway: Gateway, nowMs: number): number {
  let sent = 0
  while (sendRetry(gateway, nowMs)) sent += 1
  return sent
}

function mostInWindow (timesMs: readonly number[]): number {
  return Math.max(0, ...timesMs.map(fromMs =>
    timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + OPTIONS.windowMs).length))
}

// Guards against gateways that each stay within their part but together multiply the load of an outage.
test('all gateways together stay within the shared budget in every window', () => {
  const gateways = Array.from({ length: OPTIONS.gateways }, () => startGateway())
  const repeatsAtMs: number[] = []
  let requests = 0
  // As during an outage, each request is retried again and again.
  for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
    const gateway = gateways[nowMs / 10 % gateways.length]!
    if (nowMs % 50 === 0) {
      sharedRetryBudget.noteRequest(gateway.budget, gateway.options, nowMs)
      requests += 1
    }
    if (sendRetry(gateway, nowMs)) repeatsAtMs.push(nowMs)
  }
  expect(mostInWindow(repeatsAtMs)).toBeLessThanOrEqual(0.2 * 200 + 90)
  expect(requests).toBe(600)
})

// Guards against a gateway with little traffic that can't retry.
test('a gateway without requests may still use its part of the extra', () => {
  const taken = sendAll(startGateway(), 0)
  expect(taken).toBeGreaterThan(8)
  expect(taken).toBeLessThanOrEqual(90 / 7)
})

// Guards against a process that has its whole part of the extra again after each start.
test('gateways that are killed again and again stay within the shared budget', () => {
  const gateways = Array.from({ length: OPTIONS.gateways }, () => startGateway())
  const repeatsAtMs: number[] = []
  for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
    const isKilled = [5_000, 8_500, 12_000, 25_000].includes(nowMs)
    if (isKilled) for (const index of gateways.keys()) gateways[index] = startGateway({ recordsSinceMs: nowMs })
    const gateway = gateways[nowMs / 10 % gateways.length]!
    if (nowMs % 20 === 0) sharedRetryBudget.noteRequest(gateway.budget, gateway.options, nowMs)
    if (sendRetry(gateway, nowMs)) repeatsAtMs.push(nowMs)
  }
  expect(mostInWindow(repeatsAtMs)).toBeLessThanOrEqual(0.2 * 500 + 90)
  // The ratio is available at once, and the extra comes back when all have run for a window.
  expect(repeatsAtMs.filter(atMs => atMs >= 5_000 && atMs < 8_500).length).toBeGreaterThan(20)
  expect(repeatsAtMs.filter(atMs => atMs >= 22_500 && atMs < 25_000).length).toBeGreaterThan(60)
})

// Guards against retries that are granted over a long time, wait for a backend server, and all arrive in one window.
test('a retry counts from the time at which it is sent', () => {
  const gateway = startGateway({ gateways: 1 })
  const waiting: sharedRetryBudget.RetryGrant[] = []
  for (;;) {
    const grant = sharedRetryBudget.grantRetry(gateway.budget, gateway.options, 0)
    if (grant === undefined) break
    waiting.push(grant)
  }
  for (const grant of waiting) grant.sentAtMs = 9_000
  expect(sendAll(gateway, 15_000)).toBe(0)
  expect(sendAll(gateway, 19_001)).toBe(waiting.length)
})

test('a retry that is not sent returns to the budget', () => {
  const gateway = startGateway({ gateways: 90 })
  expect(sendAll(gateway, 0)).toBe(0)
  const single = startGateway({ gateways: 60 })
  const grant = sharedRetryBudget.grantRetry(single.budget, single.options, 0)!
  expect(sendAll(single, 0)).toBe(0)
  sharedRetryBudget.releaseRetry(single.budget, grant)
  expect(sendAll(single, 0)).toBe(1)
})

// Guards against gateways that use the parts of those that have just left, which may be spent.
test('the extra is divided among all gateways of the last window', () => {
  const gateway = startGateway({ gateways: 10 })
  expect(sendAll(gateway, 0)).toBe(8)
  gateway.options.gateways = 2
  sharedRetryBudget.noteRequest(gateway.budget, gateway.options, 5_000)
  expect(sendAll(gateway, 5_000)).toBe(0)
  expect(sendAll(gateway, 10_001)).toBeGreaterThan(30)
})

// Guards against an entry without retries whose memory grows with each request.
test('requests are forgotten without any retry', () => {
  const gateway = startGateway()
  for (let nowMs = 0; nowMs < 100_000; nowMs += 10) {
    sharedRetryBudget.noteRequest(gateway.budget, gateway.options, nowMs)
  }
  expect(gateway.budget.requestsAtMs.length).toBeLessThanOrEqual(2 * OPTIONS.windowMs / 10 + 1)
})
