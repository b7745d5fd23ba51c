/**
 * Relays a streamed response event by event. Its progress outlives the attempt: a broken stream continues on another
 * backend server without a new response head.
 */

import type * as http from 'node:http'
import * as eventStream from '../../protocol/event-stream.js'
import * as answerEnd from '../../transport/answer-end.js'
import * as bufferBudget from '../../transport/buffer-budget.js'
import type * as call from './call.js'

/** How much of the stream the client has received. */
export interface StreamProgress {
  hasHead: boolean
  /** Whether the client has more than comments. */
  hasEvents: boolean
  /** Media type of the response head that the client has. */
  mediaType: string | undefined
  lastEventId: number | undefined
  events: number
  firstEventAtMs: number | undefined
  lastEventAtMs: number | undefined
  /** Longest time between two events so far. */
  longestPauseMs: number
}

export interface StreamOptions {
  response: http.ServerResponse
  /** The request that the source answers. */
  request: http.ClientRequest
  progress: StreamProgress
  headers: string[]
  status: number
  nowMs: () => number
  /** Memory that incomplete events share with all responses; the largest one fails when they need more. */
  budget: bufferBudget.BufferBudget
  /** Called after an event was forwarded. @param isProgress false for a comment in a stream that goes on elsewhere. */
  onEvent: (isProgress: boolean) => void
  signal: AbortSignal
}

/** Maximum bytes buffered for a slow client; above it, reading from the backend server is paused. */
const MAX_UNREAD_BYTES = 256 * 1024

/** Whether another attempt can go on where the stream broke off. */
export function canContinue (progress: StreamProgress): boolean {
  return !progress.hasEvents || progress.lastEventId !== undefined
}

/** @returns the reason if a response can't continue the stream whose head the client has. */
export function continuationProblem (response: http.IncomingMessage, progress: StreamProgress): string | undefined {
  if (!progress.hasHead) return undefined
  if (response.statusCode !== 200) return `the stream was continued with status ${response.statusCode}`
  const mediaType = mediaTypeOf(response)
  return mediaType === progress.mediaType ? undefined : `the stream was continued with content of type ${mediaType}`
}

/** Content type without its parameters. */
function mediaTypeOf (response: http.IncomingMessage): string | undefined {
  return response.headers['content-type']?.split(';')[0]!.trim().toLowerCase()
}

/**
 * Relays until the stream ends. One that continues an earlier attempt is complete only if it has brought an event: an
 * empty response does not show that the backend server knows the stream.
 */
export async function relayStream (source: http.IncomingMessage, options: StreamOptions): Promise<call.AttemptOutcome> {
  const { budget, response, progress } = options
  const isContinued = progress.hasHead
  const continuedAfterId = progress.lastEventId
  const splitter = new eventStream.EventSplitter()
  return await new Promise(resolve => {
    const fail = (reason: string): void => {
      source.destroy()
      bufferBudget.close(budget, share)
      resolve({ kind: 'failed', reason })
    }
    const share = bufferBudget.openShare(budget, () => { fail('an event is too large') })
    source.on('data', (chunk: Buffer) => {
      if (options.signal.aborted) return
      const events = splitter.push(chunk)
      if (events === undefined) {
        fail('an event is too large')
        return
      }
      for (const event of events) {
        const problem = forwardEvent(event, options, isContinued, mediaTypeOf(source))
        if (problem !== undefined) {
          fail(problem)
          return
        }
      }
      bufferBudget.resize(budget, share, splitter.takenBytes)
      if (response.writableLength > MAX_UNREAD_BYTES) {
        source.pause()
        response.once('drain', () => { source.resume() })
      }
    })
    // After the end of the connection, aborting the call has no effect on a source that is paused.
    const onAborted = (): void => { fail('the attempt was ended') }
    if (options.signal.aborted) onAborted()
    else options.signal.addEventListener('abort', onAborted, { once: true })
    source.on('error', error => { fail(error.message) })
    source.on('close', () => { fail('the connection was closed') })
    source.on('end', () => {
      options.signal.removeEventListener('abort', onAborted)
      if (options.signal.aborted) fail('the attempt was ended')
      else if (!answerEnd.isWhole(options.request, source)) fail('the stream ended early')
      else if (splitter.hasPartialEvent) fail('the stream ended within an event')
      else if (!progress.hasHead) fail('the stream has no event')
      else if (isContinued && progress.lastEventId === continuedAfterId) fail('the stream has no further event')
      else {
        response.end()
        bufferBudget.close(budget, share)
        resolve({ kind: 'delivered', status: options.status })
      }
    })
  })
}

/** Forwards one event to the client. @returns the reason if it can't follow those already forwarded. */
function forwardEvent (
  event: eventStream.StreamEvent, options: StreamOptions, isContinued: boolean, mediaType: string | undefined
): string | undefined {
  const { progress, response } = options
  // Without an id, nothing shows that the event follows those that the client has.
  if (isContinued && event.id === undefined && event.hasData) return 'an event without an id continues the stream'
  if (event.id !== undefined && progress.lastEventId !== undefined) {
    // A backend server that restarts the stream repeats events that the client already has.
    if (event.id <= progress.lastEventId) return undefined
    if (event.id > progress.lastEventId + 1) return `event ${event.id} follows event ${progress.lastEventId}`
  }
  if (!progress.hasHead) {
    response.writeHead(options.status, options.headers)
    progress.hasHead = true
    progress.mediaType = mediaType
    progress.firstEventAtMs = options.nowMs()
  }
  response.write(event.bytes)
  progress.events += 1
  if (event.hasData || event.id !== undefined) progress.hasEvents = true
  const nowMs = options.nowMs()
  progress.longestPauseMs = Math.max(progress.longestPauseMs, nowMs - (progress.lastEventAtMs ?? nowMs))
  progress.lastEventAtMs = nowMs
  if (event.id !== undefined) progress.lastEventId = event.id
  options.onEvent(!isContinued || event.id !== undefined)
  return undefined
}
