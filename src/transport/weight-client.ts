/**
 * Client of the weight store, through S3 GET requests: one object for each expert, `{url}/{model}/{layer}/{expert}`.
 */

import * as undici from 'undici'
import type * as platform from '../protocol/platform.js'
import * as resetConnector from './reset-connector.js'

const DEFAULT_RETRY_MS = 1_000
const agent = new undici.Agent({ connect: resetConnector.createConnector() })

export class S3WeightStore implements platform.WeightStore {
  readonly #url: string
  readonly #timeoutMs: number

  constructor (url: string, timeoutMs: number) {
    this.#url = url
    this.#timeoutMs = timeoutMs
  }

  async fetch (model: string, layer: number, expert: number, signal: AbortSignal): Promise<platform.WeightFetch> {
    try {
      const response = await undici.request(`${this.#url}/${encodeURIComponent(model)}/${layer}/${expert}`, {
        dispatcher: agent,
        signal: AbortSignal.any([signal, AbortSignal.timeout(this.#timeoutMs)])
      })
      let sizeBytes = 0
      // In production the engine reads the weights itself; here only their size is needed.
      for await (const chunk of response.body as AsyncIterable<Buffer>) sizeBytes += chunk.length
      if (response.statusCode === 200) return { kind: 'fetched', sizeBytes }
      if (response.statusCode === 429 || response.statusCode === 503) {
        const seconds = Number(response.headers['retry-after'])
        return { kind: 'limited', retryAfterMs: Number.isFinite(seconds) ? seconds * 1_000 : DEFAULT_RETRY_MS }
      }
      return { kind: 'unavailable', detail: `weight store: status ${response.statusCode}` }
    } catch (error) {
      return { kind: 'unavailable', detail: `weight store: ${(error as Error).message}` }
    }
  }
}
