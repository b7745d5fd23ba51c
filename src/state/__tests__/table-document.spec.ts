import * as vitest from 'vitest'
import * as backendTable from '../backend-table.js'
import * as tableDocument from '../table-document.js'
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

const at = (number: number, era = 0): revision.Revision => ({ era, number })

const rows = (...names: string[]): backendTable.BackendChange[] =>
  names.map(id => ({ id, row: rowOf(id), wasDeleted: false }))

const deleted = (id: string): backendTable.BackendChange => ({ id, row: undefined, wasDeleted: true })

function tableOf (names: string[], revision = at(10)): backendTable.BackendTable {
  const table = backendTable.createTable()
  backendTable.replaceAll(table, rows(...names), revision, 0)
  return table
}

/** A table of a host that lost the store for a moment while `a` left. */
function disturbedTable (): backendTable.BackendTable {
  const table = tableOf(['a', 'b'])
  backendTable.noteStoreRecovery(table, 1_000)
  backendTable.applyChanges(table, [deleted('a')], at(11), 1_500)
  return table
}

/** What a process of the given version reads from a peer, as sent. */
function passOn (from: backendTable.BackendTable, nowMs: number, version: 'this' | 'earlier' = 'this'): tableDocument.TableDocument {
  const document = JSON.parse(JSON.stringify(tableDocument.encodeTable(from, nowMs))) as tableDocument.TableDocument
  if (version === 'this') return document
  return { backendRevision: from.revision, backends: backendTable.rowsOf(from) }
}

const ids = (table: backendTable.BackendTable): string[] => backendTable.rowsOf(table).map(row => row.id).sort()

// Guards against a departed server that calm hosts take up again since a disturbed one keeps its row.
test('a row that a peer keeps does not return to a host that saw it go', () => {
  for (const version of ['this', 'earlier'] as const) {
    const disturbed = disturbedTable()
    const calm = tableOf(['a', 'b'])
    backendTable.applyChanges(calm, [deleted('a')], at(11), 1_500)
    backendTable.applyChanges(disturbed, rows('c'), at(12), 1_600)
    expect(tableDocument.mergeTable(calm, passOn(disturbed, 1_700, version), 1_700)).toBe(true)
    expect(ids(calm)).toEqual(['b', 'c'])
  }
})

// Guards against a row that a calm host keeps on a peer's word although the store has told it of the deletion.
test('the own feed ends what is kept on the word of a peer', () => {
  const disturbed = disturbedTable()
  backendTable.applyChanges(disturbed, rows('c'), at(12), 1_600)
  const calm = tableOf(['a', 'b'])
  tableDocument.mergeTable(calm, passOn(disturbed, 1_700), 1_700)
  expect(ids(calm)).toEqual(['a', 'b', 'c'])
  backendTable.applyChanges(calm, [deleted('a'), deleted('b')], at(11), 1_800)
  // `b` is listed at the later revision of the table.
  expect(ids(calm)).toEqual(['b', 'c'])
})

// Guards against live servers that are lost at a host which hears of the store's return from a peer only.
test('a host without the store keeps expired rows for as long as its peer', () => {
  const cutOff = tableOf(['a', 'b'])
  tableDocument.mergeTable(cutOff, passOn(disturbedTable(), 2_000), 2_000)
  expect(ids(cutOff)).toEqual(['a', 'b'])
  expect(backendTable.settle(cutOff, 3_100)).toBe(false)
  expect(backendTable.settle(cutOff, 3_300)).toBe(true)
  expect(ids(cutOff)).toEqual(['b'])
})

// Guards against a grace period that starts anew at each host that passes a row on.
test('a kept row lasts no longer at the third host', () => {
  const second = tableOf(['a', 'b'])
  const third = tableOf(['a', 'b'])
  tableDocument.mergeTable(second, passOn(disturbedTable(), 2_000), 2_000)
  tableDocument.mergeTable(third, passOn(second, 3_000), 3_000)
  expect(ids(third)).toEqual(['a', 'b'])
  backendTable.settle(third, 3_300)
  expect(ids(third)).toEqual(['b'])
})

// Guards against a host that starts and takes up a row which it has read to be missing, or lacks one that may return.
test('a host without a row takes a kept one only when its own read is older', () => {
  const starting = backendTable.createTable()
  tableDocument.mergeTable(starting, passOn(disturbedTable(), 2_000), 2_000)
  expect(ids(starting)).toEqual(['a', 'b'])
  const read = tableOf(['b'], at(11))
  const disturbed = disturbedTable()
  backendTable.applyChanges(disturbed, rows('c'), at(12), 1_600)
  tableDocument.mergeTable(read, passOn(disturbed, 2_000), 2_000)
  expect(ids(read)).toEqual(['b', 'c'])
})

// Guards against a process of an earlier version that reads kept rows as listed.
test('an earlier version finds only listed rows in the list that it reads', () => {
  expect(passOn(disturbedTable(), 1_700).backends.map(row => row.id)).toEqual(['b'])
})

// Guards against a live server that stays out of use at a host that follows the store through peers.
test('a removed instance that writes its row again is taken from a peer', () => {
  const calm = tableOf(['a', 'b'])
  const peer = tableOf(['a', 'b'])
  for (const table of [calm, peer]) backendTable.applyChanges(table, [deleted('a')], at(11), 1_500)
  backendTable.applyChanges(peer, rows('a'), at(12), 3_000)
  tableDocument.mergeTable(calm, passOn(peer, 3_100), 3_100)
  expect(ids(calm)).toEqual(['a', 'b'])
})
