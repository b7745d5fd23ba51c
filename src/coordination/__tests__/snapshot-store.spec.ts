import * as zlib from 'node:zlib'
import * as vitest from 'vitest'
import * as configurationGuard from '../configuration-guard.js'
import * as configurationSync from '../configuration-sync.js'
import * as configurationTask from '../configuration-task.js'
import type * as environment from '../environment.js'
import * as snapshotStore from '../snapshot-store.js'
import * as configurationSnapshot from '../../protocol/configuration-snapshot.js'
import type * as platform from '../../protocol/platform.js'
import type * as configuration from '../../state/configuration.js'

const HEAD = 30
const KEY = 'snapshot'

let controller: AbortController
let table: LogTable
let objects: MemoryObjects
let events: Record<string, unknown>[]

vitest.beforeEach(() => {
  controller = new AbortController()
  table = new LogTable(HEAD)
  objects = new MemoryObjects()
  events = []
})

vitest.afterEach(() => controller.abort())

/** Table with a change log of one team for each revision, that counts its reads by partition. */
class LogTable implements platform.TableService {
  readonly reads: Record<string, number> = {}
  readonly #changes: configuration.Change[]

  constructor (head: number) {
    this.#changes = Array.from({ length: head }, (_, index) => changeOf(index + 1))
  }

  async get (key: platform.RowKey): Promise<platform.TableResult<platform.Row | undefined>> {
    this.#count(key.partition)
    return { kind: 'ok', value: { key, revision: this.#changes.length, document: {} } }
  }

  async list (partition: string, after: string, limit: number): Promise<platform.TableResult<platform.Row[]>> {
    this.#count(partition)
    const rows = this.#changes.map(change => ({
      key: {
        partition,
        sort: partition === 'change' ? String(change.revision).padStart(12, '0') : `team/${change.entityName}`
      },
      revision: 1,
      document: change
    }))
    return { kind: 'ok', value: rows.filter(row => row.key.sort > after).slice(0, limit) }
  }

  async transact (): Promise<platform.TransactResult> {
    return { kind: 'committed' }
  }

  #count (partition: string): void {
    this.reads[partition] = (this.reads[partition] ?? 0) + 1
  }
}

class MemoryObjects implements platform.ObjectStore {
  body: Buffer | undefined
  gets = 0
  puts = 0

  async get (): Promise<platform.ObjectRead> {
    this.gets += 1
    return this.body === undefined ? { kind: 'missing' } : { kind: 'found', body: this.body }
  }

  async put (_key: string, body: Buffer): Promise<platform.ObjectWrite> {
    this.puts += 1
    this.body = body
    return { kind: 'stored' }
  }
}

function changeOf (revision: number): configuration.Change {
  const name = `team-${String(revision).padStart(4, '0')}`
  return {
    revision,
    entityKind: 'team',
    entityName: name,
    replacedRevision: 0,
    document: { name, template: 'standard', parameters: {}, keyDigests: [] },
    operator: 'Åsa',
    acceptedAtMs: revision,
    operationId: `operation-${revision}`
  }
}

function snapshotAt (revision: number): configurationSnapshot.StoredSnapshot {
  return {
    revision,
    operationId: `operation-${revision}`,
    changes: Array.from({ length: revision }, (_, index) => changeOf(index + 1))
  }
}

interface Started {
  sync: configurationSync.ConfigurationSync
  task: configurationTask.ConfigurationTask
  snapshots: snapshotStore.SnapshotStore
}

function start (nowMs = (): number => performance.now()): Started {
  const env = {
    nowMs,
    wallClockMs: nowMs,
    random: () => 0,
    log: { emit: (name: string, fields: object) => { events.push({ name, ...fields }) } },
    metrics: { count () {} }
  } as unknown as environment.Environment
  const { signal } = controller
  const fail = (error: Error): void => { throw error }
  const guard = configurationGuard.createConfigurationGuard(env, () => false, signal)
  const task = configurationTask.startConfigurationTask(env, () => {}, signal, fail)
  const snapshots = snapshotStore.createSnapshotStore(env, { objects, key: KEY, periodMs: 1_000 }, task, signal)
  const isReader = async (): Promise<boolean> => true
  const parts = { table, task, guard, isReader, isFirstReader: isReader, snapshots }
  return { sync: configurationSync.startConfigurationSync(env, parts, signal), task, snapshots }
}

/** Starts an entry without state, which must apply all changes of the log whatever the object store holds. */
async function expectWholeConfiguration (): Promise<void> {
  const { sync, task } = start()
  vitest.expect(await sync.catchUp()).toEqual({ kind: 'ok', value: HEAD })
  const names = await task.read(copy => [copy.revision, [...copy.teams.keys()].sort()])
  vitest.expect(names).toEqual([HEAD, snapshotAt(HEAD).changes.map(change => change.entityName)])
}

async function store (snapshot: configurationSnapshot.StoredSnapshot): Promise<void> {
  objects.body = await configurationSnapshot.encodeSnapshot(snapshot)
}

// Guards against a start that reads all rows although the object store has nearly all of them.
vitest.test('start reads only the changes after the snapshot', async () => {
  await store(snapshotAt(HEAD - 2))
  await expectWholeConfiguration()
  vitest.expect(table.reads).toEqual({ head: 1, change: 1 })
})

// Guards against an old snapshot that hides later changes, such as the lift of a stop.
vitest.test('changes after an old snapshot are applied to it before it is in force', async () => {
  const old = snapshotAt(HEAD - 1)
  const removed = changeOf(HEAD)
  Object.assign(removed, { entityName: 'team-0001', document: undefined })
  table = new LogTable(HEAD)
  vitest.vi.spyOn(table, 'list').mockResolvedValueOnce({
    kind: 'ok',
    value: [changeOf(HEAD - 1), removed].map(change =>
      ({ key: { partition: '', sort: '' }, revision: 1, document: change }))
  })
  await store(old)
  const { sync, task } = start()
  await sync.catchUp()
  vitest.expect(await task.read(copy => [copy.revision, copy.teams.has('team-0001')])).toEqual([HEAD, false])
  vitest.expect(events.filter(event => event['name'] === 'configurationApplied')).toHaveLength(1)
})

// Guards against an entry that holds, or waits for, revisions that the change log does not have.
vitest.test('snapshot ahead of the change log is not used', async () => {
  await store(snapshotAt(HEAD + 5))
  await expectWholeConfiguration()
  vitest.expect(events[0]).toMatchObject({ name: 'snapshotUnused' })
})

// Guards against documents of a log that the table service no longer has, such as one from before it was restored.
vitest.test('snapshot of another change log is not used', async () => {
  const foreign = snapshotAt(HEAD - 2)
  foreign.operationId = 'operation-of-another-log'
  foreign.changes.push({ ...changeOf(HEAD + 1), revision: HEAD - 3 })
  await store(foreign)
  await expectWholeConfiguration()
})

// Guards against more reads with a snapshot than without one.
vitest.test('snapshot that is far behind is not used', async () => {
  const head = snapshotStore.MAX_LAG_CHANGES + 20
  table = new LogTable(head)
  await store(snapshotAt(10))
  const { sync } = start()
  vitest.expect(await sync.catchUp()).toEqual({ kind: 'ok', value: head })
  vitest.expect(table.reads['change']).toBe(undefined)
})

// Guards against a damaged object that makes the entry fail or comes into force.
vitest.test('truncated, corrupt and newer snapshots are not used', async () => {
  const whole = await configurationSnapshot.encodeSnapshot(snapshotAt(HEAD - 2))
  const text = zlib.gunzipSync(whole).toString('utf8')
  const damaged = {
    truncated: whole.subarray(0, whole.length / 2),
    empty: Buffer.alloc(0),
    corrupt: zlib.gzipSync(text.replace('team-0003","template"', 'team-9999","template"')),
    newer: zlib.gzipSync(text.replace('{"format":1', '{"format":2'))
  }
  for (const [name, body] of Object.entries(damaged)) {
    objects.body = body
    events.length = 0
    await expectWholeConfiguration()
    vitest.expect([name, events[0]!['name']]).toEqual([name, 'snapshotUnused'])
  }
})

// Guards against a document that no version of the program writes and that later code can't resolve.
vitest.test('snapshot with a wrong document is not used', async () => {
  const wrong = snapshotAt(HEAD - 2)
  wrong.changes[3]!.document = { name: 'team-0004' }
  await store(wrong)
  await expectWholeConfiguration()
  vitest.expect(events[0]).toMatchObject({ name: 'snapshotUnused' })
})

// Guards against a slow object store that delays each try of a start.
vitest.test('unusable snapshot is requested once', async () => {
  const { snapshots } = start()
  for (let tries = 0; tries < 3; tries++) vitest.expect(await snapshots.read(HEAD)).toBe(undefined)
  vitest.expect(objects.gets).toBe(1)
})

// Guards against a write for each change or poll.
vitest.test('snapshot is written once in a period and only when it changed', async () => {
  let nowMs = 0
  const { sync, task, snapshots } = start(() => nowMs)
  await sync.catchUp()
  const written = (): unknown[] => events.filter(event => event['name'] === 'snapshotWritten')
  snapshots.writeWhenDue()
  await vitest.vi.waitFor(() => vitest.expect(written()).toHaveLength(1))
  await task.apply([changeOf(HEAD + 1)])
  snapshots.writeWhenDue()
  // Half of the period is the shortest wait.
  nowMs = 499
  snapshots.writeWhenDue()
  nowMs = 500
  snapshots.writeWhenDue()
  await vitest.vi.waitFor(() => vitest.expect(written()).toHaveLength(2))
  nowMs = 1_000
  snapshots.writeWhenDue()
  nowMs = 1_500
  await task.apply([changeOf(HEAD + 2)])
  snapshots.writeWhenDue()
  await vitest.vi.waitFor(() => vitest.expect(written()).toHaveLength(3))
  vitest.expect(objects.puts).toBe(3)
  const decoded = await configurationSnapshot.decodeSnapshot(objects.body!)
  vitest.expect(decoded).toEqual({ kind: 'ok', snapshot: snapshotAt(HEAD + 2) })
})
