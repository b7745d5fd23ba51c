import * as vitest from 'vitest'
import type * as configurationGuard from '../configuration-guard.js'
import * as configurationSync from '../configuration-sync.js'
import type * as configurationTask from '../configuration-task.js'
import type * as environment from '../environment.js'
import type * as platform from '../../protocol/platform.js'

// Guards against a status that calls the table service unavailable after it has answered an operator's question.
vitest.test('audit notes that the table service answers again', async () => {
  const stopped = new AbortController()
  let isUp = false
  const answer = async <T>(value: T): Promise<platform.TableResult<T>> =>
    isUp ? { kind: 'ok', value } : { kind: 'unavailable', detail: 'down' }
  const table: platform.TableService = {
    get: () => answer(undefined),
    list: () => answer([]),
    transact: async () => ({ kind: 'unavailable', mayHaveApplied: false, detail: 'down' })
  }
  const env = { nowMs: () => 0, random: () => 0, log: { emit: () => {} } } as unknown as environment.Environment
  const sync = configurationSync.startConfigurationSync(env, {
    table,
    task: { read: async () => 0 } as unknown as configurationTask.ConfigurationTask,
    guard: { hasCopy: () => true, confirm: () => {} } as unknown as configurationGuard.ConfigurationGuard,
    isReader: async () => false,
    snapshots: undefined,
    isFirstReader: async () => false
  }, stopped.signal)
  await sync.catchUp()
  vitest.expect(sync.isTableAvailable()).toBe(false)
  vitest.expect((await sync.audit(0)).kind).toBe('unavailable')
  vitest.expect(sync.isTableAvailable()).toBe(false)
  isUp = true
  vitest.expect((await sync.audit(0)).kind).toBe('ok')
  vitest.expect(sync.isTableAvailable()).toBe(true)
  stopped.abort()
})

// Guards against a read of all rows by an entry that gets the configuration from a peer while it asks for the newest.
vitest.test('copy that a peer sends during the question for the newest revision is used', async () => {
  const stopped = new AbortController()
  let revision = 0
  let lists = 0
  let confirmations = 0
  const table: platform.TableService = {
    get: async () => {
      revision = 5
      return { kind: 'ok', value: { key: { partition: 'head', sort: 'head' }, revision: 5, document: {} } }
    },
    list: async () => {
      lists += 1
      return { kind: 'ok', value: [] }
    },
    transact: async () => ({ kind: 'unavailable', mayHaveApplied: false, detail: 'down' })
  }
  const env = { nowMs: () => 0, random: () => 0, log: { emit: () => {} } } as unknown as environment.Environment
  const task = {
    read: async (reader: (copy: { revision: number }) => unknown) => reader({ revision }),
    replace: async () => {}
  } as unknown as configurationTask.ConfigurationTask
  const sync = configurationSync.startConfigurationSync(env, {
    table,
    task,
    guard: {
      hasCopy: () => false, confirm: () => { confirmations += 1 }
    } as unknown as configurationGuard.ConfigurationGuard,
    isReader: async () => false,
    snapshots: undefined,
    isFirstReader: async () => true
  }, stopped.signal)
  vitest.expect(await sync.catchUp()).toEqual({ kind: 'ok', value: 5 })
  vitest.expect(lists).toBe(0)
  vitest.expect(confirmations).toBe(1)
  stopped.abort()
})
