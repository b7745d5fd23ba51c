/**
 * Stand-in of the platform's store: rows, conditional transactions and the feed of changes, as the users' pages
 * describe them. It answers at once and loses nothing.
 */

import * as http from 'node:http'

const MAX_WAIT_MS = 30_000

export class Store {
  address = ''
  #version = 0
  #rows = new Map()
  #history = []
  #waiting = new Set()
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => { response.destroy() })
  })

  async start (ip) {
    this.#server.keepAliveTimeout = 60_000
    await new Promise(resolve => { this.#server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.#server.address().port}`
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a row as the operator or a server does. */
  put (table, key, value) {
    this.#write(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64'))
  }

  remove (table, key) {
    this.#write(table, '', key, undefined)
  }

  #write (table, part, key, value) {
    this.#version += 1
    const row = { table, part, key, value, version: this.#version }
    this.#rows.set(idOf(table, part, key), row)
    this.#history.push(row)
    for (const wake of [...this.#waiting]) wake()
  }

  async #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (url.pathname === '/rows-get') this.#get(url.searchParams, response)
    else if (url.pathname === '/rows-feed') await this.#feed(url.searchParams, response)
    else if (url.pathname === '/rows-tx') this.#transact(JSON.parse(Buffer.concat(chunks).toString()), response)
    else this.#send(response, 404, {})
  }

  #get (query, response) {
    const [table, part, source] = ['table', 'part', 'source'].map(name => query.get(name) ?? '')
    const limit = Math.min(500, Number(query.get('limit') ?? 500))
    const found = [...this.#rows.values()].filter(row =>
      row.table === table && row.part === part && row.value !== undefined && row.key >= source)
    found.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    this.#send(response, 200, { rows: found.slice(0, limit).map(encode), 'has-more': found.length > limit })
  }

  async #feed (query, response) {
    const after = Number(query.get('start-revision'))
    if (after > this.#version) {
      this.#send(response, 410, {})
      return
    }
    const changed = () => this.#history.filter(row => row.table === query.get('table') && row.version > after)
    const endMs = performance.now() + Math.min(MAX_WAIT_MS, Number(query.get('wait-ms') ?? 0))
    while (changed().length === 0 && performance.now() < endMs && !response.destroyed) {
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
    this.#send(response, 200, { rows: changed().map(encode) })
  }

  #transact (body, response) {
    const failed = (body['expected-revision'] ?? []).filter(({ table, part, key, 'schema-version': expected }) => {
      const row = this.#rows.get(idOf(table, part, key))
      return (row?.value === undefined ? 0 : row.version) !== expected
    })
    if (failed.length > 0) {
      const rows = failed.map(({ table, part, key }) => this.#rows.get(idOf(table, part, key)))
      this.#send(response, 412, { rows: rows.filter(row => row?.value !== undefined).map(encode) })
      return
    }
    for (const { table, part, key, value } of body.write ?? []) this.#write(table, part ?? '', key, value)
    for (const { table, part, key } of body.removals ?? []) this.#write(table, part ?? '', key, undefined)
    this.#send(response, 200, {})
  }

  #send (response, status, body) {
    if (response.destroyed) return
    const text = JSON.stringify({
      ...body, 'schema-version': this.#version, 'current-time-ms': Math.round(performance.now())
    })
    response.writeHead(status, {
      'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': '1'
    })
    response.end(text)
  }
}

function idOf (table, part, key) {
  return `${table}/${part ?? ''}/${key}`
}

function encode ({ table, part, key, value, version }) {
  const row = { table, part, key, 'schema-version': version }
  return value === undefined ? { ...row, deleted: true } : { ...row, value }
}
