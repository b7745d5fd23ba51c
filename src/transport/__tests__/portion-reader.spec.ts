import * as stream from 'node:stream'
import * as timers from 'node:timers/promises'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as portionReader from '../portion-reader.js'

const { expect, test } = vitest

const NONE = Buffer.alloc(0)

/** Reads all portions, of each of which a handler takes some bytes at a time. */
function readAll (source: stream.Readable, takenBytes: number): Promise<{ text: string, end: string }> {
  const parts: string[] = []
  return new Promise(resolve => {
    portionReader.readPortions(source, {
      onPortion: bytes => {
        parts.push(bytes.subarray(0, takenBytes).toString())
        return bytes.subarray(takenBytes)
      },
      onEnd: () => { resolve({ text: parts.join(''), end: 'end' }) },
      onBroken: reason => { resolve({ text: parts.join(''), end: reason }) }
    })
  })
}

// Guards against bytes that are lost, doubled or out of order when a portion is handled in several turns.
test('all bytes are handled in order before the end', async () => {
  const chunks = fc.array(fc.string({ minLength: 1, maxLength: 8 }), { maxLength: 20 })
  await fc.assert(fc.asyncProperty(chunks, fc.integer({ min: 1, max: 5 }), async (pieces, takenBytes) => {
    const source = stream.Readable.from(pieces.map(piece => Buffer.from(piece)), { objectMode: false })
    expect(await readAll(source, takenBytes)).toEqual({ text: pieces.join(''), end: 'end' })
  }))
})

// Guards against the loss of what has arrived before a connection breaks off.
test('what has arrived is handled before the body counts as broken', async () => {
  const source = new stream.Readable({ read: () => {} })
  source.push('abcdef')
  const result = readAll(source, 1)
  await timers.setImmediate()
  source.destroy(new Error('reset'))
  expect(await result).toEqual({ text: 'abcdef', end: 'reset' })
})

// Guards against a source that is read to its end in one turn while others wait.
test('a source that always has more leaves turns to others', async () => {
  const source = new stream.Readable({ read () { this.push(Buffer.alloc(64 * 1024)) } })
  let portions = 0
  const reader = portionReader.readPortions(source, {
    onPortion: () => {
      portions += 1
      return NONE
    },
    onEnd: () => {},
    onBroken: () => {}
  })
  for (let turn = 0; turn < 20; turn++) await timers.setImmediate()
  const before = portions
  expect(before).toBeGreaterThan(0)
  reader.pause()
  await timers.setTimeout(20)
  expect(portions).toBe(before)
  reader.resume()
  await timers.setTimeout(20)
  expect(portions).toBeGreaterThan(before)
  reader.close()
  const closed = portions
  await timers.setTimeout(20)
  expect(portions).toBe(closed)
})
