/**
 * Servers answer without a length, and a small part of these answers is reset in the middle. Some clients get the first
 * half as a complete success.
 */

import * as caseRunner from '../lib/case.mjs'
import * as client from '../lib/client.mjs'
import * as deployment from '../lib/deployment.mjs'
import * as net from '../lib/net.mjs'
import * as stores from '../lib/store.mjs'
import * as unframedServers from '../lib/unframed-server.mjs'

/** One answer of fifty breaks off, at half of the servers. */
const RESET_EVERY = 50
const SERVERS = 4
const RUN_MS = 12_000
const BATCH = 12
const BATCH_INTERVAL_MS = 50

await caseRunner.runCase(import.meta.url, async ({ note, onEnd }) => {
  const store = new stores.Store()
  await store.start()
  onEnd(() => { store.stop() })
  const all = Array.from({ length: SERVERS }, (_, index) => new unframedServers.UnframedServer(`i-${index + 1}`, 'shop'))
  for (const [index, server] of all.entries()) {
    if (caseRunner.hasTrouble && index < SERVERS / 2) server.resetEvery = RESET_EVERY
    await server.start()
    onEnd(() => { server.stop() })
    store.put('servers', server.id, server.row())
  }
  store.put('op', 'config', client.configuration(1))
  const hosts = new deployment.Deployment(store.address)
  onEnd(() => hosts.stop())
  await hosts.start(['front-1', 'front-2', 'front-3'].map(name => ({ name, role: 'entry' })))
  await net.sleep(2_000)

  const answers = []
  const endMs = performance.now() + RUN_MS
  let turn = 0
  while (performance.now() < endMs) {
    for (let count = 0; count < BATCH; count++) {
      const host = hosts.hosts[turn++ % hosts.hosts.length]
      answers.push(client.sendRequest(hosts.clientAddress(host), { path: '/order/1' }))
    }
    await net.sleep(BATCH_INTERVAL_MS)
  }
  const results = await Promise.all(answers)

  const arrivals = new Map(all.flatMap(server => server.arrivals).map(arrival => [arrival.attempt, arrival]))
  const breaches = []
  for (const { attempt, sentAtMs, answeredAtMs, status, isComplete, body } of results) {
    const arrival = arrivals.get(attempt)
    note(`${attempt} sent`, sentAtMs)
    if (arrival !== undefined) {
      note(`${attempt} runs at ${arrival.server}${arrival.wasReset ? ', whose answer is reset after half of it' : ''}`, arrival.atMs)
    }
    note(`${attempt} answered with ${status}, ${body.length} bytes${isComplete ? '' : ', broken off'}`, answeredAtMs)
    if (status === 200 && isComplete && body !== arrival?.body) {
      breaches.push(`${attempt} got 200 as complete, with ${body.length} of the ${arrival.body.length} bytes of ${arrival.server}`)
    }
  }
  note(`${[...arrivals.values()].filter(({ wasReset }) => wasReset).length} of ${arrivals.size} answers were reset`)
  return breaches
})
