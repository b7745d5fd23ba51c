/**
 * A host freezes while some clients have just opened their connections. Their requests arrive meanwhile. When the host
 * wakes, it tells these clients that their requests came too late and were not run, and then it runs them.
 */

import * as caseRunner from '../lib/case.mjs'
import * as client from '../lib/client.mjs'
import * as deployment from '../lib/deployment.mjs'
import * as net from '../lib/net.mjs'
import * as rawClient from '../lib/raw-client.mjs'
import * as servers from '../lib/server.mjs'
import * as stores from '../lib/store.mjs'

const FREEZE_MS = 3_500
const REQUEST_INTERVAL_MS = 50
/** Time from opening a connection to sending the request on it. */
const OPEN_FOR_MS = 250
const DEADLINE_MS = 4_000
/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503]

await caseRunner.runCase(import.meta.url, async ({ note, onEnd }) => {
  const store = new stores.Store()
  await store.start()
  onEnd(() => { store.stop() })
  const all = ['i-1', 'i-2', 'i-3'].map(id => new servers.Server(id, 'shop'))
  for (const server of all) {
    server.workMs = 40
    await server.start()
    onEnd(() => { server.stop() })
    store.put('servers', server.id, server.row())
  }
  store.put('op', 'config', client.configuration(1))
  const hosts = new deployment.Deployment(store.address)
  onEnd(() => hosts.stop())
  await hosts.start(['front-1', 'front-2', 'front-3'].map(name => ({ name, role: 'entry' })))
  await net.sleep(3_000)

  const [frozen] = hosts.hosts
  const answers = []
  const sending = new AbortController()
  const sender = (async () => {
    while (!sending.signal.aborted) {
      answers.push(rawClient.sendOnOpenConnection(hosts.clientAddress(frozen), {
        path: '/order/1', openForMs: OPEN_FOR_MS, deadlineMs: DEADLINE_MS
      }))
      await net.sleep(REQUEST_INTERVAL_MS)
    }
  })()
  await net.sleep(2_000)
  if (caseRunner.hasTrouble) {
    frozen.child.kill('SIGSTOP')
    note('front-1 freezes')
  }
  await net.sleep(FREEZE_MS)
  if (caseRunner.hasTrouble) {
    frozen.child.kill('SIGCONT')
    note('front-1 wakes')
  }
  await net.sleep(2_000)
  sending.abort()
  await sender
  const results = await Promise.all(answers)
  await net.sleep(1_000)

  const arrivals = all.flatMap(server => server.arrivals)
  for (const { atMs, attempt, server, hasRun } of arrivals) note(`${attempt} reaches ${server}${hasRun ? ' and runs' : ''}`, atMs)
  const runs = new Map(arrivals.filter(({ hasRun }) => hasRun).map(arrival => [arrival.attempt, arrival]))
  const breaches = []
  for (const { attempt, connectedAtMs, sentAtMs, answeredAtMs, status } of results) {
    note(`${attempt}: its connection to front-1 is opened`, connectedAtMs)
    note(`${attempt} sent to front-1`, sentAtMs)
    note(status === 0 ? `${attempt} not answered` : `${attempt} answered with ${status}`, answeredAtMs)
    if (PROMISES.includes(status) && runs.has(attempt)) {
      breaches.push(`${attempt}, which isn't idempotent, was answered with ${status} and has run at ${runs.get(attempt).server}`)
    }
  }
  return breaches
})
