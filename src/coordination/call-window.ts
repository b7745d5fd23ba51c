/**
 * Which calls an entry still accepts after SIGTERM: those that end before it has to answer whatever is open, by the
 * time that calls of the same service have taken. A completion may be as long as its maximum, however short the latest
 * ones were.
 */

import type * as environment from './environment.js'
import * as call from '../protocol/call.js'
import * as outcomes from '../state/outcome.js'
import * as serviceTimes from '../state/service-times.js'
import * as shutdownWindow from '../state/shutdown-window.js'

export interface CallWindow {
  /** Begins the shutdown. @returns when each open call has to be answered. */
  begin (shutdownMs: number): number
  /** The refusal of a call that would not end in time; undefined for one that may be sent to a backend server. */
  refusalOf (request: call.Call): outcomes.Refusal | undefined
  /** Measures a call from its dispatch on. @returns what ends the measurement; `isWhole` for a complete answer. */
  measure (request: call.Call): (isWhole: boolean) => void
}

const RETRY_AFTER_MS = 1_000
/**
 * Expected durations, a fourth of the targets for nearly all requests: of a service of which little is known, a call
 * may need four times what is expected.
 */
const EXPECTED_FIRST_BYTE_MS = 80
const EXPECTED_TOKEN_MS = 15
/** Length of a completion whose request sets no maximum. */
const DEFAULT_TOKENS = 100

export function createCallWindow (env: Pick<environment.Environment, 'nowMs'>): CallWindow {
  const times = serviceTimes.createServiceTimes()
  let window: shutdownWindow.ShutdownWindow | undefined
  return {
    begin (shutdownMs) {
      window = shutdownWindow.openWindow(shutdownMs, env.nowMs())
      return window.answerByMs
    },
    refusalOf (request) {
      if (window === undefined || env.nowMs() <= latestStartMs(window, request)) return undefined
      const outcome = call.mayHaveRunBefore(request) ? 'may_have_run' : 'not_run'
      return outcomes.refuse('draining', 503, outcome, 'the entry exits before the request could end', RETRY_AFTER_MS)
    },
    measure (request) {
      const running = serviceTimes.noteStarted(times, serviceOf(request), expectedMs(request), env.nowMs())
      return isWhole => { serviceTimes.noteEnded(times, running, isWhole, env.nowMs()) }
    }
  }

  function latestStartMs (opened: shutdownWindow.ShutdownWindow, request: call.Call): number {
    // What is left of a stream is not known; if the entry cuts it, it is resumed once more.
    if (request.resumeFrom !== undefined) return opened.answerByMs
    return shutdownWindow.latestStartMs(opened, request.deadlineAtMs, {
      usualMs: neededMs(request), longestMs: longestMs(request)
    })
  }

  function longestMs (request: call.Call): number {
    if (request.target.kind === 'plain') return neededMs(request)
    const longSeenMs = neededMs(request, serviceTimes.MIN_SAMPLES_OF_UNKNOWN_LENGTH)
    return request.maxTokens === undefined ? longSeenMs : Math.max(longSeenMs, expectedMs(request))
  }

  function neededMs (request: call.Call, minSamples?: number): number {
    return serviceTimes.neededMs(times, serviceOf(request), expectedMs(request), env.nowMs(), minSamples)
  }
}

function serviceOf (request: call.Call): string {
  return `${request.target.kind}/${request.target.name}`
}

function expectedMs (request: call.Call): number {
  const tokens = request.target.kind === 'plain' ? 0 : request.maxTokens ?? DEFAULT_TOKENS
  return EXPECTED_FIRST_BYTE_MS + EXPECTED_TOKEN_MS * tokens
}
