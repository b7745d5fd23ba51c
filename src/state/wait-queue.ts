/**
 * Order in which waiting requests of a service get a free slot, and when they are refused.
 *
 * Load pattern: after an outage or in a burst there are more requests than slots. A timely response has its full value,
 * and a late one part of it until the deadline. So requests that can still be timely are served first, then late ones,
 * and those that can't end before their deadline are refused at once.
 */

import * as recentRate from './recent-rate.js'

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
  /** Whether the client was refused before. A second refusal is likely to be the last answer that it gets. */
  isReturning: boolean
}

/** Removes and returns the calls that can no longer end before their deadline. */
export function removeExpired (calls: WaitingCall[], nowMs: number): WaitingCall[] {
  return removeAll(calls, call => call.latestStartMs < nowMs)
}

/**
 * Removes and returns the calls that wait for a permit and can no longer be timely: later ones would overtake them
 * until their deadline.
 */
export function removeLate (calls: WaitingCall[], nowMs: number): WaitingCall[] {
  return removeAll(calls, call => call.latestTimelyStartMs + MAX_LATE_START_MS < nowMs)
}

/** Index of the call that gets the next free slot; -1 if none waits. */
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
  // Among late calls, the client of the newest one is likely to wait longest from now on.
  return isTimelyA ? a.latestTimelyStartMs < b.latestTimelyStartMs : a.arrivedAtMs > b.arrivedAtMs
}

function removeAll (calls: WaitingCall[], isRemoved: (call: WaitingCall) => boolean): WaitingCall[] {
  const removed = calls.filter(isRemoved)
  if (removed.length === 0) return removed
  const kept = calls.filter(call => !removed.includes(call))
  calls.splice(0, calls.length, ...kept)
  return removed
}

/** Calls that may wait at any rate, because a service that has just become free has no measured rate yet. */
const MIN_WAITING = 2

/**
 * Time until one more call would get a backend server.
 * @param rate calls of the service that got one lately.
 */
export function expectedWaitMs (rate: recentRate.RecentRate, waiting: number, nowMs: number): number {
  return (waiting + 1) * 1_000 / Math.max(1, recentRate.perSecond(rate, nowMs))
}

/** A first attempt may start this much later than a timely one, because the rate of the last second is an estimate. */
const MAX_LATE_START_MS = 300

/**
 * Whether one more call may wait. Load pattern: during a burst or with a slow rank, there is more work than capacity
 * for seconds. New calls that can be timely are served first, so a call that waits long would be overtaken and
 * abandoned. If it is refused at once instead, its client retries at a time when there may be capacity.
 */
export function hasQueueCapacity (
  rate: recentRate.RecentRate, waiting: number, call: WaitingCall, nowMs: number
): boolean {
  return waiting < MIN_WAITING || nowMs + expectedWaitMs(rate, waiting, nowMs) <= latestUsefulStartMs(call)
}

function latestUsefulStartMs (call: WaitingCall): number {
  if (call.isReturning) return call.latestStartMs
  return Math.min(call.latestStartMs, call.latestTimelyStartMs + MAX_LATE_START_MS)
}

/** Number of requests that a slot can serve one after another while a returning client still waits. */
const RETURNING_REQUESTS_PER_SLOT = 2

/**
 * Whether one more call may wait while the service has no backend server. Load pattern: a crash of one rank closes its
 * group for several seconds, which is longer than a client waits; all its slots are free when it opens again. A client
 * that is refused at once and retries once would retry too early, while its two waits together span the outage.
 * @param slots this gateway's share of the slots that will be free when the service has backend servers again.
 */
export function hasQueueCapacityInOutage (
  waiting: number, slots: number, call: Pick<WaitingCall, 'isReturning'>
): boolean {
  const requestsPerSlot = call.isReturning ? RETURNING_REQUESTS_PER_SLOT : 1
  return waiting < Math.max(MIN_WAITING, requestsPerSlot * slots)
}

/**
 * Time until one more call would get a backend server when all of them have stated limits.
 *
 * @param waiting calls that wait at all entries.
 * @param perSecond sum of the limits.
 */
export function expectedWaitAtLimitMs (waiting: number, perSecond: number): number {
  return (waiting + 1) * 1_000 / perSecond
}

/**
 * Whether a call may wait for a permit. Load pattern: all backend servers of a service state limits far below its load.
 * The calls that wait at sixty entries share a few requests a second, so even one waiting call at each is too many.
 *
 * @param aheadMs expected time until the call gets a backend server.
 */
export function mayWaitForPermit (aheadMs: number, call: WaitingCall, nowMs: number): boolean {
  return nowMs + aheadMs <= Math.min(call.latestStartMs, call.latestTimelyStartMs)
}

/** Share of a pause over which clients return after it. */
const PAUSE_SPREAD = 0.25

/**
 * Time after which a client may retry when all backend servers want a pause, in milliseconds: not before the first one
 * accepts requests again.
 *
 * @param pauseMs time until then.
 * @param random uniform in [0, 1).
 */
export function retryAfterPauseMs (pauseMs: number, random: number): number {
  return Math.ceil(Math.max(0, pauseMs) * (1 + PAUSE_SPREAD * random))
}

const RETRY_BASE_MS = 300
/** With longer pauses, a client with a typical deadline has too little time left for the second attempt. */
const RETRY_MAX_MS = 2_200
/** Clients accept a pause of up to a third of their remaining time; the difference covers the network delay to them. */
const MAX_PAUSE_SHARE = 0.32
/** Shortest pause as a share of the longest one, while it is not known when there will be capacity. */
const MIN_UNKNOWN_PAUSE_SHARE = 0.75

/**
 * Time after which a refused client may retry, in milliseconds: when the backlog is served, randomized so that clients
 * don't all return at the same time.
 *
 * @param expectedMs time until the backlog is served; undefined while the service has no backend server.
 * @param remainingMs time until the client's deadline.
 * @param random uniform in [0, 1).
 */
export function retryAfterMs (expectedMs: number | undefined, remainingMs: number, random: number): number {
  const latestMs = Math.max(0, Math.min(RETRY_MAX_MS, remainingMs * MAX_PAUSE_SHARE))
  const earliestMs = expectedMs === undefined
    ? latestMs * MIN_UNKNOWN_PAUSE_SHARE
    : Math.min(latestMs / 2, RETRY_BASE_MS + expectedMs / 2)
  return Math.round(earliestMs + random * (latestMs - earliestMs))
}
