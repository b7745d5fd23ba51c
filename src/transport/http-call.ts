/**
 * One HTTP call with a timeout and small bodies that are held in memory.
 */

import * as http from 'node:http'
import type * as net from 'node:net'
import * as answerEnd from './answer-end.js'
import * as heldBytes from './held-bytes.js'
import * as interimResponses from './interim-responses.js'
import * as responseStatus from './response-status.js'

export interface HttpCall {
  /** IP address and port. */
  address: string
  method: string
  /** Path and query. */
  path: string
  /** Sent as JSON; undefined for a call without a body. */
  body?: string
  /** Keeps connections open for further calls. */
  agent: http.Agent
  /** A larger body ends the call and its connection. */
  maxBodyBytes: number
  timeoutMs: number
  signal: AbortSignal
}

export type HttpCallResult =
  | { kind: 'answer', status: number, headers: http.IncomingHttpHeaders, body: Buffer }
  /** `wasSent`: the server may have acted on the call. `isTooLarge`: its answer exceeded the limit. */
  | { kind: 'failed', wasSent: boolean, isTooLarge: boolean, reason: string }

/** Listeners on connections on which no call has been sent since the last answer. */
const idleListeners = new WeakMap<net.Socket, () => void>()

/** Keeps connections open for further calls. One on which bytes arrive between two calls is closed. */
export function createKeepAliveAgent (limits: { maxSockets: number, maxFreeSockets: number }): http.Agent {
  const agent = new http.Agent({ keepAlive: true, ...limits })
  agent.on('free', (socket: net.Socket) => {
    // A late second copy of an answer would be read as the answer to the next call.
    const closeOnBytes = (): void => { socket.destroy() }
    idleListeners.set(socket, closeOnBytes)
    socket.on('data', closeOnBytes)
  })
  return agent
}

function noteReuse (socket: net.Socket): void {
  const listener = idleListeners.get(socket)
  if (listener !== undefined) socket.off('data', listener)
  idleListeners.delete(socket)
}

/** Calls back when the bytes that have arrived before are read. */
function afterWaitingBytes (callback: () => void): void {
  // The first turn may be in the middle of reading sockets.
  setImmediate(() => { setImmediate(callback) })
}

export async function callHttp (call: HttpCall): Promise<HttpCallResult> {
  const endsAtMs = performance.now() + call.timeoutMs
  for (;;) {
    const result = await callOnce(call, Math.max(0, endsAtMs - performance.now()))
    if (result.kind !== 'connection_lost') return result
  }
}

/** `connection_lost`: a kept connection was closed before the call was sent. */
async function callOnce (call: HttpCall, timeoutMs: number): Promise<HttpCallResult | { kind: 'connection_lost' }> {
  const [host, port] = call.address.split(':')
  return await new Promise(resolve => {
    let wasSent = false
    let isTooLarge = false
    let isTimedOut = false
    /** Whether the call has a kept connection and is not sent yet. */
    let isHeldBack = false
    const fail = (error: Error): void => {
      if (isHeldBack && !isTimedOut && !call.signal.aborted) resolve({ kind: 'connection_lost' })
      else resolve({ kind: 'failed', wasSent, isTooLarge, reason: error.message })
    }
    const request = http.request({
      host,
      port: Number(port),
      method: call.method,
      path: call.path,
      agent: call.agent,
      signal: call.signal,
      headers: call.body === undefined
        ? {}
        : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(call.body) }
    }, response => {
      if (isHeldBack) {
        request.destroy()
        resolve({ kind: 'connection_lost' })
        return
      }
      const body = new heldBytes.HeldBytes()
      response.on('data', (chunk: Buffer) => {
        if (body.sizeBytes + chunk.length <= call.maxBodyBytes) body.append(chunk)
        else if (!isTooLarge) {
          isTooLarge = true
          request.destroy(new Error(`the answer of ${call.address} exceeds ${call.maxBodyBytes} bytes`))
        }
      })
      response.on('error', fail)
      response.on('end', () => {
        if (!answerEnd.isWhole(request, response)) {
          fail(new Error('the answer ended early'))
          return
        }
        const { statusCode = 0, headers } = response
        if (!responseStatus.isFinal(statusCode)) {
          fail(new Error(`status ${statusCode} is invalid`))
          return
        }
        resolve({ kind: 'answer', status: statusCode, headers, body: body.concat() })
      })
    })
    const timer = setTimeout(() => {
      isTimedOut = true
      request.destroy(new Error('no answer in time'))
    }, timeoutMs)
    answerEnd.watchEnd(request)
    interimResponses.limitInterim(request)
    request.on('socket', socket => {
      isHeldBack = idleListeners.has(socket)
      if (!isHeldBack) {
        if (socket.connecting) socket.once('connect', () => { wasSent = true })
        else wasSent = true
        request.end(call.body)
        return
      }
      afterWaitingBytes(() => {
        if (request.destroyed || !socket.writable) return
        noteReuse(socket)
        isHeldBack = false
        wasSent = true
        request.end(call.body)
      })
    })
    request.on('error', fail)
    request.on('close', () => { clearTimeout(timer) })
  })
}

/** @returns undefined for bytes that are not JSON. */
export function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
}
