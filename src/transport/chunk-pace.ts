/**
 * Paces responses that bring very many small chunks.
 *
 * Load pattern: a faulty server sends a body without end in chunks of a byte. Node parses all that was read of a
 * connection at once, at a cost for each chunk, so that a few such connections take up the whole process. They are read
 * one after the other, with a turn of the event loop between them, in which others are served.
 */

import type * as http from 'node:http'

/** What is paced: a response, or a stand-in of one in tests. */
export interface PacedResponse {
  socket: Pick<http.IncomingMessage['socket'], 'pause' | 'resume'>
  on: (event: 'data', listener: () => void) => unknown
}

/** A connection that has brought so many chunks is read on only when it is its turn. */
const CHUNKS_PER_TURN = 1_000

const waiting: (() => void)[] = []
let isScheduled = false

/** Must be called where the response gets its consumer, since it is read from then on. */
export function paceChunks (response: PacedResponse): void {
  let chunks = 0
  let isWaiting = false
  const resume = (): void => {
    chunks = 0
    isWaiting = false
    response.socket.resume()
  }
  response.on('data', () => {
    chunks += 1
    if (chunks < CHUNKS_PER_TURN || isWaiting) return
    isWaiting = true
    // A paused response would keep its chunks, which take a hundred times their size. Its connection keeps what is not
    // parsed yet; Node resumes it after each parsed piece, so that it can be paused only then.
    process.nextTick(() => { response.socket.pause() })
    waiting.push(resume)
    schedule()
  })
}

function schedule (): void {
  if (isScheduled) return
  isScheduled = true
  setImmediate(() => {
    isScheduled = false
    waiting.shift()!()
    if (waiting.length > 0) schedule()
  })
}
