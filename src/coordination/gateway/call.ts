/**
 * One request of a client, from its head to its last byte.
 */

import type * as http from 'node:http'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as routingTable from '../../state/routing-table.js'

/** What is known of a request once it is admitted. */
export interface Call {
  /** Identifies the attempt of the client in the log. */
  id: string
  request: http.IncomingMessage
  response: http.ServerResponse
  head: callCodec.CallHead
  body: Buffer
  route: routingTable.Route
  service: string
  engine: routingTable.EngineModel | undefined
  team: string | undefined
  priority: number
  arrivedAtMs: number
  /** The earlier of the client's and the route's. */
  deadlineAtMs: number
  /** The client's own deadline. */
  clientDeadlineAtMs: number
  /** Same for each copy of a request that a caller sends again. */
  fingerprint: string
  /** The client left. */
  signal: AbortSignal
}

/**
 * What ends the body of a response. The end of a connection may also be a break, which nothing shows; such a body is
 * passed on in the same form.
 */
export type BodyFraming = 'length' | 'connection_end'

/** A whole response of a backend server. */
export interface WholeResponse {
  status: number
  headers: string[]
  body: Buffer
  framing: BodyFraming
}

/**
 * `unreachable`: nothing was sent. `declined`: the backend server takes no work now. `replaced`: another instance
 * holds the address.
 */
export type NotRunCause = 'unreachable' | 'declined' | 'replaced'

/** How an attempt at a backend server ended. */
export type AttemptOutcome =
  /** The client has the whole response. */
  | { kind: 'delivered', status: number }
  /** A whole response of the backend server that was not passed on yet. */
  | WholeResponse & { kind: 'response' }
  /** The backend server has not run the request and never will. */
  | { kind: 'not_run', reason: string, cause: NotRunCause }
  /** The request may have run; nothing, or only whole events, reached the client. */
  | { kind: 'failed', reason: string, isRetryGranted?: boolean }
  /** The route's or the client's time is over. */
  | { kind: 'timed_out', wasSent: boolean }
  | { kind: 'client_gone' }

/** Output tokens that the request is likely to produce. */
export function expectedOutputTokens (head: callCodec.CallHead, engine: routingTable.EngineModel): number {
  const usual = engine.usualOutputTokens
  const hint = head.estimatedOutputTokens
  // The estimate is right at the median and often far off, so it counts half.
  const expected = hint === undefined ? usual : (hint + usual) / 2
  return head.maxOutputTokens > 0 ? Math.min(head.maxOutputTokens, expected) : expected
}

/** Time for the response on a backend server of usual load, in ms. */
export function expectedServiceMs (call: Pick<Call, 'head' | 'engine' | 'route'>): number {
  const { engine, head, route } = call
  if (engine === undefined) return route.targetLatencyMs / 3
  const stepMs = engine.stepMs + engine.perSequenceMs * engine.slots / 2
  return head.promptTokens / engine.prefillTokensPerMs + expectedOutputTokens(head, engine) * stepMs
}
