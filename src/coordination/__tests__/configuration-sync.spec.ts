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
