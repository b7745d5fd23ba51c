/**
 * A server in trouble sends bytes that are no answer, without end, in the body of a few streams: line feeds. The other
 * callers of the entries go on.
 */

import * as runner from '../lib-2/case.mjs'
import * as client from '../lib-2/client.mjs'
import * as deployment from '../lib-2/deployment.mjs'
import * as serverModule from '../lib-2/server.mjs'
import * as storeModule from '../lib-2/store.mjs'

const ENTRIES = 2
const MODEL_SERVERS = 4
const PLAIN_SERVERS = 3
/** Times of the answers without end, in s from the start of traffic. */
const ENDLESS_AT_S = [4, 14, 24]
const LENGTH_S = 36
const LOOKUP_INTERVAL_MS = 60
const DRAFT_INTERVAL_MS = 400
/** Figures of the plain requests in the site file. */
const TIMEOUT_MS = 1_500
const DEADLINE_MS = 3_000
/** The rule looks at a request again after this time. */
const LATER_MS = 500
const DRAFT_DEADLINE_MS = 8_000
const DRAFT_EVENTS = 26
const EVENT_INTERVAL_MS = 45
const LOOKUP_WORK_MS = 60
const GARBAGE = Buffer.alloc(64 * 1024, '\n')

await runner.runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const store = new storeModule.Store()
  await store.start('127.77.2.1')
  onEnd(() => { store.stop() })
  const endlessDue = []

  const draft = async ({ request, response, headers, server }) => {
    const [due] = endlessDue
    if (server === modelServers[0] && due !== undefined && performance.now() >= due) {
      endlessDue.shift()
      record.note(`${server.id} answers ${headers['Attempt-Id']} with line feeds without end`)
      sendEndlessly(request.socket, headers)
      return
    }
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
    for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= DRAFT_EVENTS; id++) {
      await client.sleep(EVENT_INTERVAL_MS)
      if (response.destroyed) return
      response.write(`id: ${id}\ndata: piece ${id} of ${headers['Attempt-Id']}\n\n`)
    }
    response.end()
  }
  const lookup = async ({ response, headers }) => {
    await client.sleep(LOOKUP_WORK_MS)
    const body = `answer to ${headers['Attempt-Id']}`
    response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body)
  }

  const servers = [
    ...Array.from({ length: MODEL_SERVERS }, () => new serverModule.Server('model', draft)),
    ...Array.from({ length: PLAIN_SERVERS }, () => new serverModule.Server('plain', lookup))
  ]
  const modelServers = servers.slice(0, MODEL_SERVERS)
  for (const [index, server] of servers.entries()) {
    await server.start(`127.77.2.${10 + index}`)
    store.put('servers', server.id, server.row())
    onEnd(() => { server.stop() })
  }
  const timeouts = { 'timeout-ms': TIMEOUT_MS, 'target-latency-ms': 300 }
  store.put('op', 'config', serverModule.configuration(1, { routes: { status: timeouts, voucher: timeouts } }))

  const system = new deployment.Deployment(store.address)
  onEnd(() => system.stop())
  const entries = []
  for (let host = 1; host <= ENTRIES; host++) entries.push(await system.start('entry', host))
  let count = 0
  const send = async (entry, route, deadlineMs) => {
    count += 1
    const headers = { 'Attempt-Id': `r${count}`, 'Deadline-Remaining-Ms': String(deadlineMs) }
    const request = { path: `/${route}/x`, headers, body: route === 'status' ? '' : 'question' }
    const answer = await client.send(entry.client, request, { timeoutMs: deadlineMs })
    return { ...answer, id: headers['Attempt-Id'], route, entry }
  }
  for (const entry of entries) {
    const isServing = async () => (await send(entry, 'status', 1_000)).status === 200
    if (!await client.waitUntil(isServing, 10_000)) throw new Error(`${entry.name} does not serve`)
  }
  await client.sleep(1_000)

  const startedAtMs = performance.now()
  if (hasTrouble) endlessDue.push(...ENDLESS_AT_S.map(atS => startedAtMs + atS * 1_000))
  const lookups = []
  const drafts = []
  let nextDraftAtMs = startedAtMs
  for (let turn = 0; performance.now() < startedAtMs + LENGTH_S * 1_000; turn++) {
    const entry = entries[turn % ENTRIES]
    lookups.push(send(entry, turn % 3 === 0 ? 'voucher' : 'status', DEADLINE_MS))
    if (performance.now() >= nextDraftAtMs) {
      nextDraftAtMs += DRAFT_INTERVAL_MS
      drafts.push(send(entries[drafts.length % ENTRIES], 'draft', DRAFT_DEADLINE_MS))
    }
    await client.sleep(LOOKUP_INTERVAL_MS)
  }
  const answers = await Promise.all(lookups)
  const draftAnswers = await Promise.all(drafts)
  for (const { id, route, entry, status, isComplete, end, sentAtMs, endedAtMs } of [...answers, ...draftAnswers]) {
    record.note(`${id} ${route} to ${entry.name} at ${record.at(sentAtMs)}: status ${status}, ${isComplete ? 'whole' : end}, after ${Math.round(endedAtMs - sentAtMs)} ms`)
  }
  const runs = servers.reduce((sum, server) => sum + server.runs.length, 0)
  record.note(`the servers ran ${runs} requests`)

  const isOpenAfter = ({ isComplete, sentAtMs, endedAtMs }, ms) => !isComplete || endedAtMs - sentAtMs > ms
  const unanswered = answers.filter(answer => isOpenAfter(answer, TIMEOUT_MS))
  const stillUnanswered = unanswered.filter(answer => isOpenAfter(answer, TIMEOUT_MS + LATER_MS))
  record.note(`${unanswered.length} of ${answers.length} plain requests were unanswered at their timeout, ${stillUnanswered.length} of these half a second later`)
  if (!entries.every(({ end }) => end === undefined)) throw new Error('an entry has ended')
  if (stillUnanswered.length * 2 <= unanswered.length) return []
  return [`${stillUnanswered.length} of the ${unanswered.length} plain requests that were unanswered at their timeout had no answer half a second later`]
})

/** Writes as fast as the caller reads, until it closes. */
function sendEndlessly (socket, headers) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  socket.on('error', () => {})
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}Content-Type: text/event-stream\r\n\r\n`)
  const write = () => { while (!socket.destroyed && socket.write(GARBAGE)); }
  socket.on('drain', write)
  write()
}
