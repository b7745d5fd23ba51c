import type * as http from 'node:http'
import * as net from 'node:net'
import * as vitest from 'vitest'
import * as clientConnections from '../client-connections.js'
import * as clientPool from '../../../standins/client-pool.js'
import * as lateReader from '../../../standins/late-reader.js'

const { afterEach, expect, test } = vitest

const CLIENTS = 20
const BODY_BYTES = 40_000_000

let server: http.Server
let controller: AbortController

afterEach(() => {
  controller.abort()
  server.closeAllConnections()
  server.close()
})

async function start (handler: clientConnections.RequestHandler): Promise<string> {
  controller = new AbortController()
  const pool = clientPool.createRoomyPool(controller.signal)
  server = clientConnections.createServer({ http: { keepAliveTimeout: 5_000 }, handler, pool })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

/** Answers before the body is read, and closes the connection. */
function refuseBody (_: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(413, { Connection: 'close', 'Content-Length': 2 }).end('no')
}

const HEAD = ['POST / HTTP/1.1', 'Host: a']

// Guards against an answer that is lost because its connection is reset with a body that was not read.
test('all clients get an answer that was given before their bodies were read', async () => {
  const address = await start(refuseBody)
  const received = await Promise.all(Array.from({ length: CLIENTS }, async () =>
    await lateReader.sendLargeBody({ address, head: HEAD, bodyBytes: BODY_BYTES })))
  expect(received.filter(text => text.startsWith('HTTP/1.1 413 ') && text.endsWith('no')).length).toBe(CLIENTS)
}, 30_000)

test('a client that sends slowly gets an early answer, too', async () => {
  const address = await start(refuseBody)
  const request = { address, head: HEAD, bodyBytes: 10 * lateReader.PIECE.length, pauseMs: 200 }
  expect(await lateReader.sendLargeBody(request)).toMatch(/^HTTP\/1.1 413 .*no$/s)
}, 30_000)

// Guards against requests that a client sends behind the last response of its connection.
test('a whole request behind the last response loses neither that nor is served', async () => {
  let served = 0
  const address = await start((_, response) => {
    served += 1
    response.writeHead(200, { Connection: 'close', 'Content-Length': 2 }).end('ok')
  })
  const socket = connect(address)
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
  const head = 'GET / HTTP/1.1\r\nHost: a\r\n'
  socket.write(`${head}\r\n${head}Content-Length: ${BODY_BYTES}\r\n\r\n`)
  socket.write(lateReader.PIECE)
  await lateReader.closeOf(socket)
  expect(received).toMatch(/^HTTP\/1.1 200 .*ok$/s)
  expect(served).toBe(1)
})

// Guards against a client that sends without end to a server that has answered.
test('a client that never stops sending is cut off, and its bytes are not kept', async () => {
  const address = await start(refuseBody)
  const before = process.memoryUsage().arrayBuffers
  const socket = connect(address)
  const closed = lateReader.closeOf(socket)
  socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
  let sentBytes = 0
  const chunk = Buffer.concat([Buffer.from(`${lateReader.PIECE.length.toString(16)}\r\n`), lateReader.PIECE, Buffer.from('\r\n')])
  while (!socket.closed && sentBytes < 4 * clientConnections.MAX_DISCARDED_BYTES) {
    sentBytes += chunk.length
    await lateReader.sendPiece(socket, chunk, closed)
  }
  expect(socket.closed).toBe(true)
  expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(clientConnections.MAX_DISCARDED_BYTES / 2)
}, 30_000)

function connect (address: string): net.Socket {
  const [host, port] = address.split(':')
  return net.connect({ host, port: Number(port) })
}
