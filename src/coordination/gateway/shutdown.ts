/**
 * Planned stop of a gateway: what it still accepts, when each open request has its answer, and when the process may
 * exit.
 */

import * as timers from 'node:timers/promises'
import * as serviceTimes from '../../state/service-times.js'
import * as shutdownWindow from '../../state/shutdown-window.js'
import * as streamPace from '../../state/stream-pace.js'
import * as waitQueue from '../../state/wait-queue.js'
import * as callTimes from './call-times.js'
import type * as http from 'node:http'
import type * as arrivalsModule from '../../transport/arrivals.js'
import type * as runtime from '../runtime.js'

export interface ShutdownOptions {
  runtime: runtime.Runtime
  /** Time from the beginning of the shutdown until the platform kills the process. */
  shutdownMs: number
  /** Whether clients that are refused can go to another entry. */
  hasReadyPeer: () => boolean
  /** Usual time until a response of a service begins. */
  firstResponseMs: (service: string) => number
  /** What clients send. */
  arrivals: arrivalsModule.Arrivals
}

interface StoppableCall extends callTimes.TimedCall {
  service: string
  deadlineAtMs: number
}

/** Why the handling of a request was aborted; the reason of its signal. */
export type AbortCause = 'client' | 'shutdown'

/** Pause before a refused client tries another entry. */
const OTHER_ENTRY_RETRY_MS = 50
const POLL_MS = 20
/** A poll that comes so late shows that the process was held up, and that bytes have arrived which it has not read. */
const HELD_UP_MS = 100
/** Time to send the last answers. */
const FLUSH_MS = 50
const FLUSH_POLL_MS = 5
/** Most responses begin within this multiple of the usual time. */
const FIRST_RESPONSE_SPREAD = 1.5

export class Shutdown {
  /** Durations of requests at backend servers. */
  readonly times = serviceTimes.createServiceTimes()
  /** How fast streams advance at backend servers. */
  readonly paces = streamPace.createPaces()
  readonly #options: ShutdownOptions
  readonly #open = new Set<AbortController>()
  #window: shutdownWindow.ShutdownWindow | undefined
  #overdueAtMs = -Infinity

  constructor (options: ShutdownOptions) {
    this.#options = options
  }

  /** Whether responses ask clients to close their connections. */
  get isDraining (): boolean {
    return this.#window !== undefined
  }

  /** Time since the process began to stop, for the log; undefined while it does not stop. */
  get stoppingForMs (): number | undefined {
    return this.#window === undefined ? undefined : Math.round(this.#options.runtime.nowMs() - this.#window.startedAtMs)
  }

  /** Time at which each open request is answered; Infinity while the process does not stop. */
  get answerByMs (): number {
    return this.#window?.answerByMs ?? Infinity
  }

  /** @returns a signal that is aborted, with an AbortCause, when the client leaves or the shutdown time is over. */
  open (response: http.ServerResponse): AbortSignal {
    const controller = new AbortController()
    this.#open.add(controller)
    response.once('close', () => {
      this.#open.delete(controller)
      if (!response.writableFinished) abort(controller, 'client')
    })
    if (this.#options.runtime.nowMs() >= this.answerByMs) abort(controller, 'shutdown')
    return controller.signal
  }

  /** Latest time to send a request to a backend server; Infinity while the process does not stop. */
  latestStartMs (call: StoppableCall): number {
    if (this.#window === undefined) return Infinity
    return shutdownWindow.latestStartMs(this.#window, call.deadlineAtMs, this.#neededTime(call))
  }

  /**
   * The same for a stream that goes on elsewhere. It is cut if it may not, so that its usual time decides.
   * @param servedMs time for which it has already been served.
   */
  latestContinuationMs (call: StoppableCall, servedMs: number): number {
    if (this.#window === undefined) return Infinity
    const restMs = Math.max(0, this.#usualMs(call) - servedMs)
    return shutdownWindow.latestStartMs(this.#window, call.deadlineAtMs, { usualMs: restMs, longestMs: restMs })
  }

  /** Latest time to accept a new request; Infinity while the process does not stop. */
  latestAcceptMs (call: StoppableCall): number {
    if (this.#window === undefined) return Infinity
    const { hasReadyPeer, runtime: { nowMs } } = this.#options
    const risk = { hasReadyPeer: hasReadyPeer(), overdueAtMs: this.#overdueAtMs }
    const reserveMs = call.route.isStream ? shutdownWindow.streamReserveMs(risk, nowMs()) : 0
    return shutdownWindow.latestStartMs(this.#window, call.deadlineAtMs, { ...this.#neededTime(call), reserveMs })
  }

  #neededTime (call: StoppableCall): shutdownWindow.NeededTime {
    const { isStream } = call.route
    const usualMs = this.#usualMs(call)
    const statedMs = this.#statedLongestMs(call)
    if (statedMs !== undefined) return { usualMs, longestMs: isStream ? statedMs : Math.max(usualMs, statedMs) }
    return { usualMs, longestMs: isStream ? this.#usualMs(call, serviceTimes.MIN_SAMPLES_OF_UNKNOWN_LENGTH) : usualMs }
  }

  #usualMs (call: StoppableCall, minSamples?: number): number {
    const expectedMs = callTimes.expectedServiceMs(call)
    return serviceTimes.neededMs(this.times, call.route.name, expectedMs, this.#options.runtime.nowMs(), minSamples)
  }

  #statedLongestMs (call: StoppableCall): number | undefined {
    const { firstResponseMs, runtime: { nowMs } } = this.#options
    const pace = streamPace.paceOf(this.paces, call.service, nowMs())
    return callTimes.longestServiceMs(call, pace, firstResponseMs(call.service) * FIRST_RESPONSE_SPREAD)
  }

  /** Called when a stream that has begun is overdue. */
  noteOverdueStream (): void {
    this.#overdueAtMs = this.#options.runtime.nowMs()
  }

  /** Pause after which the client of a refused request may retry. */
  retryAfterMs (remainingMs: number): number {
    const { hasReadyPeer, runtime: { random } } = this.#options
    return hasReadyPeer() ? OTHER_ENTRY_RETRY_MS : waitQueue.retryAfterMs(undefined, remainingMs, random())
  }

  begin (): void {
    this.#window = shutdownWindow.openWindow(this.#options.shutdownMs, this.#options.runtime.nowMs())
  }

  /**
   * Serves requests of clients that have not left yet, and resolves when the process may exit: when they have had time
   * to leave and nothing is in flight, or when the shutdown time is nearly over.
   */
  async finish (server: http.Server | undefined, clientLeaveMs: number): Promise<void> {
    const { arrivals, runtime: { nowMs, log } } = this.#options
    const { startedAtMs, answerByMs, exitByMs } = this.#window!
    const closed = new AbortController()
    let polledAtMs = nowMs()
    let hasBeenIdle = false
    let arrived = arrivals.count
    while (nowMs() < exitByMs && !closed.signal.aborted) {
      await arrivals.untilQuiet(POLL_MS)
      const isIdle = this.#open.size === 0 && arrivals.count === arrived && nowMs() - polledAtMs < HELD_UP_MS
      arrived = arrivals.count
      polledAtMs = nowMs()
      if (polledAtMs >= answerByMs) this.#abortOpen()
      if (isIdle && hasBeenIdle && polledAtMs - startedAtMs > clientLeaveMs) {
        if (server === undefined) break
        // A connection on which a request has begun stays open until its response is sent.
        if (server.listening) server.close(() => { closed.abort() })
        server.closeIdleConnections()
      }
      hasBeenIdle = isIdle
      await timers.setTimeout(POLL_MS)
    }
    // The process may have been held up until now. What has arrived meanwhile is read, and refused.
    const flushedByMs = nowMs() + FLUSH_MS
    await arrivals.untilQuiet(FLUSH_MS)
    this.#abortOpen()
    while (this.#open.size > 0 && nowMs() < flushedByMs) await timers.setTimeout(FLUSH_POLL_MS)
    if (this.#open.size > 0) log.emit('drainOverdue', { requests: this.#open.size })
  }

  #abortOpen (): void {
    for (const controller of this.#open) abort(controller, 'shutdown')
  }
}

function abort (controller: AbortController, cause: AbortCause): void {
  if (!controller.signal.aborted) controller.abort(cause)
}

/** Whether a request ends because the process stops, and not because its client has left. */
export function isStopping (signal: AbortSignal): boolean {
  return signal.aborted && signal.reason === ('shutdown' satisfies AbortCause)
}
