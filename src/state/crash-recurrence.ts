/**
 * Finds features that occur in one crash of a backend server after the other, wherever in its response a crash comes.
 *
 * Load pattern: requests with one part in common crash each backend server that writes their response, after some of
 * it has got out. A first event therefore shows nothing. Sound requests that share their other parts are interrupted by
 * the same crashes, and a lock-step group cuts all of its other responses as well, which shows nothing of these.
 *
 * A feature recurs when several backend servers have crashed with it, not all at the same time, and no response with it
 * has ended whole since. Of several such features, those are set aside with which many responses went on past the
 * point at which backend servers crashed: a request that is itself interrupted later does not count.
 */

export interface Recurrences {
  byFeature: Map<string, Recurrence>
}

interface Recurrence {
  /** By incarnation of the backend server that ran a request with the feature. */
  crashes: Map<string, RecurringCrash>
  /** Calls whose response went on past that point. */
  passed: Set<string>
  changedAtMs: number
}

interface RecurringCrash {
  firstAtMs: number
  /** Later than the first time if the backend server crashed again before its row said so. */
  lastAtMs: number
  /** Number of events that had arrived of the response that had gone furthest. */
  events: number
}

/** A request that a crash interrupted. */
export interface Interrupted {
  features: readonly string[]
  /** Tells the copies of a request apart. */
  call: string
  backend: string
  /** Number of events of the response that had arrived. */
  events: number
}

/** Crashes with a feature until it is blamed. */
const MIN_CRASHES = 3
/** Crashes within this time may have one cause that no request has, such as a loss of power. */
const SAME_CAUSE_MS = 500
/** Events by which a response has to pass the point of a crash, since some may not have arrived when it broke off. */
const PASSING_EVENTS = 2
/** A feature is not blamed if this many times more responses passed the point than backend servers crashed. */
const MAX_PASSED_PER_CRASH = 8
const LIFETIME_MS = 60_000
const MAX_FEATURES = 2_000
const MAX_PASSED = 64

export function createRecurrences (): Recurrences {
  return { byFeature: new Map() }
}

export function noteCrash (state: Recurrences, interrupted: Interrupted, nowMs: number): void {
  prune(state, nowMs)
  const { call, backend, events } = interrupted
  for (const feature of interrupted.features) {
    const known = state.byFeature.get(feature) ??
      { crashes: new Map(), passed: new Set(), changedAtMs: nowMs }
    state.byFeature.set(feature, known)
    const crash = known.crashes.get(backend) ?? { firstAtMs: nowMs, lastAtMs: nowMs, events }
    crash.lastAtMs = nowMs
    crash.events = Math.max(crash.events, events)
    known.crashes.set(backend, crash)
    known.passed.delete(call)
    known.changedAtMs = nowMs
  }
}

/** @returns the features with which this response has now gone on past the point of the crashes. */
export function noteEvents (state: Recurrences, features: readonly string[], call: string, events: number): string[] {
  const passed = features.filter(feature => {
    const known = state.byFeature.get(feature)
    return known !== undefined && events >= pointOf(known) + PASSING_EVENTS && !known.passed.has(call) &&
      known.passed.size < MAX_PASSED
  })
  applyPassed(state, passed, call)
  return passed
}

export function applyPassed (state: Recurrences, features: readonly string[], call: string): void {
  for (const feature of features) state.byFeature.get(feature)?.passed.add(call)
}

/**
 * Records that a response broke off without a crash of its backend server: it shows nothing.
 * @returns whether it had gone on past the point of a crash.
 */
export function noteCut (state: Recurrences, features: readonly string[], call: string): boolean {
  return features.filter(feature => state.byFeature.get(feature)?.passed.delete(call) === true).length > 0
}

/** Records that a response ended whole. @returns the features that no longer recur. */
export function clear (state: Recurrences, features: readonly string[]): string[] {
  return features.filter(feature => state.byFeature.delete(feature))
}

/** Removes a crash whose cause is known, except from the cause itself. */
export function explain (state: Recurrences, backend: string, cause: string): void {
  for (const [feature, known] of state.byFeature) {
    if (feature === cause) continue
    known.crashes.delete(backend)
    if (known.crashes.size === 0) state.byFeature.delete(feature)
  }
}

/** Whether enough backend servers have crashed with the feature. */
export function recurs (state: Recurrences, feature: string): boolean {
  const known = state.byFeature.get(feature)
  if (known === undefined || known.crashes.size < MIN_CRASHES) return false
  const crashes = [...known.crashes.values()]
  const firstAtMs = Math.min(...crashes.map(crash => crash.firstAtMs))
  return Math.max(...crashes.map(crash => crash.lastAtMs)) - firstAtMs >= SAME_CAUSE_MS
}

/**
 * Determines which parts of an interrupted request explain the crashes: those that are only to blame together, and
 * parts that are not in this request and could explain them as well.
 */
export function culprits (
  state: Recurrences, parts: readonly string[], allParts: ReadonlySet<string>
): { own: string[], rivals: string[] } {
  const repeated = [...allParts].filter(part => crashesOf(state, part) >= MIN_CRASHES - 1)
  const fewestPassed = Math.min(...repeated.map(part => passedOf(state, part)))
  const mostPassed = fewestPassed + Math.sqrt(fewestPassed) + 1
  const isPossible = (part: string): boolean => passedOf(state, part) <= mostPassed &&
    passedOf(state, part) <= MAX_PASSED_PER_CRASH * crashesOf(state, part)
  const own = parts.filter(part => recurs(state, part) && isPossible(part))
  const fewestCrashes = Math.min(...own.map(part => crashesOf(state, part)))
  // The report of one interrupted request may have been lost.
  const isRival = (part: string): boolean => !own.includes(part) && isPossible(part) &&
    crashesOf(state, part) >= Math.max(MIN_CRASHES - 1, fewestCrashes - 1)
  return { own, rivals: own.length === 0 ? [] : [...allParts].filter(isRival) }
}

/** Number of events that got out before the earliest of the crashes. */
function pointOf (recurrence: Recurrence): number {
  return Math.min(...[...recurrence.crashes.values()].map(({ events }) => events))
}

export function crashesOf (state: Recurrences, feature: string): number {
  return state.byFeature.get(feature)?.crashes.size ?? 0
}

function passedOf (state: Recurrences, feature: string): number {
  return state.byFeature.get(feature)?.passed.size ?? 0
}

function prune (state: Recurrences, nowMs: number): void {
  for (const [feature, known] of state.byFeature) {
    const isOver = known.changedAtMs + LIFETIME_MS < nowMs
    if (isOver || state.byFeature.size > MAX_FEATURES) state.byFeature.delete(feature)
  }
}
