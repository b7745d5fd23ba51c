/**
 * Reads a backend server's response completely and checks it before any of it is forwarded.
 */

import type * as http from 'node:http'
import * as answerEnd from '../../transport/answer-end.js'
import * as bufferBudget from '../../transport/buffer-budget.js'
import * as chunkPace from '../../transport/chunk-pace.js'
import * as responseStatus from '../../transport/response-status.js'
import type * as backendLimits from '../../state/backend-limits.js'
import type * as callCodec from '../../protocol/call-codec.js'
import type * as call from './call.js'

export type ReadResult =
  | { kind: 'whole', body: Buffer, framing: call.BodyFraming }
  | { kind: 'incomplete', reason: string }

/** @param budget memory that all responses share; the largest one fails when they need more. */
export async function readWholeResponse (
  request: http.ClientRequest, response: http.IncomingMessage, budget: bufferBudget.BufferBudget
): Promise<ReadResult> {
  return await new Promise(resolve => {
    const buffer = bufferBudget.openBuffer(budget, () => {
      response.destroy(new Error(`the response is too large after ${buffer.body.sizeBytes} bytes`))
    })
    response.on('data', (chunk: Buffer) => { bufferBudget.append(budget, buffer, chunk) })
    chunkPace.paceChunks(response)
    response.on('error', error => { resolve({ kind: 'incomplete', reason: error.message }) })
    response.on('end', () => {
      resolve(answerEnd.isWhole(request, response)
        ? { kind: 'whole', body: buffer.body.concat(), framing: framingOf(response) }
        : { kind: 'incomplete', reason: 'the response ended early' })
    })
    response.on('close', () => {
      bufferBudget.close(budget, buffer)
      resolve({ kind: 'incomplete', reason: 'the connection was closed' })
    })
  })
}

export function framingOf (response: http.IncomingMessage): call.BodyFraming {
  return answerEnd.hasFraming(response) ? 'length' : 'connection_end'
}

/** Whether a response names another request. A backend server may write one once more before its own response. */
export function isOfAnotherRequest (attemptId: string | undefined, head: callCodec.ResponseHead): boolean {
  return head.attemptId !== undefined && head.attemptId !== attemptId
}

/**
 * Checks whether a response belongs to the request and may be forwarded unchanged.
 * @returns the outcome of the attempt when the response may not be forwarded.
 */
export function checkResponse (
  attemptId: string | undefined, status: number, head: callCodec.ResponseHead
): call.AttemptOutcome | undefined {
  if (!responseStatus.isFinal(status)) return { kind: 'failed', reason: `status ${status} is invalid` }
  if (isOfAnotherRequest(attemptId, head)) return { kind: 'failed', reason: 'the response belongs to another request' }
  if (head.isNotRun) {
    return { kind: 'not_run', reason: `status ${status}`, cause: head.isOtherInstance ? 'replaced' : 'declined' }
  }
  if (status >= 200 && status < 300 && !head.isSigned) return { kind: 'failed', reason: 'the response is not signed' }
  // These statuses tell the client that the request has not run, which the backend server did not confirm.
  if ([408, 421, 429, 503].includes(status)) return { kind: 'failed', reason: `status ${status} without a promise` }
  return undefined
}

/**
 * What a response says about the limit of its backend server. A response to another request says nothing. One that is
 * not proven to be the backend server's own, for example because it was spoiled on the way, ends no limit.
 */
export function statedLimit (
  attemptId: string | undefined, head: callCodec.ResponseHead
): backendLimits.StatedLimit {
  const isProven = head.attemptId === attemptId && (head.isSigned || head.isNotRun)
  const isOwn = !isOfAnotherRequest(attemptId, head)
  return isProven || (isOwn && head.limit.kind === 'limit') ? head.limit : { kind: 'unreadable' }
}
