/**
 * Watches one attempt: ends it at the deadline, when the client disconnects, or when another attempt has responded, and
 * tells when the backend server is silent for too long.
 */

import * as backendPool from '../../state/backend-pool.js'
import * as rankSilence from '../../state/rank-silence.js'
import * as routingTable from '../../state/routing-table.js'
import * as shutdown from './shutdown.js'
import type * as callModule from './call.js'
import type * as context from './context.js'

/**
 * A silent resumable stream is tried at another backend server before clients give up, which they do after two seconds
 * without an event.
 */
const EVENT_TIMEOUT_MS = 1_100
/**
 * A request without a response is also sent to another backend server after this multiple of the service's usual time.
 * When the whole service is slow, for example under high load, a second attempt gains nothing.
 */
const FIRST_RESPONSE_TIMEOUT_FACTOR = 4
const MIN_FIRST_RESPONSE_TIMEOUT_MS = 700

/** A request at a rank whose host has stopped is tried elsewhere after this time, whatever the usual time is. */
const STOPPED_HOST_TIMEOUT_MS = 700

/** Interval at which a silent attempt is checked again. */
const SILENCE_CHECK_MS = 100
/** Interval at which an overdue attempt asks again for another one, for as long as none could be started. */
const OVERDUE_REPEAT_MS = 300

type StopReason = 'deadline' | 'client' | 'superseded'

export class AttemptWatch {
  stopReason: StopReason | undefined
  readonly #ctx: context.GatewayContext
  readonly #backend: backendPool.Backend
  readonly #controller = new AbortController()
  readonly #deadlineTimer: NodeJS.Timeout
  readonly #mayRepeat: boolean
  readonly #onOverdue: () => void
  readonly #sentAtMs: number
  readonly #call: callModule.Call
  #silenceTimeoutMs: number
  #silentSinceMs: number
  /** Whether an event or a whole response has arrived. */
  hasResponded = false
  /** Whether the response has ended in a way that a crash can't bring about. */
  hasEndedWhole = false
  readonly #callSignal: AbortSignal
  readonly #onAborted: () => void
  #silenceTimer: NodeJS.Timeout | undefined

  constructor (
    ctx: context.GatewayContext, request: callModule.Call, backend: backendPool.Backend, onOverdue: () => void
  ) {
    this.#ctx = ctx
    this.#backend = backend
    this.#onOverdue = onOverdue
    this.#deadlineTimer = setTimeout(() => { this.stop('deadline') }, Math.max(0, request.deadlineAtMs - ctx.nowMs()))
    this.#mayRepeat = routingTable.mayRepeat(request.route)
    this.#silenceTimeoutMs = Math.max(
      MIN_FIRST_RESPONSE_TIMEOUT_MS,
      FIRST_RESPONSE_TIMEOUT_FACTOR * backendPool.firstResponseMs(ctx.pool, request.service)
    )
    this.#sentAtMs = ctx.nowMs()
    this.#silentSinceMs = this.#sentAtMs
    this.#call = request
    this.#callSignal = request.signal
    this.#onAborted = () => { this.stop(shutdown.isStopping(request.signal) ? 'deadline' : 'client') }
    if (request.signal.aborted) this.#onAborted()
    else request.signal.addEventListener('abort', this.#onAborted, { once: true })
    this.restartSilenceTimer()
  }

  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** Called when an event or a whole response has arrived. */
  noteEvent (): void {
    if (!this.hasResponded) {
      this.hasResponded = true
      this.#ctx.suspects.noteBegun(this.#call)
      this.#silenceTimeoutMs = EVENT_TIMEOUT_MS
      backendPool.noteFirstResponse(this.#ctx.pool, this.#call.service, this.#ctx.nowMs() - this.#sentAtMs)
    }
    backendPool.noteHeard(this.#backend, this.#ctx.nowMs())
    this.restartSilenceTimer()
  }

  restartSilenceTimer (): void {
    clearTimeout(this.#silenceTimer)
    if (!this.#mayRepeat || this.stopReason !== undefined) return
    this.#silentSinceMs = this.#ctx.nowMs()
    this.#checkSilenceIn(Math.min(this.#silenceTimeoutMs, STOPPED_HOST_TIMEOUT_MS))
  }

  #checkSilenceIn (delayMs: number): void {
    this.#silenceTimer = setTimeout(() => { this.#checkSilence() }, delayMs)
  }

  /** A rank is not at fault when its whole group is stalled, nor any backend server when the client does not read. */
  #checkSilence (): void {
    if (this.#call.response.writableNeedDrain) this.restartSilenceTimer()
    else if (!this.isOverdue()) {
      this.#checkSilenceIn(Math.max(1, Math.min(this.#remainingSilenceMs(), SILENCE_CHECK_MS)))
    } else if (backendPool.isGroupStalled(this.#ctx.pool, this.#backend, this.#ctx.nowMs())) {
      this.#checkSilenceIn(SILENCE_CHECK_MS)
    } else {
      this.#checkSilenceIn(OVERDUE_REPEAT_MS)
      this.#onOverdue()
    }
  }

  isOverdue (): boolean {
    if (!this.#mayRepeat) return false
    return this.#remainingSilenceMs() <= 0 || rankSilence.isSilent(this.#ctx.pool, this.#backend, this.#ctx.nowMs())
  }

  #remainingSilenceMs (): number {
    return this.#silentSinceMs + this.#silenceTimeoutMs - this.#ctx.nowMs()
  }

  outcome (wasSent: boolean): callModule.AttemptOutcome {
    if (this.stopReason === 'client') return { kind: 'client_gone' }
    if (this.stopReason === 'deadline') return { kind: 'timed_out', wasSent }
    return { kind: 'superseded', wasSent }
  }

  close (): void {
    clearTimeout(this.#deadlineTimer)
    clearTimeout(this.#silenceTimer)
    this.#callSignal.removeEventListener('abort', this.#onAborted)
  }

  stop (reason: StopReason): void {
    this.stopReason ??= reason
    clearTimeout(this.#silenceTimer)
    this.#controller.abort()
  }
}
