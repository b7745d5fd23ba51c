/**
 * Sends the final response of a request and logs it. Responses that the gateway generates itself state whether the
 * request has run: 429 and 503 guarantee that it has not run and never will.
 */

import type * as http from 'node:http'
import type * as routingTable from '../../state/routing-table.js'
import type * as call from './call.js'
import type * as context from './context.js'
import type * as streamAttempt from './stream-attempt.js'

export class Reply {
  readonly #ctx: context.GatewayContext
  readonly #response: http.ServerResponse
  readonly #id: string
  readonly #arrivedAtMs: number

  constructor (ctx: context.GatewayContext, response: http.ServerResponse, id: string, arrivedAtMs: number) {
    this.#ctx = ctx
    this.#response = response
    this.#id = id
    this.#arrivedAtMs = arrivedAtMs
  }

  /** For a request that has not run; the client may retry it. */
  refuse (reason: string, retryAfterMs: number): void {
    this.#send(503, reason, ['Retry-After', (retryAfterMs / 1_000).toFixed(3)])
    this.#recordEnd('refused', { reason, retryAfterMs })
  }

  /** For an invalid request. */
  reject (status: number, reason: string): void {
    this.#send(status, reason, status === 413 || status === 408 ? ['Connection', 'close'] : [])
    this.#recordEnd('rejected', { reason, status })
  }

  /** For a request that may have run. */
  fail (status: number, reason: string): void {
    this.#send(status, reason, [])
    this.#recordEnd('failed', { reason, status })
  }

  /** @param reason the deadline of the request, or the end of the process. */
  timedOut (mayHaveRun: boolean, reason: 'deadline' | 'process_stopping'): void {
    if (this.#response.headersSent) this.cut(reason)
    else if (mayHaveRun) this.fail(504, reason)
    else this.refuse(reason, 0)
  }

  /**
   * Closes the connection of a stream that can't continue, so that the client doesn't take it for complete.
   * @param noAttemptReason why no further backend server was tried.
   */
  cut (reason: string, noAttemptReason?: string): void {
    this.#response.destroy()
    this.#recordEnd('cut', { reason, noAttemptReason })
  }

  /** Forwards a whole response of a backend server to the client. */
  forwardResponse (plain: call.WholeResponse, route: routingTable.Route, progress: streamAttempt.StreamProgress): void {
    this.#write(plain.status, plain.headers, plain.body, plain.framing)
    this.delivered(plain.status, route, progress)
  }

  forwardFailure (plain: call.WholeResponse): void {
    this.#write(plain.status, plain.headers, plain.body, plain.framing)
    this.#recordEnd('backend_failure', { status: plain.status })
  }

  delivered (status: number, route: routingTable.Route, progress: streamAttempt.StreamProgress): void {
    const endMs = progress.firstEventAtMs ?? this.#ctx.nowMs()
    this.#ctx.metrics.latencyMs.observe({ kind: route.isStream ? 'stream' : 'plain' }, endMs - this.#arrivedAtMs)
    if (route.isStream) this.#ctx.metrics.longestPauseMs.observe(progress.longestPauseMs)
    this.#recordEnd('delivered', {
      status,
      latencyMs: Math.round(endMs - this.#arrivedAtMs),
      events: progress.events,
      longestPauseMs: Math.round(progress.longestPauseMs)
    })
  }

  /** @param when the stage that the request was in, for the log. */
  clientGone (when: string): void {
    if (!this.#response.destroyed) this.#response.destroy()
    this.#recordEnd('client_gone', { when })
  }

  #send (status: number, reason: string, headers: string[]): void {
    if (this.#response.headersSent || this.#response.destroyed) {
      this.#response.destroy()
      return
    }
    this.#write(status, ['Content-Type', 'application/json', ...headers], Buffer.from(JSON.stringify({ reason })))
  }

  /**
   * States the length also of a body that ended with its connection and is whole: if this process ends while it sends
   * the body, the client could not tell the rest of it from the end.
   */
  #write (status: number, headers: string[], body: Buffer, framing: call.BodyFraming = 'length'): void {
    // The length of what a GET request would get is not known then.
    const isLengthUnknown = framing === 'connection_end' && this.#response.req.method === 'HEAD'
    const isClosing = this.#ctx.shutdown.isDraining || isLengthUnknown
    const length = isLengthUnknown ? [] : ['Content-Length', String(body.length)]
    if (isLengthUnknown) this.#response.useChunkedEncodingByDefault = false
    this.#response.writeHead(status, [...headers, ...(isClosing ? ['Connection', 'close'] : []), ...length])
    this.#response.end(body)
  }

  #recordEnd (outcome: string, fields: Record<string, unknown>): void {
    this.#ctx.metrics.requests.inc({ outcome })
    this.#ctx.log.emit('requestEnded', {
      request: this.#id,
      outcome,
      durationMs: Math.round(this.#ctx.nowMs() - this.#arrivedAtMs),
      stoppingForMs: this.#ctx.shutdown.stoppingForMs,
      ...fields
    })
  }
}
