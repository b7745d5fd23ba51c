/**
 * Client side of connect-es streams: one HTTP/2 connection for each peer.
 */

import * as http2 from 'node:http2'
import type * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as messageStream from './message-stream.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'

/**
 * Each received message restarts the interval, so an interval longer than the heartbeat period of 2 s between entries
 * avoids pings. A connection to a silent peer ends after the sum of both times, 4 s.
 */
const PING_INTERVAL_MS = 2_250
const PING_TIMEOUT_MS = 1_750
/**
 * A session that ends by a missed ping reports its error to its streams first. Closing it at that moment removes the
 * library's error listener, and the session's own error event then ends the process.
 */
const CLOSE_DELAY_MS = 100

type PeerService = typeof controlPb.EntryPeer | typeof controlPb.AgentReport

/** Client with a connection of its own. */
export interface PeerConnection<S extends PeerService> {
  client: connect.Client<S>
  /**
   * Opens a bidirectional stream. `client` can do this too, at a higher cost for each message. `messages` must end
   * when the signal aborts. The iteration fails when the stream breaks.
   */
  openStream<I extends protobuf.DescMessage, O extends protobuf.DescMessage> (
    method: protobuf.DescMethodBiDiStreaming<I, O>,
    messages: AsyncIterable<protobuf.MessageInitShape<I>>,
    signal: AbortSignal
  ): AsyncIterable<protobuf.MessageShape<O>>
  /** Closes the connection with all its streams. */
  close (): void
}

/** HTTP/2 connection to a peer. Pings detect a peer that stopped without closing its connection. */
export function openConnection<S extends PeerService> (
  address: string, service: S
): PeerConnection<S> {
  const baseUrl = `http://${address}`
  const sessionManager = new connectNode.Http2SessionManager(
    baseUrl, { pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS })
  const transport = connectNode.createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    // Messages are small; compressing them costs more CPU time than the bytes are worth.
    acceptCompression: []
  })
  return {
    client: connect.createClient(service, transport),
    openStream: (method, messages, signal) => openStream(sessionManager, method, messages, signal),
    close: () => { setTimeout(() => sessionManager.abort(), CLOSE_DELAY_MS).unref() }
  }
}

async function * openStream<I extends protobuf.DescMessage, O extends protobuf.DescMessage> (
  sessionManager: connectNode.Http2SessionManager,
  method: protobuf.DescMethodBiDiStreaming<I, O>,
  messages: AsyncIterable<protobuf.MessageInitShape<I>>,
  signal: AbortSignal
): AsyncGenerator<protobuf.MessageShape<O>> {
  const stream = await sessionManager.request('POST', `/${method.parent.typeName}/${method.name}`, {
    'content-type': messageStream.CONTENT_TYPE, 'connect-protocol-version': '1'
  }, {})
  // After a missed ping the session may report its error when the library no longer listens, which would end the
  // process. The stream has reported the failure by then.
  if (stream.session?.listeners('error').includes(ignoreError) === false) stream.session.on('error', ignoreError)
  const cancel = (): void => stream.close(http2.constants.NGHTTP2_CANCEL)
  const responses = messageStream.readMessages(
    stream, method.output, () => sessionManager.notifyResponseByteRead(stream))
  stream.once('response', headers => {
    if (headers[':status'] !== http2.constants.HTTP_STATUS_OK) stream.close(http2.constants.NGHTTP2_PROTOCOL_ERROR)
  })
  stream.once('close', () => signal.removeEventListener('abort', cancel))
  signal.addEventListener('abort', cancel, { once: true })
  if (signal.aborted) cancel()
  messageStream.writeMessages(stream, method.input, messages).then(() => messageStream.endRequest(stream), cancel)
  yield * responses
}

function ignoreError (): void {}

/** Client for unary calls, which reconnects when needed. Pings close its connection when the peer's host is gone. */
export function expertMapClient (address: string): connect.Client<typeof controlPb.ExpertMapSwitch> {
  return connect.createClient(controlPb.ExpertMapSwitch, connectNode.createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '2',
    pingIntervalMs: PING_INTERVAL_MS,
    pingTimeoutMs: PING_TIMEOUT_MS,
    acceptCompression: []
  }))
}

/** Queue of the outgoing half of a stream: senders push messages and the stream's owner iterates over them. */
export interface Outbox<M> {
  push (message: M): void
  messages: AsyncIterable<M>
}

/** The iteration ends without an error when the signal aborts. */
export function createOutbox<M> (signal: AbortSignal): Outbox<M> {
  const queue: M[] = []
  let wake = (): void => {}
  signal.addEventListener('abort', () => wake(), { once: true })
  return {
    push (message) {
      if (signal.aborted) return
      queue.push(message)
      wake()
    },
    messages: iterate()
  }

  async function * iterate (): AsyncGenerator<M> {
    while (!signal.aborted) {
      const next = queue.shift()
      if (next !== undefined) yield next
      else await new Promise<void>(resolve => { wake = resolve })
    }
  }
}
