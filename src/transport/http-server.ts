/**
 * HTTP/1.1 server with limits on headers, time and connections.
 */

import type * as net from 'node:net'
import * as http from 'node:http'
import * as problem from '../protocol/problem.js'
import * as outcomes from '../state/outcome.js'

export interface HttpServerOptions {
  /** IP address and port; port 0 picks a free one. */
  address: string
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => void
  /** Closes the server and its connections. */
  signal: AbortSignal
  maxConnections?: number
}

export interface ListeningServer {
  /** IP address and port that the server listens on. */
  address: string
  server: http.Server
}

const MAX_HEADER_BYTES = 16 * 1024
const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000
const KEEP_ALIVE_TIMEOUT_MS = 30_000
const MAX_CONNECTIONS = 10_000

export async function listen (options: HttpServerOptions): Promise<ListeningServer> {
  const server = http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: 1_000,
    noDelay: true
  }, options.handler)
  server.maxConnections = options.maxConnections ?? MAX_CONNECTIONS
  server.on('clientError', answerClientError)
  const [host, port] = options.address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  options.signal.addEventListener('abort', () => {
    server.close()
    server.closeAllConnections()
  }, { once: true })
  const bound = server.address() as net.AddressInfo
  return { address: `${bound.address}:${bound.port}`, server }
}

/** Answers input that is not valid HTTP with a problem document and closes the connection. */
function answerClientError (error: NodeJS.ErrnoException, socket: net.Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const { status, statusText, detail } = describeClientError(error.code)
  const refusal = outcomes.refuse('invalid_request', status, 'not_run', detail)
  const body = JSON.stringify(problem.toProblem(refusal, 'none'))
  socket.end(`HTTP/1.1 ${status} ${statusText}\r\ncontent-type: application/problem+json\r\n` +
    `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
}

function describeClientError (code: string | undefined): { status: number, statusText: string, detail: string } {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return {
      status: 431,
      statusText: 'Request Header Fields Too Large',
      detail: `headers exceed ${MAX_HEADER_BYTES} bytes`
    }
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { status: 408, statusText: 'Request Timeout', detail: 'the request did not arrive in time' }
  }
  return { status: 400, statusText: 'Bad Request', detail: 'the request is not valid HTTP/1.1' }
}

export type BodyResult =
  | { kind: 'ok', body: Buffer }
  | { kind: 'too_large' }
  | { kind: 'aborted' }

/** Reads a whole body up to a limit in bytes. */
export async function readBody (request: http.IncomingMessage, limitBytes: number): Promise<BodyResult> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return { kind: 'too_large' }
  const chunks: Buffer[] = []
  let sizeBytes = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length
      if (sizeBytes > limitBytes) return { kind: 'too_large' }
      chunks.push(chunk)
    }
  } catch {
    return { kind: 'aborted' }
  }
  return { kind: 'ok', body: Buffer.concat(chunks, sizeBytes) }
}
