/**
 * One HTTP call with a timeout and small bodies that are held in memory.
 */

import * as http from 'node:http'
import type * as net from 'node:net'
import * as answerEnd from './answer-end.js'

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

/** Listeners on connections that no call uses. */
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

export async function callHttp (call: HttpCall): Promise<HttpCallResult> {
  const [host, port] = call.address.split(':')
  return await new Promise(resolve => {
    let wasSent = false
    let isTooLarge = false
    const fail = (error: Error): void => { resolve({ kind: 'failed', wasSent, isTooLarge, reason: error.message }) }
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
      const chunks: Buffer[] = []
      let sizeBytes = 0
      response.on('data', (chunk: Buffer) => {
        sizeBytes += chunk.length
        if (sizeBytes <= call.maxBodyBytes) chunks.push(chunk)
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
        resolve({ kind: 'answer', status: statusCode, headers, body: Buffer.concat(chunks) })
      })
    })
    const timer = setTimeout(() => { request.destroy(new Error('no answer in time')) }, call.timeoutMs)
    answerEnd.watchEnd(request)
    request.on('socket', socket => {
      noteReuse(socket)
      if (socket.connecting) socket.once('connect', () => { wasSent = true })
      else wasSent = true
    })
    request.on('error', fail)
    request.on('close', () => { clearTimeout(timer) })
    request.end(call.body)
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
