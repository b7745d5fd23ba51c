/**
 * A client of the system: sends one request on a new connection and notes its answer.
 */

import * as http from 'node:http'

export const HOST = 'shop.example'
export const KEY = 'key-of-team-a'

let attempts = 0

/** @returns what was sent and answered; `status` 0 means that the connection ended without an answer. */
export async function sendRequest (address, options) {
  const { path, method = 'POST', body = 'question', deadlineMs = 3_000, headers = {} } = options
  const [host, port] = address.split(':')
  attempts += 1
  const attempt = `a${String(attempts).padStart(6, '0')}`
  const sentAtMs = performance.now()
  return await new Promise(resolve => {
    const finish = (status, text, isComplete) => {
      clearTimeout(timer)
      resolve({ attempt, address, path, sentAtMs, answeredAtMs: performance.now(), status, body: text, isComplete })
    }
    const request = http.request({
      host,
      port: Number(port),
      method,
      path,
      agent: false,
      headers: {
        Host: HOST, 'Attempt-Id': attempt, 'Deadline-Remaining-Ms': String(deadlineMs), Credential: KEY, ...headers
      }
    }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('error', () => {})
      response.on('close', () => {
        finish(response.statusCode, Buffer.concat(chunks).toString(), response.complete)
      })
    })
    const timer = setTimeout(() => { request.destroy() }, deadlineMs + 1_000)
    request.on('error', () => { finish(0, '', false) })
    request.end(method === 'GET' ? undefined : body)
  })
}

/** A configuration of one service, with routes of both plain kinds. */
export function configuration (version, { service = 'shop', added = [], timeoutMs = 1_500, maxAttempts = 2 } = {}) {
  const route = (name, kind) => ({
    name,
    host: HOST,
    'path-prefix': `/${name}/`,
    kind,
    'timeout-ms': timeoutMs,
    'target-latency-ms': 300,
    priority: 1,
    service,
    'max-attempts': kind === 'idempotent' ? maxAttempts : 1,
    public: false
  })
  return {
    version,
    routes: [
      route('look', 'idempotent'),
      route('order', 'non_idempotent'),
      { ...route('draft', 'streaming'), 'timeout-ms': 8_000, 'max-attempts': maxAttempts, 'stream-resumption': true, 'target-gap-ms': 120 },
      ...added.map(name => route(name, 'idempotent'))
    ],
    services: [{ name: service, 'health-path': '/health', 'connection-limit': 100 }],
    tenants: [{ name: 'team-a', 'api-keys': [KEY], priority: 1 }],
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
  }
}
