import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as heldBytes from '../held-bytes.js'

const { expect, test } = vitest

test('bytes are kept in order, whatever the pieces are', () => {
  const size = fc.oneof(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 40_000 }))
  const sizes = fc.array(size, { maxLength: 60 })
  fc.assert(fc.property(sizes, fc.nat(50_000), (pieceSizes, firstBytes) => {
    const pieces = pieceSizes.map((size, index) => Buffer.alloc(size, index + 1))
    const held = new heldBytes.HeldBytes()
    for (const piece of pieces) held.append(piece)
    const all = Buffer.concat(pieces)
    expect(Buffer.concat(held.pieces).equals(all)).toBe(true)
    expect(held.concat().equals(all)).toBe(true)
    expect(held.first(firstBytes).equals(all.subarray(0, firstBytes))).toBe(true)
    expect(held.sizeBytes).toBe(all.length)
  }))
})

// Guards against a body in pieces of one byte that takes a hundred times its size.
test('small pieces take little more memory than their bytes', () => {
  const held = new heldBytes.HeldBytes()
  for (let count = 0; count < 1_000_000; count++) held.append(Buffer.from([count & 0xff]))
  expect(held.takenBytes).toBeLessThan(1_100_000)
  expect(held.pieces.length).toBeLessThan(100)
})
