/**
 * Small stand-in of a server whose answers have no length and end with their connection. Some of them are reset on the
 * way, in the middle of the body.
 */

import * as net from 'node:net'
import * as loopback from './net.mjs'

const PIECES = 4

export class UnframedServer {
  address = ''
  arrivals = []
  /** Every how many answers one is reset; undefined if none is. */
  resetEvery
  #server = net.createServer({ noDelay: true }, socket => { this.#accept(socket) })

  constructor (id, service) {
    this.id = id
    this.service = service
    this.born = Date.now()
  }

  async start () {
    this.address = await loopback.listen(this.#server)
  }

  stop () {
    this.#server.close()
  }

  row () {
    return {
      service: this.service,
      address: this.address,
      zone: 'z1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 0,
      born: this.born
    }
  }

  #accept (socket) {
    let text = ''
    socket.on('error', () => {})
    const read = chunk => {
      text += chunk.toString('latin1')
      if (!text.includes('\r\n\r\n')) return
      socket.off('data', read)
      this.#answer(socket, /^attempt-id: (\S+)/im.exec(text)[1], /^expected-instance: (\S+)/im.exec(text)?.[1])
    }
    socket.on('data', read)
  }

  #answer (socket, attempt, expected) {
    if (expected !== undefined && expected !== this.id) {
      socket.end(`HTTP/1.1 421 Misdirected\r\nAttempt-Id: ${attempt}\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    const arrival = { atMs: performance.now(), attempt, server: this.id, wasReset: false, body: bodyOf(attempt) }
    this.arrivals.push(arrival)
    arrival.wasReset = this.resetEvery !== undefined && this.arrivals.length % this.resetEvery === 0
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Signature: signed-${this.id}\r\n\r\n`
    if (!arrival.wasReset) {
      socket.end(head + arrival.body)
      return
    }
    socket.write(head + arrival.body.slice(0, arrival.body.length / 2), () => {
      // resetAndDestroy() would end the connection in order before it resets it.
      socket.resetAndClosing = true
      socket.destroy()
    })
  }
}

/** @returns the whole body of the answer to an attempt. */
export function bodyOf (attempt) {
  return Array.from({ length: PIECES }, (_, index) => `line ${index + 1} of ${PIECES} for ${attempt}\n`).join('')
}
