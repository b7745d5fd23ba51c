import * as http from 'node:http'
import type * as net from 'node:net'
import * as stream from 'node:stream'
import * as vitest from 'vitest'
import * as wholeEvents from '../../protocol/whole-events.js'
import * as engineMapClient from '../engine-map-client.js'
import * as hostListClient from '../host-list-client.js'
import * as jsonBody from '../json-body.js'
import * as operatorClient from '../operator-client.js'
import * as tableClient from '../table-client.js'

const { afterEach, beforeEach, expect, test } = vitest

const CHUNK = Buffer.alloc(64 * 1024, ' ')
const MAX_SENT_BYTES = 48 * 1024 * 1024
const TIMEOUT_MS = 20_000

let server: http.Server
let url: string
let sentBytes = 0
const stop = new AbortController()

beforeEach(async () => {
  sentBytes = 0
  server = http.createServer((_, response) => {
    const send = (): void => {
      while (!response.destroyed && sentBytes < 8 * MAX_SENT_BYTES) {
        sentBytes += CHUNK.length
        if (!response.write(CHUNK)) {
          response.once('drain', send)
          return
        }
      }
    }
    send()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  url = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
})

afterEach(() => {
  server.close()
  server.closeAllConnections()
})

// Guards against a service that fills the memory of a process with an answer that never ends.
test('an answer of the table service without end is given up', async () => {
  const table = new tableClient.DynamoTable({ url, tableName: 't', timeoutMs: TIMEOUT_MS }, stop.signal)
  expect((await table.get({ partition: 'p', sort: 's' }, stop.signal)).kind).toBe('unavailable')
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES)
})

test('a host list without end is given up', async () => {
  const list = new hostListClient.HttpHostList(url, TIMEOUT_MS)
  expect((await list.read(stop.signal)).kind).toBe('unavailable')
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES)
})

test('an answer of an engine without end is given up', async () => {
  const engine = new engineMapClient.HttpEngineManagement(url, TIMEOUT_MS)
  expect(await engine.state(stop.signal)).toBeUndefined()
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES)
})

test('an answer of an entry to an operator without end is given up, and the change may have been applied', async () => {
  const client = new operatorClient.OperatorClient({
    // Too short for a second attempt.
    entryUrls: [url], operatorKey: 'k', operator: 'o', timeoutMs: 1_000
  })
  const result = await client.request({ method: 'PUT', path: '/hosts/h', body: {}, operationId: 'id' })
  expect(result).toMatchObject({ kind: 'unavailable', mayHaveApplied: true })
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES)
})

test('a body of JSON up to the limit is read whole', async () => {
  expect(await jsonBody.readJson(stream.Readable.from([Buffer.from('{"a":'), Buffer.from('1}')]))).toEqual({ a: 1 })
  await expect(jsonBody.readJson(stream.Readable.from([Buffer.from('{"a":')]))).rejects.toThrow()
})

// Guards against a stream without a blank line, which is kept until an event is whole.
test('an event without end is given up', () => {
  const splitter = new wholeEvents.WholeEvents()
  let pushedBytes = 0
  while (pushedBytes < MAX_SENT_BYTES && splitter.push(CHUNK) !== undefined) pushedBytes += CHUNK.length
  expect(pushedBytes).toBeLessThan(5 * 1024 * 1024)
})
