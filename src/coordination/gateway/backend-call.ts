/**
 * Sends one request to one backend server on a new connection and returns as soon as the response head has arrived.
 */

import * as http from 'node:http'
import type * as net from 'node:net'
import * as answerEnd from '../../transport/answer-end.js'
import * as interimResponses from '../../transport/interim-responses.js'
import type * as heldBytes from '../../transport/held-bytes.js'

export interface BackendCallOptions {
  /** IP address and port. */
  address: string
  method: string
  path: string
  /** Alternating names and values, without connection and length headers. */
  headers: string[]
  body: heldBytes.HeldBytes
  connectTimeoutMs: number
  /** Aborts the call and closes the connection. */
  signal: AbortSignal
}

export type BackendCallResult =
  | { kind: 'response', response: http.IncomingMessage, request: http.ClientRequest }
  /** No byte of the request was sent. */
  | { kind: 'unreachable', reason: string }
  /** The connection ended after the request, or a part of it, was sent. */
  | { kind: 'broken', reason: string }
  | { kind: 'aborted', wasSent: boolean }

/** One connection per request, so that late responses or surplus bytes of another request can't reach this one. */
const agent = new http.Agent({ keepAlive: false, maxSockets: Infinity })

export async function callBackend (options: BackendCallOptions): Promise<BackendCallResult> {
  const { signal } = options
  if (signal.aborted) return { kind: 'aborted', wasSent: false }
  return await new Promise(resolve => {
    const request = openRequest(options)
    if (request instanceof Error) {
      resolve({ kind: 'unreachable', reason: request.message })
      return
    }
    let wasSent = false
    const abort = (): void => {
      request.destroy()
      resolve({ kind: 'aborted', wasSent })
    }
    const connectTimer = setTimeout(() => { request.destroy(new Error('no connection in time')) }, options.connectTimeoutMs)
    signal.addEventListener('abort', abort, { once: true })
    answerEnd.watchEnd(request)
    interimResponses.limitInterim(request)
    request.on('socket', (socket: net.Socket) => {
      socket.setNoDelay(true)
      socket.once('connect', () => {
        wasSent = true
        clearTimeout(connectTimer)
      })
    })
    request.on('response', response => { resolve({ kind: 'response', response, request }) })
    request.on('error', error => {
      resolve(wasSent ? { kind: 'broken', reason: error.message } : { kind: 'unreachable', reason: error.message })
    })
    request.on('close', () => {
      clearTimeout(connectTimer)
      signal.removeEventListener('abort', abort)
      // Has no effect after a response, since the promise is settled.
      resolve({ kind: 'broken', reason: 'the connection was closed' })
    })
    const { pieces } = options.body
    for (const piece of pieces.slice(0, -1)) request.write(piece)
    request.end(pieces.at(-1))
  })
}

/** @returns the error for an address or a header that can't be sent. */
function openRequest (options: BackendCallOptions): http.ClientRequest | Error {
  const [host, port] = options.address.split(':')
  try {
    return http.request({
      host,
      port: Number(port),
      method: options.method,
      path: options.path,
      agent,
      headers: headersWithLength(options) as unknown as http.OutgoingHttpHeaders
    })
  } catch (error) {
    return error as Error
  }
}

function headersWithLength (options: BackendCallOptions): string[] {
  const hasBody = options.body.sizeBytes > 0 || !['GET', 'HEAD', 'DELETE', 'OPTIONS'].includes(options.method)
  const length = hasBody ? ['Content-Length', String(options.body.sizeBytes)] : []
  return [...options.headers, ...length, 'Connection', 'close']
}
