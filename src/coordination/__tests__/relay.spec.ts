import * as http from 'node:http'
import * as net from 'node:net'
import * as stream from 'node:stream'
import * as vitest from 'vitest'
import * as environment from '../environment.js'
import * as relay from '../relay.js'
import type * as call from '../../protocol/call.js'
import type * as streamRecovery from '../stream-recovery.js'

const FIRST = 'data: one\n\n'

function sourceOf (pieces: (string | Error)[], isContinuation: boolean): streamRecovery.StreamSource {
  const body = stream.Readable.from((function * () {
    for (const piece of pieces) {
      if (piece instanceof Error) throw piece
      yield Buffer.from(piece)
    }
  })())
  return {
    server: {} as never,
    attemptId: 'x',
    answer: { kind: 'answer', status: 200, headers: { 'content-type': 'text/event-stream' }, body },
    offsetBytes: 0,
    isContinuation,
    finish: () => {}
  }
}

/** Relays a stream that breaks off after its first event, and then the next source. */
async function relayBroken (next: streamRecovery.StreamSource): Promise<{ body: string, isComplete: boolean }> {
  return await relayAll(sourceOf([FIRST, new Error('reset')], false), [next])
}

async function relayAll (
  first: streamRecovery.StreamSource, sources: streamRecovery.StreamSource[]
): Promise<{ body: string, isComplete: boolean }> {
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const server = http.createServer((_request, response) => {
    relay.relayAnswer(env, { requestId: 'r' } as call.Call, first, response, async () => sources.shift())
      .catch(() => { response.destroy() })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  const result = await new Promise<{ body: string, isComplete: boolean }>(resolve => {
    http.get({ host: '127.0.0.1', port, agent: false }, response => {
      let body = ''
      response.on('data', (chunk: Buffer) => { body += chunk.toString() })
      response.on('error', () => {})
      response.on('close', () => { resolve({ body, isComplete: response.complete }) })
    })
  })
  server.close()
  return result
}

vitest.test('a stream that another backend server continues with an event is complete', async () => {
  vitest.expect(await relayBroken(sourceOf(['data: two\n\n'], true))).toEqual({ body: `${FIRST}data: two\n\n`, isComplete: true })
})

// Guards against a stream that ends as complete though its rest is missing.
vitest.test('a stream that another backend server continues with nothing is not complete', async () => {
  vitest.expect(await relayBroken(sourceOf([], true))).toEqual({ body: FIRST, isComplete: false })
})

vitest.test('a stream of which its own host has nothing left is complete', async () => {
  vitest.expect(await relayBroken(sourceOf([], false))).toEqual({ body: FIRST, isComplete: true })
})

// Guards against a stream that is cut though it goes on after each break.
vitest.test('a stream that breaks off often and goes on each time is complete', async () => {
  const sources = Array.from({ length: 8 }, () => sourceOf([FIRST, new Error('reset')], false))
  const { body, isComplete } = await relayAll(sourceOf([FIRST, new Error('reset')], false), [...sources, sourceOf([FIRST], false)])
  vitest.expect([body, isComplete]).toEqual([FIRST.repeat(10), true])
})

// Guards against a part of a large answer that passes as the whole.
vitest.test('a large answer that breaks off after its head was sent is not complete', async () => {
  const piece = 'x'.repeat(600_000)
  const source = sourceOf([piece, piece, new Error('reset')], false)
  source.answer.headers = { 'content-type': 'text/plain' }
  const { body, isComplete } = await relayAll(source, [])
  vitest.expect(body.length).toBeGreaterThan(0)
  vitest.expect(isComplete).toBe(false)
})

// Guards against an event in many small chunks that keeps the process busy for a time that grows with its square.
vitest.test('a large event in small chunks is relayed in time linear in its size', async () => {
  const text = 'x'.repeat(128)
  const before = process.cpuUsage()
  const { body, isComplete } = await relayAll(sourceOf([...Array<string>(16_384).fill(text), '\n', '\n'], false), [])
  const used = process.cpuUsage(before)
  vitest.expect([body.length, isComplete]).toEqual([16_384 * 128 + 2, true])
  vitest.expect((used.user + used.system) / 1_000).toBeLessThan(1_500)
})
