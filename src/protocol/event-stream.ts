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
const DATA_LINE = /^data(:|\r?$)/m

export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  /** @returns the events that are complete now, or undefined when an event exceeds the limit. */
  push (chunk: Buffer): StreamEvent[] | undefined {
    const data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = eventEnd(data, start); end > 0; end = eventEnd(data, start)) {
      const bytes = data.subarray(start, end)
      const text = bytes.toString('latin1')
      events.push({ bytes, id: idOf(text), hasData: DATA_LINE.test(text) })
      start = end
    }
    this.#rest = data.subarray(start)
    return this.#rest.length > MAX_EVENT_BYTES ? undefined : events
  }

  /** Whether the last event is incomplete. */
  get hasPartialEvent (): boolean {
    return this.#rest.length > 0
  }
}

/** @returns the index after the blank line that ends the event at `start`; 0 when the event is incomplete. */
function eventEnd (data: Buffer, start: number): number {
  for (let at = data.indexOf(LINE_FEED, start); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
    if (data[at + 1] === LINE_FEED) return at + 2
    if (data[at + 1] === 0x0d && data[at + 2] === LINE_FEED) return at + 3
  }
  return 0
}

function idOf (text: string): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(text)
  return match === null ? undefined : Number(match[1])
}
