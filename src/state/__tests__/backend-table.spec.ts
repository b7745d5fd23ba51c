import * as vitest from 'vitest'
import * as backendTable from '../backend-table.js'
import type * as backendPool from '../backend-pool.js'

const { expect, test } = vitest

function rowOf (id: string, fields: Partial<backendPool.BackendRow> = {}): backendPool.BackendRow {
  return {
    id,
    service: 's',
    address: `${id}:80`,
    failureDomain: 'd',
    slots: 8,
    state: 'ready',
    startedAtUnixMs: 1,
    group: undefined,
    ...fields
  }
}

function tableWithTwoRows (): backendTable.BackendTable {
  const table = backendTable.createTable()
  const rows = ['a', 'b'].map(id => ({ id, row: rowOf(id), wasDeleted: false }))
  backendTable.replaceAll(table, rows, 10, 0)
  return table
}

const ids = (table: backendTable.BackendTable): string[] => backendTable.rowsOf(table).map(row => row.id)

// Guards against requests to a backend server that has deleted its row.
test('a deleted row is removed at once while the store is available', () => {
  const table = tableWithTwoRows()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: true }], 11, 5_000)
  expect(ids(table)).toEqual(['b'])
})

// Guards against the loss of live backend servers whose rows expired while the store was unavailable.
test('rows that expired during an outage are kept until they can be written again', () => {
  const table = tableWithTwoRows()
  backendTable.noteStoreRecovery(table, 10_000)
  backendTable.replaceAll(table, [{ id: 'b', row: rowOf('b'), wasDeleted: false }], 20, 10_000)
  expect(ids(table)).toEqual(['a', 'b'])
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a'), wasDeleted: false }], 21, 11_500)
  expect(backendTable.settle(table, 13_000)).toBe(false)
  expect(ids(table)).toEqual(['a', 'b'])
})

// Guards against a backend server that died during an outage and stays listed for ever.
test('a row that stays missing after an outage is removed after the grace period', () => {
  const table = tableWithTwoRows()
  backendTable.noteStoreRecovery(table, 10_000)
  backendTable.replaceAll(table, [{ id: 'b', row: rowOf('b'), wasDeleted: false }], 20, 10_000)
  expect(backendTable.settle(table, 12_100)).toBe(false)
  expect(backendTable.settle(table, 12_300)).toBe(true)
  expect(ids(table)).toEqual(['b'])
})

// Guards against one unreadable row that keeps its backend server in force or affects the other rows.
test('an unreadable row removes its backend server and no other', () => {
  const table = tableWithTwoRows()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: false }], 11, 0)
  expect(ids(table)).toEqual(['b'])
})

// Guards against a delayed read that brings back an earlier state of the table.
test('a list of an older revision changes nothing', () => {
  const table = tableWithTwoRows()
  backendTable.replaceAll(table, [], 9, 0)
  expect(ids(table)).toEqual(['a', 'b'])
})

// Guards against requests to an instance that was replaced at its address during an outage.
test('a new instance takes precedence over a row kept for its address after an outage', () => {
  const table = tableWithTwoRows()
  backendTable.noteStoreRecovery(table, 10_000)
  const restarted = rowOf('c', { address: 'a:80', startedAtUnixMs: 9_000 })
  backendTable.replaceAll(table, [{ id: 'c', row: restarted, wasDeleted: false }], 20, 10_000)
  expect(ids(table)).toEqual(['c', 'b'])
})

// Guards against requests to an earlier instance whose row has not been deleted yet.
test('of two listed rows with one address, that of the later instance is in force', () => {
  const table = backendTable.createTable()
  const rows = [rowOf('new', { address: 'x:80', startedAtUnixMs: 2 }), rowOf('old', { address: 'x:80' })]
  backendTable.replaceAll(table, rows.map(row => ({ id: row.id, row, wasDeleted: false })), 10, 0)
  expect(ids(table)).toEqual(['new'])
})
