/**
 * Calls the agents of other ranks over HTTP.
 */

import * as httpCall from '../../transport/http-call.js'
import * as rankCall from '../../protocol/rank-call.js'

const TIMEOUT_MS = 600
/** The counts of a rank with thousands of experts take about 100 KB. */
const MAX_ANSWER_BYTES = 1024 * 1024
/**
 * Bulk calls at the same time. Load pattern: a map or the counts of all ranks of a large group fill the link of the
 * lead's host for half a second, and the datagrams that show that the lead is alive are lost.
 */
const MAX_CALLS = 24

export class RankCaller {
  readonly #agent = httpCall.createKeepAliveAgent({ maxSockets: 4, maxFreeSockets: 1 })
  readonly #lead: () => rankCall.SentRankCall['lead']
  readonly #waiting: (() => void)[] = []
  /** Bulk calls in flight. */
  #calls = 0

  /** @param lead the lead of this process, which each call states. */
  constructor (lead: () => rankCall.SentRankCall['lead']) {
    this.#lead = lead
  }

  /** @param address IP address and port of an agent. @returns undefined when the agent does not answer. */
  async call (
    address: string, call: rankCall.RankCall, signal: AbortSignal, timeoutMs = TIMEOUT_MS
  ): Promise<rankCall.RankCallAnswer | undefined> {
    const release = isBulk(call) ? await this.#take() : () => {}
    const sent: rankCall.SentRankCall = { call, lead: this.#lead() }
    const result = await httpCall.callHttp({
      address,
      method: 'POST',
      path: rankCall.RANK_CALL_PATH,
      body: JSON.stringify(sent),
      agent: this.#agent,
      maxBodyBytes: MAX_ANSWER_BYTES,
      timeoutMs,
      signal
    })
    release()
    return result.kind === 'answer' ? httpCall.parseJson(result.body) as rankCall.RankCallAnswer | undefined : undefined
  }

  /** Waits for a place among the bulk calls. @returns the function that frees the place. */
  async #take (): Promise<() => void> {
    if (this.#calls >= MAX_CALLS) await new Promise<void>(resolve => { this.#waiting.push(resolve) })
    else this.#calls += 1
    return () => {
      const next = this.#waiting.shift()
      // The next call takes over the place of this one.
      if (next === undefined) this.#calls -= 1
      else next()
    }
  }
}

/** Calls with long messages that can wait; orders that a held group waits for don't. */
function isBulk (call: rankCall.RankCall): boolean {
  if (call.kind === 'order') return call.order.kind === 'prepare' || call.order.kind === 'prepare_changes'
  return call.kind === 'counts' || call.kind === 'placed'
}
