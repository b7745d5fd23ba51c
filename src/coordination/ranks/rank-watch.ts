/**
 * Polls the rank beside the agent. Calls from the rank's own host cost nothing.
 */

import type * as rankControl from '../../protocol/rank-control.js'
import type * as rankSwitch from '../../state/rank-switch.js'
import type * as runtime from '../runtime.js'

export interface RankWatchOptions {
  runtime: runtime.Runtime
  rank: rankControl.RankControl
  onReport: (reading: RankReading) => void
  signal: AbortSignal
}

export interface RankReading {
  report: rankControl.RankReport
  readAtMs: number
}

/** About the duration of a pass. Entries choose backend servers by these reports. */
const READ_INTERVAL_MS = 100

export class RankWatch {
  /** Undefined while the rank does not answer. */
  last: RankReading | undefined
  readonly #options: RankWatchOptions
  #isReading = false

  constructor (options: RankWatchOptions) {
    this.#options = options
    const timer = setInterval(() => { this.readNow() }, READ_INTERVAL_MS)
    options.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  /** The rank's group; undefined while the rank does not answer or is in no group. */
  get group (): rankControl.RankGroup | undefined {
    return this.last?.report.group
  }

  async readNow (): Promise<void> {
    const { rank, runtime: { nowMs, log }, signal, onReport } = this.#options
    if (this.#isReading) return
    this.#isReading = true
    const readAtMs = nowMs()
    const report = await rank.report(signal)
    this.#isReading = false
    if (report === undefined) {
      if (this.last !== undefined) log.emit('rankUnreachable', { lastReadAgoMs: Math.round(nowMs() - this.last.readAtMs) })
      this.last = undefined
      return
    }
    if (this.last === undefined) log.emit('rankReachable', { group: report.group })
    this.last = { report, readAtMs }
    onReport(this.last)
  }
}

/** Converts a reading to the state that the expert map switch uses. @returns undefined when the rank is in no group. */
export function rankStateOf (reading: RankReading): rankSwitch.RankState | undefined {
  const { report, readAtMs } = reading
  if (report.group === undefined) return undefined
  return {
    rank: report.group.rank,
    epoch: report.group.epoch,
    isOpen: report.group.isOpen,
    step: report.step,
    mapVersion: report.mapVersion,
    preparedVersion: report.preparedVersion,
    armed: report.armed,
    heldStep: report.heldStep,
    slowdown: report.slowdown,
    readAtMs
  }
}
