/**
 * Collects what ran on backend servers when they crashed, from all gateways, and refuses what recurs there.
 */

import * as crashRecurrence from '../../state/crash-recurrence.js'
import type * as featureUsage from '../../state/feature-usage.js'
import type * as backendPool from '../../state/backend-pool.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as runtime from '../runtime.js'
import type * as gatedCall from './gated-call.js'

export type RecurrenceMessage = Extract<peerMessage.CrashMessage, { kind: 'crashed' | 'whole' | 'recurring' }>

/** Interval of the decisions while crashes wait for their reports. */
const DECIDE_INTERVAL_MS = 50

export class RecurrenceWatch {
  readonly #options: gatedCall.GateOptions
  readonly #state = crashRecurrence.createCrashRecurrence()
  /** Latest attempt of each request. */
  readonly #lastRuns = new WeakMap<gatedCall.GatedCall, { place: featureUsage.UsagePlace, durationMs: number }>()
  #decideTimer: NodeJS.Timeout | undefined

  constructor (options: gatedCall.GateOptions) {
    this.#options = options
    options.signal.addEventListener('abort', () => { clearTimeout(this.#decideTimer) }, { once: true })
  }

  isBlamed (call: gatedCall.GatedCall): boolean {
    return crashRecurrence.isBlamed(this.#state, call.features, this.#runtime.nowMs())
  }

  /** Whether a request has to wait for the result of another one. */
  isHeld (call: gatedCall.GatedCall): boolean {
    return crashRecurrence.isHeld(this.#state, call.service, call.features, this.#runtime.nowMs())
  }

  noteSent (call: gatedCall.GatedCall): void {
    crashRecurrence.noteSent(this.#state, call.service, call.features, this.#runtime.nowMs())
  }

  /** Whether a part is probably there whenever a backend server crashes. */
  isCommon (part: string): boolean {
    return crashRecurrence.isCommon(this.#state, part, this.#runtime.nowMs())
  }

  /** Called when an attempt has ended that may have run. */
  noteRun (call: gatedCall.GatedCall, row: backendPool.BackendRow, durationMs: number): void {
    const place = { service: call.service, server: row.id }
    this.#lastRuns.set(call, { place, durationMs })
    crashRecurrence.noteRun(this.#state, place, call.features, durationMs, this.#runtime.nowMs())
  }

  /** Called after `noteRun`, when a response that was not resumed has ended whole. */
  noteWhole (call: gatedCall.GatedCall): void {
    const { place, durationMs } = this.#lastRuns.get(call)!
    const cleared = crashRecurrence.noteWhole(this.#state, place, call.features, durationMs, this.#runtime.nowMs())
    if (cleared.length === 0) return
    this.#runtime.log.emit('crashFeatureSound', { request: call.id, features: cleared })
    this.#options.broadcast({ kind: 'whole', features: cleared })
  }

  /** Called when a backend server has crashed while it ran a request. */
  noteCrash (call: gatedCall.GatedCall, row: backendPool.BackendRow): void {
    const request = {
      ...call.features, call: call.id, service: call.service, server: row.id, backend: `${row.id} ${row.startedAtUnixMs}`
    }
    this.#options.broadcast({ kind: 'crashed', request })
    this.#noteCrash(request)
  }

  /** Applies a message of another gateway. */
  receive (message: RecurrenceMessage): void {
    if (message.kind === 'crashed') this.#noteCrash(message.request)
    else if (message.kind === 'whole') crashRecurrence.clear(this.#state, message.features, this.#runtime.nowMs())
    else for (const [feature, remainingMs] of message.features) this.applyBlamed(feature, remainingMs)
  }

  /** Applies what this or another gateway has blamed before. */
  applyBlamed (feature: string, remainingMs: number): void {
    crashRecurrence.applyBlamed(this.#state, feature, remainingMs, this.#runtime.nowMs())
  }

  /** Features that are blamed now, with the time for which they still are. */
  blamed (): [feature: string, remainingMs: number][] {
    return crashRecurrence.blamedFeatures(this.#state, this.#runtime.nowMs())
  }

  get #runtime (): runtime.Runtime {
    return this.#options.runtime
  }

  #noteCrash (request: crashRecurrence.CrashedRequest): void {
    crashRecurrence.noteCrash(this.#state, request, this.#runtime.nowMs())
    this.#decideTimer ??= setTimeout(() => { this.#decide() }, crashRecurrence.REPORT_MS)
  }

  #decide (): void {
    const { nowMs, random, log } = this.#runtime
    this.#decideTimer = undefined
    const blamed = crashRecurrence.decide(this.#state, nowMs(), random)
    if (blamed.length > 0) {
      log.emit('crashCauseRecurred', { features: blamed })
      this.#options.broadcast({ kind: 'recurring', features: this.blamed() })
    }
    if (crashRecurrence.hasUndecided(this.#state)) {
      this.#decideTimer = setTimeout(() => { this.#decide() }, DECIDE_INTERVAL_MS)
    }
  }
}
