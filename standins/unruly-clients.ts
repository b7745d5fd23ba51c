/**
 * Stand-ins of clients that send without regard to any limit, and don't read what comes back.
 */

import * as net from 'node:net'
import * as timers from 'node:timers/promises'

/** What one connection sends, piece by piece; it then stays open. */
export type Sender = (index: number) => Iterable<Buffer | string>

export interface CrowdOptions {
  /** IP address and port. */
  address: string
  connections: number
  /** @default nothing is sent */
  sender?: Sender
  /** Closed connections are opened again, this many times in all. @default 0 */
  reopened?: number
}

export interface Crowd {
  /** Number of connections that are open. */
  open: () => number
  /** Resolves when no connection can send more: it has sent all, is closed, or is not read from. */
  whenStuck: () => Promise<void>
  leave: () => void
}

/** No byte is accepted for this long when a crowd is stuck. */
const STUCK_MS = 1_000
const CHECK_MS = 50
const REOPEN_DELAY_MS = 20

export function openCrowd ({ address, connections, sender = () => [], reopened = 0 }: CrowdOptions): Crowd {
  const [host, port] = address.split(':')
  const sockets = new Set<net.Socket>()
  let remaining = reopened
  let sentBytes = 0
  let hasLeft = false

  function open (index: number): void {
    if (hasLeft) return
    const socket = net.connect({ host, port: Number(port) })
    sockets.add(socket)
    socket.pause()
    socket.on('error', () => {})
    const sent = sendAll(socket, sender(index), bytes => { sentBytes += bytes })
    socket.once('close', () => {
      sockets.delete(socket)
      if (remaining-- > 0) setTimeout(() => { open(index) }, REOPEN_DELAY_MS)
    })
    sent.catch(() => {})
  }

  for (let index = 0; index < connections; index++) open(index)
  return {
    open: () => [...sockets].filter(socket => !socket.destroyed && !socket.connecting).length,
    whenStuck: async () => {
      for (let lastBytes = -1, sinceMs = performance.now(); ;) {
        if (sentBytes !== lastBytes) [lastBytes, sinceMs] = [sentBytes, performance.now()]
        if (performance.now() - sinceMs > STUCK_MS) return
        await timers.setTimeout(CHECK_MS)
      }
    },
    leave: () => {
      hasLeft = true
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** Sends with back-pressure, until the connection is closed. @param onSent called with the size of each piece. */
export async function sendAll (
  socket: net.Socket, pieces: Iterable<Buffer | string>, onSent: (bytes: number) => void = () => {}
): Promise<void> {
  for (const piece of pieces) {
    if (socket.destroyed) return
    const isFull = !socket.write(piece, () => { onSent(piece.length) })
    if (isFull) await drained(socket)
  }
}

/** Opens a connection of a client that reads what it gets. */
export function openReader (address: string, onText: (text: string) => void): net.Socket {
  const [host, port] = address.split(':')
  const socket = net.connect({ host, port: Number(port) })
  socket.on('data', (chunk: Buffer) => { onText(chunk.toString('latin1')) })
  socket.on('error', () => {})
  return socket
}

async function drained (socket: net.Socket): Promise<void> {
  await new Promise<void>(resolve => {
    const done = (): void => {
      socket.off('drain', done)
      socket.off('close', done)
      resolve()
    }
    socket.on('drain', done)
    socket.on('close', done)
  })
}

const PIECE_BYTES = 60_000

/** A head and a body in chunks of one size, which ends after `bodyBytes` without the last chunk. */
export function * chunkedBody (head: string, bodyBytes: number, chunkBytes: number): Generator<Buffer> {
  yield Buffer.from(head)
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`
  const perPiece = Math.max(1, Math.floor(PIECE_BYTES / chunk.length))
  const piece = Buffer.from(chunk.repeat(perPiece))
  for (let sent = 0; sent + chunkBytes <= bodyBytes;) {
    const count = Math.min(perPiece, Math.floor((bodyBytes - sent) / chunkBytes))
    yield piece.subarray(0, count * chunk.length)
    sent += count * chunkBytes
  }
}

export const LAST_CHUNK = '0\r\n\r\n'

/** The same bytes over and over, up to a number of them. */
export function * repeated (text: string, totalBytes: number): Generator<Buffer> {
  const perPiece = Math.max(1, Math.floor(PIECE_BYTES / text.length))
  const piece = Buffer.from(text.repeat(perPiece))
  for (let sent = 0; sent < totalBytes; sent += piece.length) yield piece
}
