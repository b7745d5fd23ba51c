/**
 * Chooses the backend server for one request.
 *
 * Load pattern: several gateways share the slots of a service without a common queue, and there are more requests than
 * slots. Excess requests wait at the gateway, where they can still be reordered, rather than at a backend server.
 */

import * as availability from './availability.js'
import * as backendLimits from './backend-limits.js'
import * as backendPool from './backend-pool.js'
import * as rankSilence from './rank-silence.js'

export interface PlacementQuery {
  service: string
  failureDomain: string
  /** Backend servers to which the request was already sent. */
  excluded: ReadonlySet<string>
  /** Those of them that run it now, and get it no second time. */
  running?: ReadonlySet<string>
  nowMs: number
  /** Uniform in [0, 1); breaks ties. */
  random: () => number
}

export type Placement =
  | { kind: 'backend', backend: backendPool.Backend }
  /** All usable backend servers are full. */
  | { kind: 'full' }
  /** No backend server of the service accepts requests. */
  | { kind: 'none' }
  /** All that would accept requests asked for a pause; the first one ends at this time. */
  | { kind: 'paused', untilMs: number }
  /** All that would accept requests have stated limits, and this entry holds no permit. */
  | { kind: 'limited', perSecond: number }

/** A rank with a slowdown from this value delays the passes of its group, whatever its own load. */
const SLOW_RANK_THRESHOLD = 1.3

/**
 * Maximum number of requests at a backend server. A slow rank of a group gets less than its share: the group waits for
 * it in each pass, and the time that it needs for a pass grows with its requests.
 */
export function capacityOf (backend: backendPool.Backend): number {
  const slots = backendPool.slotsOf(backend)
  const slowdown = backend.load?.slowdown ?? 1
  if (backend.row.group === undefined || slowdown < SLOW_RANK_THRESHOLD) return slots
  return Math.floor(slots / (slowdown * slowdown))
}

/** Cost of placing a request in another failure domain, in requests per slot. */
const CROSS_DOMAIN_PENALTY = 0.04

export function place (pool: backendPool.BackendPool, query: PlacementQuery): Placement {
  const ready: backendPool.Backend[] = []
  let pausedUntilMs = Infinity
  let limitedPerSecond: number | undefined
  let isRunning = false
  for (const backend of pool.backends.values()) {
    if (backend.row.service !== query.service) continue
    if (query.running?.has(backend.row.id) === true) {
      isRunning = true
      continue
    }
    const block = availability.blockOf(pool, backend, query.nowMs)
    if (block === undefined) ready.push(backend)
    else if (block === 'paused') pausedUntilMs = Math.min(pausedUntilMs, backend.pausedUntilMs)
    else if (block === 'limited') limitedPerSecond = (limitedPerSecond ?? 0) + backendLimits.limitOf(pool.limits, backend.row)!
  }
  if (ready.length === 0) {
    if (limitedPerSecond !== undefined) return { kind: 'limited', perSecond: limitedPerSecond }
    if (isRunning) return { kind: 'full' }
    return pausedUntilMs === Infinity ? { kind: 'none' } : { kind: 'paused', untilMs: pausedUntilMs }
  }
  // A request that was sent to all of them may return to one: most refused it only because they were full.
  const eligible = preferred(ready, backend => !query.excluded.has(backend.row.id))
  const usable = preferred(eligible, backend => availability.avoidanceOf(pool, backend, query.nowMs) === undefined)
  const free = freeOf(pool, usable, query.nowMs)
  if (free.length === 0) return { kind: 'full' }
  // A permit that is not used soon is lost, and its response shows whether the limit has ended.
  const permitted = free.filter(backend => backendLimits.limitOf(pool.limits, backend.row) !== undefined)
  const candidates = permitted.length > 0 ? permitted : candidatesOf(free, query.random)
  let best = candidates[0]!
  let bestCost = Infinity
  for (const backend of candidates) {
    const cost = placementCost(backend, query)
    if (cost < bestCost) [best, bestCost] = [backend, cost]
  }
  return { kind: 'backend', backend: best }
}

/**
 * Backend servers with a free slot. A silent rank gets a request only when no other one has a free slot, and no second
 * one before it is heard again: its agent alone may have stopped.
 */
function freeOf (
  pool: backendPool.BackendPool, usable: readonly backendPool.Backend[], nowMs: number
): backendPool.Backend[] {
  const free = usable.filter(backend => backendPool.estimatedRequests(backend, nowMs) < capacityOf(backend))
  const heard = free.filter(backend => !rankSilence.isSilent(pool, backend, nowMs))
  return heard.length > 0 ? heard : free.filter(backend => !rankSilence.wasTriedInSilence(backend))
}

/** The backend servers that meet a condition, or all if none does. */
function preferred (
  backends: backendPool.Backend[], isPreferred: (backend: backendPool.Backend) => boolean
): backendPool.Backend[] {
  const found = backends.filter(isPreferred)
  return found.length > 0 ? found : backends
}

/** Up to this many backend servers are all compared: each gateway's own requests account for most of their load. */
const MAX_FULL_COMPARISON = 4
const SAMPLE_SIZE = 2

/**
 * Backend servers to compare. Load pattern: several gateways have the same reports, which are up to 100 ms old, and
 * would all choose the server that was least loaded then. Choosing the better of two random ones spreads the requests.
 */
function candidatesOf (free: readonly backendPool.Backend[], random: () => number): readonly backendPool.Backend[] {
  if (free.length <= MAX_FULL_COMPARISON) return free
  const remaining = [...free]
  return Array.from({ length: SAMPLE_SIZE }, () => remaining.splice(Math.floor(random() * remaining.length), 1)[0]!)
}

function placementCost (backend: backendPool.Backend, query: PlacementQuery): number {
  const occupied = backendPool.estimatedRequests(backend, query.nowMs) / backendPool.slotsOf(backend)
  const slowdown = Math.max(1, backend.load?.slowdown ?? 1)
  const penalty = backend.row.failureDomain === query.failureDomain ? 0 : CROSS_DOMAIN_PENALTY
  return (occupied + 1 / backendPool.slotsOf(backend)) * slowdown + penalty + query.random() * CROSS_DOMAIN_PENALTY / 2
}
