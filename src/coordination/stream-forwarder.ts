/**
 * Forwards the streams of an agent's backend server to entries, resumes them, and cancels those that nobody reads.
 */

import type * as http from 'node:http'
import * as streamPromises from 'node:stream/promises'
import type * as environment from './environment.js'
import * as streamStore from './stream-store.js'
import type * as platform from '../protocol/platform.js'
import * as problem from '../protocol/problem.js'
import * as outcomes from '../state/outcome.js'
import type * as backendClient from '../transport/backend-client.js'

export interface StreamForwarder {
  /** Forwards a backend server's stream to the entry. Settles when the backend server has ended it. */
  forward (
    attemptId: string, answer: backendClient.BackendAnswer, response: http.ServerResponse
  ): Promise<'complete' | 'broken'>
  /** Answers with a stream that is held in memory, from its start. @returns false when the stream is not held. */
  forwardHeld (attemptId: string, response: http.ServerResponse, extra: http.OutgoingHttpHeaders): boolean
  /** Answers with the rest of a stream from a byte offset, from memory or from the engine. */
  resume (attemptId: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void>
  /** Whether the rest of a stream may still be fetched. */
  isAwaited (): boolean
}

export interface StreamForwarderParts {
  agentIncarnation: string
  engine: platform.Engine
}

export function createStreamForwarder (
  env: environment.Environment, parts: StreamForwarderParts, signal: AbortSignal
): StreamForwarder {
  const store = streamStore.createStreamStore(env, {
    agentIncarnation: parts.agentIncarnation,
    onAbandoned: attemptId => { parts.engine.cancel(attemptId, signal).catch(() => {}) }
  }, signal)

  return {
    async forward (attemptId, answer, response) {
      response.flushHeaders()
      const ended = store.capture(attemptId, answer.body)
      pipeHeld(attemptId, 0, response)
      return ended
    },
    forwardHeld: (attemptId, response, extra) => pipeHeld(attemptId, 0, response, extra),
    isAwaited: () => store.isAwaited(),
    async resume (attemptId, request, response) {
      const from = Number(new URL(request.url ?? '/', 'http://agent').searchParams.get('from') ?? 0)
      if (!Number.isSafeInteger(from) || from < 0) {
        return refuse(response, 'invalid_request', 400, 'from: expected an offset in bytes')
      }
      if (pipeHeld(attemptId, from, response)) return
      // An earlier process of this agent may have forwarded the stream; the engine still holds it.
      const source = await parts.engine.resume(attemptId, signal)
      if (source === 'not_held') return refuse(response, 'not_found', 404, 'the stream is not held')
      if (source === 'unreachable') return refuse(response, 'backend_unreachable', 503, 'the engine may hold the stream')
      if (pipeHeld(attemptId, from, response)) {
        // Another request has resumed the same stream meanwhile.
        source.destroy()
        return
      }
      store.capture(attemptId, source).catch(() => {})
      pipeHeld(attemptId, from, response)
    }
  }

  function pipeHeld (
    attemptId: string, fromBytes: number, response: http.ServerResponse, extra: http.OutgoingHttpHeaders = {}
  ): boolean {
    const held = store.open(attemptId, fromBytes)
    if (held === undefined) return false
    if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream', ...extra })
    streamPromises.pipeline(held, response).catch(() => response.destroy())
    return true
  }
}

function refuse (
  response: http.ServerResponse, reason: outcomes.RefusalReason, status: number, detail: string
): void {
  problem.sendProblem(response, outcomes.refuse(reason, status, 'may_have_run', detail), 'none')
}
