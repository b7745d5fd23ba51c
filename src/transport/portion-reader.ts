/**
 * Reads the body of a response in portions, each within a bounded share of a turn of the event loop.
 *
 * Load pattern: a faulty server sends a body of very many small chunks or events as fast as they are read. Node hands
 * over each chunk by itself and goes on reading in the same turn, so that no other connection is served meanwhile.
 */

import type * as stream from 'node:stream'
import * as turnQueue from './turn-queue.js'

export interface PortionOptions {
  /** Handles a portion. @returns the bytes that are left for a later turn, none if all were handled. */
  onPortion: (bytes: Buffer) => Buffer
  /** Called when the body has ended and all of it was handled. */
  onEnd: () => void
  /** Called when the body broke off and all that had arrived was handled. */
  onBroken: (reason: string) => void
}

/** A source that has brought so many bytes at once waits for its next turn. */
const TURN_BYTES = 16 * 1024
const EMPTY = Buffer.alloc(0)

export function readPortions (source: stream.Readable, options: PortionOptions): PortionReader {
  return new PortionReader(source, options)
}

export class PortionReader {
  readonly #source: stream.Readable
  readonly #options: PortionOptions
  #rest: Buffer = EMPTY
  #isDeferred = false
  #isPaused = false
  #isClosed = false
  #end: (() => void) | undefined

  constructor (source: stream.Readable, options: PortionOptions) {
    this.#source = source
    this.#options = options
    source.on('readable', () => { this.#read() })
    source.on('end', () => { this.#finish(options.onEnd) })
    source.on('error', error => { this.#finish(() => { options.onBroken(error.message) }) })
    source.on('close', () => { this.#finish(() => { options.onBroken('the connection was closed') }) })
  }

  /** Handles and reads nothing until `resume` is called. */
  pause (): void {
    this.#isPaused = true
  }

  resume (): void {
    this.#isPaused = false
    this.#defer()
  }

  /** Handles nothing any more. */
  close (): void {
    this.#isClosed = true
    this.#rest = EMPTY
  }

  #read (): void {
    while (!this.#isDeferred && !this.#isPaused && !this.#isClosed) {
      const bytes = this.#rest.length > 0 ? this.#rest : this.#source.read() as Buffer | null
      if (bytes === null) {
        if (this.#end === undefined) return
        this.close()
        this.#end()
        return
      }
      this.#rest = EMPTY
      const rest = this.#options.onPortion(bytes)
      if (!this.#isClosed) this.#rest = rest
      if (rest.length > 0 || bytes.length >= TURN_BYTES) this.#defer()
    }
  }

  #defer (): void {
    if (this.#isDeferred || this.#isClosed) return
    this.#isDeferred = true
    turnQueue.defer(() => {
      this.#isDeferred = false
      this.#read()
    })
  }

  #finish (end: () => void): void {
    if (this.#end !== undefined) return
    this.#end = end
    this.#read()
  }
}
