/**
 * Problem details (RFC 9457) for requests without a response of a backend server.
 */

import type * as http from 'node:http'
import type * as stream from 'node:stream'
import * as zod from 'zod'
import type * as outcomes from '../state/outcome.js'
import * as headers from './headers.js'

export interface ProblemDetails {
  type: string
  title: string
  status: number
  detail: string
  outcome: outcomes.Outcome
  reason: outcomes.RefusalReason
  requestId: string
  /** Present when a retry may succeed. */
  retryAfterMs?: number
}

export function toProblem (refusal: outcomes.Refusal, requestId: string): ProblemDetails {
  const problem: ProblemDetails = {
    type: `urn:bulrushroute:problem:${refusal.reason}`,
    title: refusal.reason.replaceAll('_', ' '),
    status: refusal.status,
    detail: refusal.detail,
    outcome: refusal.outcome,
    reason: refusal.reason,
    requestId
  }
  if (refusal.retryAfterMs !== undefined) problem.retryAfterMs = refusal.retryAfterMs
  return problem
}

const problemSchema = zod.object({
  status: zod.int().min(400).max(599),
  detail: zod.string(),
  outcome: zod.enum(['not_run', 'may_have_run']),
  reason: zod.string(),
  retryAfterMs: zod.number().optional()
})

const MAX_PROBLEM_BYTES = 64 * 1024

/** Reads problem details that another entry sent. @returns undefined when they are invalid or too large. */
export async function readProblem (body: stream.Readable): Promise<outcomes.Refusal | undefined> {
  let text = ''
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      text += chunk.toString('utf8')
      if (text.length > MAX_PROBLEM_BYTES) return undefined
    }
    const { reason, retryAfterMs, ...rest } = problemSchema.parse(JSON.parse(text))
    return {
      kind: 'refused',
      ...rest,
      reason: reason as outcomes.RefusalReason,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs })
    }
  } catch {
    return undefined
  }
}

/** Sends a refusal as the whole response. Has no effect once a response has begun. */
export function sendProblem (response: http.ServerResponse, refusal: outcomes.Refusal, requestId: string): void {
  if (response.headersSent || response.destroyed) return
  const body = Buffer.from(JSON.stringify(toProblem(refusal, requestId)))
  response.writeHead(refusal.status, {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    [headers.callerHeaders.requestId]: requestId,
    [headers.callerHeaders.outcome]: refusal.outcome,
    [headers.callerHeaders.reason]: refusal.reason,
    // What comes of a body after the refusal is not read.
    ...(refusal.status === 408 ? { connection: 'close' } : {}),
    // The header is in whole seconds; rounding up keeps callers from retrying too early.
    ...(refusal.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(refusal.retryAfterMs / 1000)) })
  })
  response.end(body)
}

/** Sends a JSON document as the whole response. Has no effect once a response has begun. */
export function sendJson (
  response: http.ServerResponse, status: number, document: unknown, extra: http.OutgoingHttpHeaders = {}
): void {
  if (response.headersSent || response.destroyed) return
  const body = Buffer.from(JSON.stringify(document))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...extra })
  response.end(body)
}
