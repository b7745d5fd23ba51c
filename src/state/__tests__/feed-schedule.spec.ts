import * as vitest from 'vitest'
import * as feedSchedule from '../feed-schedule.js'

const { expect, test } = vitest

/** Calls of all processes together. */
const MAX_CALLS_PER_SECOND = 60
/** An entry has 2 s to stop work on a backend server that is being removed; the work itself needs most of it. */
const MAX_BATCH_DELAY_MS = 300

function schedulesOf (content: feedSchedule.FeedContent, entries: number): feedSchedule.FeedSchedule[] {
  const addresses = Array.from({ length: entries }, (_, index) => `10.${index % 5}.0.${index}:7340`)
  return addresses.map(own => feedSchedule.feedSchedule(content, own, addresses.filter(other => other !== own)))
}

// Guards against store calls that grow with the number of entries until the store refuses them.
test('a hundred entries without changes make few calls to the store', () => {
  const schedules = [...schedulesOf('backends', 99), ...schedulesOf('configuration', 99)]
  const callsPerSecond = schedules.reduce((sum, { waitMs }) => sum + 1_000 / waitMs, 0)
  expect(callsPerSecond).toBeLessThan(MAX_CALLS_PER_SECOND)
  for (const { batchDelayMs } of schedules) expect(batchDelayMs).toBeLessThanOrEqual(MAX_BATCH_DELAY_MS)
})

// Guards against a deployment in which nobody detects a dead connection soon.
test('every entry of a small deployment and some of a large one detect a dead connection soon', () => {
  for (const content of ['backends', 'configuration'] as const) {
    expect(schedulesOf(content, 7).every(({ waitMs }) => waitMs === 2_500)).toBe(true)
    for (const entries of [15, 35, 99, 400]) {
      const short = schedulesOf(content, entries).filter(({ waitMs }) => waitMs === 2_500).length
      expect(short).toBeGreaterThanOrEqual(6)
    }
  }
})
