/**
 * Choice of the backend server for one request.
 *
 * Load pattern: several gateways share the slots of a service without a common queue, and more work than slots is
 * on offer. Work beyond the slots waits at the gateway, where it can still be ordered, rather than at a backend server.
 */

import * as backendPool from './backend-pool.js'

export interface PlacementQuery {
  service: string
  failureDomain: string
  /** Backend servers that the request has been on. */
  excluded: ReadonlySet<string>
  nowMs: number
  /** Uniform in [0, 1); breaks ties. */
  random: () => number
}

export type Placement =
  | { kind: 'backend', backend: backendPool.Backend }
  /** All usable backend servers are full. */
  | { kind: 'full' }
  /** No backend server of the service takes work. */
  | { kind: 'none' }

/** A rank that is slower than this holds up the passes of its group, whatever else it runs. */
const SLOW_RANK_THRESHOLD = 1.3

/**
 * Requests that a backend server may have. A slow rank of a group gets less than its share: the group waits for it in
 * each pass, and its part of a pass grows with its requests.
 */
export function capacityOf (backend: backendPool.Backend): number {
  const slots = backendPool.slotsOf(backend)
  const slowdown = backend.load?.slowdown ?? 1
  if (backend.row.group === undefined || slowdown < SLOW_RANK_THRESHOLD) return slots
  return Math.floor(slots / (slowdown * slowdown))
}

/** Load difference that a backend server in another failure domain has to make up, in requests per slot. */
const CROSS_DOMAIN_PENALTY = 0.04

export function place (pool: backendPool.BackendPool, query: PlacementQuery): Placement {
  const ready = backendPool.backendsOf(pool, query.service).filter(backend =>
    backend.row.state === 'ready' && backend.row.group?.isOpen !== false && backend.replacedUntilMs <= query.nowMs)
  if (ready.length === 0) return { kind: 'none' }
  const others = ready.filter(backend => !query.excluded.has(backend.row.id))
  // A request that has been on all of them may go back: most declined it only because they were full.
  const fresh = others.length > 0 ? others : ready
  const sound = fresh.filter(backend => backend.ejectedUntilMs <= query.nowMs)
  const usable = sound.length > 0 ? sound : fresh
  const free = usable.filter(backend =>
    backendPool.estimatedRequests(backend, query.nowMs) < capacityOf(backend))
  if (free.length === 0) return { kind: 'full' }
  let best = free[0]!
  let bestCost = Infinity
  for (const backend of candidatesOf(free, query.random)) {
    const cost = placementCost(backend, query)
    if (cost < bestCost) [best, bestCost] = [backend, cost]
  }
  return { kind: 'backend', backend: best }
}

/** Up to this many backend servers are compared in full: the gateways' own sends say most of their load. */
const MAX_FULL_COMPARISON = 4
const SAMPLE_SIZE = 2

/**
 * Backend servers that are compared. Load pattern: several gateways see the same reports, which are up to a tenth of a
 * second old, and would all send to the one that was least loaded then. The better of two random ones spreads them.
 */
function candidatesOf (free: readonly backendPool.Backend[], random: () => number): readonly backendPool.Backend[] {
  if (free.length <= MAX_FULL_COMPARISON) return free
  const rest = [...free]
  return Array.from({ length: SAMPLE_SIZE }, () => rest.splice(Math.floor(random() * rest.length), 1)[0]!)
}

function placementCost (backend: backendPool.Backend, query: PlacementQuery): number {
  const occupied = backendPool.estimatedRequests(backend, query.nowMs) / backendPool.slotsOf(backend)
  const slowdown = Math.max(1, backend.load?.slowdown ?? 1)
  const far = backend.row.failureDomain === query.failureDomain ? 0 : CROSS_DOMAIN_PENALTY
  return (occupied + 1 / backendPool.slotsOf(backend)) * slowdown + far + query.random() * CROSS_DOMAIN_PENALTY / 2
}
