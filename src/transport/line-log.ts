/**
 * Structured log lines on standard output. Writing never blocks: lines that the reader doesn't accept in time are
 * dropped and counted, and so are lines beyond the rate limit.
 */

import * as fs from 'node:fs'
import * as logEvents from '../protocol/log-events.js'
import type * as logging from './logging.js'

export interface LineLogOptions {
  level: logEvents.LogLevel
  /** Fields of each line. */
  labels: Record<string, string>
  /** Rate in lines per second above which lines at level `info` and `debug` are dropped. */
  maxLinesPerSecond: number
}

const LEVEL_ORDER: Record<logEvents.LogLevel, number> = { error: 0, warn: 1, info: 2, debug: 3 }
const MAX_PENDING_BYTES = 256 * 1024
const STANDARD_OUTPUT = 1
/** Lines wait this long for others, since each write takes several system calls; a line at level `error` does not. */
const WRITE_DELAY_MS = 100
/** A reader of the output that is stuck doesn't hold up the exit. */
const FLUSH_LIMIT_MS = 300
const FLUSH_POLL_MS = 2

export class LineLog implements logging.EventLog {
  readonly #options: LineLogOptions
  #pending: string[] = []
  #pendingBytes = 0
  #isWriting = false
  #writeTimer: NodeJS.Timeout | undefined
  #dropped = 0
  #secondStartMs = 0
  #linesInSecond = 0

  constructor (options: LineLogOptions) {
    this.#options = options
  }

  emit (event: logEvents.LogEventName, fields: Record<string, unknown> = {}): void {
    const entry = logEvents.logEvents[event]
    if (LEVEL_ORDER[entry.level] > LEVEL_ORDER[this.#options.level]) return
    const nowMs = Date.now()
    if (this.#isOverRate(nowMs) && LEVEL_ORDER[entry.level] >= LEVEL_ORDER.info) {
      this.#dropped += 1
      return
    }
    this.#append(JSON.stringify({
      timeUnixMs: nowMs, level: entry.level, event: entry.number, name: event, ...this.#options.labels, ...fields
    }))
    if (entry.level === 'error') this.#write()
    else this.#writeTimer ??= setTimeout(() => { this.#write() }, WRITE_DELAY_MS)
  }

  /** Settles when all lines are written, or after FLUSH_LIMIT_MS; a process that exits calls it. */
  async flush (): Promise<void> {
    const endMs = performance.now() + FLUSH_LIMIT_MS
    this.#write()
    while ((this.#isWriting || this.#pending.length > 0) && performance.now() < endMs) {
      await new Promise(resolve => { setTimeout(resolve, FLUSH_POLL_MS) })
    }
  }

  #isOverRate (nowMs: number): boolean {
    if (nowMs - this.#secondStartMs >= 1_000 || nowMs < this.#secondStartMs) {
      this.#secondStartMs = nowMs
      this.#linesInSecond = 0
    }
    this.#linesInSecond += 1
    return this.#linesInSecond > this.#options.maxLinesPerSecond
  }

  #append (line: string): void {
    if (this.#pendingBytes > MAX_PENDING_BYTES) {
      this.#dropped += 1
      return
    }
    if (this.#dropped > 0) {
      const { number, level } = logEvents.logEvents.linesDropped
      this.#push(JSON.stringify({
        timeUnixMs: Date.now(), level, event: number, name: 'linesDropped', count: this.#dropped
      }))
      this.#dropped = 0
    }
    this.#push(line)
  }

  #push (line: string): void {
    this.#pending.push(`${line}\n`)
    this.#pendingBytes += line.length + 1
  }

  #write (): void {
    clearTimeout(this.#writeTimer)
    this.#writeTimer = undefined
    if (this.#isWriting || this.#pending.length === 0) return
    const bytes = Buffer.from(this.#pending.join(''))
    this.#pending = []
    this.#isWriting = true
    this.#writeRest(bytes)
  }

  #writeRest (bytes: Buffer): void {
    fs.write(STANDARD_OUTPUT, bytes, (error, written) => {
      // EAGAIN: the reader is slow. Other errors: there is no reader. The lines are lost in both cases.
      if (error === null && written < bytes.length) {
        this.#writeRest(bytes.subarray(written))
        return
      }
      this.#isWriting = false
      this.#pendingBytes = this.#pending.reduce((sum, line) => sum + line.length, 0)
      this.#write()
    })
  }
}
