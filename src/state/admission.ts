/**
 * Bounded queue of admitted requests that wait for a backend server. A request that would wait past its deadline is
 * refused on arrival, so that its caller need not wait until the deadline for the refusal.
 */

export interface QueuedCall {
  id: string
  /** 0 is the most urgent. */
  priority: number
  deadlineAtMs: number
}

export interface AdmissionQueue {
  /** In service order. */
  calls: QueuedCall[]
  /** Smoothed rate of requests sent to the backend server, per second, including those that did not have to queue. */
  throughput: number
  /** Requests sent to the backend server since `servedFromMs`. */
  served: number
  servedFromMs: number
  /** Smoothed service time of a request on its backend server. */
  serviceMs: number
}

export interface QueueOptions {
  /** Maximum wait in the queue; with the throughput it gives the queue's capacity. */
  maxWaitMs: number
  /** Share of the capacity that the lowest priority may use; the highest may use all of it. */
  lowestPriorityShare: number
  /** Minimum capacity in requests, which applies while the throughput is unknown. */
  minCapacity: number
}

/** A queued request that more urgent ones overtake is refused late, so the wait is short compared with deadlines. */
export const DEFAULT_QUEUE_OPTIONS: QueueOptions = { maxWaitMs: 400, lowestPriorityShare: 0.25, minCapacity: 4 }

const LOWEST_PRIORITY = 9
const THROUGHPUT_PERIOD_MS = 250
const THROUGHPUT_SMOOTHING = 0.3
const SERVICE_SMOOTHING = 0.05

export function createQueue (nowMs: number): AdmissionQueue {
  return { calls: [], throughput: 0, served: 0, servedFromMs: nowMs, serviceMs: 0 }
}

/** `full`: no capacity is left for the call's priority. `too_late`: the call would miss its deadline. */
export type OfferResult = 'queued' | 'full' | 'too_late'

/** Queues a call, unless there is no capacity for its priority or it would miss its deadline. */
export function offer (queue: AdmissionQueue, call: QueuedCall, options: QueueOptions, nowMs: number): OfferResult {
  const position = positionOf(queue, call)
  const throughput = Math.max(queue.throughput, 1)
  const waitMs = position * 1000 / throughput
  // The bound is on the whole queue, since calls behind this one wait longer because of it.
  const share = 1 - (1 - options.lowestPriorityShare) * Math.min(LOWEST_PRIORITY, call.priority) / LOWEST_PRIORITY
  const capacity = Math.max(options.minCapacity, throughput * options.maxWaitMs / 1000) * share
  if (queue.calls.length >= capacity) return 'full'
  if (nowMs + waitMs + queue.serviceMs > call.deadlineAtMs) return 'too_late'
  queue.calls.splice(position, 0, call)
  return 'queued'
}

/** Removes and returns the next call. Calls ahead of it whose deadline has passed are removed as well. */
export function take (queue: AdmissionQueue, nowMs: number): { next: QueuedCall | undefined, dropped: QueuedCall[] } {
  const dropped: QueuedCall[] = []
  for (;;) {
    const next = queue.calls.shift()
    if (next === undefined || next.deadlineAtMs > nowMs) return { next, dropped }
    dropped.push(next)
  }
}

/** Removes the calls whose deadline has passed, also while the backend server accepts no further call. */
export function dropExpired (queue: AdmissionQueue, nowMs: number): QueuedCall[] {
  const dropped = queue.calls.filter(call => call.deadlineAtMs <= nowMs)
  if (dropped.length > 0) queue.calls = queue.calls.filter(call => call.deadlineAtMs > nowMs)
  return dropped
}

/** Removes a call whose caller has disconnected. */
export function withdraw (queue: AdmissionQueue, id: string): void {
  const index = queue.calls.findIndex(call => call.id === id)
  if (index >= 0) queue.calls.splice(index, 1)
}

/** Counts a request that was sent to the backend server and updates the throughput. */
export function noteServed (queue: AdmissionQueue, nowMs: number): void {
  queue.served += 1
  const elapsedMs = nowMs - queue.servedFromMs
  if (elapsedMs < THROUGHPUT_PERIOD_MS) return
  queue.throughput += THROUGHPUT_SMOOTHING * (queue.served * 1000 / elapsedMs - queue.throughput)
  queue.served = 0
  queue.servedFromMs = nowMs
}

export function noteServiceTime (queue: AdmissionQueue, serviceMs: number): void {
  queue.serviceMs += SERVICE_SMOOTHING * (serviceMs - queue.serviceMs)
}

/**
 * Delay before a refused caller should retry. It is random, so that refused callers do not all retry at once.
 *
 * @param random uniform in [0, 1).
 */
export function retryAfterMs (random: () => number): number {
  return MIN_RETRY_AFTER_MS + random() * RETRY_AFTER_SPREAD_MS
}

const MIN_RETRY_AFTER_MS = 500
const RETRY_AFTER_SPREAD_MS = 4_500

/** Index at which a call is inserted: by priority, then by deadline, then in the order of arrival. */
function positionOf (queue: AdmissionQueue, call: QueuedCall): number {
  const index = queue.calls.findIndex(other => other.priority > call.priority ||
    (other.priority === call.priority && other.deadlineAtMs > call.deadlineAtMs))
  return index < 0 ? queue.calls.length : index
}
