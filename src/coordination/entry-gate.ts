/**
 * Decides whether an entry accepts new requests: not while its configuration may be out of date, and not once it
 * drains and every address answer that names it has expired.
 */

import type * as http from 'node:http'
import * as addressAnswer from './address-answer.js'
import type * as configurationGuard from './configuration-guard.js'
import type * as drainModule from './drain.js'
import type * as arrivalsModule from '../transport/arrivals.js'
import type * as environment from './environment.js'
import * as peerExchange from './peer-exchange.js'
import * as headers from '../protocol/headers.js'
import * as outcomes from '../state/outcome.js'

export interface EntryGate {
  /** The refusal of a new request; undefined when it is accepted. */
  refusalOf (requestHeaders: http.IncomingHttpHeaders): outcomes.Refusal | undefined
  /** Whether peers and address answers should name this entry. */
  isAdvertised (): boolean
  /** Settles when the entry drains, its address answers have expired and no call is in flight. */
  waitUntilDrained (): Promise<void>
}

export interface EntryGateParts {
  guard: configurationGuard.ConfigurationGuard
  drain: drainModule.Drain
  inFlight: () => number
  /** What callers send. */
  arrivals: arrivalsModule.Arrivals
}

const RETRY_AFTER_MS = 1_000
const DRAIN_POLL_MS = 50
/**
 * Time to live of an address answer, plus one heartbeat: after a heartbeat each peer knows of the drain, even if the
 * message that announced it was lost.
 */
export const DRAIN_GRACE_MS = addressAnswer.TIME_TO_LIVE_SECONDS * 1_000 + peerExchange.HEARTBEAT_PERIOD_MS

export function createEntryGate (
  env: environment.Environment, parts: EntryGateParts, signal: AbortSignal
): EntryGate {
  return { refusalOf, isAdvertised: () => !parts.drain.isDraining() && parts.guard.mayServe(), waitUntilDrained }

  function refusalOf (requestHeaders: http.IncomingHttpHeaders): outcomes.Refusal | undefined {
    // An earlier request with the same key, or the stream to resume, may have run through another entry.
    const isResumed = requestHeaders[headers.callerHeaders.lastEventId] !== undefined
    const mayHaveRun = isResumed || requestHeaders[headers.callerHeaders.idempotencyKey] !== undefined
    const outcome = mayHaveRun ? 'may_have_run' : 'not_run'
    if (!parts.guard.mayServe()) {
      const detail = parts.guard.hasCopy()
        ? 'the entry was cut off or paused and its configuration is not confirmed yet'
        : 'the entry has no configuration yet'
      return outcomes.refuse('configuration_stale', 503, outcome, detail, RETRY_AFTER_MS)
    }
    // Only this entry can make the first dispatch for a key that it issued, so forwarded requests are accepted.
    const isForwarded = requestHeaders[headers.agentHeaders.forwarded] !== undefined
    // A resumed stream is no new request, and the other entries may stop too.
    if (hasGraceEnded() && !isForwarded && !isResumed) return outcomes.refuse('draining', 503, outcome, 'the entry is in graceful shutdown', RETRY_AFTER_MS)
    return undefined
  }

  function hasGraceEnded (): boolean {
    const startedAtMs = parts.drain.startedAtMs()
    return startedAtMs !== undefined && env.nowMs() - startedAtMs >= DRAIN_GRACE_MS
  }

  async function waitUntilDrained (): Promise<void> {
    while (!signal.aborted) {
      const arrived = parts.arrivals.count
      await parts.arrivals.untilQuiet(DRAIN_POLL_MS)
      if (hasGraceEnded() && parts.inFlight() === 0 && parts.arrivals.count === arrived) return
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS))
    }
  }
}
