/**
 * HTTP/1.1 server with limits on headers, time and connections.
 */

import type * as net from 'node:net'
import type * as http from 'node:http'
import * as problem from '../protocol/problem.js'
import * as outcomes from '../state/outcome.js'
import * as clientConnections from './client-connections.js'

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
const BODY_TIMEOUT_MS = 60_000
const KEEP_ALIVE_TIMEOUT_MS = 30_000
const MAX_CONNECTIONS = 10_000

export async function listen (options: HttpServerOptions): Promise<ListeningServer> {
  const server = clientConnections.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: 1_000,
    noDelay: true
  }, options.handler, refusalOf)
  server.maxConnections = options.maxConnections ?? MAX_CONNECTIONS
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

/** The whole response to input that is not a valid request, as a problem document. */
function refusalOf (fault: clientConnections.ConnectionFault): string {
  const { status, detail } = describeFault(fault)
  const refusal = outcomes.refuse('invalid_request', status, 'not_run', detail)
  return clientConnections.refusal(fault, 'application/problem+json', JSON.stringify(problem.toProblem(refusal, 'none')))
}

function describeFault (fault: clientConnections.ConnectionFault): { status: number, detail: string } {
  switch (fault) {
    case 'head_too_large': return { status: 431, detail: `headers exceed ${MAX_HEADER_BYTES} bytes` }
    case 'too_slow': return { status: 408, detail: 'the request did not arrive in time' }
    case 'malformed': return { status: 400, detail: 'the request is not valid HTTP/1.1' }
    case 'unknown_expectation': return { status: 417, detail: 'expect: only 100-continue is supported' }
  }
}

export type BodyResult =
  | { kind: 'ok', body: Buffer }
  | { kind: 'too_large' }
  | { kind: 'too_slow' }
  | { kind: 'aborted' }

/** Reads a whole body up to a limit in bytes. */
export async function readBody (
  request: http.IncomingMessage, limitBytes: number, timeoutMs = BODY_TIMEOUT_MS
): Promise<BodyResult> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) return { kind: 'too_large' }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    const finish = (result: BodyResult): void => {
      clearTimeout(timer)
      request.removeAllListeners('data')
      // The rest is discarded.
      request.resume()
      resolve(result)
    }
    const timer = setTimeout(() => { finish({ kind: 'too_slow' }) }, timeoutMs)
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      if (sizeBytes > limitBytes) finish({ kind: 'too_large' })
      else chunks.push(chunk)
    })
    request.on('end', () => { finish({ kind: 'ok', body: Buffer.concat(chunks) }) })
    request.on('error', () => { finish({ kind: 'aborted' }) })
    request.on('close', () => { finish({ kind: 'aborted' }) })
  })
}

/** The refusal of a request whose body was not read. */
export function bodyRefusal (body: { kind: 'too_large' | 'too_slow' }, limitBytes: number): outcomes.Refusal {
  return body.kind === 'too_large'
    ? outcomes.refuse('too_large', 413, 'not_run', `body: exceeds ${limitBytes} bytes`)
    : outcomes.refuse('invalid_request', 408, 'not_run', 'body: did not arrive in time')
}
