/**
 * Stand-in for a server whose HTTP answers break off at a chosen byte, in order or by a reset.
 */

import * as net from 'node:net'

/** `interim`: informational heads before an answer with a length. `line_feeds`: lines end without a carriage return. */
export type Framing = 'length' | 'chunked' | 'trailers' | 'none' | 'interim' | 'line_feeds'
/** `end_at_once` and `reset_at_once` follow the last bytes directly, the others after a pause. */
export type Ending = 'end' | 'end_at_once' | 'reset' | 'reset_at_once'

export const FRAMINGS: readonly Framing[] = ['length', 'chunked', 'trailers', 'none', 'interim', 'line_feeds']
export const ENDINGS: readonly Ending[] = ['end', 'end_at_once', 'reset', 'reset_at_once']

export interface Answer {
  bytes: Buffer
  headBytes: number
  framing: Framing
}

export interface CutAnswer {
  answer: Answer
  /** Number of bytes that are sent. */
  sentBytes: number
  ending: Ending | 'stall'
}

const PAUSE_MS = 1
const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'

/** @param fields header lines without their ends. */
export function encodeAnswer (framing: Framing, status: number, fields: string[], body: string): Answer {
  const lines = [`HTTP/1.1 ${status} Reason`, ...fields]
  const isChunked = framing === 'chunked' || framing === 'trailers'
  if (framing === 'trailers') lines.push('Trailer: X-Sum')
  if (isChunked) lines.push('Transfer-Encoding: chunked')
  else if (framing !== 'none') lines.push(`Content-Length: ${body.length}`)
  const head = `${framing === 'interim' ? INTERIM : ''}${lines.join('\r\n')}\r\n\r\n`
  const lineFeeds = framing === 'line_feeds' ? head.replaceAll('\r\n', '\n') : head
  const half = body.length >> 1
  const chunks = [body.slice(0, half), body.slice(half)].filter(chunk => chunk !== '')
    .map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')
  const text = isChunked ? `${chunks}0\r\n${framing === 'trailers' ? 'X-Sum: 12\r\n' : ''}\r\n` : body
  return { bytes: Buffer.from(lineFeeds + text), headBytes: lineFeeds.length, framing }
}

/**
 * Every way in which an answer breaks off and its receiver can know it. A body without a length that ends in order
 * can't be told from a whole one, and one that was reset is never whole.
 */
export function cutsOf (answer: Answer): CutAnswer[] {
  return ENDINGS.flatMap(ending => {
    const isReset = ending.startsWith('reset')
    const positions = answer.framing !== 'none' ? answer.bytes.length : isReset ? answer.bytes.length + 1 : answer.headBytes
    return Array.from({ length: positions }, (_, sentBytes) => ({ answer, sentBytes, ending }))
  })
}

export function describeCut ({ answer, sentBytes, ending }: CutAnswer): string {
  return `${answer.framing}, ${ending} after ${sentBytes} of ${answer.bytes.length} bytes: ` +
    JSON.stringify(answer.bytes.toString('latin1', Math.max(0, sentBytes - 20), sentBytes))
}

/** Answers each request as `choose` says. */
export class CutServer {
  address = ''
  requests = 0
  readonly #sockets = new Set<net.Socket>()
  readonly #server: net.Server

  /** @param choose gets the head of a request. */
  constructor (choose: (head: string) => CutAnswer) {
    this.#server = net.createServer({ noDelay: true, allowHalfOpen: true }, socket => { this.#accept(socket, choose) })
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    const { address, port } = this.#server.address() as net.AddressInfo
    this.address = `${address}:${port}`
  }

  stop (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket: net.Socket, choose: (head: string) => CutAnswer): void {
    let unread = ''
    this.#sockets.add(socket)
    socket.on('close', () => { this.#sockets.delete(socket) })
    socket.on('error', () => {})
    socket.on('end', () => { socket.end() })
    socket.on('data', bytes => {
      unread += bytes.toString('latin1')
      const headEnd = unread.indexOf('\r\n\r\n') + 4
      const length = Number(/\r\ncontent-length: (\d+)/i.exec(unread)?.[1] ?? 0)
      if (headEnd < 4 || unread.length < headEnd + length) return
      const head = unread.slice(0, headEnd)
      unread = unread.slice(headEnd + length)
      this.requests += 1
      send(socket, choose(head))
    })
  }
}

function send (socket: net.Socket, { answer, sentBytes, ending }: CutAnswer): void {
  const bytes = answer.bytes.subarray(0, sentBytes)
  if (ending === 'end_at_once') socket.end(bytes)
  else {
    socket.write(bytes, () => {
      if (ending === 'reset_at_once') resetOnly(socket)
      else if (ending !== 'stall') setTimeout(() => { if (ending === 'end') socket.end(); else resetOnly(socket) }, PAUSE_MS)
    })
  }
}

/** `resetAndDestroy()` ends the connection in order before it resets it. */
export function resetOnly (socket: net.Socket): void {
  (socket as net.Socket & { resetAndClosing: boolean }).resetAndClosing = true
  socket.destroy()
}
