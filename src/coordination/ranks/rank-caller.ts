/**
 * Calls the agents of other ranks over HTTP.
 */

import * as http from 'node:http'
import * as httpCall from '../../transport/http-call.js'
import * as rankCall from '../../protocol/rank-call.js'

const TIMEOUT_MS = 600
/** The counts of a rank with thousands of experts take about 100 KB. */
const MAX_ANSWER_BYTES = 1024 * 1024

export class RankCaller {
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 4, maxFreeSockets: 1 })

  /** @param address IP address and port of an agent. @returns undefined when the agent does not answer. */
  async call (
    address: string, call: rankCall.RankCall, signal: AbortSignal
  ): Promise<rankCall.RankCallAnswer | undefined> {
    const result = await httpCall.callHttp({
      address,
      method: 'POST',
      path: rankCall.RANK_CALL_PATH,
      body: JSON.stringify(call),
      agent: this.#agent,
      maxBodyBytes: MAX_ANSWER_BYTES,
      timeoutMs: TIMEOUT_MS,
      signal
    })
    return result.kind === 'answer' ? httpCall.parseJson(result.body) as rankCall.RankCallAnswer | undefined : undefined
  }
}
