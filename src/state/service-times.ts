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

/** Durations of the requests of a route as multiples of what was expected. */
interface RouteTimes {
  latest: number[]
  /** The longest whole one of the present period and of the one before. */
  longest: number
  longestBefore: number
  periodEndsAtMs: number
}

export interface ServiceTimes {
  ended: Map<string, RouteTimes>
  running: Set<RunningRequest>
}

/** Requests of a route that are remembered. */
const MAX_SAMPLES = 32
/** With fewer, little is known of a route. */
const MIN_SAMPLES = 5
/** The same where the length of a response is not known, so that a long one may come after many short ones. */
export const MIN_SAMPLES_OF_UNKNOWN_LENGTH = MAX_SAMPLES
/** A request of a route of which little is known may need this multiple of what is expected of it. */
const UNKNOWN_MULTIPLE = 4
/** Routes that are remembered; those that have been idle for longest are forgotten. */
const MAX_ROUTES = 512
/**
 * A share of the latest requests that tells a route that has become slow from a few requests at a backend server that
 * does not respond.
 */
const QUANTILE = 0.9
const MARGIN = 1.25
/** A stream that is cut off can't be answered otherwise, so one of the usual length must fit, however rare it is. */
const LONGEST_PERIOD_MS = 60_000
const LONGEST_MARGIN = 1.1

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
  const route = times.ended.get(request.route) ??
    { latest: [], longest: 0, longestBefore: 0, periodEndsAtMs: nowMs + LONGEST_PERIOD_MS }
  const ratio = (nowMs - request.startedAtMs) / request.expectedMs
  if (!isWhole && (route.latest.length === 0 || ratio <= quantileOf(route.latest))) return
  route.latest.push(ratio)
  if (route.latest.length > MAX_SAMPLES) route.latest.shift()
  if (isWhole) noteLongest(route, ratio, nowMs)
  // Moves the route to the end of the map's order.
  times.ended.delete(request.route)
  times.ended.set(request.route, route)
  if (times.ended.size > MAX_ROUTES) times.ended.delete(times.ended.keys().next().value!)
}

function noteLongest (route: RouteTimes, ratio: number, nowMs: number): void {
  if (nowMs > route.periodEndsAtMs) {
    route.longestBefore = nowMs > route.periodEndsAtMs + LONGEST_PERIOD_MS ? 0 : route.longest
    route.longest = 0
    route.periodEndsAtMs = nowMs + LONGEST_PERIOD_MS
  }
  route.longest = Math.max(route.longest, ratio)
}

/**
 * Time that nearly every request of a route with this expected duration needs.
 *
 * Load pattern: backend servers have just become slow. Requests that already run for longer than earlier ones did count
 * with the time that they have taken so far.
 *
 * @param minSamples number of requests with which enough is known of a route.
 */
export function neededMs (
  times: ServiceTimes, route: string, expectedMs: number, nowMs: number, minSamples = MIN_SAMPLES
): number {
  const known = times.ended.get(route)
  const latest = known?.latest ?? []
  const usual = latest.length === 0 ? 0 : quantileOf(latest)
  const overdue = [...times.running]
    .filter(request => request.route === route)
    .map(request => (nowMs - request.startedAtMs) / request.expectedMs)
    .filter(ratio => ratio > usual)
  const samples = [...latest, ...overdue]
  return Math.max(1, expectedMs) * Math.max(
    samples.length === 0 ? 0 : quantileOf(samples) * MARGIN,
    known === undefined ? 0 : Math.max(known.longest, known.longestBefore) * LONGEST_MARGIN,
    samples.length < minSamples ? UNKNOWN_MULTIPLE : 0
  )
}

function quantileOf (samples: readonly number[]): number {
  const sorted = [...samples].sort((a, b) => a - b)
  return sorted[Math.ceil(QUANTILE * sorted.length) - 1]!
}
