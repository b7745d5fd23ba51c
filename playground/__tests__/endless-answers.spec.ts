import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'

const { afterAll, afterEach, beforeAll, expect, test } = vitest

const FAULTY_CALLS = 6
const BESIDE_MS = 2_000
const SOUND_TIMEOUT_MS = 3_000
const SOUND_PAUSE_MS = 20
const PIECE_BYTES = 64 * 1024
const HEADERS = { authorization: `Bearer ${cluster.teamKey('support')}`, 'content-type': 'application/json' }
const QUESTION = JSON.stringify({ model: 'draft-model', stream: true, messages: [{ role: 'user', content: 'where' }] })

let deployment: cluster.Cluster
let server: net.Server
let connections = 0

beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 2,
    models: [{ name: 'draft-model', servers: 2, stepMs: 2 }],
    services: [
      { name: 'lookup', servers: 2, delayMs: 1, repeatable: true },
      { name: 'faulty', servers: 2, delayMs: 1, repeatable: true }
    ],
    teams: ['support'],
    proxied: ['backend']
  })
  await deployment.start()
}, 30_000)

afterAll(() => deployment.stop())
afterEach(() => { server.close() })

/** Starts a server that sends a head and then a text without end, as fast as it is read. */
async function startFaultyServer (head: string, text: string): Promise<string> {
  const piece = Buffer.from(text.repeat(Math.ceil(PIECE_BYTES / text.length)))
  connections = 0
  server = net.createServer(socket => {
    connections += 1
    const write = (): void => { while (!socket.destroyed && socket.write(piece)); }
    socket.on('error', () => {})
    socket.on('drain', write)
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n`)
      write()
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`
}

/** Sends calls to a service through one entry and reads what comes. */
async function callFaulty (path: string, signal: AbortSignal): Promise<void> {
  const body = path.startsWith('/v1/') ? { method: 'POST', body: QUESTION } : {}
  try {
    const response = await fetch(`http://${deployment.entries[0]!.address}${path}`, { headers: HEADERS, signal, ...body })
    await response.body!.pipeTo(new WritableStream(), { signal })
  } catch {
    // The answer is broken off, at the end of the test at the latest.
  }
}

/** Sends calls to a sound service until the end. @returns what each one got. */
async function callSound (entry: cluster.EntryNode, signal: AbortSignal): Promise<string[]> {
  const outcomes: string[] = []
  while (!signal.aborted) {
    try {
      const response = await fetch(`http://${entry.address}/services/lookup/status`, {
        headers: HEADERS, signal: AbortSignal.timeout(SOUND_TIMEOUT_MS)
      })
      await response.text()
      outcomes.push(String(response.status))
    } catch (error) {
      outcomes.push(String(error))
    }
    await timers.setTimeout(SOUND_PAUSE_MS)
  }
  return outcomes
}

const CHUNKED = 'Transfer-Encoding: chunked'
const STREAM = 'Content-Type: text/event-stream'
const PLAIN_PATH = '/services/faulty/x'

// Guards against answers of a faulty server that hold up calls to other services on the product's own path.
for (const [form, path, head, text] of [
  ['plain chunks of one byte', PLAIN_PATH, CHUNKED, '1\r\nx\r\n'],
  ['plain bytes', PLAIN_PATH, 'Content-Type: text/plain', 'x'],
  ['line feeds', PLAIN_PATH, STREAM, '\n'],
  ['events in chunks of their own', PLAIN_PATH, `${STREAM}\r\n${CHUNKED}`, '9\r\ndata: x\n\n\r\n'],
  ['events of a model', '/v1/chat/completions', STREAM, 'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'],
  ['line feeds of a model', '/v1/chat/completions', STREAM, '\n']
] as [string, string, string, string][]) {
  test(`calls to another service are answered beside ${form} without end`, async () => {
    const address = await startFaultyServer(head, text)
    const serves = path === PLAIN_PATH ? 'faulty' : 'draft-model'
    const faultyNodes = deployment.backends.filter(backend => backend.serves === serves)
    for (const node of faultyNodes) node.backendProxy!.setTarget(address)
    const controller = new AbortController()
    const sound = deployment.entries.map(async entry => await callSound(entry, controller.signal))
    const faulty = Array.from({ length: FAULTY_CALLS }, async () => { await callFaulty(path, controller.signal) })
    await timers.setTimeout(BESIDE_MS)
    controller.abort()
    const outcomes = (await Promise.all(sound)).flat()
    await Promise.all(faulty)
    expect(connections).toBeGreaterThan(0)
    expect(outcomes.length).toBeGreaterThan(0)
    expect(outcomes.filter(outcome => outcome !== '200')).toEqual([])
    expect(deployment.entries.map(entry => entry.process.hasExited())).toEqual([false, false])
  }, 30_000)
}
