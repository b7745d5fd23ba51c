/**
 * The bytes of a client's connection on their way to the HTTP parser. The parser gets one request at a time, with its
 * body in few large chunks, and nothing behind a final response. What isn't passed on is not read either, so that TCP
 * holds the client back.
 */

import type * as net from 'node:net'
import * as stream from 'node:stream'
import * as chunkedDecoder from './chunked-decoder.js'
import * as headScanner from './head-scanner.js'
import * as turnQueue from './turn-queue.js'

/** How the parser has understood the framing of a request's body. */
export type BodyFraming =
  | { kind: 'none' }
  | { kind: 'length', sizeBytes: number }
  | { kind: 'chunked' }

export interface PassedRequest {
  framing: BodyFraming
  /** Whether the parser has got all of the request. */
  isComplete: () => boolean
}

export interface SocketEvents {
  /** The framing of a body is invalid. */
  onMalformed: () => void
  /** The client has sent bytes, or taken some. */
  onProgress: () => void
  /** Number of bytes that wait: `input`, head included, for their turn, `unsent` for the client to take them. */
  onHeld: (kind: 'input' | 'unsent', bytes: number) => void
}

/** What the next byte belongs to. `answer`: the response to a whole request is awaited. */
type Stage = 'head' | 'body' | 'answer' | 'discard'

/** After so many bytes, a connection waits for its next turn. */
const TURN_BYTES = 32 * 1024
const LAST_SIZE_LINE = Buffer.from('0\r\n')
const LINE_END = Buffer.from('\r\n')
/** Longer writes are divided, so that it shows when the client takes a part of them. */
const MAX_WRITE_BYTES = 64 * 1024
/** Room for the size line of a chunk that is written in front of its data. */
const SIZE_LINE_BYTES = 16
const EMPTY = Buffer.alloc(0)

type WriteCallback = (error?: Error | null) => void

export class ClientSocket extends stream.Duplex {
  readonly #raw: net.Socket
  readonly #scanner = new headScanner.HeadScanner()
  readonly #events: SocketEvents
  #stage: Stage = 'head'
  /** Whether a request line has begun. */
  #isInHead = false
  /** Size of the last head, which the parser keeps until its request is answered. */
  #headBytes = 0
  /** Bytes that were read and are not passed on yet. */
  #input: Buffer = EMPTY
  /** The request whose body is passed on. */
  #request: PassedRequest | undefined
  #remainingBytes = 0
  #decoder: chunkedDecoder.ChunkedDecoder | undefined
  /** Whether the response to the last request has ended. */
  #isAnswered = true
  /** Whether the parser has asked for bytes; before that, it gets none at once. */
  #hasReader = false
  #isDeferred = false
  #hasEnded = false

  constructor (raw: net.Socket, events: SocketEvents) {
    super({ allowHalfOpen: true })
    this.#raw = raw
    this.#events = events
    raw.on('readable', () => {
      events.onProgress()
      this.#pass()
    })
    raw.on('end', () => { this.#noteEnd() })
    raw.on('error', error => { this.destroy(error) })
    raw.on('close', () => { this.destroy() })
    raw.on('timeout', () => { this.emit('timeout') })
  }

  /** Number of bytes that the client has sent, passed on or not. */
  get bytesRead (): number {
    return this.#raw.bytesRead
  }

  /** Number of bytes that have been read and not passed on. */
  get unpassedBytes (): number {
    return this.#input.length + this.#raw.readableLength
  }

  /** Whether the body of the last request has not been read to its end. */
  get isBodyOpen (): boolean {
    return this.#request !== undefined
  }

  /** Called as soon as the parser has read a head. */
  beginRequest (request: PassedRequest): void {
    this.#request = request
    this.#isAnswered = false
    this.#decoder = request.framing.kind === 'chunked' ? new chunkedDecoder.ChunkedDecoder() : undefined
    this.#remainingBytes = request.framing.kind === 'length' ? request.framing.sizeBytes : 0
  }

  /** Called when the response to the last request has ended; the next request may be passed on. */
  endResponse (): void {
    this.#isAnswered = true
    if (this.#stage !== 'answer') return
    this.#stage = 'head'
    if (this.unpassedBytes > 0) this.#defer()
  }

  /** Passes nothing on any more. The client's bytes are read and dropped. */
  discard (): void {
    this.#stage = 'discard'
    this.#pass()
  }

  setTimeout (timeoutMs: number, onTimeout?: () => void): this {
    this.#raw.setTimeout(timeoutMs)
    if (onTimeout !== undefined) this.on('timeout', onTimeout)
    return this
  }

  override _read (): void {
    this.#hasReader = true
    // Bytes that are passed on within this call would not reach the parser at once.
    if (this.unpassedBytes > 0) process.nextTick(() => { this.#pass() })
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: WriteCallback): void {
    this.#write([chunk], callback)
  }

  override _writev (chunks: { chunk: Buffer }[], callback: WriteCallback): void {
    this.#write(chunks.map(({ chunk }) => chunk), callback)
  }

  override _final (callback: () => void): void {
    this.#raw.end(callback)
  }

  override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this.#input = EMPTY
    this.#raw.destroy()
    callback(error)
  }

  #write (buffers: readonly Buffer[], callback: WriteCallback): void {
    this.#events.onHeld('unsent', this.writableLength)
    const afterWrite: WriteCallback = error => {
      this.#events.onProgress()
      callback(error)
      this.#events.onHeld('unsent', this.writableLength)
    }
    this.#writeParts(partsOf(buffers), afterWrite)
  }

  #writeParts (parts: Iterator<Buffer>, callback: WriteCallback): void {
    const next = parts.next()
    if (next.done === true) {
      callback()
      return
    }
    this.#raw.write(next.value, error => {
      this.#events.onProgress()
      if (error === undefined || error === null) this.#writeParts(parts, callback)
      else callback(error)
    })
  }

  get #mayPass (): boolean {
    if (this.destroyed || this.#isDeferred) return false
    if (this.#stage === 'discard') return true
    return this.#hasReader && this.readableFlowing === true && this.readableLength === 0
  }

  /** Passes on what the parser may have now, up to the share of a turn. */
  #pass (): void {
    let passedBytes = 0
    while (this.#mayPass) {
      if (this.#input.length === 0) this.#input = (this.#raw.read() as Buffer | null) ?? EMPTY
      if (this.#input.length === 0 || this.#stage === 'answer') break
      const { length } = this.#input
      this.#passPortion()
      passedBytes += length - this.#input.length
      if (passedBytes >= TURN_BYTES) this.#defer()
    }
    this.#events.onHeld('input', this.unpassedBytes + this.#headBytes)
    if (this.#hasEnded && this.#input.length === 0 && !this.destroyed) this.#passEnd()
  }

  #defer (): void {
    if (this.#isDeferred || this.destroyed) return
    this.#isDeferred = true
    turnQueue.defer(() => {
      this.#isDeferred = false
      this.#pass()
    })
  }

  #passPortion (): void {
    if (this.#stage === 'head') this.#passHead()
    else if (this.#request === undefined) this.#input = EMPTY
    else if (this.#decoder === undefined) this.#passBytes()
    else if (this.#decoder.state === 'ended') this.#passTrailers()
    else this.#passChunks(this.#decoder)
  }

  #passHead (): void {
    if (!this.#isInHead) {
      this.#input = this.#input.subarray(headScanner.HeadScanner.countEmptyLines(this.#input))
      if (this.#input.length === 0) return
      this.#isInHead = true
      this.#headBytes = 0
      this.#scanner.startHead()
    }
    const end = this.#scanner.findEnd(this.#input)
    const portion = end < 0 ? this.#input : this.#input.subarray(0, end)
    this.#input = this.#input.subarray(portion.length)
    this.#headBytes += portion.length
    if (end >= 0) this.#isInHead = false
    this.push(portion)
    const request = this.#request
    if (request === undefined) return
    if (end < 0) {
      // The parser has found an end of the head that is none.
      this.destroy()
      return
    }
    if (this.#stage === 'head') this.#stage = 'body'
    if (request.framing.kind === 'none' || (request.framing.kind === 'length' && this.#remainingBytes === 0)) {
      this.#endRequest(request)
    }
  }

  #passBytes (): void {
    const portion = this.#input.subarray(0, this.#remainingBytes)
    this.#input = this.#input.subarray(portion.length)
    this.#remainingBytes -= portion.length
    this.#pushBody(portion)
    if (this.#remainingBytes === 0) this.#endRequest(this.#request)
  }

  #passChunks (decoder: chunkedDecoder.ChunkedDecoder): void {
    const output = Buffer.allocUnsafe(SIZE_LINE_BYTES + this.#input.length + LINE_END.length + LAST_SIZE_LINE.length)
    const { readTo, writtenBytes } = decoder.decode(this.#input, output, SIZE_LINE_BYTES)
    this.#input = this.#input.subarray(readTo)
    if (decoder.state === 'malformed') {
      this.#request = undefined
      this.#events.onMalformed()
      return
    }
    let [start, end] = [SIZE_LINE_BYTES, SIZE_LINE_BYTES]
    if (writtenBytes > 0) {
      const sizeLine = `${writtenBytes.toString(16)}\r\n`
      start -= sizeLine.length
      output.write(sizeLine, start, 'latin1')
      end += writtenBytes
      end += LINE_END.copy(output, end)
    }
    if (decoder.state === 'ended') {
      end += LAST_SIZE_LINE.copy(output, end)
      this.#scanner.startTrailers()
    }
    if (end > start) this.#pushBody(output.subarray(start, end))
  }

  #passTrailers (): void {
    const end = this.#scanner.findEnd(this.#input)
    const portion = end < 0 ? this.#input : this.#input.subarray(0, end)
    this.#input = this.#input.subarray(portion.length)
    this.#pushBody(portion)
    if (end >= 0) this.#endRequest(this.#request)
  }

  #pushBody (bytes: Buffer): void {
    if (this.#stage !== 'discard') this.push(bytes)
  }

  #endRequest (request: PassedRequest | undefined): void {
    this.#request = undefined
    if (this.#stage === 'discard') return
    // The parser disagrees about the end of the request, so the next bytes could be taken for another one.
    if (request?.isComplete() === false) this.destroy()
    this.#stage = this.#isAnswered ? 'head' : 'answer'
  }

  #noteEnd (): void {
    this.#hasEnded = true
    // A client that has left looks the same, and gets no response to what it sent ahead.
    if (this.#stage === 'answer') this.#input = EMPTY
    this.#pass()
  }

  #passEnd (): void {
    this.#hasEnded = false
    this.push(null)
  }
}

/** Divides large buffers and joins small ones: each write of a part is a call of the system. */
function * partsOf (buffers: readonly Buffer[]): Generator<Buffer> {
  let part: Buffer[] = []
  let partBytes = 0
  for (const buffer of buffers) {
    for (let at = 0; at < buffer.length;) {
      const piece = buffer.subarray(at, at + MAX_WRITE_BYTES - partBytes)
      part.push(piece)
      partBytes += piece.length
      at += piece.length
      if (partBytes < MAX_WRITE_BYTES) continue
      yield joined(part)
      part = []
      partBytes = 0
    }
  }
  if (part.length > 0) yield joined(part)
}

function joined (pieces: Buffer[]): Buffer {
  return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)
}
