/**
 * A rolling stop: the entries get SIGTERM one after the other, a second apart, while clients go on asking for drafts.
 * The drafts that come late are longer than their clients estimated.
 */

import * as runner from '../lib-2/case.mjs'
import * as client from '../lib-2/client.mjs'
import * as deployment from '../lib-2/deployment.mjs'
import * as directory from '../lib-2/directory.mjs'
import * as serverModule from '../lib-2/server.mjs'
import * as storeModule from '../lib-2/store.mjs'

const ENTRIES = 2
const MODEL_SERVERS = 6
/** Figures of the site file. */
const TOKENS_PER_EVENT = 6
const USUAL = { prompt: 800, answer: 156 }
const MAX_TOKENS = 396
const DEADLINE_MS = 8_000
const FIRST_EVENT_MS = 70
/** The largest time of a token that the server's own model gives: a step and 12 writers. */
const TOKEN_MS = 9.2
const GRACE_MS = 8_000
const STOP_GAP_MS = 1_000
/** The rule excuses what was sent before this time after the SIGTERM and is still at work at the end. */
const EXCUSED_MS = 3_000
const BEFORE_STOP_MS = 10_000
const DRAFT_INTERVAL_MS = 300
/** Lengths in tokens, and estimates as shares of them, in turn. */
const LENGTHS = [156, 120, 210, 96, 180, 144, 240, 132]
const ESTIMATES = [1, 0.8, 1.25, 0.9, 1.1, 0.75, 1.3]
const LONG_DRAFT = { tokens: MAX_TOKENS, hint: 150 }

await runner.runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const store = new storeModule.Store()
  await store.start('127.77.2.1')
  onEnd(() => { store.stop() })
  const draft = async ({ request, response, body, headers }) => {
    const events = Math.ceil(Number(body.toString()) / TOKENS_PER_EVENT)
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' })
    await client.sleep(FIRST_EVENT_MS)
    for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= events && !response.destroyed; id++) {
      response.write(`id: ${id}\ndata: piece ${id} of ${headers['Attempt-Id']}\n\n`)
      await client.sleep(TOKENS_PER_EVENT * TOKEN_MS)
    }
    response.end()
  }
  const servers = []
  for (let index = 0; index < MODEL_SERVERS; index++) {
    const server = new serverModule.Server('model', draft)
    await server.start(`127.77.2.${10 + index}`)
    store.put('servers', server.id, server.row())
    servers.push(server)
    onEnd(() => { server.stop() })
  }
  const configuration = serverModule.configuration()
  configuration.services[0]['inference-engine'] = {
    slots: 12, 'kv-cache-tokens': 494_000, step_ms: 4.84, per_seq_ms: 0.362, read_per_s: 74_800, stride: 6, usual: USUAL
  }
  store.put('op', 'config', configuration)

  const system = new deployment.Deployment(store.address)
  onEnd(() => system.stop())
  const entries = []
  for (let host = 1; host <= ENTRIES; host++) entries.push(await system.start('entry', host))
  const clients = entries.map(entry => new directory.Resolver([entry, ...entries].map(near => near.directory)))
  let count = 0
  const send = async (resolver, { tokens, hint }) => {
    const address = await resolver.pick()
    count += 1
    const id = `r${count}`
    const answer = await client.send(address, {
      path: '/draft/x',
      headers: {
        'Attempt-Id': id,
        'Deadline-Remaining-Ms': String(DEADLINE_MS),
        Model: 'm',
        'Token-Usage': `${USUAL.prompt},${MAX_TOKENS}`,
        'Length-Hint': String(Math.round(hint)),
        'Prompt-Prefix': `5c1e:40,${count.toString(16)}:${USUAL.prompt - 40}`
      },
      body: String(tokens)
    }, { timeoutMs: DEADLINE_MS })
    return { ...answer, id, tokens, entry: entries.find(entry => entry.client === address) }
  }
  for (const entry of entries) {
    const isReady = async () => (await client.send(entry.ready, { method: 'GET', path: '/readiness' })).status === 200
    if (!await client.waitUntil(isReady, 10_000)) throw new Error(`${entry.name} does not get ready`)
  }
  await client.sleep(1_000)

  const startedAtMs = performance.now()
  const sent = []
  const stopAtMs = entries.map((_, index) => startedAtMs + BEFORE_STOP_MS + index * STOP_GAP_MS)
  const endMs = startedAtMs + BEFORE_STOP_MS + GRACE_MS - 1_500
  for (let turn = 0; performance.now() < endMs; turn++) {
    for (const [index, entry] of entries.entries()) {
      if (entry.stoppedAtMs !== undefined || performance.now() < stopAtMs[index]) continue
      entry.stoppedAtMs = performance.now()
      if (hasTrouble) entry.kill('SIGTERM')
      record.note(`${entry.name} ${hasTrouble ? 'gets SIGTERM' : 'would get SIGTERM'}`)
    }
    const tokens = LENGTHS[turn % LENGTHS.length]
    const isLate = entries.every(({ stoppedAtMs }) => performance.now() > stoppedAtMs + EXCUSED_MS)
    const isLong = isLate && turn % 2 === 0
    sent.push(send(clients[turn % clients.length], isLong
      ? LONG_DRAFT
      : { tokens, hint: tokens * ESTIMATES[turn % ESTIMATES.length] }))
    await client.sleep(DRAFT_INTERVAL_MS)
  }
  const answers = await Promise.all(sent)
  await client.sleep(500)

  const broken = []
  for (const { id, tokens, entry, status, isComplete, end, sentAtMs, endedAtMs } of answers) {
    const run = servers.flatMap(({ runs }) => runs).find(({ attemptId }) => attemptId === id)
    const afterStopMs = Math.round(sentAtMs - entry.stoppedAtMs)
    const tookMs = Math.round(endedAtMs - sentAtMs)
    record.note(`${id} (${tokens} tokens) to ${entry.name} at ${record.at(sentAtMs)}, ${afterStopMs} ms after its SIGTERM: ${run === undefined ? 'not run' : 'run'}, status ${status}, ${isComplete ? 'whole' : end} after ${tookMs} ms`)
    const wasCut = run !== undefined && !isComplete && end !== 'timeout'
    if (wasCut && afterStopMs > EXCUSED_MS && tookMs < DEADLINE_MS) {
      broken.push(`${id}, sent ${afterStopMs} ms after the SIGTERM of ${entry.name}, was passed on to a server and broken off after ${tookMs} ms`)
    }
  }
  for (const { name, end } of entries) if (end !== undefined) record.note(`${name} ended with ${end.code ?? end.signal} at ${record.at(end.atMs)}`)
  if (!answers.some(({ isComplete }) => isComplete)) throw new Error('no draft was whole')
  return broken
})
