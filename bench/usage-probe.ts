/**
 * Preloaded into a process under test (`node --import`): answers each message on its IPC channel with the CPU time,
 * memory and socket bytes of that process since its start. The message `usage` collects garbage first; the message
 * `rates` does not, so that no after-effect of a collection counts in the window that it begins.
 */

import * as diagnosticsChannel from 'node:diagnostics_channel'
import type * as net from 'node:net'

export interface Usage {
  atMs: number
  cpuMs: number
  heapBytes: number
  rssBytes: number
  bytesIn: number
  bytesOut: number
  sockets: number
}

interface CountedHandle { bytesRead: number, bytesWritten: number }
interface CountedSocket { in: number, out: number }

const MICROSECONDS = 1_000
// The socket's own counters leave out what an HTTP/2 session writes; those of its handle include it.
const POLL_PERIOD_MS = 200
const sockets = new Map<net.Socket, CountedSocket>()
let closedIn = 0
let closedOut = 0
let collectionMs = 0

function readCounters (socket: net.Socket, counted: CountedSocket): void {
  const handle = (socket as unknown as { _handle: CountedHandle | null })._handle
  if (handle === null || handle === undefined) return
  counted.in = Math.max(counted.in, handle.bytesRead)
  counted.out = Math.max(counted.out, handle.bytesWritten)
}

function count (message: unknown): void {
  const { socket } = message as { socket: net.Socket }
  const counted: CountedSocket = { in: 0, out: 0 }
  sockets.set(socket, counted)
  socket.once('close', () => {
    readCounters(socket, counted)
    closedIn += counted.in
    closedOut += counted.out
    sockets.delete(socket)
  })
}

diagnosticsChannel.subscribe('net.client.socket', count)
diagnosticsChannel.subscribe('net.server.socket', count)
setInterval(() => { for (const [socket, counted] of sockets) readCounters(socket, counted) }, POLL_PERIOD_MS).unref()

process.on('message', request => {
  for (const [socket, counted] of sockets) readCounters(socket, counted)
  const cpu = process.cpuUsage()
  const ownMs = collectionMs
  const rssBytes = process.memoryUsage().rss
  // Collecting first leaves live data only in the heap figure; its CPU time is taken off again.
  if (request === 'usage') globalThis.gc?.()
  const collected = process.cpuUsage(cpu)
  collectionMs += (collected.user + collected.system) / MICROSECONDS
  const usage: Usage = {
    atMs: performance.now(),
    cpuMs: (cpu.user + cpu.system) / MICROSECONDS - ownMs,
    heapBytes: process.memoryUsage().heapUsed,
    rssBytes,
    bytesIn: closedIn + [...sockets.values()].reduce((sum, counted) => sum + counted.in, 0),
    bytesOut: closedOut + [...sockets.values()].reduce((sum, counted) => sum + counted.out, 0),
    sockets: sockets.size
  }
  process.send?.(usage)
})
process.channel?.unref()
