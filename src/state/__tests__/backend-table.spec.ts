import * as vitest from 'vitest'
import * as backendTable from '../backend-table.js'
import type * as backendPool from '../backend-pool.js'
import type * as revision from '../revision.js'

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

function at (number: number, era = 0): revision.Revision {
  return { era, number }
}

function tableWithTwoRows (): backendTable.BackendTable {
  const table = backendTable.createTable()
  const rows = ['a', 'b'].map(id => ({ id, row: rowOf(id), wasDeleted: false }))
  backendTable.replaceAll(table, rows, at(10), 0)
  return table
}

const ids = (table: backendTable.BackendTable): string[] => backendTable.rowsOf(table).map(row => row.id)

// Guards against requests to a backend server that has deleted its row.
test('a deleted row is removed at once while the store is available', () => {
  const table = tableWithTwoRows()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: true }], at(11), 5_000)
  expect(ids(table)).toEqual(['b'])
})

// Guards against the loss of live backend servers whose rows expired while the store was unavailable.
test('rows that expired during an outage are kept until they can be written again', () => {
  const table = tableWithTwoRows()
  backendTable.noteStoreRecovery(table, 10_000)
  backendTable.replaceAll(table, [{ id: 'b', row: rowOf('b'), wasDeleted: false }], at(20), 10_000)
  expect(ids(table)).toEqual(['a', 'b'])
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a'), wasDeleted: false }], at(21), 11_500)
  expect(backendTable.settle(table, 13_000)).toBe(false)
  expect(ids(table)).toEqual(['a', 'b'])
})

// Guards against a backend server that died during an outage and stays listed for ever.
test('a row that stays missing after an outage is removed after the grace period', () => {
  const table = tableWithTwoRows()
  backendTable.noteStoreRecovery(table, 10_000)
  backendTable.replaceAll(table, [{ id: 'b', row: rowOf('b'), wasDeleted: false }], at(20), 10_000)
  expect(backendTable.settle(table, 12_100)).toBe(false)
  expect(backendTable.settle(table, 12_300)).toBe(true)
  expect(ids(table)).toEqual(['b'])
})

// Guards against one unreadable row that keeps its backend server in force or affects the other rows.
test('an unreadable row removes its backend server and no other', () => {
  const table = tableWithTwoRows()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: false }], at(11), 0)
  expect(ids(table)).toEqual(['b'])
})

// Guards against a delayed read that brings back an earlier state of the table.
test('a list of an older revision changes nothing', () => {
  const table = tableWithTwoRows()
  backendTable.replaceAll(table, [], at(9), 0)
  expect(ids(table)).toEqual(['a', 'b'])
})

// Guards against requests to an instance that was replaced at its address during an outage.
test('a new instance takes precedence over a row kept for its address after an outage', () => {
  const table = tableWithTwoRows()
  backendTable.noteStoreRecovery(table, 10_000)
  const restarted = rowOf('c', { address: 'a:80', startedAtUnixMs: 9_000 })
  backendTable.replaceAll(table, [{ id: 'c', row: restarted, wasDeleted: false }], at(20), 10_000)
  expect(ids(table)).toEqual(['c', 'b'])
})

// Guards against requests to an earlier instance whose row has not been deleted yet.
test('of two listed rows with one address, that of the later instance is in force', () => {
  const table = backendTable.createTable()
  const rows = [rowOf('new', { address: 'x:80', startedAtUnixMs: 2 }), rowOf('old', { address: 'x:80' })]
  backendTable.replaceAll(table, rows.map(row => ({ id: row.id, row, wasDeleted: false })), at(10), 0)
  expect(ids(table)).toEqual(['new'])
})

// Guards against a table that ignores a restored store until its numbers exceed those of the lost history.
test('revisions of a later era follow those of an earlier one whatever their numbers', () => {
  const table = tableWithTwoRows()
  backendTable.replaceAll(table, ['a', 'b', 'c'].map(id => ({ id, row: rowOf(id), wasDeleted: false })), at(4, 1), 1_000)
  expect(ids(table)).toEqual(['a', 'b', 'c'])
  backendTable.applyChanges(table, [{ id: 'c', row: undefined, wasDeleted: true }], at(900, 0), 9_000)
  expect(ids(table)).toEqual(['a', 'b', 'c'])
})

// Guards against the loss of all backend servers that registered after the copy was made.
test('rows that a restored store lacks are kept until they can be written again', () => {
  const table = tableWithTwoRows()
  backendTable.replaceAll(table, [], at(4, 1), 1_000)
  expect(ids(table)).toEqual(['a', 'b'])
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a'), wasDeleted: false }], at(5, 1), 2_000)
  expect(backendTable.settle(table, 3_300)).toBe(true)
  expect(ids(table)).toEqual(['a'])
})

// Guards against requests to a draining backend server that the restored store lists as ready.
test('a draining instance stays draining when a restored store lists it as ready', () => {
  const table = tableWithTwoRows()
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a', { state: 'draining' }), wasDeleted: false }], at(11), 0)
  const rows = ['a', 'b'].map(id => ({ id, row: rowOf(id), wasDeleted: false }))
  backendTable.replaceAll(table, rows, at(4, 1), 1_000)
  expect(backendTable.rowsOf(table).map(row => row.state)).toEqual(['draining', 'ready'])
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a', { startedAtUnixMs: 2 }), wasDeleted: false }], at(5, 1), 1_000)
  expect(backendTable.rowsOf(table).map(row => row.state)).toEqual(['ready', 'ready'])
})

// Guards against requests to a backend server that has left and that the restored store lists again.
test('a removed instance that a restored store lists again is used only if it stays listed', () => {
  for (const isAlive of [true, false]) {
    const table = tableWithTwoRows()
    backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: true }], at(11), 5_000)
    const rows = ['a', 'b'].map(id => ({ id, row: rowOf(id), wasDeleted: false }))
    backendTable.replaceAll(table, rows, at(4, 1), 10_000)
    expect(ids(table)).toEqual(['b'])
    if (!isAlive) backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: true }], at(6, 1), 14_000)
    backendTable.settle(table, 16_100)
    expect(ids(table)).toEqual(isAlive ? ['b', 'a'] : ['b'])
  }
})

// Guards against a live instance that stays out of use because its row was once deleted.
test('a removed instance that writes its row again is used at once', () => {
  const table = tableWithTwoRows()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: true }], at(11), 5_000)
  const rows = ['a', 'b'].map(id => ({ id, row: rowOf(id), wasDeleted: false }))
  backendTable.replaceAll(table, rows, at(4, 1), 10_000)
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a'), wasDeleted: false }], at(5, 1), 10_500)
  expect(ids(table)).toEqual(['b', 'a'])
})
