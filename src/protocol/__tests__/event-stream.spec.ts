import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as eventStream from '../event-stream.js'

const { expect, test } = vitest

const TEXT = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\n\n'

// Guards against events that are lost or changed when a chunk ends within an event.
test('events are whole and unchanged for any division of the bytes into chunks', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 40 }), sizes => {
    const splitter = new eventStream.EventSplitter()
    const events: eventStream.StreamEvent[] = []
    let at = 0
    for (const size of [...sizes, TEXT.length]) {
      events.push(...splitter.push(Buffer.from(TEXT.slice(at, at + size))) ?? [])
      at += size
    }
    expect(events.map(event => event.id)).toEqual([1, 2, 3])
    expect(Buffer.concat(events.map(event => event.bytes)).toString()).toBe(TEXT)
    expect(splitter.hasPartialEvent).toBe(false)
  }))
})

// Guards against events that are lost or changed when a chunk is read in several turns.
test('events are whole and unchanged for any number of them at a time', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: TEXT.length }), (maxEvents, size) => {
    const splitter = new eventStream.EventSplitter()
    const events: eventStream.StreamEvent[] = []
    for (let at = 0; at < TEXT.length; at += size) {
      let rest = Buffer.from(TEXT.slice(at, at + size))
      while (rest.length > 0) {
        const taken = splitter.push(rest, maxEvents) ?? []
        expect(taken.length).toBeLessThanOrEqual(maxEvents)
        events.push(...taken)
        rest = rest.subarray(splitter.readBytes)
      }
    }
    expect(events.map(event => event.id)).toEqual([1, 2, 3])
    expect(Buffer.concat(events.map(event => event.bytes)).toString()).toBe(TEXT)
  }))
})

// Guards against forwarding a partial event that another backend server then repeats.
test('an incomplete event is not returned', () => {
  const splitter = new eventStream.EventSplitter()
  expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))?.length).toBe(1)
  expect(splitter.hasPartialEvent).toBe(true)
})

// Guards against unbounded memory for an event that never ends.
test('an event over the size limit is an error', () => {
  expect(new eventStream.EventSplitter().push(Buffer.alloc(2 * 1024 * 1024, 'a'))).toBeUndefined()
})
