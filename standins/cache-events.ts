/**
 * Stream of cache events as an engine publishes it: server-sent events with a sequence number as `id` and a JSON batch
 * of events as `data`. Batches are delayed and some are lost; a reader detects a loss by a gap in the sequence numbers.
 */

import type * as http from 'node:http'
import type * as prefixCache from './prefix-cache.js'

export interface CacheEventOptions {
  delayMs: number
  /** Fraction of batches, 0 to 1, that is sent to no reader. */
  lostShare: number
}

export class CacheEventStream {
  readonly #options: CacheEventOptions
  readonly #random: () => number
  readonly #readers = new Set<http.ServerResponse>()
  #sequence = 0

  constructor (options: CacheEventOptions, random: () => number) {
    this.#options = options
    this.#random = random
  }

  /** Sequence number of the last batch, whether or not it was lost. */
  get sequence (): number { return this.#sequence }

  publish (events: prefixCache.CacheEvent[]): void {
    this.#sequence += 1
    if (this.#random() < this.#options.lostShare) return
    const message = `id: ${this.#sequence}\ndata: ${JSON.stringify({ ts: Date.now() / 1_000, events })}\n\n`
    setTimeout(() => { for (const reader of this.#readers) reader.write(message) }, this.#options.delayMs).unref()
  }

  serve (response: http.ServerResponse): void {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    response.flushHeaders()
    this.#readers.add(response)
    response.once('close', () => this.#readers.delete(response))
  }
}
