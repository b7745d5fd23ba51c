/**
 * Cuts the bytes of an event stream into whole events. The time is linear in the length of an event, however small the
 * chunks are in which it arrives.
 */

const EVENT_END = Buffer.from('\n\n')
const LINE_FEED = 0x0a
/** A larger event is treated as a failure of the stream. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024

export class WholeEvents {
  /** Chunks of the event that is not whole yet. */
  #rest: Buffer[] = []
  #restBytes = 0

  /**
   * @returns the events that are whole now, each with the blank line that ends it; undefined when an event exceeds the
   * limit.
   */
  push (chunk: Buffer): Buffer[] | undefined {
    const events: Buffer[] = []
    let start = 0
    for (let end = this.#firstEnd(chunk); end > 0; end = endAfter(chunk, start)) {
      this.#rest.push(chunk.subarray(start, end))
      events.push(this.#rest.length === 1 ? this.#rest[0]! : Buffer.concat(this.#rest))
      this.#rest = []
      this.#restBytes = 0
      start = end
    }
    if (start < chunk.length) {
      this.#rest.push(chunk.subarray(start))
      this.#restBytes += chunk.length - start
    }
    return this.#restBytes > MAX_EVENT_BYTES ? undefined : events
  }

  /** Whether the last event is incomplete; blank lines behind an event are none. */
  get hasPartialEvent (): boolean {
    return this.#rest.some(chunk => chunk.some(byte => byte !== LINE_FEED))
  }

  #firstEnd (chunk: Buffer): number {
    const isDivided = this.#rest.at(-1)?.at(-1) === LINE_FEED && chunk[0] === LINE_FEED
    return isDivided ? 1 : endAfter(chunk, 0)
  }
}

/** @returns the index after the next event; 0 when none ends in the chunk. */
function endAfter (chunk: Buffer, start: number): number {
  const at = chunk.indexOf(EVENT_END, start)
  return at < 0 ? 0 : at + EVENT_END.length
}
