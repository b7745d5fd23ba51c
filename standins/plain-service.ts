/**
 * Stand-in for a plain service: echoes each request with a digest of its body and counts how often each request ran.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as jsonServer from './json-server.js'
import * as runRecord from './run-record.js'

export class PlainServiceStandin {
  readonly #name: string
  readonly #delayMs: number
  readonly #record = new runRecord.RunRecord()

  constructor (name: string, delayMs: number) {
    this.#name = name
    this.#delayMs = delayMs
  }

  async handle (request: jsonServer.JsonRequest, response: http.ServerResponse): Promise<void> {
    if (request.path === '/health') return jsonServer.sendJson(response, 200, { service: this.#name })
    if (request.path === '/runs') return this.#record.answer(request, response)
    this.#record.countRun(request.headers)
    if (request.body.includes('crash-the-server')) process.exit(1)
    const delayMs = Number(request.query.get('delayMs') ?? this.#delayMs)
    await new Promise(resolve => setTimeout(resolve, delayMs))
    jsonServer.sendJson(response, 200, {
      service: this.#name,
      method: request.method,
      path: request.path,
      query: request.query.toString(),
      bodyDigest: digestOf(request.body)
    })
  }
}

export function digestOf (body: Buffer | string): string {
  return crypto.createHash('sha256').update(body).digest('hex')
}
