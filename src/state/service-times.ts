/**
 * How long requests of a route take on their backend servers, compared with what was expected of each. A process that
 * stops uses it to tell which requests it can still finish.
 */

export interface RunningRequest {
  route: string
  startedAtMs: number
  /** Expected duration. */
  expectedMs: number
}

export interface ServiceTimes {
  /** Durations of the latest requests of each route as multiples of what was expected. */
  ended: Map<string, number[]>
  running: Set<RunningRequest>
}

/** Requests of a route that are remembered. */
const MAX_SAMPLES = 64
/** With fewer, little is known of a route. */
const MIN_SAMPLES = 5
/** A request of a route of which little is known may need this multiple of what is expected of it. */
const UNKNOWN_MULTIPLE = 4
/** Routes that are remembered; those that have been idle for longest are forgotten. */
const MAX_ROUTES = 512
/** A request needs no longer than this share of the latest ones did, times the margin. */
const QUANTILE = 0.97
const MARGIN = 1.25

export function createServiceTimes (): ServiceTimes {
  return { ended: new Map(), running: new Set() }
}

export function noteStarted (times: ServiceTimes, route: string, expectedMs: number, nowMs: number): RunningRequest {
  const request = { route, startedAtMs: nowMs, expectedMs: Math.max(1, expectedMs) }
  times.running.add(request)
  return request
}

/**
 * @param isWhole whether the response is complete. A request that was given up needs at least the time that it has
 * taken, which says something only if that is longer than usual.
 */
export function noteEnded (times: ServiceTimes, request: RunningRequest, isWhole: boolean, nowMs: number): void {
  times.running.delete(request)
  const samples = times.ended.get(request.route) ?? []
  const ratio = (nowMs - request.startedAtMs) / request.expectedMs
  if (!isWhole && (samples.length === 0 || ratio <= quantileOf(samples))) return
  samples.push(ratio)
  if (samples.length > MAX_SAMPLES) samples.shift()
  // Moves the route to the end of the map's order.
  times.ended.delete(request.route)
  times.ended.set(request.route, samples)
  if (times.ended.size > MAX_ROUTES) times.ended.delete(times.ended.keys().next().value!)
}

/**
 * Time that nearly every request of a route with this expected duration needs.
 *
 * Load pattern: backend servers have just become slow. Requests that already run for longer than earlier ones did count
 * with the time that they have taken so far.
 */
export function neededMs (times: ServiceTimes, route: string, expectedMs: number, nowMs: number): number {
  const ended = times.ended.get(route) ?? []
  const usual = ended.length === 0 ? 0 : quantileOf(ended)
  const overdue = [...times.running]
    .filter(request => request.route === route)
    .map(request => (nowMs - request.startedAtMs) / request.expectedMs)
    .filter(ratio => ratio > usual)
  const samples = [...ended, ...overdue]
  const known = samples.length === 0 ? 0 : quantileOf(samples) * MARGIN
  return Math.max(known, samples.length < MIN_SAMPLES ? UNKNOWN_MULTIPLE : 0) * Math.max(1, expectedMs)
}

function quantileOf (samples: readonly number[]): number {
  const sorted = [...samples].sort((a, b) => a - b)
  return sorted[Math.ceil(QUANTILE * sorted.length) - 1]!
}
