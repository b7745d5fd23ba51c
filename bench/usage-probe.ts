/**
 * Preloaded into a process under test (`node --import`): answers each message on its IPC channel with the CPU time
 * and socket bytes of that process since its start, and its memory. The message `usage` collects garbage first; the
 * message `rates` does not, so that no after-effects of a collection fall into the window that it starts.
 */

import * as diagnosticsChannel from 'node:diagnostics_channel'
import type * as net from 'node:net'

export interface Usage {
  /** Monotonic time of the process under test. */
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

const MICROSECONDS_PER_MS = 1_000
/** A closed socket has no handle any more, so the counters of open ones are read at this period. */
const POLL_PERIOD_MS = 200
const sockets = new Map<net.Socket, CountedSocket>()
let closedBytesIn = 0
let closedBytesOut = 0
let collectionMs = 0

/** Reads the counters of the handle, because those of the socket do not include what an HTTP/2 session writes. */
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
    closedBytesIn += counted.in
    closedBytesOut += counted.out
    sockets.delete(socket)
  })
}

diagnosticsChannel.subscribe('net.client.socket', count)
diagnosticsChannel.subscribe('net.server.socket', count)
setInterval(() => { for (const [socket, counted] of sockets) readCounters(socket, counted) }, POLL_PERIOD_MS).unref()

process.on('message', request => {
  for (const [socket, counted] of sockets) readCounters(socket, counted)
  const cpu = process.cpuUsage()
  const earlierCollectionsMs = collectionMs
  const rssBytes = process.memoryUsage().rss
  // After a collection the heap figure holds live data only. Its CPU time is subtracted from later answers.
  if (request === 'usage') globalThis.gc?.()
  const collectionCpu = process.cpuUsage(cpu)
  collectionMs += (collectionCpu.user + collectionCpu.system) / MICROSECONDS_PER_MS
  const usage: Usage = {
    atMs: performance.now(),
    cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS - earlierCollectionsMs,
    heapBytes: process.memoryUsage().heapUsed,
    rssBytes,
    bytesIn: closedBytesIn + [...sockets.values()].reduce((sum, counted) => sum + counted.in, 0),
    bytesOut: closedBytesOut + [...sockets.values()].reduce((sum, counted) => sum + counted.out, 0),
    sockets: sockets.size
  }
  process.send?.(usage)
})
process.channel?.unref()
