/**
 * Tells whether connections or bytes of clients still arrive. A turn of the event loop accepts one connection, and what
 * that one brought is read in the next, however long a busy host takes for each; so turns are counted, and not time.
 */

import * as timers from 'node:timers/promises'

/** Turns in a row in which nothing arrives. */
const QUIET_TURNS = 3

export class Arrivals {
  #count = 0

  /** Number of times that a connection was opened or bytes were read. */
  get count (): number {
    return this.#count
  }

  note (): void {
    this.#count += 1
  }

  /** Reads what has arrived, until nothing more arrives or a time has passed. */
  async untilQuiet (limitMs: number): Promise<void> {
    const endMs = performance.now() + limitMs
    for (let quietTurns = 0; quietTurns < QUIET_TURNS && performance.now() < endMs;) {
      const before = this.#count
      await timers.setImmediate()
      quietTurns = this.#count === before ? quietTurns + 1 : 0
    }
  }
}
