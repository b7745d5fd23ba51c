/**
 * Owns the signals and the life of a process: starts a program, drains it on SIGTERM or after a fault, and tells when
 * it may exit. The decisions are in process-stage.ts.
 */

import * as events from 'node:events'
import * as tty from 'node:tty'
import * as processStage from '../state/process-stage.js'
import type * as logging from '../transport/logging.js'
import type * as earlySignals from './early-signals.js'

export interface Drainable {
  /** Begins the graceful shutdown; settles when the process may exit. */
  drain: () => Promise<void>
}

export interface LifecycleOptions {
  log: logging.EventLog
  /** Limit of a drain from the SIGTERM on; infinite if the program's own drain ends in time. */
  drainLimitMs: number
  /** Fields of the event that tells of a drain. */
  drainFields: Record<string, unknown>
  /** Called on SIGHUP, not before the program has started. */
  checkSettings: () => void
}

/** A start that SIGTERM interrupts may wait for a service that is down. */
const START_LIMIT_MS = 2_000
const FAULT_DRAIN_LIMIT_MS = 2_000
const STANDARD_INPUT = 0

export class ProcessLifecycle {
  readonly #options: LifecycleOptions
  readonly #controller = new AbortController()
  readonly #closed: Promise<void>
  #state: processStage.ProcessState = processStage.INITIAL_STATE
  #limitTimer: NodeJS.Timeout | undefined
  /** When the present limit passes, by the monotonic clock. */
  #limitAtMs = Infinity
  #stopRequestedAtMs: number | undefined
  #program: Drainable | undefined
  #announceReady = (): void => {}

  constructor (options: LifecycleOptions) {
    this.#options = options
    // Every task and connection of the process listens on this signal; there is no limit above which Node should warn.
    events.EventEmitter.setMaxListeners(0, this.signal)
    this.#closed = new Promise(resolve => {
      this.signal.addEventListener('abort', () => { resolve() }, { once: true })
    })
    process.on('uncaughtException', error => { this.noteFault(error) })
    process.on('unhandledRejection', reason => { this.noteFault(reason) })
  }

  /** Aborts when the process closes. */
  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** A fault, also one while the process closes, is no orderly end. */
  get hasFault (): boolean {
    return this.#state.hasFault
  }

  /** @param announceReady called when the program has started and isn't to stop. @returns when the process may exit. */
  async run <P extends Drainable> (
    signals: earlySignals.HeldSignals, start: () => Promise<P>, announceReady: (program: P) => void
  ): Promise<void> {
    signals.passTo(signal => { this.#receive(signal) })
    if (!this.signal.aborted) await this.#runProgram(start, announceReady)
    // The last event of a process is that it has stopped, which its caller logs next.
    signals.passTo(() => {})
  }

  async #runProgram <P extends Drainable> (
    start: () => Promise<P>, announceReady: (program: P) => void
  ): Promise<void> {
    this.#advance({ kind: 'opening' })
    start().then(program => {
      this.#program = program
      this.#announceReady = () => { announceReady(program) }
      this.#advance({ kind: 'started' })
    }).catch((error: unknown) => { this.#fail(error) })
    await this.#closed
  }

  /** Reports an error outside of any request, which ends the process. */
  noteFault (error: unknown): void {
    this.#logFault(error)
    this.#advance({ kind: 'fault' })
  }

  #fail (error: unknown): void {
    // What is aborted while the process closes rejects, and is no fault.
    if (this.signal.aborted) return
    this.#logFault(error)
    this.#advance({ kind: 'failed' })
  }

  #logFault (error: unknown): void {
    const detail = error instanceof Error ? error.stack ?? error.message : String(error)
    this.#options.log.emit('invariantBroken', { detail })
  }

  #receive (signal: processStage.HandledSignal): void {
    const { stage } = this.#state
    const isInteractive = tty.isatty(STANDARD_INPUT)
    const step = processStage.advance(this.#state, { kind: 'signal', signal, isInteractive })
    this.#options.log.emit('signalReceived', { signal, stage, effect: step.effect })
    this.#take(step)
  }

  #advance (event: processStage.ProcessEvent): void {
    this.#take(processStage.advance(this.#state, event))
  }

  #take (step: processStage.Step): void {
    this.#state = step.state
    for (const action of step.actions) this.#perform(action)
  }

  #perform (action: processStage.Action): void {
    const { log, drainLimitMs, drainFields, checkSettings } = this.#options
    switch (action) {
      case 'limit_start':
        this.#stopRequestedAtMs = performance.now()
        this.#limitUntil(this.#stopRequestedAtMs + Math.min(START_LIMIT_MS, drainLimitMs))
        return
      case 'limit_drain':
        this.#limitUntil((this.#stopRequestedAtMs ?? performance.now()) + drainLimitMs)
        return
      case 'limit_fault_drain':
        this.#limitUntil(Math.min(this.#limitAtMs, performance.now() + Math.min(FAULT_DRAIN_LIMIT_MS, drainLimitMs)))
        return
      case 'announce_ready':
        this.#announceReady()
        return
      case 'drain':
        log.emit('processStopping', drainFields)
        this.#program!.drain().then(() => { this.#advance({ kind: 'drained' }) }).catch((error: unknown) => { this.#fail(error) })
        return
      case 'check_settings':
        checkSettings()
        return
      case 'close':
        clearTimeout(this.#limitTimer)
        this.#controller.abort()
    }
  }

  /** Replaces the present limit. */
  #limitUntil (atMs: number): void {
    clearTimeout(this.#limitTimer)
    this.#limitAtMs = atMs
    if (atMs === Infinity) return
    this.#limitTimer = setTimeout(() => {
      if (this.#state.stage === 'draining' && this.#options.drainLimitMs > 0) this.#options.log.emit('drainOverdue')
      this.#advance({ kind: 'overdue' })
    }, atMs - performance.now())
  }
}
