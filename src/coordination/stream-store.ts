/**
 * Streams that an agent forwards, held for a while so that a reader whose connection broke can resume at a byte offset.
 */

import * as stream from 'node:stream'
import * as environment from './environment.js'
import * as streamId from '../protocol/stream-id.js'
import * as wholeEvents from '../protocol/whole-events.js'

interface HeldStream {
  chunks: Buffer[]
  sizeBytes: number
  /** `complete`: the backend server ended the stream; `broken`: the stream broke off. */
  state: 'open' | 'complete' | 'broken'
  /** When the last reader left, or the source ended. */
  idleSinceMs: number
  readers: number
  /** Whether a reader has received the last event. */
  isRead: boolean
  source: stream.Readable
  waiters: Set<() => void>
}

export interface StreamStore {
  /**
   * Reads an event stream from a backend server, adds an id to each event and holds it. Offsets depend on the events
   * only, so a stream that another agent process captures again has the same ones. The returned promise settles when
   * the source ends.
   */
  capture (attemptId: string, source: stream.Readable): Promise<'complete' | 'broken'>
  /** Reads a held stream from an offset on; undefined when no data after the offset is held or expected. */
  open (attemptId: string, fromBytes: number): stream.Readable | undefined
  /** Whether the rest of a stream may still be fetched: its reader left before its end, and not long ago. */
  isAwaited (): boolean
}

export interface StreamStoreParts {
  agentIncarnation: string
  /** Called when nobody has read an open stream for the grace period. */
  onAbandoned: (attemptId: string) => void
}

/** A caller that lost its entry needs this long to reconnect through another one. */
const ABANDONED_GRACE_MS = 5_000
const RETENTION_MS = 30_000
const MAX_HELD_BYTES = 8 * 1024 * 1024
/** A larger stream is treated as broken: a faulty backend server may send without end. */
const MAX_STREAM_BYTES = 8 * 1024 * 1024
const SWEEP_PERIOD_MS = 1_000

export function createStreamStore (
  env: environment.Environment, parts: StreamStoreParts, signal: AbortSignal
): StreamStore {
  const streams = new Map<string, HeldStream>()
  environment.every(SWEEP_PERIOD_MS, signal, sweep)
  return {
    capture,
    open,
    isAwaited: () => [...streams.values()].some(held =>
      !held.isRead && held.state !== 'broken' && env.nowMs() - held.idleSinceMs <= ABANDONED_GRACE_MS)
  }

  async function capture (attemptId: string, source: stream.Readable): Promise<'complete' | 'broken'> {
    const held: HeldStream = {
      chunks: [], sizeBytes: 0, state: 'open', idleSinceMs: env.nowMs(), readers: 0, isRead: false, source, waiters: new Set()
    }
    streams.set(attemptId, held)
    const splitter = new wholeEvents.WholeEvents()
    try {
      for await (const chunk of source as AsyncIterable<Buffer>) {
        const events = splitter.push(chunk)
        if (events === undefined || held.sizeBytes > MAX_STREAM_BYTES) throw new Error('the stream is too large')
        for (const event of events) append(attemptId, held, event)
        if (events.length > 0) wakeReaders(held)
      }
      held.state = splitter.hasPartialEvent ? 'broken' : 'complete'
    } catch {
      held.state = 'broken'
    }
    held.idleSinceMs = env.nowMs()
    wakeReaders(held)
    return held.state
  }

  function append (attemptId: string, held: HeldStream, event: Buffer): void {
    const piece = withId({ agentIncarnation: parts.agentIncarnation, attemptId, offsetBytes: held.sizeBytes }, event)
    held.chunks.push(piece)
    held.sizeBytes += piece.length
  }

  function open (attemptId: string, fromBytes: number): stream.Readable | undefined {
    const held = streams.get(attemptId)
    if (held === undefined) return undefined
    // Without more data here the caller asks the backend server, which may still hold the rest.
    if (held.state === 'broken' && fromBytes >= held.sizeBytes) return undefined
    return stream.Readable.from(read(held, fromBytes), { objectMode: false })
  }

  async function * read (held: HeldStream, fromBytes: number): AsyncGenerator<Buffer> {
    held.readers += 1
    try {
      let index = 0
      let skipBytes = fromBytes
      for (;;) {
        for (; index < held.chunks.length; index++) {
          const chunk = held.chunks[index]!
          if (skipBytes >= chunk.length) skipBytes -= chunk.length
          else {
            yield chunk.subarray(skipBytes)
            skipBytes = 0
          }
        }
        if (held.state === 'complete') {
          held.isRead = true
          return
        }
        if (held.state === 'broken') throw new Error('the backend server\'s stream broke off')
        await new Promise<void>(resolve => held.waiters.add(resolve))
      }
    } finally {
      held.readers -= 1
      held.idleSinceMs = env.nowMs()
    }
  }

  function sweep (): void {
    const nowMs = env.nowMs()
    let totalBytes = 0
    for (const held of streams.values()) totalBytes += held.sizeBytes
    for (const [attemptId, held] of streams) {
      if (held.readers > 0) continue
      const idleMs = nowMs - held.idleSinceMs
      if (held.state === 'open') {
        if (idleMs <= ABANDONED_GRACE_MS) continue
        held.source.destroy()
        parts.onAbandoned(attemptId)
      } else if (idleMs <= RETENTION_MS && totalBytes <= MAX_HELD_BYTES) continue
      totalBytes -= held.sizeBytes
      streams.delete(attemptId)
    }
  }
}

/** The event with an id line before it; the id holds the offset after the event. */
function withId (before: streamId.StreamPosition, event: Buffer): Buffer {
  // The length of the id depends on the number of digits of the offset that it holds.
  let offsetBytes = before.offsetBytes
  for (;;) {
    const idLine = Buffer.from(`id: ${streamId.formatStreamId({ ...before, offsetBytes })}\n`)
    const afterBytes = before.offsetBytes + idLine.length + event.length
    if (afterBytes === offsetBytes) return Buffer.concat([idLine, event])
    offsetBytes = afterBytes
  }
}

function wakeReaders (held: HeldStream): void {
  for (const wake of held.waiters) wake()
  held.waiters.clear()
}
