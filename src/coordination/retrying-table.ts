/**
 * Table service whose reads wait and retry when its rate limit throttles them. A read of many pages then continues at
 * the throttled page; if it started again, each try would add to the load that is over the limit.
 */

import type * as environment from './environment.js'
import type * as platform from '../protocol/platform.js'
import * as backOff from '../state/back-off.js'

const THROTTLED_BACK_OFF: backOff.BackOff = { baseMs: 200, maxMs: 1_600 }
/**
 * After these retries, which wait 2.3 s on average, the read fails, and its caller retries at its own, lower rate.
 */
const MAX_RETRIES = 5

export function createRetryingTable (
  env: Pick<environment.Environment, 'random' | 'metrics'>, table: platform.TableService
): platform.TableService {
  return {
    get: (key, signal) => retryThrottled(() => table.get(key, signal), signal),
    list: (partition, afterSort, limit, signal) =>
      retryThrottled(() => table.list(partition, afterSort, limit, signal), signal),
    transact: (writes, operationId, signal) => table.transact(writes, operationId, signal)
  }

  async function retryThrottled<T> (
    read: () => Promise<platform.TableResult<T>>, signal: AbortSignal
  ): Promise<platform.TableResult<T>> {
    for (let tries = 1; ; tries++) {
      const result = await read()
      const isThrottled = result.kind === 'unavailable' && result.isThrottled === true
      if (isThrottled) env.metrics.count('entry.table_throttled', 1)
      if (!isThrottled || tries > MAX_RETRIES || signal.aborted) return result
      await new Promise(resolve => setTimeout(resolve, backOff.backOffMs(THROTTLED_BACK_OFF, tries, env.random())))
    }
  }
}
