/**
 * A caller as the system expects it: asks which entries to use, caches the answer for its time to live, and tries the
 * next entry when one fails. Checks every answer against a function of the request.
 */

import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as cluster from './cluster.js'
import * as engine from '../standins/engine.js'

/**
 * `wrong`: an answer with unexpected content; `lost`: no whole answer arrived; `refused`: an error response.
 */
export type CallOutcome = 'answered' | 'wrong' | 'lost' | 'refused'

export interface CallRecord {
  outcome: CallOutcome
  /** Outcome that the error response stated; `completed` for a whole answer, empty when none arrived. */
  stated: string
  status: number
  /** Number of times that the request was sent. */
  sends: number
  durationMs: number
  key: string
}

const MAX_SENDS = 8
const RETRY_DELAY_MS = 100

export class Caller {
  readonly #team: string
  readonly #seedUrls: string[]
  /** Number of stream events received so far. */
  events = 0
  #entries: string[] = []
  #entriesValidUntilMs = 0

  constructor (team: string, seedUrls: string[]) {
    this.#team = team
    this.#seedUrls = seedUrls
  }

  /**
   * Sends a plain call, always with an idempotency key.
   * @param repeatable if false, only the outcome `not_run` or the idempotency key makes a repeat safe, and the outcome
   *   `may_have_run` ends the call.
   */
  async plain (service: string, path: string, body: string, repeatable: boolean): Promise<CallRecord> {
    const key = crypto.randomUUID()
    const expected = cluster.digestOf(body)
    return this.#send(key, repeatable, async entry => {
      const response = await undici.request(`${entry}/services/${service}${path}`, {
        method: 'POST',
        headers: { ...this.#headers(), 'idempotency-key': key, 'content-type': 'text/plain' },
        body
      })
      if (response.statusCode !== 200) return refused(response.statusCode, await response.body.text())
      const answer = await response.body.json() as { bodyDigest: string }
      return { outcome: answer.bodyDigest === expected ? 'answered' : 'wrong', stated: 'completed', status: 200 }
    })
  }

  /** Streams a draft; a broken stream is resumed at any entry from the last event received. */
  async draft (model: string, prompt: string, tokens: number): Promise<CallRecord> {
    const key = crypto.randomUUID()
    const messages = [{ role: 'user', content: prompt }]
    const expected = engine.expectedText(messages, tokens)
    const progress = { text: '', lastEventId: '' }
    return this.#send(key, true, async entry => {
      const response = await undici.request(`${entry}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          ...this.#headers(),
          'content-type': 'application/json',
          ...(progress.lastEventId === '' ? {} : { 'last-event-id': progress.lastEventId })
        },
        body: JSON.stringify({ model, messages, stream: true, max_tokens: tokens })
      })
      if (response.statusCode === 410) {
        progress.text = ''
        progress.lastEventId = ''
      }
      if (response.statusCode !== 200) return refused(response.statusCode, await response.body.text())
      let pending = ''
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        pending += chunk.toString('utf8')
        const events = pending.split('\n\n')
        pending = events.pop()!
        this.events += events.length
        for (const event of events) readEvent(event, progress)
      }
      return { outcome: progress.text === expected ? 'answered' : 'wrong', stated: 'completed', status: 200 }
    })
  }

  #headers (): Record<string, string> {
    return { authorization: `Bearer ${cluster.teamKey(this.#team)}` }
  }

  async #send (
    key: string, repeatable: boolean, sendOnce: (entry: string) => Promise<Pick<CallRecord, 'outcome' | 'stated' | 'status'>>
  ): Promise<CallRecord> {
    const startedAtMs = performance.now()
    let last: Pick<CallRecord, 'outcome' | 'stated' | 'status'> = { outcome: 'lost', stated: '', status: 0 }
    let sends = 0
    while (sends < MAX_SENDS) {
      const entries = await this.#currentEntries()
      const entry = entries[sends % entries.length]!
      sends += 1
      try {
        last = await sendOnce(entry)
      } catch {
        last = { outcome: 'lost', stated: '', status: 0 }
        this.#entriesValidUntilMs = 0
      }
      if (last.outcome === 'answered' || last.outcome === 'wrong') break
      if (last.outcome === 'refused' && last.status < 500 && last.status !== 429 && last.status !== 410) break
      if (last.outcome === 'refused' && last.stated === 'may_have_run' && !repeatable) break
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
    return { ...last, sends, key, durationMs: performance.now() - startedAtMs }
  }

  async #currentEntries (): Promise<string[]> {
    if (performance.now() < this.#entriesValidUntilMs) return this.#entries
    for (const seed of [...this.#entries, ...this.#seedUrls]) {
      try {
        const response = await undici.request(`${seed}/v1/entries?team=${this.#team}`, { headersTimeout: 1_000 })
        const answer = await response.body.json() as { entries: { url: string }[], timeToLiveSeconds: number }
        if (answer.entries.length === 0) continue
        this.#entries = answer.entries.map(entry => entry.url)
        this.#entriesValidUntilMs = performance.now() + answer.timeToLiveSeconds * 1_000
        return this.#entries
      } catch {
        // Another entry may answer.
      }
    }
    return this.#entries.length > 0 ? this.#entries : this.#seedUrls
  }
}

function refused (status: number, body: string): Pick<CallRecord, 'outcome' | 'stated' | 'status'> {
  const stated = (JSON.parse(body) as { outcome?: string }).outcome ?? ''
  return { outcome: 'refused', stated, status }
}

function readEvent (event: string, progress: { text: string, lastEventId: string }): void {
  for (const line of event.split('\n')) {
    if (line.startsWith('id: ')) progress.lastEventId = line.slice(4)
    if (!line.startsWith('data: ') || line === 'data: [DONE]') continue
    const chunk = JSON.parse(line.slice(6)) as { choices: { delta: { content?: string } }[] }
    progress.text += chunk.choices[0]?.delta.content ?? ''
  }
}
