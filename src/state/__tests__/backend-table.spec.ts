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

function filled (): backendTable.BackendTable {
  const table = backendTable.createTable()
  const rows = ['a', 'b'].map(id => ({ id, row: rowOf(id), wasDeleted: false }))
  backendTable.replaceAll(table, rows, 10, 0)
  return table
}

const ids = (table: backendTable.BackendTable): string[] => backendTable.rowsOf(table).map(row => row.id)

test('a deleted row is gone at once while the store is well', () => {
  const table = filled()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: true }], 11, 5_000)
  expect(ids(table)).toEqual(['b'])
})

test('rows that lapsed during an outage are kept until they can be back', () => {
  const table = filled()
  backendTable.noteStoreRecovery(table, 10_000)
  backendTable.replaceAll(table, [{ id: 'b', row: rowOf('b'), wasDeleted: false }], 20, 10_000)
  expect(ids(table)).toEqual(['a', 'b'])
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a'), wasDeleted: false }], 21, 11_500)
  expect(backendTable.settle(table, 13_000)).toBe(false)
  expect(ids(table)).toEqual(['a', 'b'])
})

test('a row that stays missing after an outage is gone', () => {
  const table = filled()
  backendTable.noteStoreRecovery(table, 10_000)
  backendTable.replaceAll(table, [{ id: 'b', row: rowOf('b'), wasDeleted: false }], 20, 10_000)
  expect(backendTable.settle(table, 12_100)).toBe(false)
  expect(backendTable.settle(table, 12_300)).toBe(true)
  expect(ids(table)).toEqual(['b'])
})

test('an unreadable row names no backend server, others hold', () => {
  const table = filled()
  backendTable.applyChanges(table, [{ id: 'a', row: undefined, wasDeleted: false }], 11, 0)
  expect(ids(table)).toEqual(['b'])
})

test('an older list changes nothing', () => {
  const table = filled()
  backendTable.replaceAll(table, [], 9, 0)
  expect(ids(table)).toEqual(['a', 'b'])
})

test('a row kept after an outage gives way to a new instance at its address', () => {
  const table = filled()
  backendTable.noteStoreRecovery(table, 10_000)
  const reborn = rowOf('c', { address: 'a:80', startedAtUnixMs: 9_000 })
  backendTable.replaceAll(table, [{ id: 'c', row: reborn, wasDeleted: false }], 20, 10_000)
  expect(ids(table)).toEqual(['c', 'b'])
})

test('of two listed rows with one address the later instance counts', () => {
  const table = backendTable.createTable()
  const rows = [rowOf('new', { address: 'x:80', startedAtUnixMs: 2 }), rowOf('old', { address: 'x:80' })]
  backendTable.replaceAll(table, rows.map(row => ({ id: row.id, row, wasDeleted: false })), 10, 0)
  expect(ids(table)).toEqual(['new'])
})
