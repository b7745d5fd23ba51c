import * as net from 'node:net'
import * as vitest from 'vitest'
import * as backendClient from '../backend-client.js'
import * as httpCall from '../http-call.js'

const { afterAll, beforeAll, expect, test } = vitest

const STATUSES = ['000', '001', '099', '101', '150', '600', '999']
const FRAMINGS = ['Content-Length: 2\r\n\r\nok', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n']

let head = ''
let address = ''
const server = net.createServer(socket => {
  socket.on('error', () => {})
  socket.once('data', () => { socket.end(head) })
})
const stop = new AbortController()

beforeAll(async () => {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
})

afterAll(() => {
  stop.abort()
  server.close()
})

// Guards against a server in trouble whose bytes pass for an answer.
for (const status of STATUSES) {
  test(`an answer of status ${status} is no answer`, async () => {
    const client = backendClient.createBackendClient(stop.signal)
    const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
    for (const framing of FRAMINGS) {
      head = `HTTP/1.1 ${status} Reason\r\n${framing}`
      const result = await client.request({
        address, method: 'POST', path: '/', headers: {}, body: Buffer.from('x'), timeoutMs: 1_000, signal: stop.signal
      })
      expect(result.kind).toBe('no_answer')
      const called = await httpCall.callHttp({
        address, method: 'POST', path: '/', body: '{}', agent, maxBodyBytes: 1_000, timeoutMs: 1_000, signal: stop.signal
      })
      expect(called).toMatchObject({ kind: 'failed', wasSent: true })
    }
  })
}
