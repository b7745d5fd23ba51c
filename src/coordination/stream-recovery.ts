/**
 * Recovers a broken stream: reads the rest of it from the agent or its successor on the same host, or else continues it
 * on another backend server.
 */

import type * as attemptSender from './attempt-sender.js'
import type * as dispatcher from './dispatcher.js'
import type * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as call from '../protocol/call.js'
import * as chat from '../protocol/chat.js'
import * as headers from '../protocol/headers.js'
import type * as streamId from '../protocol/stream-id.js'
import type * as backendClient from '../transport/backend-client.js'

/** Attempt that delivers the events of a stream at present. */
export interface StreamSource {
  server: attemptSender.AgentTarget
  attemptId: string
  answer: backendClient.BackendAnswer
  /** Offset in the attempt's stream at which the answer starts. */
  offsetBytes: number
  /** Whether another backend server continues the stream of an earlier attempt. */
  isContinuation: boolean
  finish: (result: serverTask.AttemptResult) => void
}

export interface BrokenStream {
  source: StreamSource
  /** Offset in the attempt's stream after the last whole event that was relayed. */
  offsetBytes: number
  /** Whole events that were relayed, of all attempts of the request; undefined after a resume by the caller. */
  relayed: readonly Buffer[] | undefined
}

export interface StreamRecovery {
  /** Opens a stream at a position that a caller gives. */
  open (request: call.Call, position: streamId.StreamPosition, signal: AbortSignal): Promise<StreamSource | undefined>
  recover (request: call.Call, broken: BrokenStream, signal: AbortSignal): Promise<StreamSource | undefined>
}

export interface StreamRecoveryParts {
  servers: serverTask.ServerTask
  client: backendClient.BackendClient
  dispatcher: dispatcher.Dispatcher
}

interface SoughtStream {
  server: attemptSender.AgentTarget
  position: streamId.StreamPosition
  waitMs: number
  /** The wait for an engine that its agent can't reach is left to other backend servers. */
  canContinueElsewhere?: boolean
}

/** Time for an agent to restart after a crash before the request is continued on another backend server. */
const SAME_HOST_WAIT_MS = 1_500
/**
 * Further time for the restart when no other backend server continues the request. Home entries drop a silent agent
 * sooner, about 2.5 s after its last report, but the agent's old address is still tried, and an agent process at a new
 * address is found once it has reported.
 */
const ONLY_HOST_WAIT_MS = 10_000
const RETRY_PERIOD_MS = 150
/** Pause before backend servers that are full are asked again to continue a stream. */
const FULL_RETRY_PERIOD_MS = 250
/** Longest gap between two chunks of a resumed stream. */
const RESUME_TIMEOUT_MS = 60_000

export function createStreamRecovery (
  env: environment.Environment, parts: StreamRecoveryParts
): StreamRecovery {
  return {
    async open (request, position, signal) {
      const server = await parts.servers.find(position.agentIncarnation)
      if (server === undefined) return undefined
      const rest = await resume(request, { server, position, waitMs: SAME_HOST_WAIT_MS }, signal)
      if (typeof rest !== 'string') return rest
      // Without another backend server, a caller that starts over is refused.
      const { servers } = await parts.servers.capacity(request.target)
      if (rest === 'gone' || servers > 0) return undefined
      return sourceOf(await resume(request, { server, position, waitMs: ONLY_HOST_WAIT_MS }, signal))
    },
    async recover (request, broken, signal) {
      const { server, attemptId } = broken.source
      const position = { agentIncarnation: server.incarnation, attemptId, offsetBytes: broken.offsetBytes }
      const continued = continuationOf(request, broken)
      let rest = await resume(
        request, { server, position, waitMs: SAME_HOST_WAIT_MS, canContinueElsewhere: continued !== undefined }, signal)
      const untilMs = Math.min(env.nowMs() + ONLY_HOST_WAIT_MS, request.deadlineAtMs)
      while (typeof rest === 'string') {
        const other = continued === undefined ? 'none' : await continueElsewhere(continued, signal)
        if (typeof other !== 'string') return other
        const remainingMs = untilMs - env.nowMs()
        if (other === 'none') {
          return rest === 'gone' ? undefined : sourceOf(await resume(request, { server, position, waitMs: remainingMs }, signal))
        }
        if (signal.aborted || remainingMs <= 0) return undefined
        if (rest === 'gone') await new Promise(resolve => setTimeout(resolve, FULL_RETRY_PERIOD_MS))
        else rest = await resume(request, { server, position, waitMs: FULL_RETRY_PERIOD_MS }, signal)
      }
      return rest
    }
  }

  async function resume (
    request: call.Call, sought: SoughtStream, signal: AbortSignal
  ): Promise<StreamSource | 'gone' | 'unreachable'> {
    const waitMs = Math.min(sought.waitMs, request.deadlineAtMs - env.nowMs())
    const resumed = await openOnHost({ ...sought, waitMs }, signal)
    if (typeof resumed !== 'string') {
      env.log.emit('streamResumed', { requestId: request.requestId, offsetBytes: sought.position.offsetBytes })
    }
    return resumed
  }

  async function openOnHost (
    { server, position, waitMs, canContinueElsewhere = false }: SoughtStream, signal: AbortSignal
  ): Promise<StreamSource | 'gone' | 'unreachable'> {
    const startedAtMs = env.nowMs()
    while (!signal.aborted) {
      // The same host may have a new agent process at another address.
      for (const candidate of [server, ...await parts.servers.findOnHost(server.host)]) {
        const answer = await requestRest(candidate, position, signal)
        if (answer === 'gone') return 'gone'
        if (answer === 'engine_unreachable' && canContinueElsewhere) return 'unreachable'
        if (typeof answer !== 'string') {
          return {
            server: candidate,
            attemptId: position.attemptId,
            answer,
            offsetBytes: position.offsetBytes,
            isContinuation: false,
            finish: () => {}
          }
        }
      }
      if (env.nowMs() - startedAtMs > waitMs) break
      await new Promise(resolve => setTimeout(resolve, RETRY_PERIOD_MS))
    }
    return 'unreachable'
  }

  async function requestRest (
    server: attemptSender.AgentTarget, position: streamId.StreamPosition, signal: AbortSignal
  ): Promise<backendClient.BackendAnswer | 'gone' | 'unreachable' | 'engine_unreachable'> {
    const result = await parts.client.request({
      address: server.address,
      method: 'GET',
      path: `/attempts/${position.attemptId}/stream?from=${position.offsetBytes}`,
      headers: { [headers.agentHeaders.agentIncarnation]: position.agentIncarnation },
      body: undefined,
      timeoutMs: RESUME_TIMEOUT_MS,
      signal
    })
    if (result.kind !== 'answer') return 'unreachable'
    if (result.status === 200) return result
    result.body.resume()
    return result.status === 503 ? 'engine_unreachable' : 'gone'
  }

  /** @returns `full` when backend servers could continue the stream that have no place for it at present. */
  async function continueElsewhere (request: call.Call, signal: AbortSignal): Promise<StreamSource | 'full' | 'none'> {
    const dispatched = await parts.dispatcher.run(request, signal, 'may_have_run')
    if (dispatched.kind === 'refused') {
      return dispatched.reason === 'overloaded' || dispatched.reason === 'draining' ? 'full' : 'none'
    }
    if (!isEventStream(dispatched.answer)) {
      dispatched.answer.body.resume()
      dispatched.finish('failed')
      return 'none'
    }
    env.log.emit('streamContinued', { requestId: request.requestId, agentAddress: dispatched.server.address })
    return { ...dispatched, offsetBytes: 0, isContinuation: true }
  }
}

/** The request for the rest of a stream; undefined when no other backend server may continue it. */
function continuationOf (request: call.Call, broken: BrokenStream): call.Call | undefined {
  if (!request.isRepeatable || broken.relayed === undefined) return undefined
  const body = chat.continueRequest(request.body, chat.readRelayedText(broken.relayed))
  return body === undefined ? undefined : { ...request, body }
}

function sourceOf (resumed: StreamSource | string): StreamSource | undefined {
  return typeof resumed === 'string' ? undefined : resumed
}

function isEventStream (answer: backendClient.BackendAnswer): boolean {
  const contentType = headers.headerValue(answer.headers, 'content-type') ?? ''
  return answer.status === 200 && contentType.startsWith('text/event-stream')
}
