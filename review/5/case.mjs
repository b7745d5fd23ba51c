/**
 * A part of a prompt crashes each server that begins to write an answer on it: the first event gets out before the
 * server is gone. The hosts take the first event for proof that the request is sound, and find the cause late or never.
 */

import * as caseRunner from '../lib/case.mjs'
import * as client from '../lib/client.mjs'
import * as deployment from '../lib/deployment.mjs'
import * as modelServers from '../lib/model-server.mjs'
import * as net from '../lib/net.mjs'
import * as stores from '../lib/store.mjs'

const SHARED_PART = '5c1e07a2'
const CRASHING_PART = '91bd3f06'
const SERVERS = 6
const SOUND_INTERVAL_MS = 100
const CRASHING_INTERVAL_MS = 1_500
const RUN_MS = 30_000
/** Crashes after which the cause has to be known. */
const CRASHES = 5
const ALLOWED = 3

await caseRunner.runCase(import.meta.url, async ({ note, onEnd }) => {
  const store = new stores.Store()
  await store.start()
  onEnd(() => { store.stop() })
  const all = Array.from({ length: SERVERS }, (_, index) => new modelServers.ModelServer(`i-${index + 1}`, 'shop', store))
  for (const server of all) {
    server.crashingPart = CRASHING_PART
    await server.start()
    onEnd(() => { server.stop() })
  }
  store.put('op', 'config', client.configuration(1))
  const hosts = new deployment.Deployment(store.address)
  onEnd(() => hosts.stop())
  await hosts.start(['front-1', 'front-2', 'front-3'].map(name => ({ name, role: 'entry' })))
  await net.sleep(3_000)

  const answers = []
  const endMs = performance.now() + RUN_MS
  let turn = 0
  const sendEach = async (intervalMs, kind, parts) => {
    let number = 0
    while (performance.now() < endMs) {
      const host = hosts.hosts[turn++ % hosts.hosts.length]
      number += 1
      const prefix = [...parts, `${kind === 'sound' ? 'e' : 'f'}${String(number).padStart(7, '0')}:250`].join(',')
      const headers = { Model: 'm', 'Token-Usage': '500,60', 'Prompt-Prefix': prefix }
      const sent = client.sendRequest(hosts.clientAddress(host), { path: '/draft/1', headers, deadlineMs: 6_000 })
      answers.push(sent.then(answer => ({ ...answer, host: host.name, kind })))
      await net.sleep(intervalMs)
    }
  }
  const senders = [sendEach(SOUND_INTERVAL_MS, 'sound', [`${SHARED_PART}:40`])]
  if (caseRunner.hasTrouble) {
    senders.push(sendEach(CRASHING_INTERVAL_MS, 'crashing', [`${SHARED_PART}:40`, `${CRASHING_PART}:100`]))
  }
  await Promise.all(senders)

  for (const { attempt, sentAtMs, answeredAtMs, status, isComplete, host, kind } of await Promise.all(answers)) {
    note(`${attempt} (${kind}) sent to ${host}`, sentAtMs)
    note(`${attempt} answered with ${status}${isComplete ? '' : ', broken off'}`, answeredAtMs)
  }
  const arrivals = all.flatMap(server => server.arrivals).sort((a, b) => a.atMs - b.atMs)
  for (const { atMs, attempt, server, isCrashing, wasBrokenOff } of arrivals) {
    note(`${attempt} reaches ${server}${isCrashing ? ', which will crash' : wasBrokenOff ? ', whose answer breaks off' : ''}`, atMs)
  }
  const crashes = all.flatMap(server => server.crashes).sort((a, b) => a - b)
  crashes.forEach((atMs, index) => { note(`crash ${index + 1} of a server`, atMs) })
  const fromMs = (crashes[CRASHES - 1] ?? Infinity) + deployment.BOUNDS['contact-threshold-ms']
  const late = arrivals.filter(({ atMs, isCrashing }) => isCrashing && atMs > fromMs)
  note(`${late.length} requests with the part reached servers later than contact-threshold-ms after the fifth crash`)
  return late.length <= ALLOWED ? [] : late.map(({ attempt, server }) => `${attempt} with the part that crashes servers reaches ${server}`)
})
