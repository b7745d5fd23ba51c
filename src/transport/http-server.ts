/**
 * HTTP/1.1 server with limits on headers, time and connections.
 */

import type * as net from 'node:net'
import type * as http from 'node:http'
import * as problem from '../protocol/problem.js'
import * as outcomes from '../state/outcome.js'
import * as clientConnections from './client-connections.js'
import * as requestBody from './request-body.js'
import type * as arrivalsModule from './arrivals.js'
import type * as clientPool from './client-pool.js'

export interface HttpServerOptions {
  /** IP address and port; port 0 picks a free one. */
  address: string
  handler: (request: http.IncomingMessage, response: http.ServerResponse) => void
  /** Closes the server and its connections. */
  signal: AbortSignal
  /** Connections of all listeners of the process. */
  pool: clientPool.ClientPool
  /** Told of what clients send. */
  arrivals?: arrivalsModule.Arrivals
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

export async function listen (options: HttpServerOptions): Promise<ListeningServer> {
  const server = clientConnections.createServer({
    http: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: 1_000,
      noDelay: true
    },
    handler: options.handler,
    refusalOf,
    pool: options.pool,
    ...(options.arrivals === undefined ? {} : { arrivals: options.arrivals })
  })
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

/** Reads a whole body up to a limit in bytes. */
export async function readBody (
  request: http.IncomingMessage, maxBytes: number, timeoutMs = BODY_TIMEOUT_MS
): Promise<requestBody.BodyResult> {
  return await requestBody.readBody(request, { maxBytes, timeoutMs })
}

const NO_MEMORY_RETRY_MS = 1_000

/** The refusal of a request whose body was not read. */
export function bodyRefusal (
  body: Exclude<requestBody.BodyResult, { kind: 'whole' | 'aborted' }>, maxBytes: number
): outcomes.Refusal {
  switch (body.kind) {
    case 'too_large': return outcomes.refuse('too_large', 413, 'not_run', `body: exceeds ${maxBytes} bytes`)
    case 'too_slow': return outcomes.refuse('invalid_request', 408, 'not_run', 'body: did not arrive in time')
    case 'no_memory':
      return outcomes.refuse('overloaded', 503, 'not_run', 'body: the memory for requests is used up', NO_MEMORY_RETRY_MS)
  }
}
