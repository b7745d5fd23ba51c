/**
 * Relays the whole events of a streamed response. Its progress outlives the attempt: a broken stream continues on
 * another backend server without a new response head.
 */

import type * as http from 'node:http'
import * as eventStream from '../../protocol/event-stream.js'
import * as answerEnd from '../../transport/answer-end.js'
import * as bufferBudget from '../../transport/buffer-budget.js'
import * as portionReader from '../../transport/portion-reader.js'
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
  /** Called after events were forwarded. @param isProgress false for comments in a stream that goes on elsewhere. */
  onEvents: (isProgress: boolean) => void
  signal: AbortSignal
}

/** Maximum bytes buffered for a slow client; above it, reading from the backend server is paused. */
const MAX_UNREAD_BYTES = 256 * 1024
/** Events that are forwarded at once; a server that sends more gets further turns, so that others aren't held up. */
const EVENTS_PER_TURN = 64

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
    const end = (outcome: call.AttemptOutcome): void => {
      reader.close()
      bufferBudget.close(budget, share)
      options.signal.removeEventListener('abort', onAborted)
      resolve(outcome)
    }
    const fail = (reason: string): void => {
      source.destroy()
      end({ kind: 'failed', reason })
    }
    const onAborted = (): void => { fail('the attempt was ended') }
    const share = bufferBudget.openShare(budget, () => { fail('an event is too large') })
    const reader = portionReader.readPortions(source, {
      onPortion: bytes => {
        const events = splitter.push(bytes, EVENTS_PER_TURN)
        const problem = events === undefined
          ? 'an event is too large'
          : forwardEvents(events, options, isContinued, mediaTypeOf(source))
        if (problem !== undefined) {
          fail(problem)
          return bytes
        }
        bufferBudget.resize(budget, share, splitter.takenBytes)
        if (response.writableLength > MAX_UNREAD_BYTES) {
          reader.pause()
          response.once('drain', () => { reader.resume() })
        }
        return bytes.subarray(splitter.readBytes)
      },
      onBroken: fail,
      onEnd: () => {
        if (!answerEnd.isWhole(options.request, source)) fail('the stream ended early')
        else if (splitter.hasPartialEvent) fail('the stream ended within an event')
        else if (!progress.hasHead) fail('the stream has no event')
        else if (isContinued && progress.lastEventId === continuedAfterId) fail('the stream has no further event')
        else {
          response.end()
          end({ kind: 'delivered', status: options.status })
        }
      }
    })
    if (options.signal.aborted) onAborted()
    else options.signal.addEventListener('abort', onAborted, { once: true })
  })
}

/**
 * Forwards events to the client, in one write: each write of a small event costs more than all else that is done with
 * it. @returns the reason if one of them can't follow those already forwarded.
 */
function forwardEvents (
  events: eventStream.StreamEvent[], options: StreamOptions, isContinued: boolean, mediaType: string | undefined
): string | undefined {
  const { progress, response } = options
  const pieces: Buffer[] = []
  let isProgress = false
  let problem: string | undefined
  for (const event of events) {
    const follows = followsProgress(event, progress, isContinued)
    if (follows === 'repeats') continue
    if (follows !== 'follows') {
      problem = follows.problem
      break
    }
    pieces.push(event.bytes)
    progress.events += 1
    if (event.hasData || event.id !== undefined) progress.hasEvents = true
    if (event.id !== undefined) progress.lastEventId = event.id
    isProgress ||= !isContinued || event.id !== undefined
  }
  if (pieces.length === 0) return problem
  const nowMs = options.nowMs()
  if (!progress.hasHead) {
    response.writeHead(options.status, options.headers)
    progress.hasHead = true
    progress.mediaType = mediaType
    progress.firstEventAtMs = nowMs
  }
  response.write(pieces.length === 1 ? pieces[0] : Buffer.concat(pieces))
  progress.longestPauseMs = Math.max(progress.longestPauseMs, nowMs - (progress.lastEventAtMs ?? nowMs))
  progress.lastEventAtMs = nowMs
  options.onEvents(isProgress)
  return problem
}

function followsProgress (
  event: eventStream.StreamEvent, progress: StreamProgress, isContinued: boolean
): 'follows' | 'repeats' | { problem: string } {
  // Without an id, nothing shows that the event follows those that the client has.
  if (isContinued && event.id === undefined && event.hasData) {
    return { problem: 'an event without an id continues the stream' }
  }
  if (event.id !== undefined && progress.lastEventId !== undefined) {
    // A backend server that restarts the stream repeats events that the client already has.
    if (event.id <= progress.lastEventId) return 'repeats'
    if (event.id > progress.lastEventId + 1) {
      return { problem: `event ${event.id} follows event ${progress.lastEventId}` }
    }
  }
  return 'follows'
}
