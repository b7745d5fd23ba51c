/**
 * Small stand-in of the platform's store: rows, conditional transactions and the feed of changes. It loses nothing that
 * it has acknowledged and answers each call at once.
 */

import * as http from 'node:http'
import * as net from './net.mjs'

export class Store {
  address = ''
  /** Rises each time that the store comes back from a copy. */
  #era = 1
  /** While the store is away, connections to it are reset. */
  #isAway = false
  #version = 0
  #rows = new Map()
  #history = []
  #waiting = new Set()
  #server = http.createServer((request, response) => { this.#handle(request, response) })

  async start () {
    this.address = await net.listen(this.#server)
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a row as the operator or a server does. @returns when the store has taken it. */
  put (table, key, value) {
    this.#set(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64'))
    return performance.now()
  }

  remove (table, key) {
    this.#set(table, '', key, undefined)
    return performance.now()
  }

  #set (table, part, key, value) {
    this.#version += 1
    const row = { table, part, key, value, version: this.#version }
    this.#rows.set(`${table}/${part}/${key}`, row)
    this.#history.push(row)
    for (const wake of [...this.#waiting]) wake()
  }

  /** @returns the state at this moment, from which the store can come back. */
  copy () {
    return { version: this.#version, rows: new Map(this.#rows) }
  }

  goAway () {
    this.#isAway = true
    this.#server.closeAllConnections()
  }

  /** Comes back from a copy: what was written since is gone, and its versions are given out again. */
  comeBack (copy) {
    this.#era += 1
    this.#version = copy.version
    this.#rows = new Map(copy.rows)
    this.#history = this.#history.filter(row => row.version <= copy.version)
    this.#isAway = false
    for (const wake of [...this.#waiting]) wake()
  }

  async #handle (request, response) {
    if (this.#isAway) {
      request.socket.resetAndDestroy()
      return
    }
    const url = new URL(request.url, 'http://store')
    const text = await net.readText(request)
    if (text === undefined) return
    if (url.pathname === '/rows-get') this.#list(url.searchParams, response)
    else if (url.pathname === '/rows-feed') await this.#feed(url.searchParams, response)
    else if (url.pathname === '/rows-tx') this.#transact(JSON.parse(text), response)
    else response.writeHead(404).end()
  }

  #list (query, response) {
    const rows = [...this.#rows.values()].filter(row =>
      row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.value !== undefined &&
      row.key >= (query.get('source') ?? ''))
    rows.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    this.#send(response, 200, { rows: rows.map(encode), 'has-more': false })
  }

  async #feed (query, response) {
    const after = Number(query.get('start-revision'))
    const era = this.#era
    if (after > this.#version) {
      this.#send(response, 410, {})
      return
    }
    const changed = () => this.#history.filter(row => row.table === query.get('table') && row.version > after)
    const endMs = performance.now() + Number(query.get('wait-ms'))
    while (changed().length === 0 && performance.now() < endMs && !response.destroyed && this.#era === era) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.max(1, endMs - performance.now()))
        this.#waiting.add(wake)
      })
    }
    if (this.#era === era) this.#send(response, 200, { rows: changed().map(encode) })
    else this.#send(response, 410, {})
  }

  #transact (body, response) {
    const isCurrent = ({ table, part = '', key, 'schema-version': version }) => {
      const row = this.#rows.get(`${table}/${part}/${key}`)
      return (row?.value === undefined ? 0 : row.version) === version
    }
    const expected = body['expected-revision'] ?? []
    if (!expected.every(isCurrent)) {
      const current = expected.map(({ table, part = '', key }) => this.#rows.get(`${table}/${part}/${key}`))
      this.#send(response, 412, { rows: current.filter(row => row?.value !== undefined).map(encode) })
      return
    }
    for (const { table, part = '', key, value } of body.write ?? []) this.#set(table, part, key, value)
    for (const { table, part = '', key } of body.removals ?? []) this.#set(table, part, key, undefined)
    this.#send(response, 200, {})
  }

  #send (response, status, body) {
    if (response.destroyed) return
    const text = JSON.stringify({
      ...body, 'schema-version': this.#version, 'current-time-ms': Math.round(performance.now())
    })
    response.writeHead(status, {
      'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': String(this.#era)
    }).end(text)
  }
}

function encode ({ table, part, key, value, version }) {
  return { table, part, key, 'schema-version': version, ...(value === undefined ? { deleted: true } : { value }) }
}
