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
  /** Called for a reading beside the regular ones, while the rank carries out an order. */
  onExtraReport: (reading: RankReading) => void
  /** Whether this agent leads the group; a lead measures the passes at its own rank. */
  isLeading: () => boolean
  signal: AbortSignal
}

export interface RankReading {
  report: rankControl.RankReport
  readAtMs: number
}

/** About the duration of a pass. Entries choose backend servers by these reports. */
const READ_INTERVAL_MS = 100
/**
 * In a larger group the rank is read only at every second tick, unless a change is expected. Load pattern: reading 129
 * ranks ten times a second and sending each load to the entries takes a quarter of all processor time.
 */
const LARGE_GROUP = 24
/** Time in which a rank that was ordered to prepare a map is usually ready. */
const EXPECTED_CHANGE_MS = 600
/**
 * Interval at which a rank is read while it carries out an order, for each rank of the group. Load pattern: after a
 * change of popularity each pass is slow until the next map is in force, and a switch waits for the last rank.
 */
const EXPECTED_CHANGE_READ_PER_RANK_MS = 3
const MIN_EXPECTED_CHANGE_READ_MS = 25
/** Longer intervals gain little over the regular reads. */
const MAX_EXPECTED_CHANGE_READ_MS = 50

export class RankWatch {
  /** Undefined while the rank does not answer. */
  last: RankReading | undefined
  readonly #options: RankWatchOptions
  #isReading = false
  #ticks = 0
  #changeExpectedUntilMs = -Infinity
  #extraReads: NodeJS.Timeout | undefined

  constructor (options: RankWatchOptions) {
    this.#options = options
    // Agents that start together would read at the same moments, and their lead would get all states at once.
    let timer = setTimeout(() => {
      timer = setInterval(() => { this.#tick() }, READ_INTERVAL_MS)
    }, options.runtime.random() * READ_INTERVAL_MS)
    options.signal.addEventListener('abort', () => {
      clearInterval(timer)
      clearInterval(this.#extraReads)
    }, { once: true })
  }

  /** The rank's group; undefined while the rank does not answer or is in no group. */
  get group (): rankControl.RankGroup | undefined {
    return this.last?.report.group
  }

  /** Reads the rank more often for a while, since its state will change. */
  expectChange (): void {
    this.#changeExpectedUntilMs = this.#options.runtime.nowMs() + EXPECTED_CHANGE_MS
    const intervalMs = Math.max(MIN_EXPECTED_CHANGE_READ_MS, (this.group?.size ?? 0) * EXPECTED_CHANGE_READ_PER_RANK_MS)
    if (this.#extraReads !== undefined || intervalMs > MAX_EXPECTED_CHANGE_READ_MS) return
    this.#extraReads = setInterval(() => { this.#readExtra() }, intervalMs)
  }

  async #readExtra (): Promise<void> {
    if (this.#options.runtime.nowMs() > this.#changeExpectedUntilMs) {
      clearInterval(this.#extraReads)
      this.#extraReads = undefined
      return
    }
    const reading = await this.#read()
    if (reading !== undefined && reading !== 'busy') this.#options.onExtraReport(reading)
  }

  #tick (): void {
    this.#ticks += 1
    const isLarge = (this.group?.size ?? 0) > LARGE_GROUP
    const isSkipped = isLarge && this.#ticks % 2 === 1 && !this.#options.isLeading() &&
      this.#options.runtime.nowMs() > this.#changeExpectedUntilMs
    if (!isSkipped) this.readNow()
  }

  async readNow (): Promise<void> {
    const { runtime: { nowMs, log }, onReport } = this.#options
    const reading = await this.#read()
    if (reading === 'busy') return
    if (reading === undefined) {
      if (this.last !== undefined) log.emit('rankUnreachable', { lastReadAgoMs: Math.round(nowMs() - this.last.readAtMs) })
      this.last = undefined
      return
    }
    if (this.last === undefined) log.emit('rankReachable', { group: reading.report.group })
    this.last = reading
    onReport(reading)
  }

  /** @returns undefined when the rank does not answer; `busy` while another read is in progress. */
  async #read (): Promise<RankReading | 'busy' | undefined> {
    const { rank, runtime: { nowMs }, signal } = this.#options
    if (this.#isReading) return 'busy'
    this.#isReading = true
    const readAtMs = nowMs()
    const report = await rank.report(signal)
    this.#isReading = false
    return report === undefined ? undefined : { report, readAtMs }
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
