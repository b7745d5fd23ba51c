/**
 * Splits the bytes of an event stream into whole events, which are forwarded unchanged.
 */

export interface StreamEvent {
  /** The event as received, with its terminating blank line. */
  bytes: Buffer
  /** Undefined when the event has no numeric id. */
  id: number | undefined
  /** Whether clients see the event; a comment is not seen. */
  hasData: boolean
}

/** A larger event is treated as a failure of the stream. */
const MAX_EVENT_BYTES = 1024 * 1024
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const DATA_LINE = /^data(:|\r?$)/m
const EMPTY = Buffer.alloc(0)

/** What the last bytes are, since a blank line may be divided between two chunks. */
type LineState = 'within_line' | 'line_start' | 'after_carriage_return'

export class EventSplitter {
  /** Holds the incomplete event in its first `#restBytes`. */
  #rest = EMPTY
  #restBytes = 0
  #state: LineState = 'within_line'
  #readBytes = 0

  /**
   * @param maxEvents after so many events, the rest of the chunk is not read.
   * @returns the events that are complete now, or undefined when an event exceeds the limit.
   */
  push (chunk: Buffer, maxEvents = Infinity): StreamEvent[] | undefined {
    const events: StreamEvent[] = []
    this.#readBytes = 0
    while (events.length < maxEvents) {
      const end = this.#eventEnd(chunk, this.#readBytes)
      if (end === 0) {
        const rest = chunk.subarray(this.#readBytes)
        this.#readBytes = chunk.length
        return this.#keep(rest) ? events : undefined
      }
      events.push(this.#takeEvent(chunk.subarray(this.#readBytes, end)))
      this.#readBytes = end
    }
    return events
  }

  /** Number of bytes of the last chunk that were read. */
  get readBytes (): number {
    return this.#readBytes
  }

  /** Memory that the incomplete event takes. */
  get takenBytes (): number {
    return this.#rest.length
  }

  /** Whether the last event is incomplete. */
  get hasPartialEvent (): boolean {
    return this.#restBytes > 0
  }

  /** @returns the index after the blank line that ends the event; 0 when the event is incomplete. */
  #eventEnd (chunk: Buffer, start: number): number {
    let at = start
    while (at < chunk.length) {
      if (this.#state === 'within_line') {
        const lineFeedAt = chunk.indexOf(LINE_FEED, at)
        if (lineFeedAt < 0) return 0
        at = lineFeedAt + 1
        this.#state = 'line_start'
        continue
      }
      const byte = chunk[at]
      at += 1
      const isLineFeed = byte === LINE_FEED
      const isCarriageReturn = byte === CARRIAGE_RETURN && this.#state === 'line_start'
      this.#state = isCarriageReturn ? 'after_carriage_return' : 'within_line'
      if (isLineFeed) return at
    }
    return 0
  }

  #takeEvent (last: Buffer): StreamEvent {
    const bytes = this.#restBytes === 0 ? last : Buffer.concat([this.#rest.subarray(0, this.#restBytes), last])
    this.#rest = EMPTY
    this.#restBytes = 0
    const text = bytes.toString('latin1')
    return { bytes, id: idOf(text), hasData: DATA_LINE.test(text) }
  }

  /** Appends to the incomplete event. @returns whether it is within the limit. */
  #keep (part: Buffer): boolean {
    const sizeBytes = this.#restBytes + part.length
    if (sizeBytes > MAX_EVENT_BYTES) return false
    if (sizeBytes > this.#rest.length) {
      // Doubled, so that an event in many small chunks is not copied for each of them.
      const grown = Buffer.allocUnsafe(Math.min(MAX_EVENT_BYTES, Math.max(sizeBytes, 2 * this.#rest.length)))
      this.#rest.copy(grown, 0, 0, this.#restBytes)
      this.#rest = grown
    }
    part.copy(this.#rest, this.#restBytes)
    this.#restBytes = sizeBytes
    return true
  }
}

function idOf (text: string): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(text)
  return match === null ? undefined : Number(match[1])
}
