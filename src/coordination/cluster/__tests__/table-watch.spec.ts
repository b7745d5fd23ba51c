import * as vitest from 'vitest'
import * as feedSchedule from '../../../state/feed-schedule.js'
import * as tableWatch from '../table-watch.js'
import type * as controlStore from '../../../protocol/control-store.js'

const { expect, test, vi } = vitest

const REGISTRATIONS = 68
const REGISTRATION_PERIOD_MS = 1_500
/** An entry has 2 s to stop work on a backend server that is being removed; the work itself needs most of it. */
const MAX_DELAY_MS = 300

// Guards against one call to the store for each registration when a large deployment starts.
test('many registrations in a short time need few calls, and each arrives soon', async () => {
  const controller = new AbortController()
  const startMs = Date.now()
  const writtenAtMs = (revision: number): number => startMs + 500 + revision * REGISTRATION_PERIOD_MS / REGISTRATIONS
  let calls = 0
  const receivedAtMs = new Map<number, number>()
  const rowsAfter = (after: number): controlStore.RowsAnswer => {
    const rows = Array.from({ length: REGISTRATIONS }, (_, index) => index + 1)
      .filter(revision => revision > after && writtenAtMs(revision) <= Date.now())
      .map(revision => ({ table: 't', partition: '', key: `s${revision}`, value: Buffer.from('{}'), revision: { era: 0, number: revision } }))
    return { rows, revision: rows.at(-1)?.revision ?? { era: 0, number: after } }
  }
  const store: controlStore.ControlStore = {
    era: 0,
    list: async () => ({ kind: 'ok', value: rowsAfter(0) }),
    changes: async (_table, after, waitMs) => {
      calls += 1
      const endMs = Date.now() + waitMs
      while (rowsAfter(after.number).rows.length === 0 && Date.now() < endMs) {
        await new Promise(resolve => { setTimeout(resolve, 5) })
      }
      return { kind: 'ok', value: rowsAfter(after.number) }
    },
    write: async () => ({ kind: 'ok', value: { era: 0, number: 0 } })
  }
  tableWatch.watchTable({
    runtime: { nowMs: () => Date.now(), random: () => 0.5, log: { emit: () => {} }, metrics: {} as never },
    store,
    table: 't',
    schedule: () => feedSchedule.feedSchedule('backends', 'a', []),
    onSnapshot: () => {},
    onChanges: answer => { for (const row of answer.rows) receivedAtMs.set(row.revision.number, Date.now()) },
    onAvailable: () => {},
    signal: controller.signal
  })
  await vi.waitFor(() => { expect(receivedAtMs.size).toBe(REGISTRATIONS) }, { timeout: 10_000 })
  controller.abort()
  for (const [revision, atMs] of receivedAtMs) expect(atMs - writtenAtMs(revision)).toBeLessThan(MAX_DELAY_MS)
  expect(calls).toBeLessThan(REGISTRATIONS / 4)
})
