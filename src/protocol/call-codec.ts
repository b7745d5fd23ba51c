/**
 * Interfaces for the headers of requests and responses and for the client directory. A platform's adapter implements
 * them for its wire format.
 */

import type * as http from 'node:http'
import type * as backendLimits from '../state/backend-limits.js'
import type * as backendPool from '../state/backend-pool.js'

/** Fields of a request's head that the gateway uses. */
export interface CallHead {
  /** Id of one attempt of a client. */
  attemptId: string | undefined
  /** How much longer the client waits; undefined when it doesn't state it. */
  remainingMs: number | undefined
  key: string | undefined
  promptTokens: number
  /** Ids of the prompt's parts that other requests may share: all but the last one. */
  sharedPartIds: string[]
  maxOutputTokens: number
  /** The client's estimate of the output tokens, often far off. */
  estimatedOutputTokens: number | undefined
  /** Id of the last event of the stream that the client received. */
  lastEventId: number | undefined
}

/** What the gateway adds to the client's headers for a backend server. */
export interface ForwardedFields {
  /** Address of the backend server, for the log; the Host header forwarded is the client's. */
  backendId: string
  team: string | undefined
  remainingMs: number
  lastEventId: number | undefined
}

export interface ResponseHead {
  attemptId: string | undefined
  /** The backend server confirms that the response is its own. */
  isSigned: boolean
  /** The backend server states that the request has not run. */
  isNotRun: boolean
  /** The address now belongs to another instance than the one that the request was meant for. */
  isOtherInstance: boolean
  load: backendPool.LoadReport | undefined
  /** The backend server stops soon and should get no new requests. */
  isLeaving: boolean
  /** For how long the backend server wants no requests from this process; undefined if it doesn't state it. */
  pauseMs: number | undefined
  /** Id of the backend server that a refusal names as its cause; undefined if it names none. */
  faultyBackendId: string | undefined
  /** How many requests the backend server takes from all processes together, as far as this response says. */
  limit: backendLimits.StatedLimit
}

export interface CallCodec {
  readRequest (request: http.IncomingMessage): CallHead
  /** Headers to send, as alternating names and values without connection headers. */
  forwardedHeaders (request: http.IncomingMessage, fields: ForwardedFields): string[]
  readResponse (response: http.IncomingMessage): ResponseHead
  /** Headers for the client, as alternating names and values without connection headers. */
  returnedHeaders (response: http.IncomingMessage): string[]
}

/** Addresses that a client may connect to, and how long it may cache them. */
export interface AddressAnswer {
  addresses: string[]
  timeToLiveS: number
}

export interface DirectoryCodec {
  /** Whether the request asks for addresses. */
  isAddressQuery (request: http.IncomingMessage): boolean
  clientFailureDomain (request: http.IncomingMessage): string | undefined
  encodeAnswer (answer: AddressAnswer): string
  isReadinessQuery (request: http.IncomingMessage): boolean
}
