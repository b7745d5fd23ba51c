/**
 * The attempts at one request that have not ended. An attempt that is overdue goes on while another one is started: the
 * first to send an event stays, and the others are ended.
 */

import * as backendPool from '../../state/backend-pool.js'
import * as attempt from './attempt.js'
import type * as callModule from './call.js'
import type * as context from './context.js'
import type * as streamAttempt from './stream-attempt.js'

export type AttemptEvent =
  /** All running attempts have been silent for long. Comes again until one of them is heard. */
  | { kind: 'overdue' }
  | { kind: 'ended', backendId: string, outcome: callModule.AttemptOutcome }

type EndEvent = AttemptEvent & { kind: 'ended' } | { kind: 'fault', error: Error }

export interface StartOptions {
  /** Sum of prompt and expected output tokens. */
  tokens: number
  progress: streamAttempt.StreamProgress
  /** Suspected features that the attempt tries out. */
  tried: readonly string[]
}

export class RunningAttempts {
  readonly #ctx: context.GatewayContext
  readonly #call: callModule.Call
  readonly #running = new Set<attempt.RunningAttempt>()
  /** Attempts whose silence counts as a failure of their backend servers. */
  readonly #blamed = new WeakSet<attempt.RunningAttempt>()
  #events: (AttemptEvent | { kind: 'fault', error: Error })[] = []
  #search: AbortController | undefined
  #wake = (): void => {}
  #supersededRuns = 0

  constructor (ctx: context.GatewayContext, call: callModule.Call) {
    this.#ctx = ctx
    this.#call = call
  }

  get count (): number {
    return this.#running.size
  }

  /** Number of attempts that were ended for another one and may have run. */
  get supersededRuns (): number {
    return this.#supersededRuns
  }

  /** Whether nothing runs and nothing that has ended is still to be handled. */
  get isIdle (): boolean {
    return this.#running.size === 0 && this.#events.length === 0
  }

  /** Whether all that run have been silent for long; true if nothing runs. */
  get areOverdue (): boolean {
    return [...this.#running].every(running => running.isOverdue())
  }

  /** Whether no outcome is still to be handled, and nothing that runs has been heard lately. */
  get wantsAnother (): boolean {
    return this.areOverdue && this.#events.every(({ kind }) => kind === 'overdue')
  }

  /** Backend servers that run the request. */
  get backendIds (): string[] {
    return [...this.#running].map(running => running.backend.row.id)
  }

  start (backend: backendPool.Backend, options: StartOptions): void {
    const running = attempt.startAttempt(this.#ctx, this.#call, backend, {
      ...options,
      onOverdue: () => { if (this.areOverdue) this.#push({ kind: 'overdue' }) },
      onProgress: () => { this.#keepOnly(running) }
    })
    this.#running.add(running)
    running.outcome.then(
      outcome => { this.#noteEnded(running, { kind: 'ended', backendId: backend.row.id, outcome }) },
      (error: Error) => { this.#noteEnded(running, { kind: 'fault', error }) }
    )
  }

  /** Resolves with what happens next. @throws Error that ended an attempt. */
  async next (): Promise<AttemptEvent> {
    for (;;) {
      const event = this.#events.shift()
      if (event?.kind === 'fault') throw event.error
      if (event !== undefined) return event
      await new Promise<void>(resolve => { this.#wake = resolve })
    }
  }

  /** @returns a signal that is aborted as soon as no further attempt is wanted. */
  searchSignal (): AbortSignal {
    if (this.#running.size === 0) return this.#call.signal
    this.#search = new AbortController()
    return AbortSignal.any([this.#call.signal, this.#search.signal])
  }

  /** Counts the silence as a failure of each backend server, once, and lets others try out what they were to show. */
  blameSilent (): void {
    for (const running of this.#running) {
      if (this.#blamed.has(running)) continue
      this.#blamed.add(running)
      running.endTrial()
      attempt.noteResult(this.#ctx, this.#call, running.backend, 'failed')
    }
  }

  /** Waits for a whole silence before the running attempts count as overdue again. */
  restartSilence (): void {
    for (const running of this.#running) running.restartSilence()
  }

  /** Ends what still runs. */
  stop (): void {
    this.#keepOnly(undefined)
  }

  #keepOnly (kept: attempt.RunningAttempt | undefined): void {
    this.#search?.abort()
    for (const running of this.#running) {
      if (running === kept) continue
      this.#running.delete(running)
      running.supersede()
    }
  }

  #noteEnded (running: attempt.RunningAttempt, event: EndEvent): void {
    if (this.#running.delete(running)) this.#push(event)
    else if (event.kind === 'fault') {
      this.#ctx.log.emit('requestFault', { request: this.#call.id, detail: event.error.stack })
    } else if (mayHaveRun(event.outcome)) this.#supersededRuns += 1
  }

  #push (event: AttemptEvent | { kind: 'fault', error: Error }): void {
    if (event.kind !== 'overdue') {
      this.#search?.abort()
      // What has ended may be a response; an earlier silence must not start another attempt first.
      this.#events = this.#events.filter(({ kind }) => kind !== 'overdue')
    }
    this.#events.push(event)
    this.#wake()
  }
}

function mayHaveRun (outcome: callModule.AttemptOutcome): boolean {
  if (outcome.kind === 'superseded' || outcome.kind === 'timed_out') return outcome.wasSent
  return outcome.kind !== 'not_run'
}
