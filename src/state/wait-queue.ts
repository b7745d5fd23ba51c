/**
 * Order in which waiting requests of a service get a free slot, and which are given up.
 *
 * Load pattern: after an outage or in a burst there is more work than slots. A late response keeps part of its value
 * until the deadline, a timely one has all of it: serve first what can still be timely, then late work, and give up at
 * once what can't end before its deadline.
 */

export interface WaitingCall {
  id: string
  /** 0 is the most urgent. */
  priority: number
  arrivedAtMs: number
  /** Latest start for a timely response. */
  latestTimelyStartMs: number
  /** Latest start that still ends before the deadline. */
  latestStartMs: number
  /** The client's own deadline. */
  clientDeadlineAtMs: number
  /** The client was refused before, so that a further refusal is likely to be the last answer that it gets. */
  isReturning: boolean
}

/** Removes and returns the calls that can't end before their deadline any more. */
export function removeExpired (calls: WaitingCall[], nowMs: number): WaitingCall[] {
  const expired = calls.filter(call => call.latestStartMs < nowMs)
  if (expired.length > 0) removeAll(calls, new Set(expired))
  return expired
}

/** Index of the call that gets the next free slot; -1 when none waits. */
export function nextIndex (calls: readonly WaitingCall[], nowMs: number): number {
  let best = -1
  for (let index = 0; index < calls.length; index++) {
    if (best < 0 || isBefore(calls[index]!, calls[best]!, nowMs)) best = index
  }
  return best
}

function isBefore (a: WaitingCall, b: WaitingCall, nowMs: number): boolean {
  const [isTimelyA, isTimelyB] = [nowMs <= a.latestTimelyStartMs, nowMs <= b.latestTimelyStartMs]
  if (isTimelyA !== isTimelyB) return isTimelyA
  if (a.priority !== b.priority) return a.priority < b.priority
  // Among late calls the youngest has the most of its client's patience left.
  return isTimelyA ? a.latestTimelyStartMs < b.latestTimelyStartMs : a.arrivedAtMs > b.arrivedAtMs
}

function removeAll (calls: WaitingCall[], removed: ReadonlySet<WaitingCall>): void {
  let kept = 0
  for (const call of calls) if (!removed.has(call)) calls[kept++] = call
  calls.length = kept
}

/** Placements over which the rate is measured; older ones say nothing of the load now. */
const RATE_WINDOW_MS = 1_000
/** Calls that may wait whatever the rate: a service that has just become free has no rate yet. */
const MIN_WAITING = 2

/** How fast waiting calls of a service get backend servers. */
export interface PlacementRate {
  placedAtMs: number[]
}

export function notePlaced (rate: PlacementRate, nowMs: number): void {
  rate.placedAtMs.push(nowMs)
  while (rate.placedAtMs.length > 0 && nowMs - rate.placedAtMs[0]! > RATE_WINDOW_MS) rate.placedAtMs.shift()
}

/** Time until a further call gets a backend server, at the rate of the last second. */
export function expectedWaitMs (rate: PlacementRate, waiting: number, nowMs: number): number {
  const recent = rate.placedAtMs.filter(atMs => nowMs - atMs <= RATE_WINDOW_MS).length
  return (waiting + 1) * RATE_WINDOW_MS / Math.max(1, recent)
}

/** Beyond its timely start a first attempt waits this much longer, since the rate of the last second is an estimate. */
const MAX_LATE_START_MS = 300

/**
 * Whether a further call may wait. Load pattern: a rank that is slow, or a burst, leaves less capacity than work for
 * seconds. Newcomers that can be timely go first, so that a call that waits long is passed by and abandoned; refused at
 * once, its client comes back when there may be room.
 */
export function hasQueueCapacity (rate: PlacementRate, waiting: number, call: WaitingCall, nowMs: number): boolean {
  const latestMs = call.isReturning ? call.latestStartMs : Math.min(call.latestStartMs, call.latestTimelyStartMs + MAX_LATE_START_MS)
  return waiting < MIN_WAITING || nowMs + expectedWaitMs(rate, waiting, nowMs) <= latestMs
}

/** Requests that each slot serves in turn within the time that a returning client still waits. */
const RETURNING_REQUESTS_PER_SLOT = 2

/**
 * Whether a further call may wait while the service has no backend server at all. Load pattern: a crash of one rank
 * closes its group for several seconds, longer than a client waits; all of its slots are free when it opens. A client
 * that is refused at once and comes back once is too early again, while its two waits together span the outage.
 * @param slots this gateway's share of the slots that are free when the service has backend servers again.
 */
export function hasQueueCapacityInOutage (waiting: number, slots: number, call: Pick<WaitingCall, 'isReturning'>): boolean {
  const rounds = call.isReturning ? RETURNING_REQUESTS_PER_SLOT : 1
  return waiting < Math.max(MIN_WAITING, rounds * slots)
}

const RETRY_BASE_MS = 300
/** Longer pauses leave a client of the usual deadlines too little time for the second attempt. */
const RETRY_MAX_MS = 2_200
/** Clients honour a pause up to a third of the time that they have left; the rest covers the way to them. */
const MAX_PAUSE_SHARE = 0.32
/** Earliest return, as a share of the longest pause, while nothing is known of when there is room. */
const MIN_UNKNOWN_PAUSE_SHARE = 0.75

/**
 * When a refused client may come back: once the backlog is served, spread so that they don't return together.
 *
 * @param expectedMs time until the backlog is served; undefined while the service has no backend server.
 * @param remainingMs until the client's deadline.
 * @param random uniform in [0, 1).
 */
export function retryAfterMs (expectedMs: number | undefined, remainingMs: number, random: number): number {
  const latestMs = Math.max(0, Math.min(RETRY_MAX_MS, remainingMs * MAX_PAUSE_SHARE))
  const earliestMs = expectedMs === undefined
    ? latestMs * MIN_UNKNOWN_PAUSE_SHARE
    : Math.min(latestMs / 2, RETRY_BASE_MS + expectedMs / 2)
  return Math.round(earliestMs + random * (latestMs - earliestMs))
}
