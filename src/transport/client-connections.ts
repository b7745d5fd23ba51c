/**
 * HTTP/1.1 server whose connections carry one request at a time. Nothing that arrives behind a final response is
 * served, since that response tells the client that the connection ends there.
 */

import * as http from 'node:http'
import type * as net from 'node:net'
import * as clientSocket from './client-socket.js'
import * as requestBody from './request-body.js'
import type * as clientLimits from '../state/client-limits.js'
import type * as arrivalsModule from './arrivals.js'
import type * as clientPool from './client-pool.js'

export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void

/** Why the server itself refuses what arrives on a connection. */
export type ConnectionFault = 'too_slow' | 'head_too_large' | 'malformed' | 'unknown_expectation'

/** Time for a client to read the last response before its connection is closed with bytes that were not read. */
const LINGER_MS = 1_000
/** Interval at which a lingering connection is checked. */
const LINGER_CHECK_MS = 250

/** Time in which the rest of a body is discarded that the handler didn't read. */
const UNREAD_BODY_MS = 30_000

/** Time without bytes after which the rest of a body isn't awaited any more. */
const UNREAD_IDLE_MS = 5_000

/** Bytes that are discarded at most behind the last response of a connection. */
export const MAX_DISCARDED_BYTES = 128_000_000

export interface ServerOptions {
  /** Options of Node's server. */
  http?: http.ServerOptions
  handler: RequestHandler
  /** The whole response to a request that can't be read; it states `Connection: close`. */
  refusalOf?: (fault: ConnectionFault) => string
  /** Connections of all listeners of the process. */
  pool: clientPool.ClientPool
  /** Told of what clients send. */
  arrivals?: arrivalsModule.Arrivals
}

export function createServer (
  { http: options, handler, refusalOf = bareRefusal, pool, arrivals }: ServerOptions
): http.Server {
  // Handlers limit the time of a body, since only they know whether its request has been passed on. Requests without a
  // host are refused here, since Node reports none that it refuses itself.
  const server = http.createServer({ ...options, requestTimeout: 0, requireHostHeader: false })
  const connections = new WeakMap<net.Socket, ClientConnection>()
  const [accept] = server.listeners('connection')
  server.removeAllListeners('connection')
  server.on('connection', (raw: net.Socket) => {
    arrivals?.note()
    raw.on('readable', () => { arrivals?.note() })
    const connection = new ClientConnection(server, raw, handler, refusalOf)
    if (!connection.join(pool)) return
    connections.set(connection.socket as unknown as net.Socket, connection)
    accept!.call(server, connection.socket)
  })
  server.on('request', (request, response) => {
    const isHostMissing = request.httpVersion === '1.1' && request.headers.host === undefined
    connections.get(request.socket)?.receive({ request, response }, isHostMissing ? 'malformed' : undefined)
  })
  server.on('checkExpectation', (request, response) => {
    connections.get(request.socket)?.receive({ request, response }, 'unknown_expectation')
  })
  server.on('timeout', socket => { connections.get(socket)?.noteIdle() })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') connections.get(socket)?.noteSlow()
    else if (error.code === 'ECONNRESET') socket.destroy()
    else connections.get(socket)?.refuse(error.code === 'HPE_HEADER_OVERFLOW' ? 'head_too_large' : 'malformed')
  })
  return server
}

const STATUS_LINES: Record<ConnectionFault, string> = {
  too_slow: '408 Request Timeout',
  head_too_large: '431 Request Header Fields Too Large',
  malformed: '400 Bad Request',
  unknown_expectation: '417 Expectation Failed'
}

/** A response that states `Connection: close`. */
export function refusal (fault: ConnectionFault, contentType: string | undefined, body: string): string {
  return [
    `HTTP/1.1 ${STATUS_LINES[fault]}`,
    ...(contentType === undefined ? [] : [`Content-Type: ${contentType}`]),
    'Connection: close',
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body
  ].join('\r\n')
}

function bareRefusal (fault: ConnectionFault): string {
  return refusal(fault, undefined, '')
}

interface Exchange {
  request: http.IncomingMessage
  response: http.ServerResponse
}

class ClientConnection implements clientPool.PooledConnection {
  readonly socket: clientSocket.ClientSocket
  readonly address: string
  readonly #server: http.Server
  readonly #handler: RequestHandler
  readonly #refusalOf: (fault: ConnectionFault) => string
  readonly #openedAtMs = performance.now()
  /** The request that is being served. */
  #current: Exchange | undefined
  /** The request whose head was read last. */
  #latest: Exchange | undefined
  /** What is sent once the request before the fault is answered. */
  #lastWords: string | undefined
  #timer: NodeJS.Timeout | undefined
  #holding: clientPool.Holding | undefined
  #account: requestBody.BodyAccount | undefined

  constructor (
    server: http.Server, raw: net.Socket, handler: RequestHandler, refusalOf: (fault: ConnectionFault) => string
  ) {
    this.#server = server
    this.#handler = handler
    this.#refusalOf = refusalOf
    this.address = raw.remoteAddress ?? ''
    this.socket = new clientSocket.ClientSocket(raw, {
      onMalformed: () => { this.refuse('malformed') },
      onProgress: () => { this.#holding?.noteProgress() },
      onHeld: (kind, bytes) => { this.#holding?.hold(kind, bytes) }
    })
    // Called by Node after a response that states `Connection: close`. Its own method destroys the socket, so that
    // unread bytes of the client reset the connection, and the response is lost.
    Object.assign(this.socket, { destroySoon: () => { this.#linger() } })
    this.socket.once('end', () => { this.#noteClientEnd() })
    this.socket.once('close', () => {
      clearTimeout(this.#timer)
      this.#holding?.close()
    })
  }

  /** @returns false if there are too many connections; this one is closed then. */
  join (pool: clientPool.ClientPool): boolean {
    this.#holding = pool.open(this, () => this.#server.keepAliveTimeout)
    if (this.#holding === undefined) this.socket.destroy()
    return this.#holding !== undefined
  }

  get standing (): clientLimits.Standing {
    if (!this.socket.writable) return 'closing'
    if (this.#current === undefined) return 'idle'
    const { request, response } = this.#current
    if (response.writableEnded) return 'sending'
    return request.complete ? 'served' : 'reading'
  }

  giveUp (reason: clientPool.GiveUpReason): void {
    const account = this.#account
    if (reason !== 'memory' || account?.onGivenUp === undefined || this.#current === undefined) {
      this.socket.destroy()
      return
    }
    this.#current.response.setHeader('Connection', 'close')
    account.onGivenUp()
  }

  receive (exchange: Exchange, fault: ConnectionFault | undefined): void {
    const { request } = exchange
    if (this.#lastWords !== undefined || !this.socket.writable) return
    this.socket.beginRequest({ framing: framingOf(request), isComplete: () => request.complete })
    this.#latest = exchange
    if (fault === undefined) this.#serve(exchange)
    else this.refuse(fault)
  }

  #serve (exchange: Exchange): void {
    this.#current = exchange
    this.#account = { hold: bytes => { this.#holding?.hold('body', bytes) }, onGivenUp: undefined }
    requestBody.countBody(exchange.request, this.#account)
    exchange.response.once('close', () => {
      this.#current = undefined
      this.#account = undefined
      this.#holding?.hold('body', 0)
      if (this.socket.writable && this.#lastWords !== undefined) this.#end(this.#lastWords)
      if (!this.socket.writable) return
      // A response with `Connection: close` has ended the connection.
      this.socket.endResponse()
      if (!exchange.request.complete) this.#setTimer(UNREAD_BODY_MS, () => { this.#closeUnread(exchange.request) })
    })
    this.#handler(exchange.request, exchange.response)
  }

  /** Answers what can't be read, after the request before it, and closes the connection. */
  refuse (fault: ConnectionFault): void {
    if (this.#lastWords !== undefined || !this.socket.writable) return
    this.#lastWords = this.#refusalOf(fault)
    const latest = this.#latest
    if (latest !== undefined && !latest.request.complete) {
      // The fault is in the body of this request.
      if (latest.response.headersSent) this.#lastWords = ''
      else {
        this.#end(this.#lastWords)
        return
      }
    }
    if (this.#current === undefined) this.#end(this.#lastWords)
  }

  /** A client that has left looks like one that has closed only its own direction; work for the former has to end. */
  #noteClientEnd (): void {
    if (this.#current?.response.writableEnded === false) this.socket.destroy()
  }

  #end (lastWords: string): void {
    if (!this.socket.writable) return
    this.socket.write(lastWords)
    this.#linger()
  }

  /** Ends the connection, but discards what the client still sends, until it has closed its direction. */
  #linger (): void {
    const startedAtMs = performance.now()
    const bytesBefore = this.socket.bytesRead
    let [lastBytes, lastBytesAtMs] = [bytesBefore, startedAtMs]
    this.socket.end()
    this.socket.discard()
    const check = (): void => {
      const nowMs = performance.now()
      const { bytesRead } = this.socket
      if (bytesRead !== lastBytes) [lastBytes, lastBytesAtMs] = [bytesRead, nowMs]
      const isBodyOpen = this.socket.isBodyOpen && nowMs - lastBytesAtMs < UNREAD_IDLE_MS
      const limitMs = isBodyOpen ? UNREAD_BODY_MS : LINGER_MS
      if (nowMs - startedAtMs > limitMs || bytesRead - bytesBefore > MAX_DISCARDED_BYTES) this.socket.destroy()
      else this.#setTimer(LINGER_CHECK_MS, check)
    }
    this.#setTimer(LINGER_CHECK_MS, check)
  }

  #closeUnread (request: http.IncomingMessage): void {
    if (!request.complete) this.socket.destroy()
  }

  /**
   * A head is not complete in time. Load pattern: after a pause of the process, timers run before the bytes
   * are read that have arrived meanwhile.
   */
  noteSlow (latest = this.#latest): void {
    const bytesBefore = this.socket.bytesRead
    const hadUnpassed = this.socket.unpassedBytes > 0
    setImmediate(() => {
      if (this.#latest !== latest) return
      if (this.socket.bytesRead === 0) this.#closeUnused()
      else if (hadUnpassed || this.socket.bytesRead !== bytesBefore) {
        this.#setTimer(this.#server.headersTimeout, () => { this.noteSlow(latest) })
      } else this.refuse('too_slow')
    })
  }

  /** Closes a connection that was opened ahead as late as one that has carried a request. */
  #closeUnused (): void {
    const remainingMs = this.#openedAtMs + this.#server.keepAliveTimeout - performance.now()
    if (remainingMs > 0) this.#setTimer(remainingMs, () => { this.noteIdle() })
    else this.socket.destroy()
  }

  noteIdle (): void {
    const bytesBefore = this.socket.bytesRead
    setImmediate(() => {
      if (this.#current === undefined && this.socket.bytesRead === bytesBefore) this.socket.destroy()
    })
  }

  #setTimer (delayMs: number, onTimeout: () => void): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(onTimeout, delayMs).unref()
  }
}

function framingOf ({ headers }: http.IncomingMessage): clientSocket.BodyFraming {
  // The parser accepts no other coding of a request.
  if (headers['transfer-encoding'] !== undefined) return { kind: 'chunked' }
  const sizeBytes = Number(headers['content-length'] ?? 0)
  return sizeBytes === 0 ? { kind: 'none' } : { kind: 'length', sizeBytes }
}
