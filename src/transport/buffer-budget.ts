/**
 * Memory that several bodies share while each is read in full. When they need more than there is, the largest one is
 * given up, so that an endless body can't displace the others.
 */

import * as heldBytes from './held-bytes.js'

export interface BufferBudget {
  maxBytes: number
  usedBytes: number
  shares: Set<BudgetShare>
}

/** Bytes that one owner holds. */
export interface BudgetShare {
  bytes: number
  /** Called when the share is given up. Its owner releases the bytes. */
  readonly onGivenUp: () => void
}

export interface CountedBuffer extends BudgetShare {
  readonly body: heldBytes.HeldBytes
}

export function createBudget (maxBytes: number): BufferBudget {
  return { maxBytes, usedBytes: 0, shares: new Set() }
}

export function openShare (budget: BufferBudget, onGivenUp: () => void): BudgetShare {
  const share = { bytes: 0, onGivenUp }
  budget.shares.add(share)
  return share
}

/** Sets what a share holds; ignored after it was given up or closed. */
export function resize (budget: BufferBudget, share: BudgetShare, bytes: number): void {
  if (!budget.shares.has(share)) return
  budget.usedBytes += bytes - share.bytes
  share.bytes = bytes
  while (budget.usedBytes > budget.maxBytes) {
    const largest = [...budget.shares].reduce((a, b) => (b.bytes > a.bytes ? b : a))
    close(budget, largest)
    largest.onGivenUp()
  }
}

/** Ends the count of a share. Its bytes stay with the caller. */
export function close (budget: BufferBudget, share: BudgetShare): void {
  if (budget.shares.delete(share)) budget.usedBytes -= share.bytes
}

export function openBuffer (budget: BufferBudget, onGivenUp: () => void): CountedBuffer {
  const body = new heldBytes.HeldBytes()
  const buffer: CountedBuffer = {
    bytes: 0,
    body,
    onGivenUp: () => {
      onGivenUp()
      body.clear()
    }
  }
  budget.shares.add(buffer)
  return buffer
}

/** Appends a chunk; ignored after the buffer was given up or closed. */
export function append (budget: BufferBudget, buffer: CountedBuffer, chunk: Buffer): void {
  if (!budget.shares.has(buffer)) return
  buffer.body.append(chunk)
  resize(budget, buffer, buffer.body.takenBytes)
}
