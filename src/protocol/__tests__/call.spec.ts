import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as call from '../call.js'
import * as chat from '../chat.js'
import * as streamId from '../stream-id.js'
import type * as configuration from '../../state/configuration.js'

const team: configuration.ResolvedTeam = {
  name: 'support',
  services: new Map([
    ['draft-model', { kind: 'model', repeatable: true, priority: 5, timeoutMs: 1_000 }],
    ['voucher', { kind: 'plain', repeatable: false, priority: 5, timeoutMs: 1_000 }]
  ]),
  limits: { requestsPerSecond: 10, concurrentRequests: 10 },
  keyDigests: []
}

function parse (raw: Partial<call.RawCall>): call.ParseResult {
  return call.parseCall({
    requestId: 'r', method: 'POST', url: call.CHAT_PATH, headers: {}, body: Buffer.alloc(0), ...raw
  }, team, 0)
}

// Guards against input that makes the parser throw, and against invalid requests that are accepted.
vitest.test('any input results in a call or a refusal', () => {
  const headerValue = fc.option(fc.string(), { nil: undefined })
  fc.assert(fc.property(
    fc.constantFrom('GET', 'POST', 'PUT'),
    fc.oneof(fc.constant(call.CHAT_PATH), fc.string().map(text => `/services/${text}`), fc.constant('/services/voucher/a?b')),
    fc.oneof(fc.uint8Array(), fc.jsonValue().map(value => Buffer.from(JSON.stringify(value)))),
    headerValue, headerValue, headerValue,
    (method, url, body, key, timeout, lastEventId) => {
      const result = parse({
        method,
        url,
        body: Buffer.from(body),
        headers: { 'idempotency-key': key, 'request-timeout-ms': timeout, 'last-event-id': lastEventId }
      })
      if (result.kind === 'refused') {
        vitest.expect(result.outcome).toBe('not_run')
        vitest.expect(result.status).toBeGreaterThanOrEqual(400)
        vitest.expect(result.status).toBeLessThan(500)
      } else vitest.expect(team.services.has(result.call.target.name)).toBe(true)
    }
  ), { numRuns: 2_000 })
})

// Guards against a refusal that does not say which field is invalid.
vitest.test.each([
  [{ body: Buffer.from('{') }, 'body'],
  [{ body: Buffer.from('{"model":"draft-model"}') }, 'messages'],
  [{ body: Buffer.from('{"messages":[{"role":"user"}]}') }, 'model'],
  [{ url: '/services/voucher', headers: { 'request-timeout-ms': 'soon' } }, 'request-timeout-ms'],
  [{ url: '/services/voucher', headers: { 'idempotency-key': '' } }, 'idempotency-key'],
  [{ url: '/services/voucher', headers: { 'last-event-id': '7' } }, 'last-event-id'],
  [{ url: '/services/UPPER' }, 'path']
])('refusal names the field %#', (raw, field) => {
  const result = parse(raw)
  vitest.expect(result.kind === 'refused' && result.detail).toContain(field)
})

// Guards against a safe method that is treated as not repeatable, and against the opposite.
vitest.test('GET is repeatable, POST only if the service is', () => {
  const get = parse({ method: 'GET', url: '/services/voucher/list' })
  const post = parse({ method: 'POST', url: '/services/voucher/issue' })
  vitest.expect(get.kind === 'call' && get.call.isRepeatable).toBe(true)
  vitest.expect(post.kind === 'call' && post.call.isRepeatable).toBe(false)
})

// Guards against a caller that sets its own scheduling priority at the engine.
vitest.test('engine gets the priority of the team\'s service', () => {
  const body = Buffer.from('{"model":"draft-model","messages":[{"role":"user","content":"a"}],"priority":0,"top_p":1}')
  const result = parse({ body })
  const sent = JSON.parse(result.kind === 'call' ? result.call.body.toString() : '{}') as object
  vitest.expect(sent).toEqual({
    model: 'draft-model', messages: [{ role: 'user', content: 'a' }], priority: 5, top_p: 1
  })
})

// Guards against ids that another entry can't parse.
vitest.test('a formatted stream id parses to the same position', () => {
  const incarnation = fc.stringMatching(/^[0-9a-f]{32}$/)
  fc.assert(fc.property(incarnation, incarnation, fc.nat(), fc.nat(), (agent, entry, sequence, offsetBytes) => {
    const position = { agentIncarnation: agent, attemptId: `${entry}.${sequence}`, offsetBytes }
    vitest.expect(streamId.parseStreamId(streamId.formatStreamId(position))).toEqual(position)
  }))
})

// Guards against a continuation that repeats or skips text.
vitest.test('a continuation contains the relayed text and a reduced token limit', () => {
  const events = ['a ', 'b '].map(content =>
    Buffer.from(`id: 1\ndata: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`))
  const body = Buffer.from(JSON.stringify({ messages: [{ role: 'user', content: 'q' }], max_tokens: 5 }))
  const continued = JSON.parse(chat.continueRequest(body, chat.readRelayedText(events))!.toString()) as object
  vitest.expect(continued).toMatchObject({
    max_tokens: 3,
    continue_final_message: true,
    messages: [{ role: 'user', content: 'q' }, { role: 'assistant', content: 'a b ' }]
  })
})
