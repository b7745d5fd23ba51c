import * as vitest from 'vitest'
import type * as digestTable from '../../state/digest-table.js'
import type * as serverView from '../../state/server-view.js'
import * as digestMessages from '../digest-messages.js'

const COUNT = 3

function loadsOf (change: (index: number) => Partial<serverView.ServerLoad>): digestTable.DigestLoad[] {
  return Array.from({ length: COUNT }, (_, index) => ({
    index,
    sequence: 1,
    reportedAtMs: 0,
    load: {
      running: 9, waiting: 1, concurrencyLimit: 64, firstByteMs: 120, engineReportAgeMs: 0, status: 'serving', ...change(index)
    }
  }))
}

function columnsOf (loads: digestTable.DigestLoad[]): NonNullable<digestMessages.DigestFields['loads']> {
  return digestMessages.digestToFields({ agents: [], loads, gone: [], returned: [] }, 0).loads!
}

// Guards against decoding that gives a server the limit or the status of another one.
vitest.test('columns with equal and with different values are decoded unchanged', () => {
  const changes: ((index: number) => Partial<serverView.ServerLoad>)[] = [
    () => ({}),
    index => ({ concurrencyLimit: 32 + index }),
    index => ({ status: index === 0 ? 'serving' : 'draining' }),
    () => ({ status: 'down', concurrencyLimit: 0 })
  ]
  for (const change of changes) {
    const loads = loadsOf(change)
    vitest.expect(digestMessages.loadsFromColumns(columnsOf(loads), 0)).toEqual(loads)
  }
})

// Guards against spending bytes on values that are the same for all servers of a message.
vitest.test('equal limits and statuses are sent once', () => {
  const { status, concurrencyLimit } = columnsOf(loadsOf(() => ({})))
  vitest.expect({ status, concurrencyLimit }).toEqual({ status: [0], concurrencyLimit: [64] })
})

// Guards against a malformed message that results in loads with undefined fields.
vitest.test('columns of unequal length are read up to the shortest', () => {
  const columns = columnsOf(loadsOf(index => ({ status: index === 0 ? 'serving' : 'draining' })))
  columns.status.pop()
  vitest.expect(digestMessages.loadsFromColumns(columns, 0).length).toBe(COUNT - 1)
  columns.concurrencyLimit = []
  vitest.expect(digestMessages.loadsFromColumns(columns, 0)).toEqual([])
})
