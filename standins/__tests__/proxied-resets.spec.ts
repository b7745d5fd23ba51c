import * as net from 'node:net'
import * as vitest from 'vitest'
import * as answerEnd from '../../src/transport/answer-end.js'
import * as cutAnswers from '../cut-answers.js'
import * as faultProxy from '../fault-proxy.js'

const { expect, test } = vitest

const ROUNDS = 20
const CONNECTIONS_PER_ROUND = 40

/** @returns how a connection to the proxy ended. */
async function endOf (address: string): Promise<string> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const client = net.connect({ host: host!, port: Number(port) })
    client.resume()
    client.write('question')
    client.once('error', () => { resolve('reset') })
    client.prependOnceListener('end', () => { resolve(answerEnd.isReset(client) ? 'reset' : 'end') })
  })
}

// Guards against a reset right after the last bytes that the proxy relays as a normal end.
for (const ending of ['reset', 'end'] as const) {
  test(`the proxy relays an ${ending === 'end' ? 'orderly end' : 'immediate reset'} as what it is`, async () => {
    const server = net.createServer({ noDelay: true }, socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        if (ending === 'end') socket.end('whole')
        else socket.write('part', () => { cutAnswers.resetOnly(socket) })
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const proxy = new faultProxy.FaultProxy(`127.0.0.1:${(server.address() as net.AddressInfo).port}`)
    const address = await proxy.listen()
    const ends: string[] = []
    for (let round = 0; round < ROUNDS; round++) {
      ends.push(...await Promise.all(Array.from({ length: CONNECTIONS_PER_ROUND }, async () => await endOf(address))))
    }
    expect(ends.filter(end => end !== ending)).toEqual([])
    server.close()
    await proxy.close()
  })
}
