import * as net from 'node:net'
import * as vitest from 'vitest'
import * as problem from '../../protocol/problem.js'
import * as httpServer from '../http-server.js'
import * as clientPool from '../../../standins/client-pool.js'

const { afterEach, beforeEach, expect, test } = vitest

const LIMIT_BYTES = 1_000
const BODY_TIMEOUT_MS = 300

let controller: AbortController
let listening: httpServer.ListeningServer
let ran: string[]
let workMs: number

beforeEach(async () => {
  controller = new AbortController()
  ran = []
  workMs = 0
  listening = await httpServer.listen({
    address: '127.0.0.1:0',
    signal: controller.signal,
    pool: clientPool.createRoomyPool(controller.signal),
    handler: (request, response) => {
      httpServer.readBody(request, LIMIT_BYTES, BODY_TIMEOUT_MS).then(async body => {
        if (body.kind === 'aborted') return
        if (body.kind !== 'whole') {
          problem.sendProblem(response, httpServer.bodyRefusal(body, LIMIT_BYTES), 'r')
          return
        }
        ran.push(request.url ?? '')
        await new Promise(resolve => { setTimeout(resolve, workMs) })
        problem.sendJson(response, 200, { url: request.url })
      }).catch(() => { response.destroy() })
    }
  })
  listening.server.headersTimeout = 300
})

afterEach(() => { controller.abort() })

interface RawClient {
  socket: net.Socket
  statuses: () => number[]
  isClosed: () => boolean
}

function connect (): RawClient {
  const [host, port] = listening.address.split(':')
  const socket = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
  let text = ''
  let isClosed = false
  socket.on('data', chunk => { text += chunk.toString() })
  socket.on('error', () => {})
  socket.on('end', () => { isClosed = true })
  socket.on('close', () => { isClosed = true })
  return {
    socket,
    statuses: () => [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match => Number(match[1])),
    isClosed: () => isClosed
  }
}

const post = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok`

async function wait (delayMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, delayMs) })
}

// Guards against a request that is refused as late although it lies in the socket, and is then run.
test('a request that arrives while the process is blocked is served', async () => {
  const client = connect()
  await wait(50)
  client.socket.write(post('/late'))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_400)
  await vitest.vi.waitFor(() => { expect(client.statuses()).not.toEqual([]) })
  await wait(50)
  expect([client.statuses(), ran]).toEqual([[200], ['/late']])
})

test('a malformed request behind one that runs does not answer that one', async () => {
  workMs = 100
  const client = connect()
  client.socket.write(post('/first') + 'no request\r\n\r\n')
  await vitest.vi.waitFor(() => { expect(client.isClosed()).toBe(true) })
  expect(client.statuses()).toEqual([200, 400])
})

// Guards against a reset in place of the answer that the body is too large.
test('a body in chunks that is too large is answered', async () => {
  const client = connect()
  client.socket.write('POST /large HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
  for (let count = 0; count < 4; count++) {
    client.socket.write(`190\r\n${'x'.repeat(400)}\r\n`)
    await wait(20)
  }
  client.socket.write('0\r\n\r\n')
  await vitest.vi.waitFor(() => { expect(client.statuses().length + Number(client.isClosed())).toBeGreaterThan(0) })
  expect([client.statuses(), ran]).toEqual([[413], []])
})

// Guards against a body whose rest is read, and the request run, after the answer that it came too late.
test('a request whose body comes too late is refused and does not run', async () => {
  const client = connect()
  client.socket.write('POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nst')
  await vitest.vi.waitFor(() => { expect(client.statuses()).toEqual([408]) }, { timeout: 3_000 })
  client.socket.write('op' + post('/behind'))
  await wait(100)
  expect([client.statuses(), ran]).toEqual([[408], []])
  await vitest.vi.waitFor(() => { expect(client.isClosed()).toBe(true) })
})

async function openConnections (): Promise<number> {
  return await new Promise((resolve, reject) => {
    listening.server.getConnections((error, count) => { error === null ? resolve(count) : reject(error) })
  })
}

test('a client that does not close after a refusal is closed', async () => {
  const client = connect()
  client.socket.write('no request\r\n\r\n')
  await vitest.vi.waitFor(() => { expect(client.statuses()).toEqual([400]) })
  await vitest.vi.waitFor(async () => { expect(await openConnections()).toBe(0) }, { timeout: 3_000 })
})

test('a client that does not send the rest of a body that was refused is closed', async () => {
  listening.server.keepAliveTimeout = 0
  const client = connect()
  vitest.vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] })
  try {
    client.socket.write('POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\nstart')
    await vitest.vi.waitUntil(() => client.statuses().length > 0)
    expect(client.statuses()).toEqual([413])
    await vitest.vi.advanceTimersByTimeAsync(30_000)
  } finally {
    vitest.vi.useRealTimers()
  }
  await vitest.vi.waitFor(() => { expect(client.isClosed()).toBe(true) })
})

test('a request is served on a connection whose last body was refused and is complete', async () => {
  const client = connect()
  client.socket.write(`POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n${'x'.repeat(4_000)}${post('/next')}`)
  await vitest.vi.waitFor(() => { expect(client.statuses()).toEqual([413, 200]) })
  expect(ran).toEqual(['/next'])
})
