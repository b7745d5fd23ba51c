/**
 * Client of the object store, through the S3 REST API: GET and PUT of one object, `{url}/{key}`. The URL names the
 * bucket.
 */

import * as undici from 'undici'
import type * as platform from '../protocol/platform.js'
import * as resetConnector from './reset-connector.js'

/** Far above the size of a full snapshot of the configuration, some 0.1 MB. */
const MAX_OBJECT_BYTES = 16 * 1024 * 1024
const agent = new undici.Agent({ connect: resetConnector.createConnector() })

export class S3ObjectStore implements platform.ObjectStore {
  readonly #url: string
  readonly #timeoutMs: number

  /** @param timeoutMs maximum duration of one request with its body. */
  constructor (url: string, timeoutMs: number) {
    this.#url = url.replace(/\/$/, '')
    this.#timeoutMs = timeoutMs
  }

  async get (key: string, signal: AbortSignal): Promise<platform.ObjectRead> {
    try {
      const response = await undici.request(this.#urlOf(key), { dispatcher: agent, signal: this.#withTimeout(signal) })
      if (response.statusCode !== 200) {
        await response.body.dump()
        return response.statusCode === 404
          ? { kind: 'missing' }
          : { kind: 'unavailable', detail: `object store: status ${response.statusCode}` }
      }
      const chunks: Buffer[] = []
      let sizeBytes = 0
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length
        if (sizeBytes > MAX_OBJECT_BYTES) {
          return { kind: 'unavailable', detail: `object store: ${key} exceeds ${MAX_OBJECT_BYTES} bytes` }
        }
        chunks.push(chunk)
      }
      return { kind: 'found', body: Buffer.concat(chunks) }
    } catch (error) {
      return { kind: 'unavailable', detail: `object store: ${(error as Error).message}` }
    }
  }

  async put (key: string, body: Buffer, signal: AbortSignal): Promise<platform.ObjectWrite> {
    try {
      const response = await undici.request(this.#urlOf(key), {
        dispatcher: agent,
        method: 'PUT',
        headers: { 'content-type': 'application/octet-stream' },
        body,
        signal: this.#withTimeout(signal)
      })
      await response.body.dump()
      if (response.statusCode === 200) return { kind: 'stored' }
      return { kind: 'unavailable', detail: `object store: status ${response.statusCode}` }
    } catch (error) {
      return { kind: 'unavailable', detail: `object store: ${(error as Error).message}` }
    }
  }

  #urlOf (key: string): string {
    return `${this.#url}/${encodeURIComponent(key)}`
  }

  #withTimeout (signal: AbortSignal): AbortSignal {
    return AbortSignal.any([signal, AbortSignal.timeout(this.#timeoutMs)])
  }
}
