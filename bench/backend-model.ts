/**
 * Backend server in virtual time: a fixed number of slots and a first-in, first-out queue.
 */

import type * as virtualClock from './virtual-clock.js'

export interface Job {
  /** Service time at speed 1. */
  workMs: number
  /** Called when the job gets a slot. */
  onStart?: () => void
  /** Called once; `isOk` is false when the server is down or crashes first. */
  onDone: (isOk: boolean) => void
}

export class BackendModel {
  running = 0
  /** Speed relative to a healthy server; applies to jobs that start from now on. */
  speed = 1
  isUp = true
  answered = 0
  readonly queue: Job[] = []
  readonly #clock: virtualClock.VirtualClock
  readonly #slots: number
  readonly #active = new Set<Job>()

  constructor (clock: virtualClock.VirtualClock, slots: number) {
    this.#clock = clock
    this.#slots = slots
  }

  /** Requests running and waiting. */
  get load (): number { return this.running + this.queue.length }

  submit (job: Job): void {
    if (!this.isUp) return job.onDone(false)
    if (this.running >= this.#slots) this.queue.push(job)
    else this.#start(job)
  }

  /** Fails all running and queued jobs. */
  crash (): void {
    this.isUp = false
    const lost = [...this.#active, ...this.queue]
    this.#active.clear()
    this.queue.length = 0
    this.running = 0
    for (const job of lost) job.onDone(false)
  }

  #start (job: Job): void {
    this.running += 1
    this.#active.add(job)
    job.onStart?.()
    this.#clock.after(job.workMs / this.speed, () => {
      if (!this.#active.delete(job)) return
      this.running -= 1
      this.answered += 1
      const next = this.queue.shift()
      if (next !== undefined) this.#start(next)
      job.onDone(true)
    })
  }
}
