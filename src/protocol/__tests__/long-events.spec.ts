import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as eventStream from '../event-stream.js'

const { expect, test } = vitest

const CHUNK_BYTES = 64
const STREAM_BYTES = 16 * 1024
const STREAMS_PER_SAMPLE = 4
const SAMPLES = 7
/** Twice the bytes take twice the time; the rest is for what the machine adds. */
const MAX_RATIO = 3
const MAX_EVENT_BYTES = 1024 * 1024

/** @returns the least processor time of some samples, in µs. */
function timeOf (bytes: number): number {
  const chunk = Buffer.from('a\n'.repeat(CHUNK_BYTES / 2))
  const samples = Array.from({ length: SAMPLES }, () => {
    const before = process.cpuUsage()
    for (let stream = 0; stream < STREAMS_PER_SAMPLE; stream++) {
      const splitter = new eventStream.EventSplitter()
      for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) splitter.push(chunk)
    }
    const { user, system } = process.cpuUsage(before)
    return user + system
  })
  return Math.min(...samples)
}

// Guards against a stream of lines without a blank line that takes quadratic time and delays all others.
test('lines without a blank line take time in proportion to their bytes', () => {
  timeOf(STREAM_BYTES)
  const once = timeOf(STREAM_BYTES)
  const twice = timeOf(2 * STREAM_BYTES)
  console.log(`${once} µs for ${STREAM_BYTES} bytes, ${twice} µs for twice as many`)
  expect(twice / once).toBeLessThan(MAX_RATIO)
})

// Guards against a bound that an event passes in small chunks.
test('an event in many chunks over the size limit is an error', () => {
  const splitter = new eventStream.EventSplitter()
  const chunk = Buffer.from('a\n'.repeat(CHUNK_BYTES / 2))
  for (let sent = 0; sent < MAX_EVENT_BYTES; sent += CHUNK_BYTES) expect(splitter.push(chunk)).toEqual([])
  expect(splitter.push(chunk)).toBeUndefined()
})

// Guards against blank lines that are missed or seen where a chunk ends.
test('events end at the same bytes for any division into chunks', () => {
  const piece = fc.constantFrom('\n', '\r', 'a', 'id: 1', 'data: b')
  const chunkSizes = fc.array(fc.integer({ min: 1, max: 4 }))
  fc.assert(fc.property(fc.array(piece, { maxLength: 40 }), chunkSizes, (pieces, sizes) => {
    const text = pieces.join('')
    const expected = text.match(/[^]*?\n\r?\n/g) ?? []
    const splitter = new eventStream.EventSplitter()
    const events: string[] = []
    let at = 0
    for (const size of [...sizes, text.length]) {
      events.push(...(splitter.push(Buffer.from(text.slice(at, at + size))) ?? []).map(event => event.bytes.toString()))
      at += size
    }
    expect(events).toEqual(expected)
    expect(splitter.hasPartialEvent).toBe(events.join('').length < text.length)
  }))
})
