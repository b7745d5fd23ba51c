import * as vitest from 'vitest'
import * as cutAnswers from '../../../standins/cut-answers.js'
import * as backendClient from '../backend-client.js'
import * as engineClient from '../engine-client.js'
import * as engineMapClient from '../engine-map-client.js'
import * as hostListClient from '../host-list-client.js'
import * as httpCall from '../http-call.js'
import * as objectClient from '../object-client.js'
import * as tableClient from '../table-client.js'
import * as weightClient from '../weight-client.js'

const { expect, test } = vitest

const TIMEOUT_MS = 2_000
const KEY = { partition: 'p', sort: 's' }

async function readAll (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of body) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

interface Case {
  name: string
  body: string
  /** The body shows by itself that it is whole, also before a reset. */
  isJson?: boolean
  /** @returns undefined for an answer that was not taken for whole. */
  open: (address: string, signal: AbortSignal) => () => Promise<unknown>
}

const CASES: Case[] = [
  {
    name: 'calls',
    body: '{"a":1}',
    open: (address, signal) => {
      const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
      return async () => {
        const result = await httpCall.callHttp({
          address, method: 'GET', path: '/', agent, maxBodyBytes: 1_000, timeoutMs: TIMEOUT_MS, signal
        })
        return result.kind === 'answer' ? result.body.toString() : undefined
      }
    }
  },
  {
    name: 'backend servers',
    body: 'text of an answer',
    open: (address, signal) => {
      const client = backendClient.createBackendClient(signal)
      return async () => {
        const result = await client.request({
          address, method: 'GET', path: '/', headers: {}, body: undefined, timeoutMs: TIMEOUT_MS, signal
        })
        return result.kind === 'answer' ? await readAll(result.body).catch(() => undefined) : undefined
      }
    }
  },
  {
    name: 'streams of engines',
    body: 'data: a\n\ndata: b\n\n',
    open: (address, signal) => {
      const engine = new engineClient.HttpEngine(backendClient.createBackendClient(signal), address)
      return async () => {
        const body = await engine.resume('id', signal)
        return typeof body === 'string' ? undefined : await readAll(body).catch(() => undefined)
      }
    }
  },
  {
    name: 'expert maps',
    body: '{"tokens":[[1]]}',
    isJson: true,
    open: (address, signal) => {
      const engine = new engineMapClient.HttpEngineManagement(address, TIMEOUT_MS)
      return async () => await engine.tokens(signal)
    }
  },
  {
    name: 'host list',
    body: '[]',
    isJson: true,
    open: (address, signal) => {
      const list = new hostListClient.HttpHostList(`http://${address}/`, TIMEOUT_MS)
      return async () => {
        const result = await list.read(signal)
        return result.kind === 'ok' ? result : undefined
      }
    }
  },
  {
    name: 'objects',
    body: 'bytes of an object',
    open: (address, signal) => {
      const store = new objectClient.S3ObjectStore(`http://${address}`, TIMEOUT_MS)
      return async () => {
        const result = await store.get('key', signal)
        return result.kind === 'found' ? result : undefined
      }
    }
  },
  {
    name: 'weights',
    body: 'bytes of an expert',
    open: (address, signal) => {
      const store = new weightClient.S3WeightStore(`http://${address}`, TIMEOUT_MS)
      return async () => {
        const result = await store.fetch('model', 1, 1, signal)
        return result.kind === 'fetched' ? result : undefined
      }
    }
  },
  {
    name: 'rows',
    body: '{}',
    isJson: true,
    open: (address, signal) => {
      const table = new tableClient.DynamoTable({ url: `http://${address}`, tableName: 't', timeoutMs: TIMEOUT_MS }, signal)
      return async () => {
        const result = await table.get(KEY, signal)
        return result.kind === 'ok' ? result : undefined
      }
    }
  }
]

// Guards against the beginning of an answer that passes for the whole of it.
for (const { name, body, isJson = false, open } of CASES) {
  test(`no answer that breaks off is taken for whole: ${name}`, async () => {
    let plan: cutAnswers.CutAnswer
    const server = new cutAnswers.CutServer(() => plan)
    await server.start()
    const controller = new AbortController()
    const call = open(server.address, controller.signal)
    const passed: string[] = []
    for (const framing of cutAnswers.FRAMINGS) {
      const answer = cutAnswers.encodeAnswer(framing, 200, ['ETag: "1"'], body)
      for (plan of cutAnswers.cutsOf(answer)) {
        if (isJson && plan.sentBytes === answer.bytes.length) continue
        if (await call() !== undefined) passed.push(cutAnswers.describeCut(plan))
      }
      // Not every client takes lines without a carriage return, or a 100 that it didn't ask for.
      if (framing === 'line_feeds' || framing === 'interim') continue
      plan = { answer, sentBytes: answer.bytes.length, ending: 'end' }
      expect(await call(), framing).not.toBe(undefined)
    }
    controller.abort()
    server.stop()
    expect(passed).toEqual([])
  })
}
