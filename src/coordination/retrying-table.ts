/**
 * Reads of the table service that wait and try again where its rate limit refuses them. A read of many pages then
 * goes on where it was refused; started anew, each try would add to the load that is over the limit.
 */

import type * as environment from './environment.js'
import type * as platform from '../protocol/platform.js'
import * as backOff from '../state/back-off.js'

const THROTTLED: backOff.BackOff = { baseMs: 200, maxMs: 1_600 }
/**
 * With more refusals in a row, after 2.3 s of waits on average, the read has failed, and its caller tries again at its
 * own, lower rate.
 */
const MAX_REFUSALS = 5

export function createRetryingTable (
  env: Pick<environment.Environment, 'random' | 'metrics'>, table: platform.TableService
): platform.TableService {
  return {
    get: (key, signal) => paced(() => table.get(key, signal), signal),
    list: (partition, afterSort, limit, signal) => paced(() => table.list(partition, afterSort, limit, signal), signal),
    transact: (writes, operationId, signal) => table.transact(writes, operationId, signal)
  }

  async function paced<T> (
    read: () => Promise<platform.TableResult<T>>, signal: AbortSignal
  ): Promise<platform.TableResult<T>> {
    for (let refusals = 1; ; refusals++) {
      const result = await read()
      const isRefused = result.kind === 'unavailable' && result.isThrottled === true
      if (isRefused) env.metrics.count('entry.table_throttled', 1)
      if (!isRefused || refusals > MAX_REFUSALS || signal.aborted) return result
      await new Promise(resolve => setTimeout(resolve, backOff.backOffMs(THROTTLED, refusals, env.random())))
    }
  }
}
