/**
 * Load figures of an engine, read with a fixed delay. It simulates an engine whose reported load is out of date.
 */

export interface LoadFigures {
  running: number
  waiting: number
}

export class LaggingLoad {
  readonly #lagMs: number
  readonly #nowMs: () => number
  /** Changes, oldest first; readers see the first one once it is older than the lag. */
  readonly #changes: { atMs: number, load: LoadFigures }[] = []

  constructor (lagMs: number, nowMs: () => number) {
    this.#lagMs = lagMs
    this.#nowMs = nowMs
  }

  record (load: LoadFigures): void {
    this.#changes.push({ atMs: this.#nowMs(), load })
    this.#dropOutdated()
  }

  read (): LoadFigures & { ageMs: number } {
    this.#dropOutdated()
    const first = this.#changes[0]
    const isVisible = first !== undefined && first.atMs <= this.#nowMs() - this.#lagMs
    return { ...(isVisible ? first.load : { running: 0, waiting: 0 }), ageMs: this.#lagMs }
  }

  #dropOutdated (): void {
    const visibleAtMs = this.#nowMs() - this.#lagMs
    while (this.#changes.length > 1 && this.#changes[1]!.atMs <= visibleAtMs) this.#changes.shift()
  }
}
