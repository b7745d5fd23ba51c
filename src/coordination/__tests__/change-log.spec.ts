import * as vitest from 'vitest'
import * as changeLog from '../change-log.js'
import type * as platform from '../../protocol/platform.js'
import type * as configuration from '../../state/configuration.js'

/** In-memory table that runs a hook before and after it reads the rows of a listing. */
class MemoryTable implements platform.TableService {
  readonly rows = new Map<string, platform.Row>()
  beforeList: () => Promise<void> = async () => {}
  afterList: () => Promise<void> = async () => {}

  async get (key: platform.RowKey): Promise<platform.TableResult<platform.Row | undefined>> {
    return { kind: 'ok', value: this.rows.get(`${key.partition} ${key.sort}`) }
  }

  async list (partition: string, afterSort: string): Promise<platform.TableResult<platform.Row[]>> {
    const { beforeList, afterList } = this
    this.beforeList = this.afterList = async () => {}
    await beforeList()
    const rows = [...this.rows.values()].filter(row => row.key.partition === partition && row.key.sort > afterSort)
    await afterList()
    return { kind: 'ok', value: rows.sort((a, b) => (a.key.sort < b.key.sort ? -1 : 1)) }
  }

  async transact (writes: platform.ConditionalWrite[]): Promise<platform.TransactResult> {
    const current = writes.map(write => this.rows.get(`${write.key.partition} ${write.key.sort}`))
    const isRefused = writes.some((write, index) =>
      write.expectedRevision !== 'any' && write.expectedRevision !== (current[index]?.revision ?? 0))
    if (isRefused) return { kind: 'conflict', current, failed: writes.map(() => true) }
    for (const [index, { key, document }] of writes.entries()) {
      this.rows.set(`${key.partition} ${key.sort}`, { key, document, revision: (current[index]?.revision ?? 0) + 1 })
    }
    return { kind: 'committed' }
  }
}

function changeOf (revision: number, operationId = `operation-${revision}`): configuration.Change {
  return {
    revision, entityKind: 'team', entityName: 'a', replacedRevision: 0, document: { revision }, operator: '', acceptedAtMs: 0, operationId
  }
}

const signal = new AbortController().signal

// Guards against a copy that holds a newer document than its revision implies and then returns to an older one.
vitest.test('snapshot is consistent with its revision', async () => {
  const table = new MemoryTable()
  await changeLog.appendChange(table, changeOf(1), signal)
  table.beforeList = async () => { await changeLog.appendChange(table, changeOf(2), signal) }
  vitest.expect(await changeLog.readSnapshot(table, signal))
    .toMatchObject({ value: { revision: 2, changes: [{ revision: 2 }] } })
  table.afterList = async () => { await changeLog.appendChange(table, changeOf(3), signal) }
  vitest.expect(await changeLog.readSnapshot(table, signal))
    .toMatchObject({ value: { revision: 3, changes: [{ revision: 3 }] } })
})

// Guards against a change that is applied twice when its first answer was lost and other changes followed.
vitest.test('operation id is accepted once', async () => {
  const table = new MemoryTable()
  await changeLog.appendChange(table, changeOf(1, 'one'), signal)
  vitest.expect(await changeLog.appendChange(table, changeOf(2, 'one'), signal)).toEqual({ kind: 'behind' })
  vitest.expect(await changeLog.findOperation(table, 'one', signal)).toMatchObject({ value: { revision: 1 } })
  vitest.expect(await changeLog.findOperation(table, 'two', signal)).toEqual({ kind: 'ok', value: undefined })
})
