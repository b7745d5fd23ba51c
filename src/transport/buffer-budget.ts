/**
 * Memory that several bodies share while each is read in full. When they need more than there is, the largest one is
 * given up, so that an endless body can't displace the others.
 */

export interface BufferBudget {
  maxBytes: number
  usedBytes: number
  buffers: Set<CountedBuffer>
}

export interface CountedBuffer {
  readonly chunks: Buffer[]
  sizeBytes: number
  /** Called when the buffer is given up; its chunks are released. */
  readonly onGivenUp: () => void
}

export function createBudget (maxBytes: number): BufferBudget {
  return { maxBytes, usedBytes: 0, buffers: new Set() }
}

export function openBuffer (budget: BufferBudget, onGivenUp: () => void): CountedBuffer {
  const buffer: CountedBuffer = { chunks: [], sizeBytes: 0, onGivenUp }
  budget.buffers.add(buffer)
  return buffer
}

/** Appends a chunk; ignored after the buffer was given up or closed. */
export function append (budget: BufferBudget, buffer: CountedBuffer, chunk: Buffer): void {
  if (!budget.buffers.has(buffer)) return
  buffer.chunks.push(chunk)
  buffer.sizeBytes += chunk.length
  budget.usedBytes += chunk.length
  while (budget.usedBytes > budget.maxBytes) {
    const largest = [...budget.buffers].reduce((a, b) => (b.sizeBytes > a.sizeBytes ? b : a))
    close(budget, largest)
    largest.chunks.length = 0
    largest.onGivenUp()
  }
}

/** Ends the count of a buffer. Its chunks stay with the caller. */
export function close (budget: BufferBudget, buffer: CountedBuffer): void {
  if (budget.buffers.delete(buffer)) budget.usedBytes -= buffer.sizeBytes
}
