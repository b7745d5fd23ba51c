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
