/**
 * Stand-in of a client that sends a large body whole, whatever comes back meanwhile, and reads afterwards.
 */

import * as net from 'node:net'
import * as timers from 'node:timers/promises'

export const PIECE = Buffer.alloc(200_000)

export interface LargeRequest {
  address: string
  /** Request line and fields, without the one of the length. */
  head: readonly string[]
  bodyBytes: number
  /** Pause after each piece of the body. */
  pauseMs?: number
}

/** @returns what was read until the connection ended. */
export async function sendLargeBody ({ address, head, bodyBytes, pauseMs = 0 }: LargeRequest): Promise<string> {
  const [host, port] = address.split(':')
  const socket = net.connect({ host, port: Number(port) })
  const closed = closeOf(socket)
  socket.write([...head, `Content-Length: ${bodyBytes}`, '', ''].join('\r\n'))
  for (let sentBytes = 0; sentBytes < bodyBytes && !socket.closed; sentBytes += PIECE.length) {
    await sendPiece(socket, PIECE.subarray(0, Math.min(PIECE.length, bodyBytes - sentBytes)), closed)
    if (pauseMs > 0) await timers.setTimeout(pauseMs)
  }
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
  await closed
  return received
}

/** Resolves when a connection has closed, in whatever way. */
export async function closeOf (socket: net.Socket): Promise<void> {
  socket.on('error', () => {})
  await new Promise(resolve => { socket.once('close', resolve) })
}

/** Resolves when more may be sent, or the connection has closed. */
export async function sendPiece (socket: net.Socket, piece: Buffer, closed: Promise<void>): Promise<void> {
  if (socket.write(piece)) return
  let onDrain = (): void => {}
  await Promise.race([closed, new Promise<void>(resolve => { onDrain = resolve; socket.once('drain', onDrain) })])
  socket.off('drain', onDrain)
}
