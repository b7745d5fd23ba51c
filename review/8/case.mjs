/**
 * Model servers leave an order unanswered and carry it out seconds later, while drafts come in bursts with quiet
 * seconds between them. Lookups go on all the time.
 */

import * as runner from '../lib-2/case.mjs'
import * as client from '../lib-2/client.mjs'
import * as deployment from '../lib-2/deployment.mjs'
import * as groupModule from '../lib-2/group.mjs'
import * as serverModule from '../lib-2/server.mjs'
import * as storeModule from '../lib-2/store.mjs'

const ENTRIES = 2
const FIRST_AGENT_HOST = 21
const PLAIN_SERVERS = 3
const BURSTS = 9
const BURST_MS = 2_400
/** Longer than the latest time at which an order is carried out here. */
const QUIET_MS = 5_000
/** Other experts are in demand while the last drafts of each burst are written. */
const SHIFT_AFTER_MS = 150
const DRAFT_INTERVAL_MS = 120
const LOOKUP_INTERVAL_MS = 120
const LATE_MS = 3_000
const DRAFT_EVENTS = 12
const DRAFT_DEADLINE_MS = 8_000
/** Clients leave a stream after this time without an event. */
const STALL_MS = 2_000
const LOOKUP_DEADLINE_MS = 3_000
/** A kind of request that is served less often than this, compared with all requests, is starved. */
const STARVED_SHARE = 0.25

await runner.runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const store = new storeModule.Store()
  await store.start('127.77.2.1')
  onEnd(() => { store.stop() })
  const lateSteps = new Set()
  const orders = { all: 0, late: 0 }
  const group = new groupModule.Group(DRAFT_EVENTS, (rank, { operation, step, version }, lateStatus) => {
    const text = `rank ${rank}: ${operation}${version === undefined ? '' : ` of map ${version}`}${step === undefined ? '' : ` at step ${step}`}`
    if (lateStatus !== undefined) {
      record.note(`${text} is carried out late, status ${lateStatus}, at step ${group.step}`)
      return undefined
    }
    orders.all += 1
    // Of the orders for a step, only the first one gets no answer.
    if (!hasTrouble || operation !== 'retention' || lateSteps.has(step)) {
      if (operation !== 'go' || step !== 0) record.note(text)
      return undefined
    }
    lateSteps.add(step)
    orders.late += 1
    record.note(`${text} gets no answer and is carried out ${LATE_MS} ms later`)
    return LATE_MS
  })
  const agentIps = Array.from({ length: groupModule.SHAPE.ranks }, (_, rank) => `127.77.1.${FIRST_AGENT_HOST + rank}`)
  await group.start('model', agentIps)
  onEnd(() => { group.stop() })
  for (const state of group.ranks) store.put('servers', state.server.id, group.row(state))
  for (let index = 0; index < PLAIN_SERVERS; index++) {
    const server = new serverModule.Server('plain', async ({ response, headers }) => {
      await client.sleep(60)
      response.writeHead(200, { ...headers, 'Content-Length': 2 }).end('ok')
    })
    await server.start(`127.77.2.${10 + index}`)
    store.put('servers', server.id, server.row())
    onEnd(() => { server.stop() })
  }
  const configuration = serverModule.configuration()
  configuration.services[0]['inference-engine'] = groupModule.ENGINE
  store.put('op', 'config', configuration)

  const system = new deployment.Deployment(store.address)
  onEnd(() => system.stop())
  const entries = []
  for (let host = 1; host <= ENTRIES; host++) entries.push(await system.start('entry', host))
  for (const [rank, { server }] of group.ranks.entries()) {
    await system.start('agent', FIRST_AGENT_HOST + rank, { app: server.address })
  }
  for (const entry of entries) {
    const isReady = async () => (await client.send(entry.ready, { method: 'GET', path: '/readiness' })).status === 200
    if (!await client.waitUntil(isReady, 10_000)) throw new Error(`${entry.name} does not get ready`)
  }
  await client.sleep(3_000)

  let count = 0
  const send = async (route, headers, options) => {
    count += 1
    const id = `r${count}`
    const entry = entries[count % ENTRIES]
    const answer = await client.send(entry.client, { path: `/${route}/x`, headers: { 'Attempt-Id': id, ...headers } }, options)
    return { ...answer, id, route, entry }
  }
  const sendDraft = () => send('draft', {
    'Deadline-Remaining-Ms': String(DRAFT_DEADLINE_MS),
    Model: 'm',
    'Token-Usage': '800,72',
    'Length-Hint': '72',
    'Prompt-Prefix': `5c1e:40,${count.toString(16)}:760`
  }, { timeoutMs: DRAFT_DEADLINE_MS, stallMs: STALL_MS })
  const lookups = []
  const over = new AbortController()
  const lookingUp = (async () => {
    while (!over.signal.aborted) {
      const headers = { 'Deadline-Remaining-Ms': String(LOOKUP_DEADLINE_MS) }
      lookups.push(send('status', headers, { timeoutMs: LOOKUP_DEADLINE_MS }))
      await client.sleep(LOOKUP_INTERVAL_MS)
    }
  })()
  const drafts = []
  const isServed = ({ status, isComplete }) => status === 200 && isComplete
  for (let burst = 1; burst <= BURSTS; burst++) {
    const burstDrafts = []
    const endMs = performance.now() + BURST_MS
    while (performance.now() < endMs) {
      burstDrafts.push(sendDraft())
      await client.sleep(DRAFT_INTERVAL_MS)
    }
    await client.sleep(SHIFT_AFTER_MS - DRAFT_INTERVAL_MS)
    group.shift()
    const answers = await Promise.all(burstDrafts)
    drafts.push(...answers)
    record.note(`burst ${burst}: ${answers.filter(isServed).length} of ${answers.length} drafts served`)
    await client.sleep(QUIET_MS)
    record.note(`the group is at step ${group.step}${group.isHeld ? ' and held' : ''}, maps ${group.ranks.map(({ version }) => version).join(', ')}`)
  }
  over.abort()
  await lookingUp
  const all = [...drafts, ...await Promise.all(lookups)]
  for (const { id, route, entry, status, isComplete, end, sentAtMs, endedAtMs } of all) {
    record.note(`${id} ${route} to ${entry.name} at ${record.at(sentAtMs)}: status ${status}, ${isComplete ? 'whole' : end}, after ${Math.round(endedAtMs - sentAtMs)} ms`)
  }
  record.note(`${orders.late} of ${orders.all} orders were left unanswered`)
  const [draftShare, share] = [drafts, all].map(answers => answers.filter(isServed).length / answers.length)
  record.note(`served: ${draftShare.toFixed(3)} of the drafts, ${share.toFixed(3)} of all requests`)
  if (draftShare >= STARVED_SHARE * share) return []
  return [`drafts were served ${draftShare.toFixed(3)} of the time, all requests ${share.toFixed(3)}; the group was held to the end`]
})
