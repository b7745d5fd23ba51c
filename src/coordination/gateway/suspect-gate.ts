/**
 * Holds requests that may crash backend servers until it is known whether they do, and tells the other gateways what
 * this one has learned.
 */

import * as timers from 'node:timers/promises'
import * as crashSuspects from '../../state/crash-suspects.js'
import * as crashProbe from './crash-probe.js'
import * as recurrenceWatch from './recurrence-watch.js'
import type * as blameRecord from './blame-record.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as backendPool from '../../state/backend-pool.js'
import type * as gatedCall from './gated-call.js'

interface Waiting {
  /** Number of suspected features. */
  suspected: number
  /** When a slot was free for the request for the first time since the last crash. */
  offeredAtMs: number | undefined
}

export type EnterResult = 'open' | 'blamed' | 'too_late' | 'aborted'

const CHECK_INTERVAL_MS = 20
/** Interval at which blamed features are repeated, for gateways that have started or were cut off. */
const REPEAT_BLAMED_MS = 500

export class SuspectGate {
  readonly #options: gatedCall.GateOptions
  readonly #state = crashSuspects.createCrashSuspects()
  /** Requests with suspected features that have not been sent. */
  readonly #waiting = new Map<gatedCall.GatedCall, Waiting>()
  readonly #recurrence: recurrenceWatch.RecurrenceWatch
  /** Checks that are running, by incarnation of the backend server. */
  readonly #probes = new Map<string, Promise<boolean>>()

  constructor (options: gatedCall.GateOptions) {
    this.#options = options
    this.#recurrence = new recurrenceWatch.RecurrenceWatch(options)
    const timer = setInterval(() => { this.#repeatBlamed() }, REPEAT_BLAMED_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  /**
   * Waits until the request may be sent.
   * @param latestMs time after which it can't be served any more; earlier once the process stops.
   */
  async enter (call: gatedCall.GatedCall, latestMs: () => number): Promise<EnterResult> {
    const { nowMs } = this.#options.runtime
    for (;;) {
      const verdict = this.#judge(call)
      if (verdict === 'run' || verdict === 'try') return 'open'
      if (verdict === 'blamed' || call.signal.aborted || nowMs() > latestMs()) {
        this.leave(call)
        return verdict === 'blamed' ? 'blamed' : call.signal.aborted ? 'aborted' : 'too_late'
      }
      await timers.setTimeout(CHECK_INTERVAL_MS)
    }
  }

  /**
   * Decides again when a slot is free, since other requests may have been sent meanwhile.
   * @returns the suspected features that the request tries out; undefined if it may not be sent now.
   */
  start (call: gatedCall.GatedCall): string[] | undefined {
    const nowMs = this.#options.runtime.nowMs()
    const waiting = this.#waiting.get(call)
    if (waiting !== undefined) waiting.offeredAtMs ??= nowMs
    const verdict = this.#judge(call)
    if (verdict !== 'run' && verdict !== 'try') return undefined
    this.leave(call)
    const tried = crashSuspects.suspectedFeatures(this.#state, call.features, nowMs)
    crashSuspects.startTrial(this.#state, tried, nowMs)
    return tried
  }

  /** Called when a request that entered will not be sent. */
  leave (call: gatedCall.GatedCall): void {
    this.#waiting.delete(call)
  }

  /** Called when an attempt has ended. */
  end (tried: readonly string[]): void {
    crashSuspects.endTrial(this.#state, tried)
  }

  /** Called when the response of a backend server begins. */
  noteBegun (call: gatedCall.GatedCall): void {
    const cleared = crashSuspects.noteBegun(this.#state, call.features)
    if (cleared.length === 0) return
    this.#options.runtime.log.emit('crashSuspicionCleared', { request: call.id, features: cleared })
    this.#options.broadcast({ kind: 'cleared', features: cleared })
    this.#applyCleared(cleared)
  }

  /** Called when an attempt has ended that may have run. */
  noteRun (call: gatedCall.GatedCall, row: backendPool.BackendRow, durationMs: number): void {
    this.#recurrence.noteRun(call, row, durationMs)
  }

  /** Called when a response that was not resumed has ended whole. */
  noteWhole (call: gatedCall.GatedCall): void {
    this.#recurrence.noteWhole(call)
  }

  /**
   * Called when a connection broke before the response was whole. The backend server counts as crashed only if it
   * refuses new connections.
   */
  async noteBroken (
    call: gatedCall.GatedCall, row: backendPool.BackendRow, tried: readonly string[], hasBegun: boolean
  ): Promise<void> {
    const { runtime: { log }, broadcast } = this.#options
    if (!await this.#hasCrashed(row)) return
    const { startedAtUnixMs } = row
    log.emit('crashNoted', { request: call.id, backend: row.id, startedAtUnixMs, tried, hasBegun })
    this.#recurrence.noteCrash(call, row)
    if (hasBegun) return
    const interrupted = { ...call.features, backend: `${row.id} ${startedAtUnixMs}`, tried }
    broadcast({ kind: 'crash', interrupted })
    this.#noteCrash(interrupted)
  }

  /** All connections to a backend server break at once; one check is enough for them. */
  async #hasCrashed (row: backendPool.BackendRow): Promise<boolean> {
    const incarnation = `${row.id} ${row.startedAtUnixMs}`
    const running = this.#probes.get(incarnation)
    if (running !== undefined) return await running
    const probe = crashProbe.hasCrashed(row.address, this.#options.signal)
    this.#probes.set(incarnation, probe)
    try {
      return await probe
    } finally {
      this.#probes.delete(incarnation)
    }
  }

  /** Applies a message of another gateway. */
  receive (message: peerMessage.CrashMessage): void {
    const nowMs = this.#options.runtime.nowMs()
    if (message.kind === 'crash') this.#noteCrash(message.interrupted)
    else if (message.kind === 'cleared') this.#applyCleared(message.features)
    else if (message.kind === 'blamed') crashSuspects.applyBlamed(this.#state, message.features, nowMs)
    else this.#recurrence.receive(message)
  }

  /** Features that are blamed now. */
  blamed (): blameRecord.BlamedFeature[] {
    const found = (
      foundBy: blameRecord.BlamedFeature['foundBy'], features: [feature: string, remainingMs: number][]
    ): blameRecord.BlamedFeature[] => features.map(([feature, remainingMs]) => ({ feature, remainingMs, foundBy }))
    return [...found('trial', this.#blamedByTrial()), ...found('recurrence', this.#recurrence.blamed())]
  }

  /** Applies what the store has recorded. */
  applyRecorded (features: readonly blameRecord.BlamedFeature[]): void {
    const nowMs = this.#options.runtime.nowMs()
    for (const { feature, remainingMs, foundBy } of features) {
      if (foundBy === 'recurrence') this.#recurrence.applyBlamed(feature, remainingMs)
      else crashSuspects.applyBlamed(this.#state, [[feature, remainingMs]], nowMs)
    }
  }

  #blamedByTrial (): [feature: string, remainingMs: number][] {
    return crashSuspects.blamedFeatures(this.#state, this.#options.runtime.nowMs())
  }

  #judge (call: gatedCall.GatedCall): crashSuspects.Verdict {
    if (this.#recurrence.isBlamed(call)) return 'blamed'
    if (this.#state.suspects.size === 0) {
      this.leave(call)
      return 'run'
    }
    const nowMs = this.#options.runtime.nowMs()
    const suspected = crashSuspects.suspectedFeatures(this.#state, call.features, nowMs)
    const offeredAtMs = this.#waiting.get(call)?.offeredAtMs
    if (suspected.length === 0) this.leave(call)
    else this.#waiting.set(call, { suspected: suspected.length, offeredAtMs })
    // Requests of another service clear nothing for this one, and may wait for long.
    const sameService = [...this.#waiting].filter(([other]) => other.service === call.service)
    return crashSuspects.judge(this.#state, call.features, {
      fewestSuspected: Math.min(...sameService.map(([, waiting]) => waiting.suspected)),
      offeredForMs: offeredAtMs === undefined ? Infinity : nowMs - offeredAtMs
    }, nowMs)
  }

  #noteCrash (interrupted: crashSuspects.InterruptedRequest): void {
    for (const waiting of this.#waiting.values()) waiting.offeredAtMs = undefined
    const nowMs = this.#options.runtime.nowMs()
    this.#logBlamed(crashSuspects.noteCrash(this.#state, interrupted, nowMs, this.#blameOptions))
  }

  #applyCleared (features: readonly string[]): void {
    const nowMs = this.#options.runtime.nowMs()
    this.#logBlamed(crashSuspects.applyCleared(this.#state, features, nowMs, this.#blameOptions))
  }

  get #blameOptions (): crashSuspects.BlameOptions {
    return { isCommon: part => this.#recurrence.isCommon(part), random: this.#options.runtime.random }
  }

  #logBlamed (blamed: readonly string[]): void {
    if (blamed.length > 0) this.#options.runtime.log.emit('crashCauseBlamed', { features: blamed })
  }

  #repeatBlamed (): void {
    const [features, recurring] = [this.#blamedByTrial(), this.#recurrence.blamed()]
    if (features.length > 0) this.#options.broadcast({ kind: 'blamed', features })
    if (recurring.length > 0) this.#options.broadcast({ kind: 'recurring', features: recurring })
  }
}
