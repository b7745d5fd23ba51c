/**
 * A server turns a request away and asks for a pause. Its entry in the store lapses and comes back, because it can't
 * reach the store for a few seconds. The hosts forget the pause and send it requests that it doesn't want.
 */

import * as caseRunner from '../lib/case.mjs'
import * as client from '../lib/client.mjs'
import * as deployment from '../lib/deployment.mjs'
import * as net from '../lib/net.mjs'
import * as servers from '../lib/server.mjs'
import * as stores from '../lib/store.mjs'

/** Pause that the server asks for. */
const PAUSE_S = 20
/** A server that can't reach the store is removed from it after three of its heartbeats. */
const HEARTBEAT_MS = 1_200
const CUT_MS = 5_000
/** Time from a server's answer after which its pause holds. */
const REACTION_MS = 500
/** Requests that a machine may send in the pause. */
const ALLOWED = 2
const REQUEST_INTERVAL_MS = 8
/** Time of a run, so that two servers are just not enough for the requests. */
const WORK_MS = 100
const SLOTS = 4

await caseRunner.runCase(import.meta.url, async ({ note, onEnd }) => {
  const store = new stores.Store()
  await store.start()
  onEnd(() => { store.stop() })
  const all = ['i-1', 'i-2', 'i-3'].map(id => new servers.Server(id, 'shop'))
  for (const server of all) {
    server.workMs = WORK_MS
    server.slots = SLOTS
    await server.start()
    onEnd(() => { server.stop() })
    store.put('servers', server.id, server.row())
  }
  store.put('op', 'config', client.configuration(1))
  const hosts = new deployment.Deployment(store.address)
  onEnd(() => hosts.stop())
  await hosts.start(['front-1', 'front-2', 'front-3'].map(name => ({ name, role: 'entry' })))
  await net.sleep(3_000)

  const [busy] = all
  const answers = []
  const hostOf = new Map()
  let busyUntilMs = 0
  busy.intercept = (request, response, arrival) => {
    const leftS = (busyUntilMs - performance.now()) / 1_000
    if (leftS <= 0) return false
    response.writeHead(503, {
      'Attempt-Id': arrival.attempt, 'Not-Executed': '1', 'Retry-After': leftS.toFixed(2), 'Content-Length': 0
    }).end()
    arrival.turnedAwayAtMs = performance.now()
    return true
  }
  const sending = new AbortController()
  let turn = 0
  const sender = (async () => {
    while (!sending.signal.aborted) {
      const host = hosts.hosts[turn++ % hosts.hosts.length]
      answers.push(client.sendRequest(hosts.clientAddress(host), { method: 'GET', path: '/look/1' }).then(answer => {
        hostOf.set(answer.attempt, host.name)
        return answer
      }))
      await net.sleep(REQUEST_INTERVAL_MS)
    }
  })()
  await net.sleep(1_000)
  busyUntilMs = performance.now() + PAUSE_S * 1_000
  note(`${busy.id} turns requests away from now on, and wants none for ${PAUSE_S} s`)
  await net.sleep(2_000)
  if (caseRunner.hasTrouble) {
    note(`${busy.id} can't reach the store`)
    await net.sleep(3 * HEARTBEAT_MS)
    store.remove('servers', busy.id)
    note(`the store has removed the entry of ${busy.id} after three heartbeats of silence`)
    await net.sleep(CUT_MS - 3 * HEARTBEAT_MS)
    store.put('servers', busy.id, busy.row())
    note(`${busy.id} reaches the store again and has written its entry`)
  }
  await net.sleep(busyUntilMs - performance.now() - 500)
  sending.abort()
  await sender

  for (const { attempt, sentAtMs, answeredAtMs, status } of await Promise.all(answers)) {
    note(`${attempt} sent to ${hostOf.get(attempt)}`, sentAtMs)
    note(`${attempt} answered with ${status}`, answeredAtMs)
  }
  const breaches = []
  for (const { atMs, attempt, server, hasRun } of all.flatMap(server => server.arrivals)) {
    note(`${attempt} reaches ${server}${hasRun ? ' and runs' : ', which turns it away with Retry-After'}`, atMs)
  }
  for (const { name } of hosts.hosts) {
    const turnedAway = busy.arrivals.filter(({ attempt, turnedAwayAtMs }) =>
      turnedAwayAtMs !== undefined && hostOf.get(attempt) === name)
    const fromMs = (turnedAway[0]?.turnedAwayAtMs ?? Infinity) + REACTION_MS
    const late = turnedAway.filter(({ atMs }) => atMs > fromMs && atMs < busyUntilMs)
    note(`${name} sent ${late.length} requests to ${busy.id} in its pause`)
    if (late.length > ALLOWED) {
      breaches.push(`${name} was turned away with Retry-After, and ${late.length} more of its requests reached ${busy.id} ` +
        'between half a second later and the end of that time')
    }
  }
  return breaches
})
