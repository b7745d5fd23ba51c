import * as vitest from 'vitest'
import OpenAI from 'openai'
import * as engine from '../../standins/engine.js'
import * as cluster from '../cluster.js'

let deployment: cluster.Cluster

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista', 'solna'],
    entries: 2,
    models: [{ name: 'draft-model', servers: 2, stepMs: 2 }],
    services: [{ name: 'lookup', servers: 1, delayMs: 1, repeatable: true }],
    teams: ['support']
  })
  await deployment.start()
})

vitest.afterAll(() => deployment.stop())

function client (): OpenAI {
  return new OpenAI({
    baseURL: `http://${deployment.entries[0]!.address}/v1`, apiKey: cluster.teamKey('support'), maxRetries: 0
  })
}

const messages = [{ role: 'user' as const, content: 'where is my parcel' }]

// Guards against answers that the unmodified OpenAI client cannot read.
vitest.test('OpenAI client gets a complete answer', async () => {
  const answer = await client().chat.completions.create({ model: 'draft-model', messages, max_tokens: 8 })
  vitest.expect(answer.choices[0]?.message.content).toBe(engine.expectedText(messages, 8))
})

// Guards against lost, repeated or reordered events.
vitest.test('OpenAI client receives a complete stream', async () => {
  const events = await client().chat.completions.create({ model: 'draft-model', messages, max_tokens: 30, stream: true })
  let text = ''
  for await (const event of events) text += event.choices[0]?.delta.content ?? ''
  vitest.expect(text).toBe(engine.expectedText(messages, 30))
})

// Guards against a plain call that loses its method, query or body when it is forwarded.
vitest.test('plain call is forwarded unchanged', async () => {
  const response = await fetch(`http://${deployment.entries[1]!.address}/services/lookup/status?id=7`, {
    method: 'PUT', headers: { authorization: `Bearer ${cluster.teamKey('support')}` }, body: 'abc'
  })
  vitest.expect(response.status).toBe(200)
  vitest.expect(await response.json()).toMatchObject({
    service: 'lookup', method: 'PUT', path: '/status', query: 'id=7', bodyDigest: cluster.digestOf('abc')
  })
})

// Guards against unauthenticated requests that reach a backend server.
vitest.test('unknown key gets 401', async () => {
  const response = await fetch(`http://${deployment.entries[0]!.address}/services/lookup/status`, {
    headers: { authorization: 'Bearer nobody' }
  })
  vitest.expect(response.status).toBe(401)
  vitest.expect(await response.json()).toMatchObject({ outcome: 'not_run', reason: 'unauthenticated' })
})

// Guards against an address answer that gives the caller no alternative in another failure domain.
vitest.test('address answer names entries in both failure domains', async () => {
  await cluster.waitFor('two entries are offered', 5_000, async () => {
    const response = await fetch(`http://${deployment.entries[0]!.address}/v1/entries?team=support`)
    const answer = await response.json() as { entries: { failureDomain: string }[] }
    return new Set(answer.entries.map(entry => entry.failureDomain)).size === 2
  })
})
