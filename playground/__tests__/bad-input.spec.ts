import * as net from 'node:net'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as caller from '../caller.js'
import * as cluster from '../cluster.js'

let deployment: cluster.Cluster

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [{ name: 'draft-model', servers: 1, stepMs: 2 }],
    services: [{ name: 'lookup', servers: 1, delayMs: 1, repeatable: true }],
    teams: ['support']
  })
  await deployment.start()
})

vitest.afterAll(() => deployment.stop())

function url (path: string): string {
  return `http://${deployment.entries[0]!.address}${path}`
}

const authorization = `Bearer ${cluster.teamKey('support')}`

/** Sends bytes on a new connection. @returns what arrives until the connection closes or the time has passed. */
async function sendRaw (bytes: Uint8Array | string, waitMs: number): Promise<string> {
  const [host, port] = deployment.entries[0]!.address.split(':')
  const socket = net.connect(Number(port), host)
  let received = ''
  socket.on('data', data => { received += data.toString('latin1') })
  socket.on('error', () => {})
  socket.write(bytes)
  await Promise.race([
    new Promise(resolve => socket.once('close', resolve)),
    new Promise(resolve => setTimeout(resolve, waitMs))
  ])
  socket.destroy()
  return received
}

async function expectHealthy (): Promise<void> {
  const record = await new caller.Caller('support', [url('')]).plain('lookup', '/status', 'subscription 1', true)
  vitest.expect(record.outcome).toBe('answered')
  vitest.expect(deployment.entries[0]!.process.hasExited()).toBe(false)
  vitest.expect(deployment.backends.some(backend => backend.agent.hasExited())).toBe(false)
}

// Guards against malformed input that ends a process or breaks another connection.
vitest.test('random bytes do not affect other requests', async () => {
  const seed = 20_261
  console.log(`seed ${seed}`)
  await fc.assert(fc.asyncProperty(
    fc.oneof(
      fc.uint8Array({ minLength: 1, maxLength: 600 }),
      fc.string().map(text => `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n${text}\r\n\r\n`),
      fc.string().map(text => `GET /services/lookup/${text} HTTP/1.1\r\nhost: a\r\nauthorization: ${authorization}\r\n\r\n`),
      fc.string().map(text => `PUT /admin/v1/teams/support HTTP/1.1\r\nhost: a\r\ncontent-length: 40\r\n\r\n${text}`)
    ),
    async bytes => {
      const answer = await sendRaw(bytes, 50)
      if (answer !== '') vitest.expect(answer).toMatch(/^HTTP\/1\.1 [24]\d\d /)
    }
  ), { seed, numRuns: 150 })
  await expectHealthy()
})

// Guards against an oversized request head whose connection is closed without a response.
vitest.test('oversized request head gets 431', async () => {
  const answer = await sendRaw(`GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`, 2_000)
  vitest.expect(answer).toMatch(/^HTTP\/1\.1 431 /)
})

// Guards against an oversized request body that is read into memory.
vitest.test('oversized request body gets 413', async () => {
  const response = await fetch(url('/services/lookup/status'), {
    method: 'POST', headers: { authorization }, body: 'x'.repeat(5 * 1024 * 1024)
  })
  vitest.expect(response.status).toBe(413)
  vitest.expect(await response.json()).toMatchObject({ reason: 'too_large', outcome: 'not_run' })
  await expectHealthy()
})

// Guards against error responses that do not name the cause.
vitest.test.each([
  ['/v1/chat/completions', '{"model":', 400, 'body'],
  ['/v1/chat/completions', '{"model":"draft-model","messages":[]}', 400, 'messages'],
  ['/v1/chat/completions', '{"model":"other","messages":[{"role":"user"}]}', 404, 'other'],
  ['/services/nothing/x', 'a', 404, 'nothing'],
  ['/nowhere', 'a', 404, '/nowhere']
])('error for invalid request %# names the cause', async (path, body, status, cause) => {
  const response = await fetch(url(path), { method: 'POST', headers: { authorization }, body })
  vitest.expect(response.status).toBe(status)
  const problem = await response.json() as { detail: string, outcome: string }
  vitest.expect(problem.detail).toContain(cause)
  vitest.expect(problem.outcome).toBe('not_run')
})

// Guards against a connection that closes in the middle of a request and breaks others.
vitest.test('incomplete requests do not affect others', async () => {
  const partial = `POST /services/lookup/x HTTP/1.1\r\nhost: a\r\nauthorization: ${authorization}\r\ncontent-length: 99\r\n\r\nabc`
  await Promise.all(Array.from({ length: 20 }, () => sendRaw(partial, 30)))
  await expectHealthy()
})

// Guards against slow senders that exhaust resources other requests need.
vitest.test('slow senders do not affect other requests', async () => {
  const slowSenders = Array.from({ length: 100 }, () => sendRaw('POST /services/lookup/x HTTP/1.1\r\nhost:', 1_500))
  for (let index = 0; index < 10; index++) await expectHealthy()
  await Promise.all(slowSenders)
})
