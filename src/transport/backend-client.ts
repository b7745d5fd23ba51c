/**
 * HTTP/1.1 requests between entry, agent and backend server. Bodies of answers are streamed with back-pressure.
 */

import type * as stream from 'node:stream'
import * as undici from 'undici'
import type * as headers from '../protocol/headers.js'
import * as resetConnector from './reset-connector.js'
import * as responseStatus from './response-status.js'

export interface BackendRequest {
  /** IP address and port. */
  address: string
  method: string
  path: string
  headers: Record<string, string | string[]>
  body: Buffer | undefined
  /** Maximum wait for the headers of the answer, and between two chunks of its body. */
  timeoutMs: number
  signal: AbortSignal
}

export interface BackendAnswer {
  kind: 'answer'
  status: number
  headers: headers.HeaderMap
  body: stream.Readable
}

export type BackendResult =
  | BackendAnswer
  /** The connection could not be made, so nothing was sent. */
  | { kind: 'not_sent', detail: string }
  /** The request or a part of it was sent and no answer was received. */
  | { kind: 'no_answer', detail: string }

export interface BackendClient {
  request (request: BackendRequest): Promise<BackendResult>
}

const CONNECT_TIMEOUT_MS = 1_000
const KEEP_ALIVE_MS = 10_000
const CONNECTIONS_PER_ADDRESS = 256

/** Errors of the connect system call. Some of these codes also end a connection on which a request was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

export function createBackendClient (signal: AbortSignal): BackendClient {
  const agent = new undici.Agent({
    connect: resetConnector.createConnector({ timeout: CONNECT_TIMEOUT_MS }),
    connections: CONNECTIONS_PER_ADDRESS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    pipelining: 1
  })
  signal.addEventListener('abort', () => { agent.destroy().catch(() => {}) }, { once: true })

  return {
    async request (request) {
      try {
        const response = await agent.request({
          origin: `http://${request.address}`,
          path: request.path,
          method: request.method as undici.Dispatcher.HttpMethod,
          headers: request.headers,
          body: request.body ?? null,
          headersTimeout: request.timeoutMs,
          bodyTimeout: request.timeoutMs,
          signal: request.signal
        })
        if (!responseStatus.isFinal(response.statusCode)) {
          response.body.on('error', () => {}).destroy()
          return { kind: 'no_answer', detail: `status ${response.statusCode} is invalid` }
        }
        return { kind: 'answer', status: response.statusCode, headers: response.headers, body: response.body }
      } catch (error) {
        const { code, message, syscall } = error as NodeJS.ErrnoException
        const detail = code === undefined ? message : `${code}: ${message}`
        const isNotSent = code === 'UND_ERR_CONNECT_TIMEOUT' ||
          (syscall === 'connect' && NOT_SENT_CODES.has(code ?? ''))
        return { kind: isNotSent ? 'not_sent' : 'no_answer', detail }
      }
    }
  }
}
