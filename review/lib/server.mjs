/**
 * Small stand-in of a server of a plain service. It runs each request that is meant for it, and notes what arrives,
 * what it runs and when.
 */

import * as http from 'node:http'
import * as net from './net.mjs'

/** Requests that wait for a slot; more are turned away. */
const QUEUE = 24

export class Server {
  address = ''
  /** What arrived: time, id of the attempt, and whether it was run. */
  arrivals = []
  /** Time that a request runs, in ms. */
  workMs = 20
  /** Requests that run at the same time. */
  slots = 8
  #running = 0
  #waiting = []
  /** Answers a request instead of running it, where it returns true. */
  intercept = () => false
  #server = http.createServer((request, response) => { this.#handle(request, response) })

  constructor (id, service) {
    this.id = id
    this.service = service
    this.born = Date.now()
  }

  async start () {
    this.address = await net.listen(this.#server)
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** The entry that the server writes to the store. */
  row (state = 'ready') {
    return {
      service: this.service,
      address: this.address,
      zone: 'z1',
      version: 'v1',
      slots: this.slots,
      state,
      'cold-remaining-ms': 0,
      sequence: 0,
      born: this.born
    }
  }

  async #handle (request, response) {
    const atMs = performance.now()
    if (await net.readText(request) === undefined) return
    const attempt = String(request.headers['attempt-id'])
    const expected = request.headers['expected-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Instance-Id': this.id, 'Content-Length': 0 }).end()
      return
    }
    const arrival = { atMs, attempt, path: request.url, server: this.id, hasRun: false, isAnswered: false }
    this.arrivals.push(arrival)
    if (this.intercept(request, response, arrival)) return
    if (this.#running >= this.slots) {
      if (this.#waiting.length >= QUEUE) {
        response.writeHead(503, { ...this.#headers(attempt), 'Not-Executed': '1', 'Content-Length': 0 }).end()
        return
      }
      await new Promise(resolve => { this.#waiting.push(resolve) })
    }
    this.#running += 1
    if (!response.destroyed) await this.#run(response, arrival)
    this.#running -= 1
    this.#waiting.shift()?.()
  }

  async #run (response, arrival) {
    arrival.hasRun = true
    await net.sleep(this.workMs)
    if (response.destroyed) return
    const body = `answer of ${this.id} to ${arrival.attempt}`
    arrival.isAnswered = true
    response.writeHead(200, {
      ...this.#headers(arrival.attempt), 'Server-Signature': `signed-${this.id}`, 'Content-Length': Buffer.byteLength(body)
    }).end(body)
  }

  #headers (attempt) {
    return { 'Attempt-Id': attempt, 'Server-Load': `${this.#running},${this.#waiting.length},${this.slots}` }
  }
}
