import type * as http from 'node:http'
import * as eventsourceParser from 'eventsource-parser'
import * as vitest from 'vitest'
import * as engine from '../engine.js'
import * as jsonServer from '../json-server.js'
import * as laggingLoad from '../lagging-load.js'
import * as prefixCache from '../prefix-cache.js'

let server: http.Server | undefined

vitest.afterEach(() => {
  server?.closeAllConnections()
  server?.close()
})

async function start (options: Partial<engine.EngineOptions>): Promise<string> {
  const standin = new engine.EngineStandin({ ...engine.DEFAULT_ENGINE, stepMs: 1, defaultTokens: 2, ...options })
  const served = await jsonServer.serveJson((request, response) => standin.handle(request, response))
  server = served.server
  return `http://${served.address}`
}

async function ask (base: string, content: string): Promise<{ tookMs: number, cached: number }> {
  const startedAtMs = performance.now()
  const response = await fetch(`${base}/v1/chat/completions`, {
    method: 'POST', body: JSON.stringify({ model: 'm', messages: [{ role: 'user', content }] })
  })
  const answer = await response.json() as { usage: { prompt_tokens_details: { cached_tokens: number } } }
  return { tookMs: performance.now() - startedAtMs, cached: answer.usage.prompt_tokens_details.cached_tokens }
}

const cache = { maxBlocks: 4, blockCharacters: 8 }

// Guards against an unbounded cache, and against a block that stays cached after the blocks before it were evicted.
vitest.test('prefix cache evicts the least recently used block', () => {
  const events: prefixCache.CacheEvent[] = []
  const prefixes = new prefixCache.PrefixCache(cache, batch => events.push(...batch))
  vitest.expect(prefixes.lookUpAndStore('a'.repeat(16))).toEqual({ blocks: 2, hits: 0 })
  vitest.expect(prefixes.lookUpAndStore('b'.repeat(16))).toEqual({ blocks: 2, hits: 0 })
  vitest.expect(prefixes.lookUpAndStore('a'.repeat(16) + 'c'.repeat(8))).toEqual({ blocks: 3, hits: 2 })
  vitest.expect(prefixes.lookUpAndStore('b'.repeat(16)).hits).toBe(1)
  vitest.expect(prefixes.blocks).toHaveLength(4)
  const last = prefixCache.blockHashes('b'.repeat(16), 8)[1]
  vitest.expect(events.filter(event => event.type === 'BlockRemoved')[0]).toEqual({
    type: 'BlockRemoved', block_hashes: [last]
  })
})

// Guards against cache hits that save no time, which would invalidate every measurement of prefix hints.
vitest.test('a cached prefix shortens the time to the first token', async () => {
  const base = await start({ cache, prefillMsPerBlock: 100 })
  const cold = await ask(base, 'x'.repeat(24))
  const warm = await ask(base, 'x'.repeat(24))
  vitest.expect([cold.cached, warm.cached]).toEqual([0, 3])
  vitest.expect(cold.tookMs).toBeGreaterThan(290)
  vitest.expect(warm.tookMs).toBeLessThan(cold.tookMs)
})

// Guards against events and block lists without a sequence number, so that a reader could not detect a lost batch.
vitest.test('a lost batch of cache events shows as a gap, and the block list has the last sequence number', async () => {
  let batches = 0
  // The second batch is lost.
  const base = await start({ cache, events: { delayMs: 20, lostShare: 0.5 }, random: () => ++batches === 2 ? 0 : 1 })
  const controller = new AbortController()
  const response = await fetch(`${base}/kv-events`, { signal: controller.signal })
  const received: { id: number, types: string[] }[] = []
  const parser = eventsourceParser.createParser({
    onEvent: event => {
      const { events } = JSON.parse(event.data) as { events: prefixCache.CacheEvent[] }
      received.push({ id: Number(event.id), types: events.map(one => one.type) })
    }
  })
  for (const content of ['a', 'b', 'c']) await ask(base, content.repeat(16))
  await fetch(`${base}/reset_prefix_cache`, { method: 'POST' })
  const reader = response.body!.pipeThrough(new TextDecoderStream()).getReader()
  while (received.length < 3) parser.feed((await reader.read()).value ?? '')
  vitest.expect(received).toEqual([
    { id: 1, types: ['BlockStored'] },
    { id: 3, types: ['BlockStored', 'BlockRemoved'] },
    { id: 4, types: ['AllBlocksCleared'] }
  ])
  vitest.expect(await (await fetch(`${base}/kv-blocks`)).json()).toEqual({ sequence: 4, block_hashes: [] })
  controller.abort()
})

// Guards against more concurrent requests than the engine has slots, and against a request that never gets a slot.
vitest.test('requests wait while all slots are in use', async () => {
  const base = await start({ slots: 1, stepMs: 50 })
  const ended: number[] = []
  const asked = [0, 1, 2].map(async index => {
    await ask(base, `request ${index}`)
    ended.push(index)
  })
  await vitest.vi.waitFor(async () => {
    const health = await (await fetch(`${base}/health`)).json() as object
    vitest.expect(health).toMatchObject({ running: 1, waiting: 2 })
  }, { interval: 5 })
  await Promise.all(asked)
  vitest.expect(ended).toHaveLength(3)
  vitest.expect(await (await fetch(`${base}/health`)).json()).toMatchObject({ running: 0, waiting: 0 })
})

// Guards against load figures that are visible before the lag has passed.
vitest.test('load figures become visible after the lag', () => {
  let nowMs = 0
  const load = new laggingLoad.LaggingLoad(500, () => nowMs)
  load.record({ running: 1, waiting: 0 })
  nowMs = 300
  load.record({ running: 2, waiting: 1 })
  vitest.expect(load.read()).toMatchObject({ running: 0, waiting: 0 })
  nowMs = 500
  vitest.expect(load.read()).toMatchObject({ running: 1, waiting: 0, ageMs: 500 })
  nowMs = 800
  vitest.expect(load.read()).toMatchObject({ running: 2, waiting: 1 })
})
