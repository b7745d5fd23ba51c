import * as http from 'node:http'
import type * as net from 'node:net'
import * as vitest from 'vitest'
import * as hostListClient from '../host-list-client.js'

const { afterEach, expect, test } = vitest

let server: http.Server | undefined

afterEach(() => { server?.close() })

async function readList (text: string): Promise<Awaited<ReturnType<hostListClient.HttpHostList['read']>>> {
  const started = http.createServer((_request, response) => { response.end(text) })
  server = started
  await new Promise<void>(resolve => { started.listen(0, '127.0.0.1', resolve) })
  const { port } = started.address() as net.AddressInfo
  return await new hostListClient.HttpHostList(`http://127.0.0.1:${port}`, 1_000).read(new AbortController().signal)
}

const DEPTH = 20_000
const good = (target: string): string => JSON.stringify({ targets: [target], labels: { host: target, role: 'agent', rank: '2', more: 'x' } })
const odd = [
  'null', '7', '{}', '{"targets":"x","labels":{}}', '{"targets":["127.0.0.1:70000"],"labels":{}}',
  '{"targets":["999.0.0.1:80"],"labels":{}}', '{"targets":["127.0.0.1:80"],"labels":{"rank":"1e400"}}',
  '{"targets":["127.0.0.1:80"],"labels":{"host":{}}}',
  '{"targets":["127.0.0.1:80"],"labels":{"role":"entry","peer_address":"127.0.0.1:65536"}}',
  `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`, `{"targets":${'['.repeat(DEPTH)}${']'.repeat(DEPTH)},"labels":{}}`
]

// Guards against one odd entry of another writer that makes the whole list unreadable.
test('odd entries of the host list are ignored, and the others are used', async () => {
  const listed = await readList(`[${[good('127.0.0.1:1'), ...odd, good('127.0.0.1:2')].join(',')}]`)
  if (listed.kind !== 'ok') throw new Error(listed.detail)
  expect(listed.value.map(host => host.address)).toEqual(['127.0.0.1:1', '127.0.0.1:2'])
  expect(listed.value[0]).toMatchObject({ host: '127.0.0.1:1', rank: 2, region: 'default' })
  expect(listed.ignored?.length).toBe(odd.length)
})

test('a host list that is no list is unavailable', async () => {
  expect((await readList('{}')).kind).toBe('unavailable')
})
