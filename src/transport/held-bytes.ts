/**
 * Bytes that arrive in pieces and are held in memory. Small pieces are copied together, since a buffer of its own takes
 * a hundred bytes and more for each of them.
 */

/** Pieces from this size on are kept as they are. */
const LARGE_PIECE_BYTES = 16 * 1024
const FIRST_SLAB_BYTES = 1024
const MAX_SLAB_BYTES = 64 * 1024

export class HeldBytes {
  readonly #pieces: Buffer[] = []
  #sizeBytes = 0
  #takenBytes = 0
  /** The last of the pieces, if there may be room behind its bytes. */
  #slab: Buffer | undefined
  #slabUsedBytes = 0

  static of (bytes: Buffer): HeldBytes {
    const held = new HeldBytes()
    held.append(bytes)
    return held
  }

  /** Number of bytes. */
  get sizeBytes (): number {
    return this.#sizeBytes
  }

  /** Memory that they take, in bytes. */
  get takenBytes (): number {
    return this.#takenBytes
  }

  /** The bytes in order. */
  get pieces (): readonly Buffer[] {
    if (this.#slab === undefined) return this.#pieces
    return [...this.#pieces, this.#slab.subarray(0, this.#slabUsedBytes)]
  }

  append (piece: Buffer): void {
    this.#sizeBytes += piece.length
    if (piece.length >= LARGE_PIECE_BYTES || this.#sizeBytes === piece.length) {
      this.#closeSlab()
      this.#pieces.push(piece)
      this.#takenBytes += piece.length
      return
    }
    const room = this.#slab === undefined ? 0 : this.#slab.length - this.#slabUsedBytes
    const copied = Math.min(room, piece.length)
    if (copied > 0) {
      piece.copy(this.#slab!, this.#slabUsedBytes, 0, copied)
      this.#slabUsedBytes += copied
    }
    if (copied === piece.length) return
    const rest = piece.subarray(copied)
    const nextBytes = Math.min(MAX_SLAB_BYTES, Math.max(FIRST_SLAB_BYTES, rest.length, 2 * (this.#slab?.length ?? 0)))
    this.#closeSlab()
    this.#slab = Buffer.allocUnsafeSlow(nextBytes)
    this.#slabUsedBytes = rest.copy(this.#slab)
    this.#takenBytes += nextBytes
  }

  /** The first bytes, up to a number of them. */
  first (maxBytes: number): Buffer {
    const parts: Buffer[] = []
    let remainingBytes = maxBytes
    for (const piece of this.pieces) {
      if (remainingBytes === 0) break
      const part = piece.subarray(0, remainingBytes)
      parts.push(part)
      remainingBytes -= part.length
    }
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
  }

  /** Gives up the bytes. */
  clear (): void {
    this.#pieces.length = 0
    this.#slab = undefined
    this.#sizeBytes = 0
    this.#takenBytes = 0
  }

  /** All bytes in one buffer, for small numbers of them. */
  concat (): Buffer {
    const { pieces } = this
    return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)
  }

  #closeSlab (): void {
    if (this.#slab !== undefined) this.#pieces.push(this.#slab.subarray(0, this.#slabUsedBytes))
    this.#slab = undefined
  }
}
