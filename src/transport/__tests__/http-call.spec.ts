import * as http from 'node:http'
import * as net from 'node:net'
import * as vitest from 'vitest'
import * as httpCall from '../http-call.js'

const { afterEach, expect, test } = vitest

const servers: net.Server[] = []

afterEach(() => { for (const server of servers.splice(0)) server.close() })

/** Starts a server that answers each request with its path, and calls `after` with the answer that it sent. */
async function listen (after: (socket: net.Socket, answer: string) => void): Promise<string> {
  const server = net.createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', bytes => {
      const path = /^GET (\S+)/.exec(bytes.toString())![1]!
      const answer = `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`
      socket.write(answer)
      after(socket, answer)
    })
  })
  servers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

async function get (address: string, path: string, agent: http.Agent): Promise<string> {
  const result = await httpCall.callHttp({
    address, method: 'GET', path, agent, maxBodyBytes: 1_000, timeoutMs: 1_000, signal: new AbortController().signal
  })
  return result.kind === 'answer' ? result.body.toString() : result.reason
}

// Guards against a second copy of an answer that arrives late and is taken for the answer of the next call.
test('a second copy of an answer is not taken for the next answer', async () => {
  const address = await listen((socket, answer) => { setTimeout(() => { socket.write(answer) }, 10) })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  for (let call = 0; call < 5; call++) {
    expect(await get(address, `/call-${call}`, agent)).toBe(`/call-${call}`)
    await new Promise(resolve => { setTimeout(resolve, 25) })
  }
  agent.destroy()
})

// Guards against a copy that a busy process has not read yet when it makes the next call.
test('a copy that waits in the socket when the next call is made is not taken for its answer', async () => {
  let onCopied = (): void => {}
  let connections = 0
  const address = await listen((socket, answer) => {
    setTimeout(() => {
      socket.write(answer)
      onCopied()
    }, 10)
  })
  servers[0]!.on('connection', () => { connections += 1 })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  for (let call = 0; call < 5; call++) {
    const copied = new Promise<void>(resolve => { onCopied = resolve })
    expect(await get(address, `/call-${call}`, agent)).toBe(`/call-${call}`)
    await copied
  }
  expect(connections).toBe(5)
  agent.destroy()
})

// Guards against a copy that waits in the socket when a call that waited for the connection gets it.
test('a copy is not taken for the answer to a call that waited for the connection', async () => {
  let writeCopy = (): void => {}
  const address = await listen((socket, answer) => { writeCopy = () => { socket.write(answer) } })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  // Comes before the agent's own listener, which hands the connection to the next call.
  agent.prependListener('free', () => { writeCopy() })
  const paths = Array.from({ length: 20 }, (_, call) => `/call-${call}`)
  expect(await Promise.all(paths.map(path => get(address, path, agent)))).toEqual(paths)
  agent.destroy()
})

// Guards against a call that fails, perhaps done, because the server closed a connection that it had not been sent on.
test('a call is made on another connection when the server has closed the kept one', async () => {
  let onClosed = (): void => {}
  const address = await listen(socket => {
    setTimeout(() => {
      socket.end()
      onClosed()
    }, 10)
  })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  for (let call = 0; call < 5; call++) {
    const closed = new Promise<void>(resolve => { onClosed = resolve })
    expect(await get(address, `/call-${call}`, agent)).toBe(`/call-${call}`)
    await closed
  }
  agent.destroy()
})

// Guards against a call that outlasts its time, or its caller, because it waits for bytes.
test('a call that a kept connection holds back ends with its signal', async () => {
  const address = await listen(() => {})
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  expect(await get(address, '/first', agent)).toBe('/first')
  const controller = new AbortController()
  const result = httpCall.callHttp({
    address, method: 'GET', path: '/second', agent, maxBodyBytes: 1_000, timeoutMs: 1_000, signal: controller.signal
  })
  process.nextTick(() => { controller.abort() })
  expect(await result).toMatchObject({ kind: 'failed', wasSent: false })
  agent.destroy()
})

// Guards against a copy whose first bytes alone have arrived.
test('a call whose connection brings the beginning of a copy is made on another one', async () => {
  let onCopied = (): void => {}
  const address = await listen((socket, answer) => {
    setTimeout(() => {
      socket.write(answer.slice(0, 12))
      onCopied()
    }, 10)
  })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  for (let call = 0; call < 5; call++) {
    const copied = new Promise<void>(resolve => { onCopied = resolve })
    expect(await get(address, `/call-${call}`, agent)).toBe(`/call-${call}`)
    await copied
  }
  agent.destroy()
})

// Guards against a second copy in the same bytes as the first.
test('bytes after an answer are not taken for the next answer', async () => {
  const address = await listen((socket, answer) => { socket.write(answer) })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  for (let call = 0; call < 5; call++) expect(await get(address, `/call-${call}`, agent)).toBe(`/call-${call}`)
  agent.destroy()
})

test('connections are kept for further calls', async () => {
  let connections = 0
  const address = await listen(() => {})
  servers[0]!.on('connection', () => { connections += 1 })
  const agent = httpCall.createKeepAliveAgent({ maxSockets: 1, maxFreeSockets: 1 })
  for (let call = 0; call < 5; call++) expect(await get(address, `/call-${call}`, agent)).toBe(`/call-${call}`)
  expect(connections).toBe(1)
  agent.destroy()
})
