import * as vitest from 'vitest'
import * as caller from '../caller.js'
import * as cluster from '../cluster.js'
import * as crowdCheck from '../../standins/crowd-check.js'
import * as unrulyClients from '../../standins/unruly-clients.js'
import type * as processRunner from '../process-runner.js'

const { afterEach, beforeEach, expect, test } = vitest

const MEMORY_MB = 256
const HEAP_MB = 128
const MAX_DESCRIPTORS = 256
const MAX_BODY_BYTES = 4 * 1024 * 1024
const AUTHORIZATION = `Authorization: Bearer ${cluster.teamKey('support')}`
const CHUNKED = 'Transfer-Encoding: chunked'

let deployment: cluster.Cluster

beforeEach(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [],
    services: [{ name: 'lookup', servers: 1, delayMs: 1, repeatable: true }],
    teams: ['support'],
    processLimits: {
      nodeFlags: [`--max-old-space-size=${HEAP_MB}`],
      env: { BULRUSH_MEMORY_MB: String(MEMORY_MB), BULRUSH_FILE_DESCRIPTORS: String(MAX_DESCRIPTORS) },
      maxDescriptors: MAX_DESCRIPTORS
    }
  })
  await deployment.start()
})

afterEach(() => deployment.stop())

function crowded (process: processRunner.RunningProcess): crowdCheck.CrowdedProcess {
  const { pid, hasExited } = process
  const url = `http://${deployment.entries[0]!.address}`
  return {
    pid,
    hasExited,
    memoryMb: MEMORY_MB,
    maxDescriptors: MAX_DESCRIPTORS,
    serves: async () =>
      (await new caller.Caller('support', [url]).plain('lookup', '/status', 'subscription 1', true)).outcome === 'answered'
  }
}

async function expectEntryUnharmed (
  crowd: Omit<unrulyClients.CrowdOptions, 'address'>, address = deployment.entries[0]!.address
): Promise<void> {
  await crowdCheck.expectUnharmed(
    crowded(deployment.entries[0]!.process), unrulyClients.openCrowd({ address, ...crowd }))
}

async function expectAgentUnharmed (crowd: Omit<unrulyClients.CrowdOptions, 'address'>): Promise<void> {
  const { agent, agentAddress } = deployment.backends[0]!
  await crowdCheck.expectUnharmed(crowded(agent), unrulyClients.openCrowd({ address: agentAddress, ...crowd }))
}

function head (path: string, ...fields: string[]): string {
  return [`POST ${path} HTTP/1.1`, 'Host: a', AUTHORIZATION, ...fields, '', ''].join('\r\n')
}

const SERVICE_PATH = '/services/lookup/status'

test('entry: whole body in chunks of one byte is served', async () => {
  let received = ''
  const socket = unrulyClients.openReader(deployment.entries[0]!.address, text => { received += text })
  const pieces = unrulyClients.chunkedBody(head(SERVICE_PATH, CHUNKED), MAX_BODY_BYTES, 1)
  await unrulyClients.sendAll(socket, pieces)
  socket.write(unrulyClients.LAST_CHUNK)
  await cluster.waitFor('the response', 60_000, async () => received !== '')
  expect(received).toMatch(/^HTTP\/1\.1 200 /)
  socket.destroy()
  crowdCheck.expectWithinHost(crowded(deployment.entries[0]!.process))
}, 120_000)

test('entry: bodies in chunks of one byte, short of their end', async () => {
  await expectEntryUnharmed({
    connections: 8, sender: () => unrulyClients.chunkedBody(head(SERVICE_PATH, CHUNKED), MAX_BODY_BYTES - 1, 1)
  })
}, 120_000)

for (const path of [SERVICE_PATH, '/admin/v1/teams/support', '/unknown']) {
  test(`entry: bodies to ${path}, short of their end`, async () => {
    await expectEntryUnharmed({
      connections: 60,
      sender: () => unrulyClients.chunkedBody(head(path, CHUNKED), MAX_BODY_BYTES - 1, 50_000)
    })
  }, 120_000)

  test(`entry: requests ahead to ${path}`, async () => {
    const text = head(path, 'Content-Length: 0')
    await expectEntryUnharmed({ connections: 12, sender: () => unrulyClients.repeated(text, 4_000_000) })
  }, 120_000)
}

test('entry: connections on which nothing is sent', async () => {
  await expectEntryUnharmed({ connections: 300, reopened: 2_000 })
}, 120_000)

test('entry: connections to the listener for peers on which nothing is sent', async () => {
  await expectEntryUnharmed({ connections: 300, reopened: 2_000 }, deployment.entries[0]!.peerAddress)
}, 120_000)

test('agent: connections on which nothing is sent', async () => {
  await expectAgentUnharmed({ connections: 300, reopened: 2_000 })
}, 120_000)

test('agent: bodies short of their end', async () => {
  await expectAgentUnharmed({
    connections: 60,
    sender: () => unrulyClients.chunkedBody(head('/dispatch/lookup', CHUNKED), MAX_BODY_BYTES - 1, 50_000)
  })
}, 120_000)

test('agent: requests ahead', async () => {
  const text = head('/unknown', 'Content-Length: 0')
  await expectAgentUnharmed({ connections: 12, sender: () => unrulyClients.repeated(text, 4_000_000) })
}, 120_000)
