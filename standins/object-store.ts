/**
 * Stand-in for the object store: GET and PUT of whole objects with the REST API of S3, in memory.
 */

import type * as http from 'node:http'
import * as jsonServer from './json-server.js'

export interface ObjectFaults {
  /** `down`: connections are closed without an answer; `refusing`: requests are answered 503 with the code SlowDown. */
  mode: 'up' | 'down' | 'refusing'
  delayMs: number
  /** Number of writes, from the next one on, that take effect but are not answered. */
  lostAnswers: number
}

export class ObjectStandin {
  readonly faults: ObjectFaults = { mode: 'up', delayMs: 0, lostAnswers: 0 }
  readonly counts = { gets: 0, puts: 0 }
  readonly #objects = new Map<string, Buffer>()

  async handle (request: jsonServer.JsonRequest, response: http.ServerResponse): Promise<void> {
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.mode === 'down') {
      response.destroy()
      return
    }
    if (this.faults.mode === 'refusing') return sendError(response, 503, 'SlowDown', { 'retry-after': '1' })
    if (request.method === 'PUT') return this.#put(request, response)
    this.counts.gets += 1
    const object = this.#objects.get(request.path)
    if (object === undefined) return sendError(response, 404, 'NoSuchKey')
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': object.length })
    response.end(object)
  }

  #put (request: jsonServer.JsonRequest, response: http.ServerResponse): void {
    this.counts.puts += 1
    this.#objects.set(request.path, request.body)
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1
      response.destroy()
      return
    }
    response.writeHead(200, { 'content-length': 0 })
    response.end()
  }
}

function sendError (
  response: http.ServerResponse, status: number, code: string, headers: Record<string, string> = {}
): void {
  response.writeHead(status, { 'content-type': 'application/xml', ...headers })
  response.end(`<Error><Code>${code}</Code></Error>`)
}
