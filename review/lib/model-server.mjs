/**
 * Small stand-in of a model server that answers with streams. A part of a prompt may crash it when it begins to write
 * an answer; it is back after some seconds, under its identifier, with a new start time.
 */

import * as http from 'node:http'
import * as net from './net.mjs'

/** Time until a server is back after a crash. */
const RESTART_MS = 2_500
const FIRST_EVENT_MS = 60
const EVENT_INTERVAL_MS = 40
const EVENTS = 8

export class ModelServer {
  address = ''
  arrivals = []
  /** Times at which the server crashed. */
  crashes = []
  /** Id of the part that crashes the server; undefined if none does. */
  crashingPart
  #server
  #store

  constructor (id, service, store) {
    this.id = id
    this.service = service
    this.#store = store
  }

  async start () {
    this.#server = this.#create()
    this.address = await net.listen(this.#server)
    this.#register()
  }

  stop () {
    this.isStopped = true
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #create () {
    return http.createServer((request, response) => { this.#handle(request, response) })
  }

  #register () {
    this.#store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: 'z1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 0,
      born: Date.now()
    })
  }

  #crash () {
    this.crashes.push(performance.now())
    this.#server.close()
    this.#server.closeAllConnections()
    setTimeout(() => {
      if (this.isStopped) return
      this.#server = this.#create()
      const [host, port] = this.address.split(':')
      this.#server.listen(Number(port), host, () => { this.#register() })
    }, RESTART_MS)
  }

  async #handle (request, response) {
    const atMs = performance.now()
    if (await net.readText(request) === undefined) return
    const attempt = String(request.headers['attempt-id'])
    if (request.headers['expected-instance'] !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Instance-Id': this.id, 'Content-Length': 0 }).end()
      return
    }
    const parts = String(request.headers['prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0])
    const isCrashing = this.crashingPart !== undefined && parts.slice(0, -1).includes(this.crashingPart)
    const arrival = { atMs, attempt, server: this.id, isCrashing, wasBrokenOff: false }
    this.arrivals.push(arrival)
    response.on('close', () => { arrival.wasBrokenOff = !response.writableFinished })
    await net.sleep(FIRST_EVENT_MS)
    if (response.destroyed) return
    response.writeHead(200, {
      'Attempt-Id': attempt, 'Server-Signature': `signed-${this.id}`, 'Content-Type': 'text/event-stream'
    })
    const from = Number(request.headers['last-event-id'] ?? 0)
    for (let id = from + 1; id <= EVENTS && !response.destroyed; id++) {
      response.write(`id: ${id}\ndata: piece ${id} of ${attempt}\n\n`)
      await net.sleep(EVENT_INTERVAL_MS)
      if (isCrashing && !response.destroyed) {
        this.#crash()
        return
      }
    }
    response.end()
  }
}
