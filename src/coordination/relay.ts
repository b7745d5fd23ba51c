/**
 * Relays a backend server's answer to the caller.
 */

import type * as http from 'node:http'
import * as streamPromises from 'node:stream/promises'
import type * as environment from './environment.js'
import type * as streamRecovery from './stream-recovery.js'
import type * as call from '../protocol/call.js'
import * as headers from '../protocol/headers.js'
import * as wholeEvents from '../protocol/whole-events.js'
import * as outcomes from '../state/outcome.js'
import * as heldBytes from '../transport/held-bytes.js'
import type * as backendClient from '../transport/backend-client.js'

export type RelayResult =
  | { kind: 'relayed' }
  /** The answer broke off before any part of it was sent to the caller. */
  | { kind: 'broken_unsent', refusal: outcomes.Refusal }
  /** The answer broke off after a part of it was sent to the caller, whose connection was closed to show that. */
  | { kind: 'broken_sent' }
  /** The caller disconnected. */
  | { kind: 'caller_gone' }

/** Opens the source that continues a broken stream; undefined when there is none. */
export type RecoverStream = (broken: streamRecovery.BrokenStream) => Promise<streamRecovery.StreamSource | undefined>

/**
 * Answers that are not streams are buffered until complete up to this size, so that a broken one can be repeated on
 * another backend server.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024
/** Recoveries in a row of which none brought an event. */
const MAX_RECOVERIES = 5
/** Relayed events are kept up to this size, to continue the answer on another backend server. */
const MAX_KEPT_BYTES = 256 * 1024

export async function relayAnswer (
  env: environment.Environment,
  request: call.Call,
  source: streamRecovery.StreamSource,
  response: http.ServerResponse,
  recover: RecoverStream
): Promise<RelayResult> {
  const contentType = headers.headerValue(source.answer.headers, 'content-type') ?? ''
  if (contentType.startsWith('text/event-stream')) return relayStream(env, request, source, response, recover)
  const result = await relayWhole(request, source.answer, response)
  source.finish(result.kind === 'relayed' || result.kind === 'caller_gone' ? 'answered' : 'failed')
  return result
}

async function relayWhole (
  request: call.Call, answer: backendClient.BackendAnswer, response: http.ServerResponse
): Promise<RelayResult> {
  const buffered = new heldBytes.HeldBytes()
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      if (response.destroyed) return { kind: 'caller_gone' }
      if (response.headersSent) {
        if (!response.write(chunk)) await waitForDrainOrClose(response)
        continue
      }
      buffered.append(chunk)
      if (buffered.sizeBytes > MAX_BUFFERED_BYTES) {
        sendHead(request, answer, response)
        for (const piece of buffered.pieces) response.write(piece)
      }
    }
  } catch {
    if (response.headersSent) {
      response.destroy()
      return { kind: 'broken_sent' }
    }
    const refusal = outcomes.refuse('answer_interrupted', 502, 'may_have_run', 'the answer broke off')
    return { kind: 'broken_unsent', refusal }
  }
  if (!response.headersSent) {
    sendHead(request, answer, response, buffered.sizeBytes)
    response.end(buffered.concat())
  } else response.end()
  return { kind: 'relayed' }
}

async function relayStream (
  env: environment.Environment,
  request: call.Call,
  first: streamRecovery.StreamSource,
  response: http.ServerResponse,
  recover: RecoverStream
): Promise<RelayResult> {
  sendHead(request, first.answer, response)
  response.flushHeaders()
  const relayed: Buffer[] | undefined = request.resumeFrom === undefined ? [] : undefined
  let keptBytes = 0
  let source: streamRecovery.StreamSource | undefined = first
  for (let recoveries = 0; source !== undefined && recoveries <= MAX_RECOVERIES;) {
    const current: streamRecovery.StreamSource = source
    let offsetBytes = current.offsetBytes
    const state = await relayEvents(current.answer, response, events => {
      offsetBytes += events.length
      keptBytes += events.length
      if (keptBytes <= MAX_KEPT_BYTES) relayed?.push(events)
    })
    // An empty answer of another backend server does not show that the stream was complete.
    const isComplete = state === 'complete' && !(current.isContinuation && offsetBytes === current.offsetBytes)
    current.finish(isComplete || state === 'caller_gone' ? 'answered' : 'failed')
    if (state === 'caller_gone') return { kind: 'caller_gone' }
    if (isComplete) {
      response.end()
      return { kind: 'relayed' }
    }
    recoveries = offsetBytes > current.offsetBytes ? 0 : recoveries + 1
    source = await recover({
      source: current, offsetBytes, relayed: keptBytes <= MAX_KEPT_BYTES ? relayed : undefined
    })
  }
  env.log.emit('streamBroken', { requestId: request.requestId })
  // A regular end would look like a complete answer.
  response.destroy()
  return { kind: 'broken_sent' }
}

/** Relays whole events only, so that another source can continue after the last one. */
async function relayEvents (
  answer: backendClient.BackendAnswer, response: http.ServerResponse, onEvents: (events: Buffer) => void
): Promise<'complete' | 'broken' | 'caller_gone'> {
  const splitter = new wholeEvents.WholeEvents()
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      if (response.destroyed) return 'caller_gone'
      const whole = splitter.push(chunk)
      if (whole === undefined) return 'broken'
      if (whole.length === 0) continue
      const events = whole.length === 1 ? whole[0]! : Buffer.concat(whole)
      onEvents(events)
      if (!response.write(events)) await waitForDrainOrClose(response)
    }
    return splitter.hasPartialEvent ? 'broken' : 'complete'
  } catch {
    return response.destroyed ? 'caller_gone' : 'broken'
  }
}

function sendHead (
  request: call.Call, answer: backendClient.BackendAnswer, response: http.ServerResponse, sizeBytes?: number
): void {
  response.writeHead(answer.status, {
    ...headers.forwardableHeaders(answer.headers, ['content-length', headers.callerHeaders.requestId]),
    ...(sizeBytes === undefined || request.method === 'HEAD' ? {} : { 'content-length': String(sizeBytes) }),
    [headers.callerHeaders.requestId]: request.requestId,
    [headers.callerHeaders.outcome]: 'completed'
  })
}

async function waitForDrainOrClose (response: http.ServerResponse): Promise<void> {
  if (response.destroyed) return
  const drainedOrClosed = new AbortController()
  const closed = streamPromises.finished(response, { signal: drainedOrClosed.signal, cleanup: true }).catch(() => {})
  await Promise.race([new Promise(resolve => response.once('drain', resolve)), closed])
  drainedOrClosed.abort()
}
