/**
 * Decides whether the answer to an HTTP request has arrived whole.
 */

import type * as http from 'node:http'
import type * as net from 'node:net'

/** Sockets whose other side ended them in order. */
const endedInOrder = new WeakSet<net.Socket>()
const watched = new WeakSet<net.Socket>()

/** Must be called before the request gets its socket. */
export function watchEnd (request: http.ClientRequest): void {
  request.once('socket', socket => {
    if (watched.has(socket)) return
    watched.add(socket)
    // The HTTP client's own listener half-closes the socket, after which its state says nothing about the other side.
    socket.prependOnceListener('end', () => { if (!isReset(socket)) endedInOrder.add(socket) })
  })
}

/**
 * Whether a socket that has just ended was reset. Node reports a reset that arrives together with the last bytes as an
 * orderly end, but a socket that was reset has no peer any more. Its address must not have been read before, since Node
 * keeps it.
 */
export function isReset (socket: net.Socket): boolean {
  return socket.remotePort === undefined
}

/** Called when the response has ended. Node reports a body without a length as complete even after an error. */
export function isWhole (request: http.ClientRequest, response: http.IncomingMessage): boolean {
  return response.complete && (hasOwnEnd(request, response) || endedInOrder.has(response.socket))
}

/** Whether the response itself tells where its body ends. */
function hasOwnEnd (request: http.ClientRequest, response: http.IncomingMessage): boolean {
  return hasFraming(response) || request.method === 'HEAD'
}

/** Whether the head tells where the body ends, other than by the end of the connection. */
export function hasFraming ({ headers, statusCode }: http.IncomingMessage): boolean {
  const coding = headers['transfer-encoding']
  // A body of any other coding ends with its connection.
  if (coding !== undefined) return /(^|,)\s*chunked\s*$/i.test(coding)
  return headers['content-length'] !== undefined || statusCode === 204 || statusCode === 304
}
