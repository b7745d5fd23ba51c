import * as fs from 'node:fs'
import * as nodeModule from 'node:module'
import * as vitest from 'vitest'
import * as lineLog from '../line-log.js'

const { afterEach, beforeEach, expect, test, vi } = vitest

let writes: string[]

beforeEach(() => {
  vi.useFakeTimers()
  writes = []
  const write = (_file: number, bytes: Buffer, done: (error: null, count: number) => void): void => {
    writes.push(bytes.toString())
    done(null, bytes.length)
  }
  vi.spyOn((fs as unknown as { default: typeof fs }).default, 'write').mockImplementation(write as unknown as typeof fs.write)
  nodeModule.syncBuiltinESMExports()
})

afterEach(() => {
  vi.useRealTimers()
  vi.restoreAllMocks()
  nodeModule.syncBuiltinESMExports()
})

// Load pattern: an entry logs a few lines for each request, and each write takes several system calls.
test('lines that follow each other are written together', () => {
  const log = new lineLog.LineLog({ level: 'info', labels: {}, maxLinesPerSecond: 100 })
  for (let line = 0; line < 5; line++) log.emit('requestEnded', { line })
  expect(writes).toEqual([])
  vi.advanceTimersByTime(100)
  expect(writes.map(text => text.trim().split('\n').length)).toEqual([5])
  vi.advanceTimersByTime(1_000)
  expect(writes.length).toBe(1)
})

// Guards against losing the reason for which a process stops.
test('a line at level error is written at once, with those before it', () => {
  const log = new lineLog.LineLog({ level: 'info', labels: {}, maxLinesPerSecond: 100 })
  log.emit('requestEnded')
  log.emit('invariantBroken', { reason: 'test' })
  expect(writes.map(text => text.trim().split('\n').length)).toEqual([2])
})

// Guards against an exit that loses the rest of a write which the reader's buffer took in part, or that overtakes it.
test('a flush writes the rest of a partial write and then the later lines', async () => {
  const written: string[] = []
  const write = (_file: number, bytes: Buffer, done: (error: null, count: number) => void): void => {
    const count = Math.min(10, bytes.length)
    written.push(bytes.toString('utf8', 0, count))
    setTimeout(() => { done(null, count) }, 1)
  }
  vi.spyOn((fs as unknown as { default: typeof fs }).default, 'write').mockImplementation(write as unknown as typeof fs.write)
  nodeModule.syncBuiltinESMExports()
  const log = new lineLog.LineLog({ level: 'info', labels: {}, maxLinesPerSecond: 100 })
  log.emit('invariantBroken', { reason: 'first' })
  log.emit('processStopped', { reason: 'second' })
  const flushed = log.flush()
  await vi.advanceTimersByTimeAsync(250)
  await flushed
  const lines = written.join('').trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>)
  expect(lines.map(line => line['reason'])).toEqual(['first', 'second'])
})

// Guards against a process that never ends because nobody reads its output.
test('a flush ends although the reader is stuck', async () => {
  vi.spyOn((fs as unknown as { default: typeof fs }).default, 'write').mockImplementation((() => {}) as unknown as typeof fs.write)
  nodeModule.syncBuiltinESMExports()
  const log = new lineLog.LineLog({ level: 'info', labels: {}, maxLinesPerSecond: 100 })
  log.emit('invariantBroken')
  const flushed = log.flush()
  await vi.advanceTimersByTimeAsync(500)
  await expect(flushed).resolves.toBeUndefined()
})
