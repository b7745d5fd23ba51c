/**
 * A client on bare sockets: it sends one request on a connection of its own and records what comes back and how the
 * connection ended.
 */

import * as net from 'node:net'

/** @returns the bytes of a request with a body of known length. */
export function encodeRequest ({ method = 'POST', path, headers = {}, body = '' }) {
  const fields = { Host: 'a.example', Credential: 'key-a', ...headers, 'Content-Length': Buffer.byteLength(body) }
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`
}

/**
 * Sends a request and reads until the answer is complete or the connection ends.
 * @param options.stallMs time without bytes after which the client leaves, as it does with a stream.
 * @returns status 0 if no whole head has come.
 */
export async function send (address, request, { timeoutMs = 15_000, stallMs } = {}) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const sentAtMs = performance.now()
    const socket = net.connect({ host, port: Number(port) })
    const reader = new AnswerReader()
    let isDone = false
    const finish = end => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      clearTimeout(stallTimer)
      socket.destroy()
      resolve({ ...reader.answer(end === 'closed'), end, sentAtMs, endedAtMs: performance.now() })
    }
    const timer = setTimeout(() => { finish('timeout') }, timeoutMs)
    let stallTimer
    const awaitBytes = () => {
      clearTimeout(stallTimer)
      if (stallMs !== undefined) stallTimer = setTimeout(() => { finish('stalled') }, stallMs)
    }
    awaitBytes()
    socket.on('connect', () => { socket.write(encodeRequest(request)) })
    socket.on('data', chunk => {
      awaitBytes()
      reader.push(chunk)
      if (reader.hasEnded) finish('complete')
    })
    socket.on('end', () => { finish('closed') })
    socket.on('error', error => { finish(error.code) })
    socket.on('close', () => { finish('closed') })
  })
}

const LAST_CHUNK = Buffer.from('0\r\n\r\n')

/** Reads an answer by its framing: a length, chunks, or the orderly end of the connection. */
class AnswerReader {
  #chunks = []
  #bytes = 0
  #head
  #tail = Buffer.alloc(0)

  push (chunk) {
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    this.#tail = Buffer.concat([this.#tail, chunk.subarray(-LAST_CHUNK.length)]).subarray(-LAST_CHUNK.length)
    if (this.#head === undefined) {
      this.#chunks = [Buffer.concat(this.#chunks)]
      this.#head = parseHead(this.#chunks[0])
    }
  }

  /** Whether the framing says that nothing follows. Chunks are only decoded once the last one seems to be there. */
  get hasEnded () {
    if (this.#head === undefined) return false
    const { length, isChunked, size } = this.#head
    if (isChunked) return this.#tail.equals(LAST_CHUNK) && this.answer(false).isComplete
    return length !== undefined && this.#bytes - size >= length
  }

  answer (isClosed) {
    if (this.#head === undefined) return { status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false }
    const { status, headers, length, isChunked, size } = this.#head
    const rest = Buffer.concat(this.#chunks).subarray(size)
    if (isChunked) return { status, headers, ...decodeChunks(rest) }
    if (length === undefined) return { status, headers, body: rest, isComplete: isClosed }
    return { status, headers, body: rest.subarray(0, length), isComplete: rest.length >= length }
  }
}

function parseHead (bytes) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [statusLine, ...lines] = bytes.toString('latin1', 0, end).split('\r\n')
  const headers = Object.fromEntries(lines.map(line => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  }))
  const length = headers['content-length']
  return {
    status: Number(statusLine.split(' ')[1]),
    headers,
    length: length === undefined ? undefined : Number(length),
    isChunked: headers['transfer-encoding'] === 'chunked',
    size: end + 4
  }
}

function decodeChunks (bytes) {
  const parts = []
  let at = 0
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    const size = lineEnd < 0 ? NaN : Number.parseInt(bytes.toString('latin1', at, lineEnd), 16)
    const end = lineEnd + 2 + size
    if (Number.isNaN(size) || bytes.length < end + 2) return { body: Buffer.concat(parts), isComplete: false }
    if (size === 0) return { body: Buffer.concat(parts), isComplete: true }
    parts.push(bytes.subarray(lineEnd + 2, end))
    at = end + 2
  }
}

export async function waitUntil (condition, timeoutMs) {
  const endMs = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > endMs) return false
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
  return true
}

export function sleep (ms) {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
