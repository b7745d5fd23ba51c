/**
 * State of a request across its attempts.
 */

import type * as serviceTimes from '../../state/service-times.js'
import type * as streamPace from '../../state/stream-pace.js'
import type * as callModule from './call.js'
import type * as streamAttempt from './stream-attempt.js'

export interface CallHistory {
  /** Backend servers that did not accept or did not complete the request, or were silent for long. */
  excluded: Set<string>
  /** Number of backend servers on which the request may have run. */
  runs: number
  /** Number of backend servers that the request was sent to. */
  offers: number
  progress: streamAttempt.StreamProgress
  lastFailure: string
  /** An error response of a backend server, forwarded if no later attempt succeeds. */
  failedResponse: callModule.WholeResponse | undefined
  /** Undefined until the first attempt. */
  timing: serviceTimes.RunningRequest | undefined
  /** Undefined until the first attempt, and for what is no stream of an engine. */
  stream: streamPace.RunningStream | undefined
  /** Whether the client has got a whole response. */
  isDelivered: boolean
}

/** @param lastEventId event after which the client resumes a stream; undefined for a new request. */
export function createHistory (lastEventId: number | undefined): CallHistory {
  return {
    excluded: new Set(),
    runs: 0,
    offers: 0,
    progress: {
      hasHead: false,
      hasEvents: false,
      mediaType: undefined,
      lastEventId,
      events: 0,
      firstEventAtMs: undefined,
      lastEventAtMs: undefined,
      longestPauseMs: 0
    },
    lastFailure: '',
    failedResponse: undefined,
    timing: undefined,
    stream: undefined,
    isDelivered: false
  }
}
