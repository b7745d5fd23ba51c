/**
 * Queues of requests that wait for a backend server, one for each service. A request leaves its queue when a slot is
 * free, when it is too late to start it, or when its client disconnects.
 */

import * as backendLimits from '../../state/backend-limits.js'
import * as backendPool from '../../state/backend-pool.js'
import * as placement from '../../state/placement.js'
import * as recentRate from '../../state/recent-rate.js'
import * as waitQueue from '../../state/wait-queue.js'
import type * as runtime from '../runtime.js'

export interface PlaceRequest {
  call: waitQueue.WaitingCall
  service: string
  /** Ids of backend servers that the request was already sent to. */
  excluded: ReadonlySet<string>
  /** Ids of those that run it now. */
  running?: ReadonlySet<string>
  /** Sum of prompt and expected output tokens. */
  tokens: number
  /** Latest start as of now, for a call that waits while a shutdown begins. */
  latestStartMs?: () => number
  /** Aborted when the client disconnects or the deadline passes. */
  signal: AbortSignal
}

export type RefusalReason = 'queue_full' | 'too_late' | 'no_backend' | 'paused' | 'limited'

export type PlaceResult =
  | { kind: 'placed', backend: backendPool.Backend }
  | { kind: 'refused', reason: RefusalReason, retryAfterMs: number }
  | { kind: 'aborted' }

export interface ServiceQueueOptions {
  runtime: runtime.Runtime
  pool: backendPool.BackendPool
  failureDomain: string
  /** Number of gateways that share the service's slots. */
  gatewayCount: () => number
  /** Number of calls that wait at all entries for a service whose backend servers have stated limits. */
  backlogAtLimit: (service: string) => number
  /** Called when a call has to wait for a service. */
  onWaiting: (service: string) => void
  signal: AbortSignal
}

interface Waiter extends waitQueue.WaitingCall {
  request: PlaceRequest
  settle: (result: PlaceResult) => void
  onAbort: () => void
}

/** Slots that other gateways' requests free are known only from reports, so waiting calls are retried periodically. */
const RETRY_INTERVAL_MS = 20

export class ServiceQueue {
  readonly #options: ServiceQueueOptions
  readonly #waiting = new Map<string, Waiter[]>()
  /** Calls of each service that got a backend server. */
  readonly #placed = new Map<string, recentRate.RecentRate>()
  /** Calls of each service that needed one. */
  readonly #arrived = new Map<string, recentRate.RecentRate>()
  /** Services without any backend server that accepts work. */
  readonly #unavailable = new Set<string>()
  /** Services whose backend servers all asked for a pause, with the end of the first one. */
  readonly #pausedUntilMs = new Map<string, number>()
  /** Services whose backend servers have all stated limits, with the sum of these in requests a second. */
  readonly #limitedPerSecond = new Map<string, number>()
  /** Number of slots of each service when it last had a backend server. */
  readonly #slots = new Map<string, number>()

  constructor (options: ServiceQueueOptions) {
    this.#options = options
    const timer = setInterval(() => { this.placeWaiting() }, RETRY_INTERVAL_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  /** Number of waiting requests of a service. */
  waitingCount (service: string): number {
    return this.#waiting.get(service)?.length ?? 0
  }

  /** Requests a second that need a backend server of a service. */
  arrivalsPerSecond (service: string): number {
    return recentRate.perSecond(rateOf(this.#arrived, service), this.#options.runtime.nowMs())
  }

  /** Resolves when a slot is assigned to the request, or with the reason why none was. */
  async acquire (request: PlaceRequest): Promise<PlaceResult> {
    const { runtime: { nowMs, metrics }, onWaiting } = this.#options
    const waiters = this.#waitersOf(request.service)
    if (request.signal.aborted) return { kind: 'aborted' }
    recentRate.noteEvent(rateOf(this.#arrived, request.service), nowMs())
    // Requests that run and wait for another backend server as well keep no other one from a free slot.
    const ahead = waiters.filter(waiter => waiter.request.running === undefined).length
    if (ahead === 0) {
      const backend = this.#tryPlace(request)
      if (backend !== undefined) return { kind: 'placed', backend }
    }
    if (this.#isPausedTooLong(request)) return this.#refusal('paused', request.service, request.call)
    if (request.call.latestStartMs < nowMs()) return this.#refusal('too_late', request.service, request.call)
    if (this.#limitedPerSecond.has(request.service)) metrics.heldBack.inc({ service: request.service })
    if (!this.#hasRoom(request, ahead)) return this.#refusal('queue_full', request.service, request.call)
    return await new Promise(resolve => {
      const waiter: Waiter = {
        ...request.call,
        request,
        settle: result => {
          request.signal.removeEventListener('abort', waiter.onAbort)
          resolve(result)
        },
        onAbort: () => {
          const index = waiters.indexOf(waiter)
          if (index >= 0) waiters.splice(index, 1)
          resolve({ kind: 'aborted' })
        }
      }
      request.signal.addEventListener('abort', waiter.onAbort, { once: true })
      waiters.push(waiter)
      onWaiting(request.service)
    })
  }

  #hasRoom (request: PlaceRequest, waiting: number): boolean {
    const { gatewayCount, runtime: { nowMs } } = this.#options
    if (this.#unavailable.has(request.service)) {
      // A process that has just started may have the service's backend servers in its list without having seen them
      // accept work.
      const slots = Math.max(this.#slots.get(request.service) ?? 0, this.#listedSlots(request.service))
      return waitQueue.hasQueueCapacityInOutage(waiting, slots / gatewayCount(), request.call)
    }
    const limitedWaitMs = this.#waitAtLimitMs(request.service)
    if (limitedWaitMs !== undefined) return waitQueue.mayWaitForPermit(limitedWaitMs, request.call, nowMs())
    return waitQueue.hasQueueCapacity(rateOf(this.#placed, request.service), waiting, request.call, nowMs())
  }

  /** Undefined while a backend server of the service has no limit. */
  #waitAtLimitMs (service: string): number | undefined {
    const perSecond = this.#limitedPerSecond.get(service)
    if (perSecond === undefined) return undefined
    const waiting = Math.max(this.waitingCount(service), this.#options.backlogAtLimit(service))
    return waitQueue.expectedWaitAtLimitMs(waiting, perSecond)
  }

  /** Called when the process begins to stop. Refuses at once the waiting calls that can't end in time any more. */
  refreshLatestStarts (): void {
    for (const waiters of this.#waiting.values()) {
      for (const waiter of waiters) waiter.latestStartMs = waiter.request.latestStartMs?.() ?? waiter.latestStartMs
    }
    this.placeWaiting()
  }

  /** Assigns free slots to waiting requests; called whenever a slot may have become free. */
  placeWaiting (): void {
    for (const [service, waiters] of this.#waiting) if (waiters.length > 0) this.#placeWaitingOf(service, waiters)
  }

  #placeWaitingOf (service: string, waiters: Waiter[]): void {
    const { nowMs } = this.#options.runtime
    const expired = waitQueue.removeExpired(waiters, nowMs())
    const late = this.#limitedPerSecond.has(service) ? waitQueue.removeLate(waiters, nowMs()) : []
    for (const waiter of [...expired, ...late] as Waiter[]) waiter.settle(this.#refusal('too_late', service, waiter))
    let candidates = waiters
    for (;;) {
      const index = waitQueue.nextIndex(candidates, nowMs())
      if (index < 0) return
      const waiter = candidates[index]!
      const backend = this.#tryPlace(waiter.request)
      if (backend !== undefined) {
        waiters.splice(waiters.indexOf(waiter), 1)
        waiter.settle({ kind: 'placed', backend })
        candidates = candidates.filter(other => other !== waiter)
      } else if (waiter.request.excluded.size > 0 || waiter.request.running !== undefined) {
        // The next request may be allowed to use a slot that this one may not.
        candidates = candidates.filter(other => other !== waiter)
      } else break
    }
    if (this.#pausedUntilMs.has(service)) this.#refusePaused(service, waiters)
  }

  /** Calls that can't start before the first pause ends are refused at once. */
  #refusePaused (service: string, waiters: Waiter[]): void {
    for (const waiter of waiters.filter(candidate => this.#isPausedTooLong(candidate.request))) {
      waiters.splice(waiters.indexOf(waiter), 1)
      waiter.settle(this.#refusal('paused', service, waiter))
    }
  }

  #isPausedTooLong (request: PlaceRequest): boolean {
    return (this.#pausedUntilMs.get(request.service) ?? -Infinity) > request.call.latestStartMs
  }

  /** Reserves a slot in the same turn of the event loop, so that no other request can get it. */
  #tryPlace (request: PlaceRequest): backendPool.Backend | undefined {
    const { pool, failureDomain, runtime: { nowMs, random, metrics } } = this.#options
    const found = placement.place(pool, {
      service: request.service,
      failureDomain,
      excluded: request.excluded,
      running: request.running,
      nowMs: nowMs(),
      random
    })
    if (found.kind === 'paused') this.#pausedUntilMs.set(request.service, found.untilMs)
    else this.#pausedUntilMs.delete(request.service)
    if (found.kind === 'limited') this.#limitedPerSecond.set(request.service, found.perSecond)
    else this.#limitedPerSecond.delete(request.service)
    if (found.kind === 'none' || found.kind === 'paused') {
      this.#unavailable.add(request.service)
      return undefined
    }
    if (this.#unavailable.delete(request.service) || !this.#slots.has(request.service)) this.#noteSlots(request.service)
    if (found.kind === 'full' || found.kind === 'limited') return undefined
    if (backendLimits.limitOf(pool.limits, found.backend.row) !== undefined) {
      backendLimits.takePermit(pool.limits, found.backend.row, nowMs())
      metrics.limitPermits.inc({ outcome: 'used' })
    }
    backendPool.noteSent(found.backend, request.tokens, nowMs())
    recentRate.noteEvent(rateOf(this.#placed, request.service), nowMs())
    return found.backend
  }

  #noteSlots (service: string): void {
    this.#slots.set(service, this.#listedSlots(service))
  }

  #listedSlots (service: string): number {
    const slots = backendPool.backendsOf(this.#options.pool, service).map(backendPool.slotsOf)
    return slots.reduce((sum, count) => sum + count, 0)
  }

  #refusal (reason: RefusalReason, service: string, call: waitQueue.WaitingCall): PlaceResult {
    const { nowMs, random } = this.#options.runtime
    const pausedUntilMs = this.#pausedUntilMs.get(service)
    if (pausedUntilMs !== undefined) {
      const retryAfterMs = waitQueue.retryAfterPauseMs(pausedUntilMs - nowMs(), random())
      return { kind: 'refused', reason: 'paused', retryAfterMs }
    }
    const limitedWaitMs = this.#waitAtLimitMs(service)
    const isUnavailable = this.#unavailable.has(service)
    // It is unknown when the service has a backend server again.
    const expectedMs = isUnavailable
      ? undefined
      : limitedWaitMs ?? waitQueue.expectedWaitMs(rateOf(this.#placed, service), this.waitingCount(service), nowMs())
    return {
      kind: 'refused',
      reason: isUnavailable ? 'no_backend' : limitedWaitMs === undefined ? reason : 'limited',
      retryAfterMs: waitQueue.retryAfterMs(expectedMs, call.clientDeadlineAtMs - nowMs(), random())
    }
  }

  #waitersOf (service: string): Waiter[] {
    let waiters = this.#waiting.get(service)
    if (waiters === undefined) {
      waiters = []
      this.#waiting.set(service, waiters)
    }
    return waiters
  }
}

function rateOf (rates: Map<string, recentRate.RecentRate>, service: string): recentRate.RecentRate {
  let rate = rates.get(service)
  if (rate === undefined) {
    rate = recentRate.createRate()
    rates.set(service, rate)
  }
  return rate
}
