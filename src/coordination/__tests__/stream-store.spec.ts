import * as stream from 'node:stream'
import * as vitest from 'vitest'
import * as environment from '../environment.js'
import * as streamStore from '../stream-store.js'

const agentIncarnation = 'a'.repeat(32)
const MAX_SENT_BYTES = 64 * 1024 * 1024

async function captured (chunks: string[]): Promise<{ state: string, text: string }> {
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  const controller = new AbortController()
  const store = streamStore.createStreamStore(env, { agentIncarnation, onAbandoned: () => {} }, controller.signal)
  const attemptId = `${'e'.repeat(32)}.1`
  const state = await store.capture(attemptId, stream.Readable.from(chunks.map(chunk => Buffer.from(chunk))))
  const pieces: Buffer[] = []
  for await (const piece of store.open(attemptId, 0) ?? []) pieces.push(piece as Buffer)
  controller.abort()
  return { state, text: Buffer.concat(pieces).toString().replace(/~\d+$/gm, '') }
}

// Guards against an event in many small chunks that keeps the agent busy for a time that grows with its square.
vitest.test('a large event in small chunks is held in time linear in its size', async () => {
  const before = process.cpuUsage()
  const { state, text } = await captured([...Array<string>(16_384).fill('x'.repeat(128)), '\n', '\n'])
  const used = process.cpuUsage(before)
  vitest.expect([state, text.split('x').length - 1]).toEqual(['complete', 16_384 * 128])
  vitest.expect((used.user + used.system) / 1_000).toBeLessThan(1_500)
})

// Guards against offsets that depend on the chunks in which an engine's events arrive.
vitest.test('events are held alike however they are divided into chunks', async () => {
  const text = 'data: one\n\ndata: two\ndata: three\n\n\ndata: four\n\n'
  const whole = await captured([text])
  vitest.expect(whole.state).toBe('complete')
  vitest.expect(await captured([...text])).toEqual(whole)
})

// Guards against a backend server that fills the memory of its agent with a stream that never ends.
for (const [what, chunk] of [['events', `data: ${'x'.repeat(65_530)}\n\n`], ['an event', 'x'.repeat(65_536)]] as const) {
  vitest.test(`a stream with ${what} without end is given up`, async () => {
    const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
    const controller = new AbortController()
    const store = streamStore.createStreamStore(env, { agentIncarnation, onAbandoned: () => {} }, controller.signal)
    let sentBytes = 0
    const source = stream.Readable.from((function * () {
      for (; sentBytes < MAX_SENT_BYTES; sentBytes += chunk.length) yield Buffer.from(chunk)
    })())
    vitest.expect(await store.capture(`${'e'.repeat(32)}.1`, source)).toBe('broken')
    vitest.expect(source.destroyed).toBe(true)
    vitest.expect(sentBytes).toBeLessThan(MAX_SENT_BYTES / 4)
    controller.abort()
  })
}
