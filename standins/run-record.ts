/**
 * Record of the requests that a stand-in ran, by idempotency key and by request id.
 */

import type * as http from 'node:http'
import * as jsonServer from './json-server.js'

/** Time in which a request ran, by the wall clock, since all processes on the machine share it. */
export interface Span {
  startedAtMs: number
  /** Undefined while the request runs. */
  endedAtMs?: number
}

export class RunRecord {
  readonly #runs = new Map<string, number>()
  readonly #spans: Span[] = []

  /** Counts a run for the request's idempotency key and for its request id, where it has them. */
  countRun (headers: http.IncomingHttpHeaders): void {
    for (const name of ['idempotency-key', 'bulrush-request-id']) {
      const value = headers[name]
      if (typeof value === 'string') this.#runs.set(value, (this.#runs.get(value) ?? 0) + 1)
    }
  }

  /** Records the start of a request. @returns a function that records its end. */
  startSpan (): () => void {
    const span: Span = { startedAtMs: performance.timeOrigin + performance.now() }
    this.#spans.push(span)
    return () => { span.endedAtMs = performance.timeOrigin + performance.now() }
  }

  /** Answers `GET /spans` with the time in which each request ran. */
  sendSpans (response: http.ServerResponse): void {
    jsonServer.sendJson(response, 200, { spans: this.#spans })
  }

  /** Answers `GET /runs?key=…` with the number of runs of one key or request id, and `GET /runs` with those of all. */
  answer (request: jsonServer.JsonRequest, response: http.ServerResponse): void {
    const key = request.query.get('key')
    if (key === null) jsonServer.sendJson(response, 200, { runs: Object.fromEntries(this.#runs) })
    else jsonServer.sendJson(response, 200, { key, runs: this.#runs.get(key) ?? 0 })
  }
}
