/**
 * A pool of connections with room for whatever a test opens.
 */

import * as clientPool from '../src/transport/client-pool.js'

export function createRoomyPool (signal: AbortSignal): clientPool.ClientPool {
  return new clientPool.ClientPool(
    { maxConnections: 10_000, ownBytes: 0, sharedBytes: Infinity }, { onGivenUp: () => {}, onUsage: () => {} }, signal
  )
}
