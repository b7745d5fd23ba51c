/**
 * Prefix cache of the engine stand-in: a bounded number of blocks of prompt text with least-recently-used eviction.
 * As in real engines, a block is identified by a hash over its text and all text before it.
 */

import * as crypto from 'node:crypto'

/** Changes of the cache, in the format in which engines publish them. */
export type CacheEvent =
  | { type: 'BlockStored', block_hashes: string[], parent_block_hash: string | null, block_size: number }
  | { type: 'BlockRemoved', block_hashes: string[] }
  | { type: 'AllBlocksCleared' }

export interface PrefixCacheOptions {
  /** 0 disables the cache. */
  maxBlocks: number
  /** Characters in a block; text after the last full block is never cached. */
  blockCharacters: number
}

export interface CacheLookup {
  blocks: number
  hits: number
}

export class PrefixCache {
  readonly #options: PrefixCacheOptions
  readonly #onEvents: (events: CacheEvent[]) => void
  /** Parent hash of each cached block by the block's hash, the least recently used first. */
  readonly #blocks = new Map<string, string | null>()

  constructor (options: PrefixCacheOptions, onEvents: (events: CacheEvent[]) => void) {
    this.#options = options
    this.#onEvents = onEvents
  }

  get blocks (): string[] { return [...this.#blocks.keys()] }

  /** Looks up the blocks of a prompt and stores those that are missing. */
  lookUpAndStore (text: string): CacheLookup {
    const hashes = blockHashes(text, this.#options.blockCharacters)
    const firstMissing = hashes.findIndex(hash => !this.#blocks.has(hash))
    const hits = firstMissing < 0 ? hashes.length : firstMissing
    if (this.#options.maxBlocks === 0) return { blocks: hashes.length, hits: 0 }
    const stored = hashes.slice(hits)
    // Inserted from last to first, so that the last block is evicted first: a block is useless without those before it.
    for (let index = hashes.length - 1; index >= 0; index--) {
      this.#blocks.delete(hashes[index]!)
      this.#blocks.set(hashes[index]!, hashes[index - 1] ?? null)
    }
    const removed: string[] = []
    while (this.#blocks.size > this.#options.maxBlocks) {
      const oldest = this.#blocks.keys().next().value!
      this.#blocks.delete(oldest)
      removed.push(oldest)
    }
    const events: CacheEvent[] = []
    if (stored.length > 0) {
      events.push({
        type: 'BlockStored',
        block_hashes: stored,
        parent_block_hash: hashes[hits - 1] ?? null,
        block_size: this.#options.blockCharacters
      })
    }
    if (removed.length > 0) events.push({ type: 'BlockRemoved', block_hashes: removed })
    if (events.length > 0) this.#onEvents(events)
    return { blocks: hashes.length, hits }
  }

  clear (): void {
    this.#blocks.clear()
    this.#onEvents([{ type: 'AllBlocksCleared' }])
  }
}

export function blockHashes (text: string, blockCharacters: number): string[] {
  const hashes: string[] = []
  for (let end = blockCharacters; end <= text.length; end += blockCharacters) {
    hashes.push(crypto.createHash('sha256')
      .update(`${hashes.at(-1) ?? ''}\u0000${text.slice(end - blockCharacters, end)}`).digest('hex').slice(0, 16))
  }
  return hashes
}
