import * as net from 'node:net'
import * as vitest from 'vitest'
import * as clientPool from '../client-pool.js'
import * as httpServer from '../http-server.js'

const { afterEach, beforeEach, expect, test } = vitest

/** More than the sockets on both sides buffer. */
const RESPONSE_BYTES = 64_000_000
const IDLE_MS = 500

let controller: AbortController
let listening: httpServer.ListeningServer
let givenUp: clientPool.GiveUpReason[]

beforeEach(async () => {
  controller = new AbortController()
  givenUp = []
  const pool = new clientPool.ClientPool(
    { maxConnections: 10, ownBytes: 0, sharedBytes: Infinity },
    { onGivenUp: reason => { givenUp.push(reason) }, onUsage: () => {} },
    controller.signal
  )
  listening = await httpServer.listen({
    address: '127.0.0.1:0',
    signal: controller.signal,
    pool,
    handler: (_, response) => { response.end(Buffer.alloc(RESPONSE_BYTES)) }
  })
  listening.server.keepAliveTimeout = IDLE_MS
})

afterEach(() => { controller.abort() })

function ask (): net.Socket {
  const [host, port] = listening.address.split(':')
  const socket = net.connect({ host, port: Number(port) })
  socket.on('error', () => {})
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
  return socket
}

// Guards against a connection that a client keeps for good by not reading a response.
test('a response that its client does not take is given up', async () => {
  const socket = ask().pause()
  await vitest.vi.waitFor(() => { expect(givenUp).toEqual(['stalled']) }, { timeout: 10_000 })
  socket.destroy()
})

test('a response that its client takes slowly is not given up', async () => {
  const socket = ask()
  let received = 0
  socket.on('data', chunk => {
    received += chunk.length
    socket.pause()
    setTimeout(() => { socket.resume() }, 1)
  })
  await vitest.vi.waitFor(() => { expect(received).toBeGreaterThanOrEqual(RESPONSE_BYTES) }, { timeout: 60_000 })
  expect(givenUp).toEqual([])
  socket.destroy()
})
