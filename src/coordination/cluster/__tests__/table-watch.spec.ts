import * as vitest from 'vitest'
import * as tableWatch from '../table-watch.js'
import type * as controlStore from '../../../protocol/control-store.js'

const { expect, test, vi } = vitest

const REGISTRATIONS = 68
const WITHIN_MS = 1_500
/** An entry that stops work at a leaving backend server has 2 s; most of it belongs to the work itself. */
const HEARD_WITHIN_MS = 300

test('registrations in quick succession take few calls, and each is heard soon', async () => {
  const controller = new AbortController()
  const startMs = Date.now()
  const writtenAtMs = (revision: number): number => startMs + 500 + revision * WITHIN_MS / REGISTRATIONS
  let calls = 0
  const heardAtMs = new Map<number, number>()
  const rowsAfter = (after: number): controlStore.RowsAnswer => {
    const rows = Array.from({ length: REGISTRATIONS }, (_, index) => index + 1)
      .filter(revision => revision > after && writtenAtMs(revision) <= Date.now())
      .map(revision => ({ table: 't', partition: '', key: `s${revision}`, value: Buffer.from('{}'), revision }))
    return { rows, revision: rows.at(-1)?.revision ?? after }
  }
  const store: controlStore.ControlStore = {
    list: async () => ({ kind: 'ok', value: rowsAfter(0) }),
    changes: async (_table, after, waitMs) => {
      calls += 1
      const endMs = Date.now() + waitMs
      while (rowsAfter(after).rows.length === 0 && Date.now() < endMs) {
        await new Promise(resolve => { setTimeout(resolve, 5) })
      }
      return { kind: 'ok', value: rowsAfter(after) }
    },
    write: async () => ({ kind: 'ok', value: 0 })
  }
  tableWatch.watchTable({
    runtime: { nowMs: () => Date.now(), random: () => 0.5, log: { emit: () => {} }, metrics: {} as never },
    store,
    table: 't',
    waitMs: 2_500,
    onSnapshot: () => {},
    onChanges: answer => { for (const row of answer.rows) heardAtMs.set(row.revision, Date.now()) },
    onAvailable: () => {},
    signal: controller.signal
  })
  await vi.waitFor(() => { expect(heardAtMs.size).toBe(REGISTRATIONS) }, { timeout: 10_000 })
  controller.abort()
  for (const [revision, atMs] of heardAtMs) expect(atMs - writtenAtMs(revision)).toBeLessThan(HEARD_WITHIN_MS)
  expect(calls).toBeLessThan(REGISTRATIONS / 4)
})
