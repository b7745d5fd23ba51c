/**
 * A caller's request after parsing and authentication.
 */

import * as crypto from 'node:crypto'
import * as zod from 'zod'
import * as headers from './headers.js'
import * as streamId from './stream-id.js'
import type * as configuration from '../state/configuration.js'
import * as outcomes from '../state/outcome.js'
import type * as prefixHints from '../state/prefix-hints.js'
import type * as serverView from '../state/server-view.js'

export interface Call {
  requestId: string
  team: configuration.ResolvedTeam
  target: serverView.Served
  method: string
  /** Path and query as the caller sent them. */
  callerPath: string
  /** Path and query for the backend server. */
  backendPath: string
  headers: Record<string, string | string[]>
  body: Buffer
  isStreaming: boolean
  isRepeatable: boolean
  /** 0 is the most urgent. */
  priority: number
  deadlineAtMs: number
  idempotencyKey: string | undefined
  /** Hash of team, service, method, path and body: a repeated request has the same fingerprint. */
  fingerprint: string
  /** Prefixes of the prompt, one for each message up to a maximum number, shortest first. */
  prefixes: prefixHints.PromptPrefix[]
  resumeFrom: streamId.StreamPosition | undefined
  /** Longest completion that the caller asks for; undefined when it sets none, and for plain services. */
  maxTokens: number | undefined
}

export interface RawCall {
  requestId: string
  method: string
  /** Path and query. */
  url: string
  headers: headers.HeaderMap
  body: Buffer
}

export type ParseResult = { kind: 'call', call: Call } | outcomes.Refusal

export const CHAT_PATH = '/v1/chat/completions'
export const SERVICE_PREFIX = '/services/'

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const MAX_KEY_CHARACTERS = 256
const MAX_TIMEOUT_MS = 3_600_000
const MAX_PREFIXES = 8

const chatSchema = zod.looseObject({
  model: zod.string().min(1),
  messages: zod.array(zod.looseObject({ role: zod.string() })).min(1),
  stream: zod.boolean().nullish()
})

/** Parses a caller's request; a refusal names the invalid field. */
export function parseCall (raw: RawCall, team: configuration.ResolvedTeam, nowMs: number): ParseResult {
  const target = raw.url.startsWith(SERVICE_PREFIX) ? parsePlain(raw) : parseChat(raw)
  if (target.kind === 'refused') return target
  const service = team.services.get(target.served.name)
  if (service === undefined || service.kind !== target.served.kind) {
    const reason = target.served.kind === 'model' ? 'unknown_model' : 'unknown_service'
    return outcomes.refuse(reason, 404, 'not_run',
      `team ${team.name} has no ${target.served.kind} service ${target.served.name}`)
  }
  const timeoutHeader = headers.headerValue(raw.headers, headers.callerHeaders.requestTimeoutMs)
  const timeoutMs = parseTimeout(timeoutHeader, service.timeoutMs)
  if (typeof timeoutMs !== 'number') return timeoutMs
  const idempotencyKey = headers.headerValue(raw.headers, headers.callerHeaders.idempotencyKey)
  if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > MAX_KEY_CHARACTERS)) {
    return invalid(`${headers.callerHeaders.idempotencyKey}: expected 1 to ${MAX_KEY_CHARACTERS} characters`)
  }
  const lastEventId = headers.headerValue(raw.headers, headers.callerHeaders.lastEventId)
  const resumeFrom = lastEventId === undefined ? undefined : streamId.parseStreamId(lastEventId)
  if (lastEventId !== undefined && resumeFrom === undefined) {
    return invalid(`${headers.callerHeaders.lastEventId}: expected an id of an earlier stream`)
  }
  return {
    kind: 'call',
    call: {
      requestId: raw.requestId,
      team,
      target: target.served,
      method: raw.method,
      callerPath: raw.url,
      backendPath: target.backendPath,
      headers: headers.forwardableHeaders(raw.headers, ['authorization', 'content-length']),
      // Engines read the scheduling priority from a field of the request; a lower number is scheduled first.
      body: target.document === undefined
        ? raw.body
        : Buffer.from(JSON.stringify({ ...target.document, priority: service.priority })),
      isStreaming: target.isStreaming,
      isRepeatable: service.repeatable || SAFE_METHODS.has(raw.method),
      priority: service.priority,
      deadlineAtMs: nowMs + timeoutMs,
      idempotencyKey,
      fingerprint: fingerprintOf(team.name, target.served.name, raw.method, target.backendPath, raw.body),
      prefixes: target.prefixes,
      resumeFrom,
      maxTokens: target.maxTokens
    }
  }
}

/** Whether an earlier request with the same key, or the stream to resume, may have run through another entry. */
export function mayHaveRunBefore (request: Call): boolean {
  return request.resumeFrom !== undefined || (request.idempotencyKey !== undefined && !request.isRepeatable)
}

interface ParsedTarget {
  kind: 'target'
  served: serverView.Served
  backendPath: string
  isStreaming: boolean
  /** Parsed body of a chat completion. */
  document: Record<string, unknown> | undefined
  prefixes: prefixHints.PromptPrefix[]
  maxTokens: number | undefined
}

function parsePlain (raw: RawCall): ParsedTarget | outcomes.Refusal {
  const rest = raw.url.slice(SERVICE_PREFIX.length)
  const end = rest.search(/[/?]/)
  const name = end < 0 ? rest : rest.slice(0, end)
  if (!/^[a-z0-9][a-z0-9-]{0,62}$/.test(name)) return invalid('path: expected /services/{service}/…')
  const remainder = end < 0 ? '/' : rest.slice(end)
  const backendPath = remainder.startsWith('/') ? remainder : `/${remainder}`
  const served = { kind: 'plain' as const, name }
  return { kind: 'target', served, backendPath, isStreaming: false, document: undefined, prefixes: [], maxTokens: undefined }
}

function parseChat (raw: RawCall): ParsedTarget | outcomes.Refusal {
  if (raw.method !== 'POST') return invalid(`method: ${CHAT_PATH} takes POST`, 405)
  let document: unknown
  try {
    document = JSON.parse(raw.body.toString('utf8'))
  } catch {
    return invalid('body: expected JSON')
  }
  const parsed = chatSchema.safeParse(document)
  if (!parsed.success) {
    const problems = parsed.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    return invalid(problems.join('; '))
  }
  return {
    kind: 'target',
    served: { kind: 'model', name: parsed.data.model },
    backendPath: CHAT_PATH,
    isStreaming: parsed.data.stream === true,
    document: parsed.data,
    prefixes: prefixesOf(parsed.data.model, parsed.data.messages),
    maxTokens: maxTokensOf(parsed.data)
  }
}

function maxTokensOf (document: Record<string, unknown>): number | undefined {
  return [document['max_completion_tokens'], document['max_tokens']]
    .find((value): value is number => Number.isSafeInteger(value) && (value as number) > 0)
}

/** Each prefix extends the one before it by a message, as in a conversation. */
function prefixesOf (model: string, messages: readonly object[]): prefixHints.PromptPrefix[] {
  const texts = messages.map(message => JSON.stringify(message))
  const characters = texts.reduce((sum, text) => sum + text.length, 0)
  const result: prefixHints.PromptPrefix[] = []
  let digest = model
  let end = 0
  for (const text of texts.slice(0, MAX_PREFIXES)) {
    digest = fingerprintOf(digest, text)
    end += text.length
    result.push({ digest, share: end / characters })
  }
  return result
}

function parseTimeout (text: string | undefined, defaultMs: number): number | outcomes.Refusal {
  if (text === undefined) return defaultMs
  const valueMs = Number(text)
  if (!/^\d+$/.test(text) || valueMs < 1 || valueMs > MAX_TIMEOUT_MS) {
    return invalid(`${headers.callerHeaders.requestTimeoutMs}: expected whole milliseconds from 1 to ${MAX_TIMEOUT_MS}`)
  }
  return valueMs
}

function invalid (detail: string, status = 400): outcomes.Refusal {
  return outcomes.refuse('invalid_request', status, 'not_run', detail)
}

function fingerprintOf (...parts: (string | Buffer)[]): string {
  const hash = crypto.createHash('sha256')
  for (const part of parts) hash.update(`${part.length}:`).update(part)
  return hash.digest('hex').slice(0, 32)
}
