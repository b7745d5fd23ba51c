/**
 * Memory that several bodies share while each is read in full. When they need more than there is, the largest one is
 * given up, so that an endless body can't displace the others.
 */

import * as heldBytes from './held-bytes.js'

export interface BufferBudget {
  maxBytes: number
  usedBytes: number
  buffers: Set<CountedBuffer>
}

export interface CountedBuffer {
  readonly body: heldBytes.HeldBytes
  /** Called when the buffer is given up; its bytes are released. */
  readonly onGivenUp: () => void
}

export function createBudget (maxBytes: number): BufferBudget {
  return { maxBytes, usedBytes: 0, buffers: new Set() }
}

export function openBuffer (budget: BufferBudget, onGivenUp: () => void): CountedBuffer {
  const buffer: CountedBuffer = { body: new heldBytes.HeldBytes(), onGivenUp }
  budget.buffers.add(buffer)
  return buffer
}

/** Appends a chunk; ignored after the buffer was given up or closed. */
export function append (budget: BufferBudget, buffer: CountedBuffer, chunk: Buffer): void {
  if (!budget.buffers.has(buffer)) return
  const before = buffer.body.takenBytes
  buffer.body.append(chunk)
  budget.usedBytes += buffer.body.takenBytes - before
  while (budget.usedBytes > budget.maxBytes) {
    const largest = [...budget.buffers].reduce((a, b) => (b.body.takenBytes > a.body.takenBytes ? b : a))
    close(budget, largest)
    largest.onGivenUp()
    largest.body.clear()
  }
}

/** Ends the count of a buffer. Its bytes stay with the caller. */
export function close (budget: BufferBudget, buffer: CountedBuffer): void {
  if (budget.buffers.delete(buffer)) budget.usedBytes -= buffer.body.takenBytes
}
