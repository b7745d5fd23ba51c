import type * as http from 'node:http'
import * as vitest from 'vitest'
import type * as configurationGuard from '../configuration-guard.js'
import * as configurationSync from '../configuration-sync.js'
import * as configurationTask from '../configuration-task.js'
import * as environment from '../environment.js'
import * as plannedStops from '../planned-stops.js'
import * as jsonServer from '../../../standins/json-server.js'
import * as tableService from '../../../standins/table-service.js'
import * as tableClient from '../../transport/table-client.js'

const DAY_MS = 24 * 3_600_000
const ended = new AbortController()
const standin = new tableService.TableStandin()
let server: { address: string, server: http.Server }
let table: tableClient.DynamoTable
let wallClockAheadMs = 0
let monotonicAheadMs = 0

vitest.beforeAll(async () => {
  server = await jsonServer.serveJson((request, response) => standin.handle(request, response))
  table = new tableClient.DynamoTable(
    { url: `http://${server.address}`, tableName: 'test', timeoutMs: 1_000 }, ended.signal)
})

vitest.afterAll(() => {
  ended.abort()
  server.server.closeAllConnections()
  server.server.close()
})

/** Planned stops of one entry with its own copy of the configuration, on clocks that the test sets ahead. */
async function startEntry (): Promise<{ stops: plannedStops.PlannedStops, sync: configurationSync.ConfigurationSync }> {
  const real = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const env = {
    ...real,
    wallClockMs: () => Date.now() + wallClockAheadMs,
    nowMs: () => performance.now() + monotonicAheadMs
  }
  const fail = (error: Error): void => { throw error }
  const task = configurationTask.startConfigurationTask(
    env, (changes, origin) => stops.applyChanges(changes, origin === 'snapshot'), ended.signal, fail)
  const sync = configurationSync.startConfigurationSync(env, {
    table,
    task,
    guard: { confirm: () => {}, hasCopy: () => true } as unknown as configurationGuard.ConfigurationGuard,
    snapshots: undefined,
    isReader: async () => true,
    isFirstReader: async () => true
  }, ended.signal)
  const stops = plannedStops.startPlannedStops(env, {
    configuration: task, sync, capacity: async () => [], onChange: () => {}
  }, ended.signal)
  return { stops, sync }
}

function request (name: string): plannedStops.StopRequest {
  return { scope: 'host', name, operator: 'test', reason: '', operationId: `stop-of-${name}`, confirmOverload: true }
}

async function hasRow (name: string): Promise<boolean> {
  const row = await table.get({ partition: 'entity', sort: `stop/host.${name}` }, ended.signal)
  return row.kind === 'ok' && row.value !== undefined
}

// Guards against rows of lifted stops that are never removed, and against a late copy that puts such a stop in force
// again.
vitest.test('row of a lifted stop is removed and a late copy does not restore the stop', async () => {
  const first = await startEntry()
  await first.stops.announce(request('lifted'))
  await first.stops.announce(request('held'))
  const [late] = first.stops.all()
  await first.stops.lift(request('lifted'))
  standin.faults.clockAheadMs = wallClockAheadMs = 6 * DAY_MS
  vitest.expect([await hasRow('lifted'), await hasRow('held')]).toEqual([true, true])
  standin.faults.clockAheadMs = wallClockAheadMs = 8 * DAY_MS
  vitest.expect([await hasRow('lifted'), await hasRow('held')]).toEqual([false, true])

  const second = await startEntry()
  await second.sync.catchUp()
  vitest.expect(second.stops.all().map(stop => stop.name)).toEqual(['held'])
  second.stops.merge([{ ...late!, recorded: false, lifted: false }])
  // After the longest wait of an entry before it records a stop that another entry accepted.
  monotonicAheadMs = 20_000
  const location = { host: 'lifted', failureDomain: '' }
  await vitest.vi.waitFor(() => vitest.expect(second.stops.stopFor(location)).toBeUndefined(), { timeout: 5_000 })
  vitest.expect(second.stops.stopFor({ host: 'held', failureDomain: '' })).toBeDefined()
  vitest.expect(await hasRow('lifted')).toBe(false)

  // A new stop of the target is another operation and stays in force.
  await second.stops.announce({ ...request('lifted'), operationId: 'again' })
  vitest.expect(second.stops.stopFor(location)).toMatchObject({ stopId: 'again', recorded: true })
  standin.faults.clockAheadMs = 30 * DAY_MS
  vitest.expect(await hasRow('lifted')).toBe(true)
})
