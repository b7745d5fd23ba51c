/**
 * Processor-sharing model of a backend server in virtual time, as of an engine with continuous batching: up to a batch
 * size every request runs at full speed, above it all requests slow down equally.
 */

import type * as virtualClock from './virtual-clock.js'

interface SharedJob {
  /** Value of the model's `#progress` at which the job is done. */
  doneAt: number
  onDone: () => void
}

export class SharingModel {
  readonly #clock: virtualClock.VirtualClock
  readonly #jobs: SharedJob[] = []
  #batch: number
  /** Work that a request would have received if it had run since the start, in ms at full speed. */
  #progress = 0
  #progressAtMs = 0
  /** Counts changes of the schedule, so that a timer that was set before the last change does nothing. */
  #version = 0

  constructor (clock: virtualClock.VirtualClock, batch: number) {
    this.#clock = clock
    this.#batch = batch
  }

  get inFlight (): number { return this.#jobs.length }

  setBatch (batch: number): void {
    this.#advance()
    this.#batch = batch
    this.#schedule()
  }

  submit (workMs: number, onDone: () => void): void {
    this.#advance()
    this.#jobs.push({ doneAt: this.#progress + workMs, onDone })
    this.#schedule()
  }

  #speed (): number { return Math.min(1, this.#batch / Math.max(1, this.#jobs.length)) }

  #advance (): void {
    this.#progress += (this.#clock.nowMs - this.#progressAtMs) * this.#speed()
    this.#progressAtMs = this.#clock.nowMs
  }

  #schedule (): void {
    const version = ++this.#version
    if (this.#jobs.length === 0) return
    const next = this.#jobs.reduce((first, job) => job.doneAt < first.doneAt ? job : first)
    this.#clock.after(Math.max(0, next.doneAt - this.#progress) / this.#speed(), () => {
      if (version !== this.#version) return
      this.#advance()
      this.#jobs.splice(this.#jobs.indexOf(next), 1)
      this.#schedule()
      next.onDone()
    })
  }
}
