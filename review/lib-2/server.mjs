/**
 * Stand-in of a server of the platform: a sound one that answers with streams or plain bodies, and a hook with which a
 * case lets it answer otherwise. It records each arrival and each run.
 */

import * as crypto from 'node:crypto'
import * as http from 'node:http'

const SLOTS = 8

export class Server {
  id = `i-${crypto.randomBytes(4).toString('hex')}`
  born = Date.now()
  address = ''
  running = 0
  runs = []
  #service
  #handler
  #control
  #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => { response.destroy() })
  })

  /**
   * @param handler called with `{ request, response, body, headers, server }` for each request that runs.
   * @param control called with `(request, response, body)` for each request; true if it was a call of the platform's.
   */
  constructor (service, handler, control = () => false) {
    this.#service = service
    this.#handler = handler
    this.#control = control
  }

  async start (ip) {
    await new Promise(resolve => { this.#server.listen(0, ip, 1_024, resolve) })
    this.address = `${ip}:${this.#server.address().port}`
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Entry in the list of servers. */
  row (fields = {}) {
    return {
      service: this.#service,
      address: this.address,
      zone: 'zone-1',
      version: 1,
      slots: SLOTS,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      born: this.born,
      ...fields
    }
  }

  async #handle (request, response) {
    const chunks = []
    request.on('error', () => {})
    for await (const chunk of request) chunks.push(chunk)
    if (this.#control(request, response, Buffer.concat(chunks))) return
    const attemptId = request.headers['attempt-id']
    const common = { 'Attempt-Id': attemptId, 'Server-Load': `${this.running},0,${SLOTS}` }
    const refuse = (status, headers = {}) => {
      response.writeHead(status, { ...common, 'Not-Executed': '1', 'Content-Length': 0, ...headers }).end()
    }
    if (attemptId === undefined) return refuse(400)
    if (![undefined, this.id].includes(request.headers['expected-instance'])) return refuse(421)
    if (this.running >= SLOTS) return refuse(503)
    const run = { attemptId, path: request.url, atMs: performance.now(), endedAtMs: undefined, isWhole: undefined }
    this.runs.push(run)
    this.running += 1
    response.once('close', () => {
      this.running -= 1
      run.endedAtMs = performance.now()
      run.isWhole = response.writableFinished
    })
    const headers = { ...common, 'Server-Signature': `${this.id}.${attemptId}` }
    await this.#handler({ request, response, body: Buffer.concat(chunks), headers, server: this })
  }
}

/** The configuration of a small deployment with one kind of request each. */
export function configuration (version = 1, { routes = {} } = {}) {
  const route = (name, kind, fields) => ({
    name,
    host: 'a.example',
    'path-prefix': `/${name}/`,
    kind,
    'target-latency-ms': 400,
    priority: 1,
    public: false,
    ...fields,
    ...routes[name]
  })
  return {
    version,
    routes: [
      route('draft', 'streaming', {
        service: 'model', 'timeout-ms': 8_000, 'max-attempts': 2, 'stream-resumption': true, 'target-gap-ms': 120
      }),
      route('voucher', 'non_idempotent', { service: 'plain', 'timeout-ms': 4_000, 'max-attempts': 1 }),
      route('status', 'idempotent', { service: 'plain', 'timeout-ms': 4_000, 'max-attempts': 2 })
    ],
    services: [
      { name: 'model', 'health-path': '/health', 'connection-limit': 248 },
      { name: 'plain', 'health-path': '/health', 'connection-limit': 100 }
    ],
    tenants: [{ name: 'team-a', 'api-keys': ['key-a'], priority: 1 }],
    limits: {
      'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000
    }
  }
}
