/**
 * One host loses the store for moments while a server leaves. The other hosts have dropped the server; they take it up
 * again from the one that was cut off, and send it requests later than it may get any, until it ends.
 */

import * as caseRunner from '../lib/case.mjs'
import * as client from '../lib/client.mjs'
import * as deployment from '../lib/deployment.mjs'
import * as net from '../lib/net.mjs'
import * as servers from '../lib/server.mjs'
import * as stores from '../lib/store.mjs'

/** Cuts of one host from the store. */
const CUTS = 5
const CUT_MS = 300
const CUT_INTERVAL_MS = 1_000
/** Time from the first cut to the departure of the server. */
const LEAVES_AFTER_MS = 2_050
/** How long the server still serves: the drain timeout and a little longer. */
const SERVES_ON_MS = 12_000
const REQUEST_INTERVAL_MS = 40
const WORK_MS = 60

await caseRunner.runCase(import.meta.url, async ({ note, onEnd }) => {
  const store = new stores.Store()
  await store.start()
  onEnd(() => { store.stop() })
  const all = ['i-1', 'i-2', 'i-3'].map(id => new servers.Server(id, 'shop'))
  for (const server of all) {
    server.workMs = WORK_MS
    await server.start()
    onEnd(() => { server.stop() })
    store.put('servers', server.id, server.row())
  }
  store.put('op', 'config', client.configuration(1))

  const proxy = new net.Proxy(store.address)
  await proxy.start()
  onEnd(() => { proxy.stop() })
  const hosts = new deployment.Deployment(store.address)
  onEnd(() => hosts.stop())
  await hosts.start([
    { name: 'front-1', role: 'entry', storeAddress: proxy.address },
    { name: 'front-2', role: 'entry' },
    { name: 'front-3', role: 'entry' },
    { name: 'front-4', role: 'entry' }
  ])
  await net.sleep(5_000)

  const [, ...calm] = hosts.hosts
  const answers = []
  const sending = new AbortController()
  let turn = 0
  const sender = (async () => {
    while (!sending.signal.aborted) {
      const host = calm[turn++ % calm.length]
      // Every second request must not be repeated.
      const options = turn % 2 === 0 ? { path: '/order/1' } : { method: 'GET', path: '/look/1' }
      const sent = client.sendRequest(hosts.clientAddress(host), options)
      answers.push(sent.then(answer => ({ ...answer, host: host.name })))
      await net.sleep(REQUEST_INTERVAL_MS)
    }
  })()
  await net.sleep(1_000)

  const flapping = caseRunner.hasTrouble ? flap(proxy, note) : Promise.resolve()
  await net.sleep(LEAVES_AFTER_MS)
  const [leaving] = all
  const removedAtMs = store.remove('servers', leaving.id)
  note(`the store has removed the entry of ${leaving.id}, which serves on`)
  await net.sleep(100)
  store.put('op', 'config', client.configuration(5, { added: ['more'] }))
  note('the store has taken configuration 5, which adds a route')
  await flapping
  await net.sleep(removedAtMs + SERVES_ON_MS - performance.now())
  await net.waitUntil(() => leaving.arrivals.some(({ path, hasRun, isAnswered }) =>
    path === '/order/1' && hasRun && !isAnswered), 1_000)
  leaving.stop()
  note(`${leaving.id} has ended`)
  await net.sleep(1_000)
  sending.abort()
  await sender

  const byAttempt = new Map((await Promise.all(answers)).map(answer => [answer.attempt, answer]))
  for (const { attempt, sentAtMs, answeredAtMs, status, host } of byAttempt.values()) {
    note(`${attempt} sent to ${host}`, sentAtMs)
    note(`${attempt} answered with ${status}`, answeredAtMs)
  }
  for (const { atMs, attempt, server, hasRun, isAnswered } of all.flatMap(server => server.arrivals)) {
    note(`${attempt} reaches ${server}${hasRun ? ' and runs' : ''}${isAnswered ? '' : ', and is lost with it'}`, atMs)
  }
  const lateMs = removedAtMs + deployment.BOUNDS['drain-timeout-ms']
  return leaving.arrivals.filter(({ atMs }) => atMs > lateMs).map(({ atMs, attempt }) =>
    `${attempt}, taken by ${byAttempt.get(attempt).host}, reaches ${leaving.id} ${Math.round(atMs - removedAtMs)} ms after ` +
    'the store acknowledged that it is gone')
})

/** Cuts the host from the store for a moment, several times. */
async function flap (proxy, note) {
  for (let cut = 0; cut < CUTS; cut++) {
    proxy.cut()
    note('front-1 is cut off from the store')
    await net.sleep(CUT_MS)
    proxy.heal()
    note('the cut of front-1 has healed')
    await net.sleep(CUT_INTERVAL_MS - CUT_MS)
  }
}
