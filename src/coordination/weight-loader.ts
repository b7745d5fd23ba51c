/**
 * Fetches expert weights under the weight store's rate limit: the number of fetches in flight grows by one for each
 * window of successes and is halved on a refusal.
 */

import * as timers from 'node:timers/promises'
import type * as environment from './environment.js'
import type * as platform from '../protocol/platform.js'

export interface WeightLoader {
  /** @returns false when the signal ended the load. */
  load (experts: { layer: number, expert: number }[], signal: AbortSignal): Promise<boolean>
}

const MAX_IN_FLIGHT = 32
const UNAVAILABLE_RETRY_MS = 500

export function createWeightLoader (
  env: environment.Environment, store: platform.WeightStore, model: string
): WeightLoader {
  // Maximum number of fetches in flight; kept between loads, since the store's limit applies to all of them.
  let window = 1
  let pausedUntilMs = 0
  return { load }

  async function load (experts: { layer: number, expert: number }[], signal: AbortSignal): Promise<boolean> {
    const waiting = [...experts]
    let inFlight = 0
    let wake = (): void => {}
    while ((waiting.length > 0 || inFlight > 0) && !signal.aborted) {
      const waitMs = pausedUntilMs - env.nowMs()
      if (waitMs > 0) await timers.setTimeout(waitMs * (1 + env.random() / 2), undefined, { signal }).catch(() => {})
      while (waiting.length > 0 && inFlight < Math.floor(window) && !signal.aborted && pausedUntilMs <= env.nowMs()) {
        const next = waiting.shift()!
        inFlight += 1
        fetchOne(next).then(isFetched => {
          inFlight -= 1
          if (!isFetched) waiting.push(next)
          wake()
        }, () => {})
      }
      if (inFlight > 0) await new Promise<void>(resolve => { wake = resolve })
    }
    return !signal.aborted

    async function fetchOne ({ layer, expert }: { layer: number, expert: number }): Promise<boolean> {
      const result = await store.fetch(model, layer, expert, signal)
      if (result.kind === 'fetched') {
        window = Math.min(MAX_IN_FLIGHT, window + 1 / window)
        return true
      }
      if (result.kind === 'limited') {
        env.log.emit('weightsRefused', { layer, expert, retryAfterMs: result.retryAfterMs })
        window = Math.max(1, window / 2)
      }
      pausedUntilMs = env.nowMs() + (result.kind === 'limited' ? result.retryAfterMs : UNAVAILABLE_RETRY_MS)
      return false
    }
  }
}
