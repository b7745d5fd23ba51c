/**
 * Holds requests that may crash backend servers until it is known whether they do, and tells the other gateways what
 * this one has learned.
 */

import * as timers from 'node:timers/promises'
import * as crashSuspects from '../../state/crash-suspects.js'
import * as crashProbe from './crash-probe.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as backendPool from '../../state/backend-pool.js'
import type * as runtime from '../runtime.js'

export interface SuspectGateOptions {
  runtime: runtime.Runtime
  broadcast: (message: peerMessage.PeerMessage) => void
  signal: AbortSignal
}

/** A request as far as the gate is concerned. */
export interface GatedCall {
  id: string
  service: string
  features: crashSuspects.Features
  /** Aborted when the client disconnects. */
  signal: AbortSignal
}

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
  readonly #options: SuspectGateOptions
  readonly #state = crashSuspects.createCrashSuspects()
  /** Requests with suspected features that have not been sent. */
  readonly #waiting = new Map<GatedCall, Waiting>()
  /** Checks that are running, by incarnation of the backend server. */
  readonly #probes = new Map<string, Promise<boolean>>()

  constructor (options: SuspectGateOptions) {
    this.#options = options
    const timer = setInterval(() => { this.#repeatBlamed() }, REPEAT_BLAMED_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  /** Waits until the request may be sent. @param latestMs time after which it can't be served any more. */
  async enter (call: GatedCall, latestMs: number): Promise<EnterResult> {
    const { nowMs } = this.#options.runtime
    for (;;) {
      const verdict = this.#judge(call)
      if (verdict === 'run' || verdict === 'try') return 'open'
      if (verdict === 'blamed' || call.signal.aborted || nowMs() > latestMs) {
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
  start (call: GatedCall): string[] | undefined {
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
  leave (call: GatedCall): void {
    this.#waiting.delete(call)
  }

  /** Called when an attempt has ended. */
  end (tried: readonly string[]): void {
    crashSuspects.endTrial(this.#state, tried)
  }

  /** Called when the response of a backend server begins. */
  noteBegun (call: GatedCall): void {
    const cleared = crashSuspects.noteBegun(this.#state, call.features)
    if (cleared.length === 0) return
    this.#logCleared(call, cleared)
    this.#options.broadcast({ kind: 'cleared', features: cleared })
    this.#applyCleared(cleared)
  }

  /** Called for each event of a response that has not been resumed. @param events number that has arrived. */
  noteEvents (call: GatedCall, events: number): void {
    const passed = crashSuspects.noteEvents(this.#state, call.features, call.id, events)
    if (passed.length === 0) return
    this.#options.broadcast({ kind: 'passed', features: passed, call: call.id })
    this.#applyPassed(passed, call.id)
  }

  /** Called when a response that has not been resumed has ended whole. */
  noteWhole (call: GatedCall): void {
    const cleared = crashSuspects.noteWhole(this.#state, call.features, this.#options.runtime.nowMs())
    if (cleared.length === 0) return
    this.#logCleared(call, cleared)
    this.#options.broadcast({ kind: 'whole', features: cleared })
  }

  /**
   * Called when a connection broke before the response was complete. The backend server counts as crashed only if it
   * refuses new connections.
   * @param events number of events that had arrived.
   */
  async noteBroken (
    call: GatedCall, row: backendPool.BackendRow, tried: readonly string[], events: number
  ): Promise<void> {
    const { runtime: { log }, broadcast } = this.#options
    if (!await this.#hasCrashed(row)) {
      if (crashSuspects.noteCut(this.#state, call.features, call.id)) {
        broadcast({ kind: 'cut', features: [call.features.request, ...call.features.parts], call: call.id })
      }
      return
    }
    log.emit('crashNoted', { request: call.id, backend: row.id, startedAtUnixMs: row.startedAtUnixMs, tried, events })
    const interrupted = {
      ...call.features, call: call.id, backend: incarnationOf(row), tried, events
    }
    broadcast({ kind: 'crash', interrupted })
    this.#noteCrash(interrupted)
  }

  /** All connections to a backend server break at once; one check is enough for them. */
  async #hasCrashed (row: backendPool.BackendRow): Promise<boolean> {
    const incarnation = incarnationOf(row)
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
    else if (message.kind === 'passed') this.#applyPassed(message.features, message.call)
    else if (message.kind === 'whole') crashSuspects.applyWhole(this.#state, message.features, nowMs)
    else if (message.kind === 'cut') crashSuspects.applyCut(this.#state, message.features, message.call)
    else crashSuspects.applyBlamed(this.#state, message.features, nowMs)
  }

  /** Features that are blamed now, with the time for which they still are. */
  blamed (): crashSuspects.BlamedFeature[] {
    return crashSuspects.blamedFeatures(this.#state, this.#options.runtime.nowMs())
  }

  #judge (call: GatedCall): crashSuspects.Verdict {
    const { nowMs: now, random } = this.#options.runtime
    const nowMs = now()
    this.#logBlamed(crashSuspects.decide(this.#state, nowMs, random))
    if (this.#state.suspects.size === 0 && this.#state.decideAtMs === undefined) {
      this.leave(call)
      return 'run'
    }
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
    const { nowMs, random } = this.#options.runtime
    for (const waiting of this.#waiting.values()) waiting.offeredAtMs = undefined
    this.#logBlamed(crashSuspects.noteCrash(this.#state, interrupted, nowMs(), random))
  }

  #applyCleared (features: readonly string[]): void {
    const { nowMs, random } = this.#options.runtime
    this.#logBlamed(crashSuspects.applyCleared(this.#state, features, nowMs(), random))
  }

  #applyPassed (features: readonly string[], callId: string): void {
    const { nowMs, random } = this.#options.runtime
    this.#logBlamed(crashSuspects.applyPassed(this.#state, features, callId, nowMs(), random))
  }

  #logCleared (call: GatedCall, features: readonly string[]): void {
    this.#options.runtime.log.emit('crashSuspicionCleared', { request: call.id, features })
  }

  #logBlamed (blamed: readonly string[]): void {
    if (blamed.length > 0) this.#options.runtime.log.emit('crashCauseBlamed', { features: blamed })
  }

  #repeatBlamed (): void {
    const { nowMs, random } = this.#options.runtime
    this.#logBlamed(crashSuspects.decide(this.#state, nowMs(), random))
    const features = this.blamed()
    if (features.length > 0) this.#options.broadcast({ kind: 'blamed', features })
  }
}

function incarnationOf (row: backendPool.BackendRow): string {
  return `${row.id} ${row.startedAtUnixMs}`
}
