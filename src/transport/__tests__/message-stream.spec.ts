import * as http2 from 'node:http2'
import type * as net from 'node:net'
import * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as vitest from 'vitest'
import * as controlPb from '../../gen/bulrush/v1/control_pb.js'
import * as peerClient from '../peer-client.js'
import * as peerServer from '../peer-server.js'

const TIMEOUT_MS = 5_000

let ended: AbortController
/** How the requests of the last stream ended. */
let requestsEnd: Promise<'ended' | 'failed'>
let contextEnd: Promise<void>

vitest.beforeEach(() => { ended = new AbortController() })
vitest.afterEach(() => ended.abort())

/** Echoes the `stops` of each message; reads no further message after one with the reason `hold`. */
function routes (router: connect.ConnectRouter): void {
  router.service(controlPb.EntryPeer, {
    async * exchange (requests, context) {
      contextEnd = new Promise(resolve => context.signal.addEventListener('abort', () => resolve(), { once: true }))
      let markEnd: (end: 'ended' | 'failed') => void = () => {}
      requestsEnd = new Promise(resolve => { markEnd = resolve })
      try {
        for await (const { stops } of requests) {
          yield { stops }
          if (stops[0]!.reason === 'hold') await contextEnd
        }
        markEnd('ended')
      } catch (error) {
        markEnd('failed')
        throw error
      }
    }
  })
}

function listen (): Promise<string> {
  return peerServer.listenForPeers({ address: '127.0.0.1:0', routes, signal: ended.signal })
}

function messageOf (reason: string): controlPb.PeerMessage {
  return protobuf.create(controlPb.PeerMessageSchema, { stops: [{ reason }] })
}

async function * messagesOf (reasons: string[]): AsyncGenerator<controlPb.PeerMessage> {
  for (const reason of reasons) yield messageOf(reason)
}

async function exchange (address: string, reasons: string[]): Promise<string[]> {
  const connection = peerClient.openConnection(address, controlPb.EntryPeer)
  const answers: string[] = []
  const responses = connection.openStream(controlPb.EntryPeer.method.exchange, messagesOf(reasons), ended.signal)
  for await (const { stops } of responses) {
    answers.push(stops[0]!.reason)
  }
  connection.close()
  return answers
}

// Guards against a server that other connect-es programs cannot talk to.
vitest.test('a connect-es client reads the streams of the server', async () => {
  const transport = connectNode.createConnectTransport({ baseUrl: `http://${await listen()}`, httpVersion: '2' })
  const client = connect.createClient(controlPb.EntryPeer, transport)
  const answers: string[] = []
  for await (const { stops } of client.exchange(messagesOf(['a', 'b']))) answers.push(stops[0]!.reason)
  vitest.expect(answers).toEqual(['a', 'b'])
})

// Guards against a client that other connect-es programs cannot talk to.
vitest.test('a connect-es server reads the streams of the client', async () => {
  const server = http2.createServer(connectNode.connectNodeAdapter({ routes }))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  vitest.expect(await exchange(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, ['a', 'b'])).toEqual(['a', 'b'])
  server.close()
})

// Guards against messages that are lost or split at chunk boundaries, and against a reader that stays paused.
vitest.test('large and many messages arrive whole and in order', async () => {
  const reasons = Array.from({ length: 500 }, (_, number) => `${number} `.repeat(number % 100 === 7 ? 20_000 : 3))
  vitest.expect(await exchange(await listen(), reasons)).toEqual(reasons)
})

// Guards against a peer that makes this process buffer a message of any size.
vitest.test('a message over the size limit ends the stream', async () => {
  const session = http2.connect(`http://${await listen()}`)
  const stream = session.request({
    ':method': 'POST', ':path': '/bulrush.v1.EntryPeer/Exchange', 'content-type': 'application/connect+proto'
  })
  stream.on('error', () => {})
  const closed = new Promise(resolve => stream.once('close', resolve))
  stream.write(Buffer.from([0, 0x40, 0, 0, 0]))
  await vitest.expect.poll(() => requestsEnd, { timeout: TIMEOUT_MS }).toBe('failed')
  await closed
  vitest.expect(stream.rstCode).toBe(http2.constants.NGHTTP2_PROTOCOL_ERROR)
  session.destroy()
})

// Guards against a handler that keeps its stream's state after the client gave up.
vitest.test('an abort by the client ends the handler', async () => {
  const connection = peerClient.openConnection(await listen(), controlPb.EntryPeer)
  const aborted = new AbortController()
  const outbox = peerClient.createOutbox<controlPb.PeerMessage>(aborted.signal)
  outbox.push(messageOf('hold'))
  const answers = connection.openStream(controlPb.EntryPeer.method.exchange, outbox.messages, aborted.signal)
  const iterator = answers[Symbol.asyncIterator]()
  await iterator.next()
  aborted.abort()
  await vitest.expect(iterator.next()).rejects.toThrow('closed')
  await contextEnd
  // The reset follows the end of the request, so the handler may receive either.
  await requestsEnd
  connection.close()
})
