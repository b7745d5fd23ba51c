/**
 * HTTP client of the operator API. Tries the next entry when one does not answer; a change keeps its operation id, so
 * it is applied once however often it is sent.
 */

import * as undici from 'undici'
import * as wire from '../protocol/operator-api.js'
import * as jsonBody from './json-body.js'

export interface OperatorClientOptions {
  /** Base URLs of entries, in order of preference. */
  entryUrls: readonly string[]
  operatorKey: string
  operator: string
  /** Maximum total duration of all attempts. */
  timeoutMs: number
}

export interface OperatorRequest {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path and query below the prefix. */
  path: string
  body?: unknown
  operationId?: string
  /** An earlier command sent the same operation id and got no answer. */
  isRepeat?: boolean
  expectedRevision?: number
}

export type OperatorResult =
  | { kind: 'answer', status: number, body: Record<string, unknown>, entryUrl: string }
  /** `mayHaveApplied`: a request was sent and its answer was lost. */
  | { kind: 'unavailable', mayHaveApplied: boolean, detail: string }

/** Timeout of one attempt, so that a paused entry leaves time for the next one. */
const ATTEMPT_TIMEOUT_MS = 4_000
/** No attempt starts with less time left than this, since the deadline could pass before an entry has answered. */
const MIN_ATTEMPT_MS = 1_000
const RETRY_DELAY_MS = 200

export class OperatorClient {
  readonly #options: OperatorClientOptions

  constructor (options: OperatorClientOptions) {
    this.#options = options
  }

  async request (request: OperatorRequest): Promise<OperatorResult> {
    const { entryUrls, timeoutMs } = this.#options
    const deadlineAtMs = performance.now() + timeoutMs
    let mayHaveApplied = request.isRepeat ?? false
    let detail = 'no request was sent to an entry'
    for (let attempts = 0; attempts === 0 || performance.now() + MIN_ATTEMPT_MS < deadlineAtMs; attempts++) {
      const entryUrl = entryUrls[attempts % entryUrls.length]!
      const remainingMs = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadlineAtMs - performance.now()))
      try {
        const { status, body } = await this.#send(entryUrl, request, remainingMs)
        if (status !== 503) return { kind: 'answer', status, body, entryUrl }
        mayHaveApplied ||= body['outcome'] === 'may_have_run'
        detail = `${entryUrl}: ${String(body['detail'] ?? status)}`
      } catch (error) {
        // Nothing was sent on a refused connection; after any other failure the request may have arrived.
        mayHaveApplied ||= (error as NodeJS.ErrnoException).code !== 'ECONNREFUSED'
        detail = `${entryUrl}: ${(error as Error).message}`
      }
      if (attempts % entryUrls.length === entryUrls.length - 1) {
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
      }
    }
    return { kind: 'unavailable', mayHaveApplied: mayHaveApplied && request.method !== 'GET', detail }
  }

  async #send (
    entryUrl: string, request: OperatorRequest, timeoutMs: number
  ): Promise<{ status: number, body: Record<string, unknown> }> {
    const response = await undici.request(`${entryUrl}${wire.OPERATOR_PREFIX}${request.path}`, {
      method: request.method,
      headers: {
        authorization: `Bearer ${this.#options.operatorKey}`,
        [wire.operatorHeaders.operator]: encodeURIComponent(this.#options.operator),
        ...(request.operationId === undefined ? {} : { [wire.operatorHeaders.operationId]: request.operationId }),
        ...(request.expectedRevision === undefined
          ? {}
          : { [wire.operatorHeaders.expectedRevision]: `"${request.expectedRevision}"` })
      },
      body: request.body === undefined ? null : JSON.stringify(request.body),
      signal: AbortSignal.timeout(Math.ceil(timeoutMs))
    })
    return { status: response.statusCode, body: await jsonBody.readJson(response.body) as Record<string, unknown> }
  }
}
