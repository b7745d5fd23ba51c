/**
 * Virtual time for experiments with pure decision code: timed actions run in order of time, without real waiting.
 */

import * as uniformFloat64 from 'pure-rand/distribution/uniformFloat64'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'

interface TimedAction {
  atMs: number
  /** Actions of the same time run in the order in which they were scheduled. */
  order: number
  action: () => void
}

export class VirtualClock {
  nowMs = 0
  #order = 0
  /** Binary heap with the next action first. */
  readonly #heap: TimedAction[] = []

  after (delayMs: number, action: () => void): void {
    const heap = this.#heap
    heap.push({ atMs: this.nowMs + delayMs, order: this.#order++, action })
    for (let child = heap.length - 1; child > 0;) {
      const parent = (child - 1) >> 1
      if (!isBefore(heap[child]!, heap[parent]!)) break
      ;[heap[child], heap[parent]] = [heap[parent]!, heap[child]!]
      child = parent
    }
  }

  every (periodMs: number, action: () => void, firstMs = periodMs): void {
    this.after(firstMs, () => {
      action()
      this.every(periodMs, action)
    })
  }

  /** Runs the actions that are due up to `endMs`, and sets the time to it. */
  runUntil (endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.atMs <= endMs) {
      const next = this.#removeFirst()
      this.nowMs = next.atMs
      next.action()
    }
    this.nowMs = endMs
  }

  #removeFirst (): TimedAction {
    const heap = this.#heap
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    heap[0] = last
    for (let parent = 0; ;) {
      let earliest = parent
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (child < heap.length && isBefore(heap[child]!, heap[earliest]!)) earliest = child
      }
      if (earliest === parent) return first
      ;[heap[parent], heap[earliest]] = [heap[earliest]!, heap[parent]!]
      parent = earliest
    }
  }
}

function isBefore (a: TimedAction, b: TimedAction): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}

/** Random numbers, uniform in [0, 1); the same seed gives the same sequence. */
export function seededRandom (seed: number): () => number {
  const generator = xoroshiro.xoroshiro128plus(seed)
  return () => uniformFloat64.uniformFloat64(generator)
}

/** Draws from the exponential distribution with the given mean. */
export function exponential (mean: number, random: () => number): number {
  return -Math.log(1 - random()) * mean
}
