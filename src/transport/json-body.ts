/**
 * Reads the JSON body of a response of a service, up to a limit.
 *
 * Load pattern: a faulty service sends bytes without end until the caller closes the connection, several hundred
 * megabytes before the timeout of a call.
 */

import type * as stream from 'node:stream'
import * as heldBytes from './held-bytes.js'

/** The largest answers are pages of a table, 1 MB of rows, and the list of several thousand hosts. */
const MAX_JSON_BYTES = 16 * 1024 * 1024

/** @throws when the body is larger than the limit, ends early, or is not JSON. The connection is closed then. */
export async function readJson (body: stream.Readable): Promise<unknown> {
  const held = new heldBytes.HeldBytes()
  for await (const chunk of body as AsyncIterable<Buffer>) {
    held.append(chunk)
    // Leaving the loop destroys the body.
    if (held.sizeBytes > MAX_JSON_BYTES) throw new Error(`the answer exceeds ${MAX_JSON_BYTES} bytes`)
  }
  return JSON.parse(held.concat().toString('utf8'))
}
