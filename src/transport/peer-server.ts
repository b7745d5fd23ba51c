/**
 * Server for connect-es over HTTP/2 between processes of the system.
 */

import type * as net from 'node:net'
import * as http2 from 'node:http2'
import type * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
import * as connectNode from '@connectrpc/connect-node'
import * as messageStream from './message-stream.js'
import type * as clientPool from './client-pool.js'

export interface PeerServerOptions {
  address: string
  routes: (router: connect.ConnectRouter) => void
  /** Connections of all listeners of the process; undefined if they are not bounded. */
  pool?: clientPool.ClientPool
  signal: AbortSignal
}

/** Streams of one connection at a time; a peer has a few. */
const MAX_STREAMS = 128

interface StreamRoute {
  method: protobuf.DescMethodBiDiStreaming
  handle (requests: AsyncIterable<protobuf.Message>, context: connect.HandlerContext): AsyncIterable<protobuf.Message>
}

/** @returns the IP address and port that the server listens on. */
export async function listenForPeers (options: PeerServerOptions): Promise<string> {
  const streams = new Map<string, StreamRoute>()
  const adapter = connectNode.connectNodeAdapter({
    routes: router => options.routes(collectStreams(router, streams)),
    readMaxBytes: messageStream.MAX_MESSAGE_BYTES,
    acceptCompression: [],
    shutdownSignal: options.signal
  })
  const server = http2.createServer({ settings: { maxConcurrentStreams: MAX_STREAMS } }, (request, response) => {
    const route = streams.get(request.url)
    const isStream = route !== undefined && request.headers['content-type'] === messageStream.CONTENT_TYPE &&
      request.headers['connect-content-encoding'] === undefined
    if (isStream) serveStream(request, route, options.signal).catch(() => {})
    else adapter(request, response)
  })
  const sessions = new Set<http2.ServerHttp2Session>()
  server.on('session', session => {
    sessions.add(session)
    session.once('close', () => sessions.delete(session))
    session.on('error', () => session.destroy())
    if (options.pool !== undefined) joinPool(options.pool, session)
  })
  const [host, port] = options.address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  options.signal.addEventListener('abort', () => {
    server.close()
    for (const session of sessions) session.destroy()
  }, { once: true })
  const bound = server.address() as net.AddressInfo
  return `${bound.address}:${bound.port}`
}

/** A connection without a stream may be closed for another one. */
function joinPool (pool: clientPool.ClientPool, session: http2.ServerHttp2Session): void {
  let openStreams = 0
  const holding = pool.open({
    address: session.socket.remoteAddress ?? '',
    get standing () { return openStreams === 0 ? 'idle' : 'served' },
    giveUp: () => { session.destroy() }
  }, () => Infinity)
  if (holding === undefined) {
    session.destroy()
    return
  }
  session.on('stream', stream => {
    openStreams += 1
    holding.noteProgress()
    stream.once('close', () => {
      openStreams -= 1
      holding.noteProgress()
    })
  })
  session.once('close', () => { holding.close() })
}

/** Router that also collects the methods of bidirectional streams, which are served without connect-es's pipeline. */
function collectStreams (router: connect.ConnectRouter, streams: Map<string, StreamRoute>): connect.ConnectRouter {
  const collecting: connect.ConnectRouter = {
    ...router,
    service (service, implementation, serviceOptions) {
      for (const method of service.methods) {
        const handle = (implementation as Record<string, unknown>)[method.localName]
        if (method.methodKind !== 'bidi_streaming' || handle === undefined) continue
        streams.set(`/${service.typeName}/${method.name}`, {
          method: method as protobuf.DescMethodBiDiStreaming, handle: handle as StreamRoute['handle']
        })
      }
      router.service(service, implementation, serviceOptions)
      return collecting
    }
  }
  return collecting
}

async function serveStream (
  request: http2.Http2ServerRequest, { method, handle }: StreamRoute, shutdownSignal: AbortSignal
): Promise<void> {
  const { stream } = request
  const closed = new AbortController()
  stream.once('close', () => closed.abort())
  const requests = messageStream.readMessages(stream, method.input)
  const context = connect.createHandlerContext({
    service: method.parent,
    method,
    protocolName: 'connect',
    requestMethod: request.method,
    url: request.url,
    shutdownSignal,
    requestSignal: closed.signal
  })
  stream.respond({ ':status': http2.constants.HTTP_STATUS_OK, 'content-type': messageStream.CONTENT_TYPE })
  try {
    await messageStream.writeMessages(stream, method.output, handle(requests, context))
    messageStream.endResponse(stream)
  } catch {
    messageStream.endResponse(stream, new connect.ConnectError('the handler failed', connect.Code.Internal))
  }
  context.abort()
}
