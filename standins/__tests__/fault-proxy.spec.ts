import * as net from 'node:net'
import * as vitest from 'vitest'
import * as faultProxy from '../fault-proxy.js'

const { expect, test } = vitest

test('a reset of the target reaches the client as a reset', async () => {
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

test('closing the proxy ends the connections to a silent target, so that no descriptor is left', async () => {
  const accepted: net.Socket[] = []
  const server = net.createServer({ allowHalfOpen: true }, socket => {
    accepted.push(socket)
    socket.resume()
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  const proxy = new faultProxy.FaultProxy(`127.0.0.1:${port}`)
  const [host, proxyPort] = (await proxy.listen()).split(':')
  const client = net.connect({ host: host!, port: Number(proxyPort) })
  await new Promise<void>(resolve => { client.once('connect', resolve) })
  await vitest.vi.waitFor(() => { expect(accepted).toHaveLength(1) })
  client.destroy()
  await new Promise<void>(resolve => { accepted[0]!.once('end', resolve) })
  await proxy.close()
  await vitest.vi.waitFor(() => { expect(accepted[0]!.closed).toBe(true) }, { timeout: 2_000 })
  server.close()
})
