/**
 * Stand-in for a model engine: OpenAI chat completions whose text is a function of the request, one token per step.
 * Generation continues when a stream's connection breaks; the stream can be replayed or cancelled by the id in
 * `x-request-id`. `GET /kv-events` streams changes of the prefix cache, `GET /kv-blocks` lists its blocks,
 * `POST /reset_prefix_cache` clears it, and `GET /load` returns delayed load figures.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as cacheEvents from './cache-events.js'
import * as jsonServer from './json-server.js'
import * as laggingLoad from './lagging-load.js'
import * as prefixCache from './prefix-cache.js'
import * as runRecord from './run-record.js'

export interface EngineOptions {
  /** Duration of one step. */
  stepMs: number
  /** Length of a completion whose request sets no maximum. */
  defaultTokens: number
  /** A request that contains this text crashes the process. */
  crashText: string
  /** Maximum number of concurrent requests; the others wait in order of arrival. 0 sets no limit. */
  slots: number
  /** Time added before the first token for each block of the prompt that is not cached. */
  prefillMsPerBlock: number
  cache: prefixCache.PrefixCacheOptions
  events: cacheEvents.CacheEventOptions
  loadLagMs: number
  /** Source of random numbers that decides which batches of events are lost. */
  random: () => number
}

interface Message {
  role: string
  content: string
}

interface ChatRequest {
  model: string
  messages: Message[]
  stream?: boolean
  max_tokens?: number
  continue_final_message?: boolean
}

interface Generation {
  events: string[]
  state: 'running' | 'ended' | 'cancelled'
  /** Resolve functions of the readers that wait for the next event. */
  waiters: Set<() => void>
}

export const DEFAULT_ENGINE: EngineOptions = {
  stepMs: 5,
  defaultTokens: 20,
  crashText: 'crash-the-server',
  slots: 0,
  prefillMsPerBlock: 0,
  cache: { maxBlocks: 0, blockCharacters: 64 },
  events: { delayMs: 0, lostShare: 0 },
  loadLagMs: 0,
  random: () => 0.5
}

const STREAM_PATH = /^\/v1\/chat\/completions\/([^/]+)\/(events|cancel)$/
/** Time for which the events of an ended stream can still be replayed. */
const STREAM_RETENTION_MS = 30_000

/** Text that every engine stand-in generates for the messages, so that a test can check any answer. */
export function expectedText (messages: { content: string }[], tokens: number, firstToken = 0): string {
  const seed = crypto.createHash('sha256').update(messages.map(message => message.content).join('\n')).digest('hex')
  return Array.from({ length: tokens }, (_, index) => `${seed.slice(0, 8)}-${firstToken + index} `).join('')
}

export class EngineStandin {
  readonly #options: EngineOptions
  readonly #record = new runRecord.RunRecord()
  readonly #generations = new Map<string, Generation>()
  readonly #events: cacheEvents.CacheEventStream
  readonly #cache: prefixCache.PrefixCache
  readonly #load: laggingLoad.LaggingLoad
  readonly #queue: (() => void)[] = []
  #running = 0
  #blocks = 0
  #hits = 0
  #cancelled = 0
  #continued = 0

  constructor (options: EngineOptions) {
    this.#options = options
    this.#events = new cacheEvents.CacheEventStream(options.events, options.random)
    this.#cache = new prefixCache.PrefixCache(options.cache, events => this.#events.publish(events))
    this.#load = new laggingLoad.LaggingLoad(options.loadLagMs, () => performance.now())
  }

  async handle (request: jsonServer.JsonRequest, response: http.ServerResponse): Promise<void> {
    if (request.path === '/health') {
      return jsonServer.sendJson(response, 200, {
        running: this.#running,
        waiting: this.#queue.length,
        blocks: this.#blocks,
        hits: this.#hits,
        cancelled: this.#cancelled,
        continued: this.#continued
      })
    }
    if (request.path === '/load') return jsonServer.sendJson(response, 200, this.#load.read())
    if (request.path === '/kv-events') return this.#events.serve(response)
    if (request.path === '/kv-blocks') {
      return jsonServer.sendJson(response, 200, { sequence: this.#events.sequence, block_hashes: this.#cache.blocks })
    }
    if (request.path === '/reset_prefix_cache') {
      this.#cache.clear()
      return jsonServer.sendJson(response, 200, {})
    }
    if (request.path === '/runs') return this.#record.answer(request, response)
    if (request.path === '/spans') return this.#record.sendSpans(response)
    const managed = STREAM_PATH.exec(request.path)
    if (managed !== null) return this.#handleStreamAction(decodeURIComponent(managed[1]!), managed[2]!, response)
    if (request.path !== '/v1/chat/completions') return jsonServer.sendJson(response, 404, { error: 'no such path' })
    const chat = JSON.parse(request.body.toString('utf8')) as ChatRequest
    this.#record.countRun(request.headers)
    if (chat.messages.some(message => message.content.includes(this.#options.crashText))) process.exit(1)
    const end = this.#record.startSpan()
    await this.#acquireSlot()
    try {
      if (chat.stream === true) await this.#stream(chat, String(request.headers['x-request-id'] ?? ''), response)
      else await this.#whole(chat, response)
    } finally {
      this.#running -= 1
      end()
      this.#queue.shift()?.()
      this.#recordLoad()
    }
  }

  async #acquireSlot (): Promise<void> {
    const { slots } = this.#options
    if (slots > 0 && this.#running >= slots) {
      await new Promise<void>(resolve => {
        this.#queue.push(() => {
          // Counted before the waiting request resumes, so that a request arriving in between can't use the same slot.
          this.#running += 1
          resolve()
        })
        this.#recordLoad()
      })
    } else this.#running += 1
    this.#recordLoad()
  }

  #recordLoad (): void {
    this.#load.record({ running: this.#running, waiting: this.#queue.length })
  }

  /** Looks the prompt up in the cache and waits for the prefill time of the blocks that are missing. */
  async #prefill (chat: ChatRequest): Promise<prefixCache.CacheLookup> {
    const lookup = this.#cache.lookUpAndStore(chat.messages.map(message => message.content).join('\n'))
    this.#blocks += lookup.blocks
    this.#hits += lookup.hits
    const durationMs = (lookup.blocks - lookup.hits) * this.#options.prefillMsPerBlock
    if (durationMs > 0) await sleep(durationMs)
    return lookup
  }

  /** A continued answer starts after the tokens that the last assistant message already holds. */
  #text (chat: ChatRequest): string {
    const tokens = chat.max_tokens ?? this.#options.defaultTokens
    const last = chat.messages.at(-1)!
    if (chat.continue_final_message !== true || last.role !== 'assistant') return expectedText(chat.messages, tokens)
    this.#continued += 1
    return expectedText(chat.messages.slice(0, -1), tokens, (last.content.match(/\S+ /g) ?? []).length)
  }

  /** Sends the completion as one JSON document. */
  async #whole (chat: ChatRequest, response: http.ServerResponse): Promise<void> {
    const content = this.#text(chat)
    const tokens = content.split(' ').length - 1
    const lookup = await this.#prefill(chat)
    await sleep(this.#options.stepMs * tokens)
    jsonServer.sendJson(response, 200, {
      id: 'chatcmpl-1',
      object: 'chat.completion',
      created: 0,
      model: chat.model,
      choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
      usage: {
        prompt_tokens: 1,
        completion_tokens: tokens,
        total_tokens: tokens + 1,
        prompt_tokens_details: { cached_tokens: lookup.hits }
      }
    })
  }

  async #stream (chat: ChatRequest, requestId: string, response: http.ServerResponse): Promise<void> {
    const generation: Generation = { events: [], state: 'running', waiters: new Set() }
    if (requestId !== '') this.#generations.set(requestId, generation)
    sendEvents(generation, response).catch(() => response.destroy())
    await this.#prefill(chat)
    for (const piece of this.#text(chat).match(/\S+ /g) ?? []) {
      await sleep(this.#options.stepMs)
      if (generation.state === 'cancelled') return
      appendEvent(generation, formatChunkEvent(chat.model, { content: piece }, null))
    }
    generation.state = 'ended'
    appendEvent(generation, formatChunkEvent(chat.model, {}, 'stop') + 'data: [DONE]\n\n')
    setTimeout(() => this.#generations.delete(requestId), STREAM_RETENTION_MS).unref()
  }

  async #handleStreamAction (requestId: string, action: string, response: http.ServerResponse): Promise<void> {
    const generation = this.#generations.get(requestId)
    if (generation === undefined) return jsonServer.sendJson(response, 404, { error: 'no such stream' })
    if (action === 'events') return sendEvents(generation, response)
    if (generation.state === 'running') {
      generation.state = 'cancelled'
      this.#cancelled += 1
      notifyReaders(generation)
    }
    jsonServer.sendJson(response, 200, {})
  }
}

async function sendEvents (generation: Generation, response: http.ServerResponse): Promise<void> {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
  response.flushHeaders()
  response.once('close', () => notifyReaders(generation))
  for (let index = 0; !response.destroyed;) {
    while (index < generation.events.length) response.write(generation.events[index++]!)
    if (generation.state !== 'running') break
    await new Promise<void>(resolve => generation.waiters.add(resolve))
  }
  if (generation.state === 'cancelled') response.destroy()
  else response.end()
}

function appendEvent (generation: Generation, event: string): void {
  generation.events.push(event)
  notifyReaders(generation)
}

function notifyReaders (generation: Generation): void {
  for (const resolve of generation.waiters) resolve()
  generation.waiters.clear()
}

function formatChunkEvent (model: string, delta: object, finishReason: string | null): string {
  const chunk = {
    id: 'chatcmpl-1',
    object: 'chat.completion.chunk',
    created: 0,
    model,
    choices: [{ index: 0, delta, finish_reason: finishReason }]
  }
  return `data: ${JSON.stringify(chunk)}\n\n`
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
