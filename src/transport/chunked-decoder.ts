/**
 * Decodes a body in chunks (RFC 9112, section 7.1) at a cost that follows its bytes, however small the chunks are. It
 * ends with the size line of the last chunk, before the trailer fields.
 */

/** Bytes of one chunk's extensions, which are dropped. */
const MAX_EXTENSION_BYTES = 16 * 1024
/** Hexadecimal digits of a size, so that it is an exact number. */
const MAX_SIZE_DIGITS = 13
const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const SEMICOLON = 0x3b
const EQUALS_SIGN = 0x3d
const QUOTE = 0x22
/** Smaller pieces are copied byte by byte, which is faster than a call. */
const SMALL_PIECE_BYTES = 48

/** What the next byte belongs to. */
type Position =
  | 'size'
  | 'extension'
  | 'size_line_feed'
  | 'data'
  | 'data_carriage_return'
  | 'data_line_feed'

export type DecodeState = 'open' | 'ended' | 'malformed'

export interface Decoded {
  /** Index in the input of the first byte that was not read. */
  readTo: number
  /** Number of bytes written to the output. */
  writtenBytes: number
}

export class ChunkedDecoder {
  #position: Position = 'size'
  #state: DecodeState = 'open'
  #digits = 0
  /** Size of the chunk, then what is left of it. */
  #remainingBytes = 0
  #extensionBytes = 0
  /** Whether a name or a value of an extension is to begin. */
  #isExtensionPartDue = false
  #isInQuotes = false

  /** After `ended` and `malformed`, nothing more is read. */
  get state (): DecodeState {
    return this.#state
  }

  /** @param output room for as many bytes as are read from the input, from `outputAt` on. */
  decode (input: Uint8Array, output: Uint8Array, outputAt: number): Decoded {
    let at = 0
    let written = outputAt
    while (at < input.length && this.#state === 'open') {
      if (this.#position === 'data') {
        const bytes = Math.min(this.#remainingBytes, input.length - at)
        copyPiece(input, at, bytes, output, written)
        at += bytes
        written += bytes
        this.#remainingBytes -= bytes
        if (this.#remainingBytes === 0) this.#position = 'data_carriage_return'
      } else {
        this.#readFraming(input[at]!)
        at += 1
      }
    }
    return { readTo: at, writtenBytes: written - outputAt }
  }

  #readFraming (byte: number): void {
    switch (this.#position) {
      case 'size':
        this.#readSize(byte)
        return
      case 'extension':
        this.#skipExtension(byte)
        return
      case 'size_line_feed':
        this.#endSizeLine(byte)
        return
      case 'data_carriage_return':
        this.#expect(byte, CARRIAGE_RETURN, 'data_line_feed')
        return
      case 'data_line_feed':
        this.#expect(byte, LINE_FEED, 'size')
    }
  }

  #readSize (byte: number): void {
    const digit = hexadecimalDigit(byte)
    if (digit >= 0) {
      this.#digits += 1
      this.#remainingBytes = this.#remainingBytes * 16 + digit
      if (this.#digits > MAX_SIZE_DIGITS) this.#state = 'malformed'
      return
    }
    if (this.#digits === 0) this.#state = 'malformed'
    else if (byte === CARRIAGE_RETURN) this.#position = 'size_line_feed'
    else if (byte === SEMICOLON) {
      this.#position = 'extension'
      this.#isExtensionPartDue = true
    } else this.#state = 'malformed'
    this.#digits = 0
  }

  #expect (byte: number, expected: number, next: Position): void {
    if (byte === expected) this.#position = next
    else this.#state = 'malformed'
  }

  #endSizeLine (byte: number): void {
    this.#expect(byte, LINE_FEED, 'data')
    this.#extensionBytes = 0
    if (this.#state === 'open' && this.#remainingBytes === 0) this.#state = 'ended'
  }

  #skipExtension (byte: number): void {
    this.#extensionBytes += 1
    if (this.#extensionBytes > MAX_EXTENSION_BYTES) this.#state = 'malformed'
    else if (this.#isInQuotes) {
      if (byte === QUOTE) this.#isInQuotes = false
      else if (byte < FIRST_VISIBLE) this.#state = 'malformed'
    } else if (this.#isExtensionPartDue) {
      this.#isExtensionPartDue = false
      this.#isInQuotes = byte === QUOTE
      if (!this.#isInQuotes && !isTokenByte(byte)) this.#state = 'malformed'
    } else if (byte === CARRIAGE_RETURN) this.#position = 'size_line_feed'
    else if (byte === SEMICOLON || byte === EQUALS_SIGN) this.#isExtensionPartDue = true
    else if (!isTokenByte(byte)) this.#state = 'malformed'
  }
}

const FIRST_VISIBLE = 0x20
const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]$/

function isTokenByte (byte: number): boolean {
  return TOKEN.test(String.fromCharCode(byte))
}

function hexadecimalDigit (byte: number): number {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30
  const lower = byte | 0x20
  return lower >= 0x61 && lower <= 0x66 ? lower - 0x57 : -1
}

function copyPiece (input: Uint8Array, at: number, bytes: number, output: Uint8Array, outputAt: number): void {
  if (bytes > SMALL_PIECE_BYTES) {
    output.set(input.subarray(at, at + bytes), outputAt)
    return
  }
  for (let index = 0; index < bytes; index++) output[outputAt + index] = input[at + index]!
}
