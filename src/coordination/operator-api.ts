/**
 * Operators' interface of an entry, as JSON over HTTP: templates, teams and status. operator-endpoints.ts serves the
 * other paths.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import type * as operatorParts from './operator-parts.js'
import * as operatorEndpoints from './operator-endpoints.js'
import * as wire from '../protocol/operator-api.js'
import * as problem from '../protocol/problem.js'
import * as configuration from '../state/configuration.js'
import * as outcomes from '../state/outcome.js'
import * as httpServer from '../transport/http-server.js'

export interface OperatorApi {
  handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void>
}

const MAX_DOCUMENT_BYTES = 256 * 1024
const RETRY_AFTER_MS = 2_000
const ENTITY_PATH = /^\/admin\/v1\/(templates|teams)\/([a-z0-9][a-z0-9-]{0,62})(\/validate)?$/
const LIST_PATH = /^\/admin\/v1\/(templates|teams)$/

export function createOperatorApi (parts: operatorParts.OperatorParts, nowMs: () => number): OperatorApi {
  return { handle }

  async function handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const requestId = crypto.randomUUID()
    const refusal = isOperator(request)
      ? await route(request, response)
      : outcomes.refuse('unauthenticated', 401, 'not_run', 'authorization: expected Bearer and the operators\' key')
    if (refusal === undefined) return
    request.resume()
    problem.sendProblem(response, refusal, requestId)
  }

  function isOperator (request: http.IncomingMessage): boolean {
    const match = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')
    const digest = crypto.createHash('sha256').update(match?.[1] ?? '').digest()
    return match !== null && crypto.timingSafeEqual(digest, parts.operatorKeyDigest)
  }

  async function route (
    request: http.IncomingMessage, response: http.ServerResponse
  ): Promise<outcomes.Refusal | undefined> {
    const path = (request.url ?? '').split('?')[0]!
    const entity = ENTITY_PATH.exec(path)
    if (entity !== null) {
      const kind = entity[1] === 'templates' ? 'template' : 'team'
      const isValidation = entity[3] !== undefined
      if (request.method === 'POST' && isValidation) return validateEntity(kind, entity[2]!, request, response)
      if (request.method === 'GET' && !isValidation) return readEntity(kind, entity[2]!, response)
      if (request.method === 'PUT' && !isValidation) return writeEntity(kind, entity[2]!, request, response)
    }
    const list = LIST_PATH.exec(path)
    if (list !== null && request.method === 'GET') return listEntities(list[1] === 'templates' ? 'template' : 'team', response)
    if (path === `${wire.OPERATOR_PREFIX}status` && request.method === 'GET') return readStatus(response)
    const result = await operatorEndpoints.handleEndpoint(parts, nowMs, request, response)
    if (result !== 'unknown_path') return result
    return outcomes.refuse('not_found', 404, 'not_run', `path: there is no ${request.method} ${path}`)
  }

  async function readEntity (
    kind: 'template' | 'team', name: string, response: http.ServerResponse
  ): Promise<outcomes.Refusal | undefined> {
    const entity = await parts.configuration.read(copy => copy.entities.get(configuration.entityId(kind, name)))
    if (entity === undefined) return outcomes.refuse('not_found', 404, 'not_run', `there is no ${kind} ${name}`)
    const { revision, document } = entity
    problem.sendJson(response, 200, { revision, document } satisfies wire.EntityAnswer, { etag: `"${revision}"` })
  }

  async function listEntities (kind: 'template' | 'team', response: http.ServerResponse): Promise<undefined> {
    const answer: wire.EntityListAnswer = await parts.configuration.read(copy => ({
      revision: copy.revision,
      entities: [...copy.entities.values()]
        .filter(entity => entity.change.entityKind === kind)
        .map(entity => ({ name: entity.change.entityName, revision: entity.revision }))
        .sort((a, b) => (a.name < b.name ? -1 : 1))
    }))
    problem.sendJson(response, 200, answer)
  }

  async function validateEntity (
    kind: 'template' | 'team', name: string, request: http.IncomingMessage, response: http.ServerResponse
  ): Promise<outcomes.Refusal | undefined> {
    const validated = await readDocument(kind, name, request)
    if (validated.kind === 'refused') return validated
    const answer: wire.ValidationAnswer = validated.kind === 'valid'
      ? { valid: true, problems: [] }
      : { valid: false, problems: validated.problems }
    problem.sendJson(response, 200, answer)
  }

  async function readDocument (
    kind: 'template' | 'team', name: string, request: http.IncomingMessage
  ): Promise<configuration.ValidationResult | outcomes.Refusal> {
    const body = await httpServer.readBody(request, MAX_DOCUMENT_BYTES)
    if (body.kind === 'aborted') return outcomes.refuse('invalid_request', 400, 'not_run', 'body: broke off')
    if (body.kind !== 'whole') return httpServer.bodyRefusal(body, MAX_DOCUMENT_BYTES)
    const document = parseJson(body.body.concat())
    if (document.kind === 'invalid') return outcomes.refuse('invalid_request', 400, 'not_run', 'body: expected JSON')
    return parts.configuration.read(copy => configuration.validateDocument(kind, name, document.value, copy))
  }

  async function writeEntity (
    kind: 'template' | 'team', name: string, request: http.IncomingMessage, response: http.ServerResponse
  ): Promise<outcomes.Refusal | undefined> {
    const expected = /^"?(\d{1,15})"?$/.exec(request.headers['if-match'] ?? '')
    if (expected === null) {
      return outcomes.refuse('invalid_request', 428, 'not_run',
        'if-match: expected the revision that you saw, 0 for a new one')
    }
    const validated = await readDocument(kind, name, request)
    if (validated.kind === 'refused') return validated
    if (validated.kind === 'invalid') {
      return outcomes.refuse('invalid_request', 422, 'not_run', validated.problems.join('; '))
    }
    const result = await parts.sync.submit({
      entityKind: kind,
      entityName: name,
      expectedRevision: Number(expected[1]),
      document: validated.document,
      operator: operatorEndpoints.operatorOf(request),
      operationId: operatorEndpoints.operationIdOf(request)
    })
    if (result.kind === 'accepted') {
      problem.sendJson(response, 200, { revision: result.change.revision } satisfies wire.AcceptedAnswer)
    } else if (result.kind === 'id_reused' || result.kind === 'refused') {
      return outcomes.refuse('conflict', 409, 'not_run', `${wire.operatorHeaders.operationId}: belongs to another change`)
    } else if (result.kind === 'conflict') {
      problem.sendJson(response, 412, {
        reason: 'conflict',
        expectedRevision: Number(expected[1]),
        currentRevision: result.current?.revision ?? 0,
        current: result.current?.document,
        yours: validated.document
      } satisfies wire.ConflictAnswer)
    } else {
      return outcomes.refuse('claim_unavailable', 503, result.mayHaveApplied ? 'may_have_run' : 'not_run',
        `the table service does not answer: ${result.detail}`, RETRY_AFTER_MS)
    }
  }

  async function readStatus (response: http.ServerResponse): Promise<undefined> {
    const [revision, servers, entries] = await Promise.all([
      parts.configuration.read(copy => copy.revision),
      parts.servers.list(),
      parts.members.read(members => [...members.entries.values()])
    ])
    problem.sendJson(response, 200, {
      revision,
      self: parts.self(),
      stops: parts.stops.all().filter(stop => !stop.lifted),
      confirmedAgeMs: parts.sync.confirmedAgeMs(),
      tableAvailable: parts.sync.isTableAvailable(),
      servers: servers.map(server => ({ ...server, homes: parts.countHomes(server.identity.incarnation) })),
      entries
    })
  }
}

type JsonResult = { kind: 'ok', value: unknown } | { kind: 'invalid' }

function parseJson (body: Buffer): JsonResult {
  try {
    return { kind: 'ok', value: JSON.parse(body.toString('utf8')) as unknown }
  } catch {
    return { kind: 'invalid' }
  }
}
