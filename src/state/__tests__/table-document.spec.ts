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

/** Tables of two hosts that have seen `a` leave, and of a third one that has just read the restored store. */
function restoredTables (): Record<'first' | 'second' | 'starting', backendTable.BackendTable> {
  const [first, second] = [tableOf(['a', 'b']), tableOf(['a', 'b'])]
  for (const table of [first, second]) backendTable.applyChanges(table, [deleted('a')], at(11), 5_000)
  backendTable.replaceAll(first, rows('a', 'b'), at(4, 1), 10_000)
  return { first, second, starting: backendTable.createTable() }
}

// Guards against requests to a departed server at a host that takes the new era from a peer before its own read.
test('a row that a restored store lists again is held by a host that knows the era from a peer', () => {
  for (const isAlive of [true, false]) {
    const { first, second } = restoredTables()
    tableDocument.mergeTable(second, passOn(first, 10_500), 10_500)
    expect(ids(second)).toEqual(['b'])
    backendTable.replaceAll(second, rows('a', 'b'), at(5, 1), 11_000)
    expect(ids(second)).toEqual(['b'])
    if (!isAlive) backendTable.applyChanges(second, [deleted('a')], at(6, 1), 14_000)
    backendTable.settle(second, 15_900)
    expect(ids(second)).toEqual(['b'])
    backendTable.settle(second, 16_100)
    expect(ids(second)).toEqual(isAlive ? ['a', 'b'] : ['b'])
  }
})

// Guards against a peer without memory of the removal whose list brings the departed server back.
test('a removal holds against a peer that has read the restored store only', () => {
  const { second, starting } = restoredTables()
  backendTable.replaceAll(starting, rows('a', 'b'), at(4, 1), 10_000)
  tableDocument.mergeTable(second, passOn(starting, 10_500), 10_500)
  expect(ids(second)).toEqual(['b'])
})

// Guards against a process that starts after a restore and uses the departed server, since it has not seen it leave.
test('a process that has not seen the removal learns of it from a peer', () => {
  const { first, starting } = restoredTables()
  backendTable.replaceAll(starting, rows('a', 'b'), at(4, 1), 10_000)
  expect(ids(starting)).toEqual(['a', 'b'])
  const told = tableDocument.encodeRemoved(first, 10_500)
  expect(tableDocument.mergeRemoved(starting, told, 10_500)).toBe(true)
  expect(ids(starting)).toEqual(['b'])
  backendTable.settle(starting, 16_100)
  expect(ids(starting)).toEqual(['a', 'b'])
  // It has shown that it is alive.
  expect(tableDocument.mergeRemoved(starting, told, 16_200)).toBe(false)
})

// Guards against a live server that one late word of its removal takes out of use.
test('a removal does not concern a row that was written in the new era', () => {
  const { first, starting } = restoredTables()
  backendTable.replaceAll(starting, rows('b'), at(4, 1), 10_000)
  backendTable.applyChanges(starting, rows('a'), at(5, 1), 10_200)
  expect(tableDocument.mergeRemoved(starting, tableDocument.encodeRemoved(first, 10_500), 10_500)).toBe(false)
  backendTable.replaceAll(starting, rows('a', 'b'), at(6, 1), 10_600)
  expect(ids(starting)).toEqual(['a', 'b'])
})

// Guards against a held row that is used although a later read doesn't list it any more.
test('a held row that a later read lacks is not used', () => {
  const { first } = restoredTables()
  backendTable.replaceAll(first, rows('b'), at(6, 1), 14_000)
  expect(backendTable.settle(first, 17_000)).toBe(false)
  expect(ids(first)).toEqual(['b'])
})

// Guards against a row kept for a grace period that becomes a listed one through the copy of the store.
test('a missing row that a restored store lists is kept no longer than before, and then held', () => {
  const table = disturbedTable()
  backendTable.replaceAll(table, rows('a', 'b'), at(4, 1), 2_000)
  expect(ids(table)).toEqual(['a', 'b'])
  backendTable.settle(table, 3_300)
  expect(ids(table)).toEqual(['b'])
  backendTable.replaceAll(table, rows('a', 'b'), at(5, 1), 4_000)
  expect(ids(table)).toEqual(['b'])
  backendTable.settle(table, 8_100)
  expect(ids(table)).toEqual(['a', 'b'])
})

// Guards against a live server that is out of use for seconds since a read, and no change, brings its row back.
test('a row that the restored store lacked first is used as soon as a read of that era lists it', () => {
  const table = tableOf(['a', 'b'])
  backendTable.replaceAll(table, rows('b'), at(4, 1), 2_000)
  const cutOff = tableOf(['a', 'b'])
  tableDocument.mergeTable(cutOff, passOn(table, 2_100), 2_100)
  for (const host of [table, cutOff]) {
    backendTable.replaceAll(host, rows('a', 'b'), at(6, 1), 3_000)
    backendTable.settle(host, 5_000)
    expect(ids(host)).toEqual(['a', 'b'])
  }
})

// Guards against a server that drained before its row went, and that is ready in the copy.
test('an instance that drained before its removal stays draining', () => {
  const table = tableOf(['a'])
  backendTable.applyChanges(table, [{ id: 'a', row: rowOf('a', { state: 'draining' }), wasDeleted: false }], at(11), 100)
  backendTable.applyChanges(table, [deleted('a')], at(12), 3_000)
  backendTable.applyChanges(table, rows('a'), at(13), 4_000)
  expect(backendTable.rowsOf(table).map(row => row.state)).toEqual(['draining'])
  const next = { id: 'a', row: rowOf('a', { startedAtUnixMs: 2 }), wasDeleted: false }
  backendTable.applyChanges(table, [next], at(14), 5_000)
  expect(backendTable.rowsOf(table).map(row => row.state)).toEqual(['ready'])
})

// Guards against a memory of removals that grows for ever, also by telling each other.
test('a removal is forgotten after its time at all hosts', () => {
  const { first, starting } = restoredTables()
  tableDocument.mergeRemoved(starting, tableDocument.encodeRemoved(first, 200_000), 200_000)
  expect(starting.removed.size).toBe(1)
  expect(tableDocument.encodeRemoved(starting, 305_100)).toEqual([])
})
