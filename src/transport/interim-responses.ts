/**
 * Bound on the interim responses (status 1xx) to a request. The HTTP client reads on as long as they come, so that a
 * server which sends nothing else holds up all other connections.
 */

import type * as http from 'node:http'

/** Servers send one or two. */
const MAX_INTERIM_RESPONSES = 32

/** Ends a request that gets more. */
export function limitInterim (request: http.ClientRequest): void {
  let count = 0
  request.on('information', () => {
    count += 1
    if (count > MAX_INTERIM_RESPONSES) request.destroy(new Error('too many interim responses'))
  })
}
