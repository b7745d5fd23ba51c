/**
 * Management of a model engine's streams over HTTP: `GET /v1/chat/completions/{id}/events` repeats a stream from its
 * start, `POST /v1/chat/completions/{id}/cancel` cancels the request.
 */

import type * as stream from 'node:stream'
import type * as backendClient from './backend-client.js'
import type * as platform from '../protocol/platform.js'

const MANAGEMENT_TIMEOUT_MS = 2_000
/** Maximum gap between two events of a stream. */
const EVENT_TIMEOUT_MS = 60_000

export class HttpEngine implements platform.Engine {
  readonly #client: backendClient.BackendClient
  readonly #address: string

  /** @param address IP address and port of the engine. */
  constructor (client: backendClient.BackendClient, address: string) {
    this.#client = client
    this.#address = address
  }

  async resume (requestId: string, signal: AbortSignal): Promise<stream.Readable | 'not_held' | 'unreachable'> {
    const result = await this.#client.request({
      address: this.#address,
      method: 'GET',
      path: `/v1/chat/completions/${encodeURIComponent(requestId)}/events`,
      headers: {},
      body: undefined,
      timeoutMs: EVENT_TIMEOUT_MS,
      signal
    })
    if (result.kind !== 'answer') return 'unreachable'
    if (result.status === 200) return result.body
    result.body.resume()
    return 'not_held'
  }

  async cancel (requestId: string, signal: AbortSignal): Promise<void> {
    const result = await this.#client.request({
      address: this.#address,
      method: 'POST',
      path: `/v1/chat/completions/${encodeURIComponent(requestId)}/cancel`,
      headers: {},
      body: undefined,
      timeoutMs: MANAGEMENT_TIMEOUT_MS,
      signal
    })
    if (result.kind === 'answer') result.body.resume()
  }
}
