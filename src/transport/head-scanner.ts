/**
 * Finds where the head of a request or the trailer fields of its body end: after an empty line. Lines end as the HTTP
 * parser of Node accepts them, with or without a carriage return.
 */

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

export class HeadScanner {
  /** Whether the line so far has nothing but carriage returns. */
  #isLineEmpty = true

  /** Number of bytes at the start of the input that are empty lines before a request line, which servers ignore. */
  static countEmptyLines (input: Uint8Array): number {
    let at = 0
    while (at < input.length && (input[at] === LINE_FEED || input[at] === CARRIAGE_RETURN)) at += 1
    return at
  }

  /** Prepares for the head of the next request, whose first line is not empty. */
  startHead (): void {
    this.#isLineEmpty = false
  }

  /** Prepares for trailer fields, of which there may be none. */
  startTrailers (): void {
    this.#isLineEmpty = true
  }

  /** @returns index after the empty line that ends the fields; -1 if the input ends before it. */
  findEnd (input: Buffer): number {
    let lineStart = 0
    for (;;) {
      const lineFeedAt = input.indexOf(LINE_FEED, lineStart)
      const lineEnd = lineFeedAt < 0 ? input.length : lineFeedAt
      if (this.#isLineEmpty) this.#isLineEmpty = hasOnlyCarriageReturns(input, lineStart, lineEnd)
      if (lineFeedAt < 0) return -1
      if (this.#isLineEmpty) return lineFeedAt + 1
      this.#isLineEmpty = true
      lineStart = lineFeedAt + 1
    }
  }
}

function hasOnlyCarriageReturns (input: Uint8Array, start: number, end: number): boolean {
  for (let at = start; at < end; at++) if (input[at] !== CARRIAGE_RETURN) return false
  return true
}
