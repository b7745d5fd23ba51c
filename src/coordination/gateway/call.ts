/**
 * A client's request while the gateway handles it, and the outcomes of its attempts.
 */

import type * as http from 'node:http'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as crashSuspects from '../../state/crash-suspects.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as heldBytes from '../../transport/held-bytes.js'
import type * as retries from './retries.js'

/** An admitted request. */
export interface Call {
  /** Id of the client's attempt, for the log. */
  id: string
  request: http.IncomingMessage
  response: http.ServerResponse
  head: callCodec.CallHead
  body: heldBytes.HeldBytes
  route: routingTable.Route
  service: string
  engine: routingTable.EngineModel | undefined
  team: string | undefined
  priority: number
  arrivedAtMs: number
  /** The earlier of the client's deadline and the route's. */
  deadlineAtMs: number
  /** The client's own deadline. */
  clientDeadlineAtMs: number
  features: crashSuspects.Features
  retries: retries.CallRetries
  /** Aborted when the client disconnects or the process is about to exit. */
  signal: AbortSignal
}

/**
 * How the end of a backend server's body is marked. One that ends with the connection in order is whole, but may also
 * be the end of a server that crashed, so that it is no evidence that the server is sound.
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
 * `unreachable`: nothing was sent. `declined`: the backend server accepts no work now. `replaced`: another instance
 * now has the address.
 */
export type NotRunCause = 'unreachable' | 'declined' | 'replaced'

/** How an attempt at a backend server ended. */
export type AttemptOutcome =
  /** The client has the whole response. */
  | { kind: 'delivered', status: number }
  /** A whole response of the backend server that has not been forwarded yet. */
  | WholeResponse & { kind: 'response' }
  /** The backend server has not run the request and never will. */
  | { kind: 'not_run', reason: string, cause: NotRunCause }
  /** The request may have run; nothing, or only whole events, reached the client. */
  | { kind: 'failed', reason: string }
  /** The route's or the client's deadline has passed, or the process is about to exit. */
  | { kind: 'timed_out', wasSent: boolean }
  | { kind: 'client_gone' }
  /** Another attempt at the same request has responded. */
  | { kind: 'superseded', wasSent: boolean }
