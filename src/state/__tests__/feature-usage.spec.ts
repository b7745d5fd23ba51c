import * as vitest from 'vitest'
import * as featureUsage from '../feature-usage.js'

const { expect, test } = vitest

const PLACE = { service: 's', server: 'server 1' }

function usageOf (requests: number, featuresOf: (index: number) => string[], nowMs = 0): featureUsage.FeatureUsage {
  const usage = featureUsage.createFeatureUsage()
  for (let index = 0; index < requests; index++) {
    featureUsage.noteUsage(usage, { service: 's', server: `server ${index % 10}` }, featuresOf(index), 1_000, nowMs)
  }
  return usage
}

test('share of a feature follows the running time of its requests', () => {
  const usage = usageOf(100, index => ['all', `tenth ${index % 10}`])
  expect(featureUsage.usageShare(usage, PLACE, 'all', false, 0)).toBeGreaterThan(0.99)
  expect(featureUsage.usageShare(usage, PLACE, 'tenth 3', false, 0)).toBeCloseTo(0.1, 2)
  expect(featureUsage.usageShare(usage, PLACE, 'never seen', false, 0)).toBeLessThan(0.01)
  expect(featureUsage.usageShare(usage, { ...PLACE, service: 'other' }, 'all', false, 0)).toBe(0.5)
})

// Guards against a feature that counts as rare since few requests have been seen.
test('share of a feature that a small sample has missed is not small', () => {
  expect(featureUsage.usageShare(usageOf(5, () => []), PLACE, 'never seen', false, 0)).toBeGreaterThan(0.1)
})

// Guards against guilt of requests that are always sent to the backend server that crashes.
test('share at the backend server counts for requests that are sent there on purpose', () => {
  const usage = usageOf(200, index => [`home ${index % 10}`])
  expect(featureUsage.usageShare(usage, PLACE, 'home 1', false, 0)).toBeCloseTo(0.1, 2)
  expect(featureUsage.usageShare(usage, PLACE, 'home 1', true, 0)).toBeGreaterThan(0.8)
})

test('features that are not used any more are forgotten, and their number is bounded', () => {
  const usage = usageOf(10_000, index => [`own ${index}`])
  expect(featureUsage.countFeatures(usage, 's')).toBeLessThanOrEqual(4_000)
  featureUsage.noteUsage(usage, PLACE, ['new'], 1_000, 200_000)
  expect(featureUsage.countFeatures(usage, 's')).toBe(1)
  expect([...usage.servers.keys()]).toEqual(['server 1'])
})
