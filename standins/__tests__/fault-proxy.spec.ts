import * as net from 'node:net'
import * as vitest from 'vitest'
import * as faultProxy from '../fault-proxy.js'

const { expect, test } = vitest

// Guards against a reset relayed as a normal end, with which a truncated body without a length seems complete.
test('a reset by the target reaches the client as a reset', async () => {
  const server = net.createServer(socket => {
    socket.write('part', () => { setTimeout(() => { socket.resetAndDestroy() }, 20) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  const proxy = new faultProxy.FaultProxy(`127.0.0.1:${port}`)
  const [host, proxyPort] = (await proxy.listen()).split(':')
  const code = await new Promise(resolve => {
    const client = net.connect({ host: host!, port: Number(proxyPort) })
    client.resume()
    client.once('error', (error: NodeJS.ErrnoException) => { resolve(error.code) })
    client.once('end', () => { resolve('end') })
  })
  expect(code).toBe('ECONNRESET')
  server.close()
  await proxy.close()
})

// Guards against a descriptor leak: Node keeps the descriptor of a socket that is reset after its end was sent.
test('ended connections leave no descriptor open', async () => {
  const server = net.createServer(socket => { socket.end('whole') })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  const proxy = new faultProxy.FaultProxy(`127.0.0.1:${port}`)
  const [host, proxyPort] = (await proxy.listen()).split(':')
  const sockets = (): number => process.getActiveResourcesInfo().filter(name => name === 'TCPSocketWrap').length
  const before = sockets()
  for (let count = 0; count < 10; count++) {
    const client = net.connect({ host: host!, port: Number(proxyPort) })
    client.resume()
    await new Promise<void>(resolve => { client.once('close', () => { resolve() }) })
  }
  await vitest.vi.waitFor(() => { expect(sockets()).toBeLessThanOrEqual(before) }, { timeout: 2_000 })
  server.close()
  await proxy.close()
})
