/**
 * Endpoints of the operators' interface beyond templates and teams: planned stops, the audit trail, the entries at
 * which a revision is in force, and explanations of requests.
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import type * as operatorParts from './operator-parts.js'
import * as wire from '../protocol/operator-api.js'
import * as problem from '../protocol/problem.js'
import * as membership from '../state/membership.js'
import * as outcomes from '../state/outcome.js'
import * as stops from '../state/stops.js'
import type * as backendClient from '../transport/backend-client.js'
import * as httpServer from '../transport/http-server.js'

const STOP_PATH = /^\/admin\/v1\/stops\/(host|failure-domain)\/([^/]+)$/
const EXPLAIN_PATH = /^\/admin\/v1\/explain\/([A-Za-z0-9-]{1,64})$/
const MAX_BODY_BYTES = 16 * 1024
const MAX_ANSWER_BYTES = 1024 * 1024
const MAX_NAME_CHARACTERS = 128
const GATHER_TIMEOUT_MS = 1_000

/** Undefined after the request was answered, otherwise its refusal; `unknown_path` when no endpoint matches. */
export type EndpointResult = outcomes.Refusal | undefined | 'unknown_path'

/** Handles the request when its method and path are those of an endpoint here. */
export async function handleEndpoint (
  parts: operatorParts.OperatorParts, nowMs: () => number, request: http.IncomingMessage, response: http.ServerResponse
): Promise<EndpointResult> {
  const url = new URL(request.url ?? '/', 'http://entry')
  const stopPath = STOP_PATH.exec(url.pathname)
  if (stopPath !== null) {
    const scope = stopPath[1] as stops.StopScope
    const name = decodeName(stopPath[2]!)
    if (name === undefined) return invalid(`name: expected 1 to ${MAX_NAME_CHARACTERS} characters`)
    if (request.method === 'PUT') return announceStop(scope, name)
    if (request.method === 'DELETE') return liftStop(scope, name)
  }
  if (request.method !== 'GET') return 'unknown_path'
  if (url.pathname === `${wire.OPERATOR_PREFIX}stops`) return listStops()
  if (url.pathname === `${wire.OPERATOR_PREFIX}changes`) return listChanges()
  if (url.pathname === `${wire.OPERATOR_PREFIX}revisions`) return listInForce()
  const explainPath = EXPLAIN_PATH.exec(url.pathname)
  if (explainPath !== null) return explain(explainPath[1]!)
  return 'unknown_path'

  async function announceStop (scope: stops.StopScope, name: string): Promise<EndpointResult> {
    const body = await httpServer.readBody(request, MAX_BODY_BYTES)
    if (body.kind === 'aborted') return invalid('body: broke off')
    if (body.kind !== 'whole') return httpServer.bodyRefusal(body, MAX_BODY_BYTES)
    const input = parseStopBody(body.body.concat())
    if (input === undefined) return invalid('body: expected JSON with reason (text) and confirmOverload (true or false)')
    const result = await parts.stops.announce({
      scope, name, operator: operatorOf(request), operationId: operationIdOf(request), ...input
    })
    if (result.kind === 'id_reused') return invalid(`${wire.operatorHeaders.operationId}: belongs to another change`, 409)
    if (result.kind === 'overload') {
      return outcomes.refuse('overloaded', 409, 'not_run',
        `the remaining capacity could not carry the load: ${result.detail}`)
    }
    const answer: wire.StopAnswer = {
      stop: result.stop,
      alreadyInForce: result.alreadyInForce,
      hosts: (await hostsOf(result.stop)).map(host => host.host),
      peers: await parts.members.read(members => aliveMembers(members).length)
    }
    if (result.revision !== undefined) answer.revision = result.revision
    problem.sendJson(response, 200, answer)
  }

  async function liftStop (scope: stops.StopScope, name: string): Promise<EndpointResult> {
    const result = await parts.stops.lift({
      scope, name, operator: operatorOf(request), reason: '', operationId: operationIdOf(request)
    })
    if (result.kind === 'not_found') {
      return outcomes.refuse('not_found', 404, 'not_run', `there is no planned stop of ${scope} ${name}`)
    }
    const answer: wire.LiftAnswer = { stops: result.stops }
    problem.sendJson(response, 200, answer)
  }

  async function listStops (): Promise<undefined> {
    const active = parts.stops.all().filter(stop => !stop.lifted)
    const answer: wire.StopListAnswer = {
      stops: await Promise.all(active.map(async stop => ({ ...stop, hosts: await hostsOf(stop) })))
    }
    problem.sendJson(response, 200, answer)
  }

  async function hostsOf (stop: stops.PlannedStop): Promise<wire.StopListAnswer['stops'][number]['hosts']> {
    const [servers, members] = await Promise.all([
      parts.servers.list(), parts.members.read(known => aliveMembers(known).map(member => ({ ...member })))
    ])
    return [
      ...servers.filter(server => stops.coversLocation(stop, server.identity)).map(server => ({
        host: server.identity.host,
        role: 'agent' as const,
        status: server.load.status as string,
        inFlight: server.load.running + server.load.waiting
      })),
      ...members.filter(member => stops.coversLocation(stop, member)).map(member => ({
        host: member.host,
        role: 'entry' as const,
        status: entryStatus(member.isDraining, member.inFlight),
        inFlight: member.inFlight
      })),
      ...[parts.self()].filter(self => stops.coversLocation(stop, self)).map(self => ({
        host: self.host,
        role: 'entry' as const,
        status: entryStatus(self.isDraining, self.inFlight),
        inFlight: self.inFlight
      }))
    ]
  }

  async function listChanges (): Promise<EndpointResult> {
    const after = Number(url.searchParams.get('after') ?? 0)
    if (!Number.isSafeInteger(after) || after < 0) return invalid('after: expected a revision')
    const fromTable = await parts.sync.audit(after)
    const answer: wire.AuditAnswer = fromTable.kind === 'ok'
      ? { source: 'table', changes: fromTable.value }
      : {
          source: 'entry',
          changes: await parts.configuration.read(copy => copy.recent.filter(change => change.revision > after))
        }
    problem.sendJson(response, 200, answer)
  }

  async function listInForce (): Promise<EndpointResult> {
    const revision = Number(url.searchParams.get('at'))
    if (!Number.isSafeInteger(revision) || revision < 1) return invalid('at: expected a revision')
    const ownRevision = await parts.configuration.read(copy => copy.revision)
    const answer: wire.InForceAnswer = { revision, inForce: [], notConfirmed: [] }
    const self = { host: parts.self().host, address: parts.self().address }
    if (ownRevision >= revision) answer.inForce.push(self)
    else answer.notConfirmed.push({ ...self, detail: `has revision ${ownRevision}` })
    await parts.members.read(members => {
      for (const { host, address, ...member } of members.entries.values()) {
        if (member.revision >= revision) answer.inForce.push({ host, address })
        else if (!membership.isAlive({ host, address, ...member }, nowMs())) {
          answer.notConfirmed.push({ host, address, detail: 'does not answer' })
        } else answer.notConfirmed.push({ host, address, detail: `has revision ${member.revision}` })
      }
    })
    problem.sendJson(response, 200, answer)
  }

  async function explain (requestId: string): Promise<EndpointResult> {
    const self = parts.self()
    const answer: wire.ExplainAnswer = {
      requestId,
      records: parts.explain.recordsOf(requestId).map(record => ({ ...record, process: `entry ${self.host}` })),
      unanswered: []
    }
    if (!url.searchParams.has('local')) {
      const peers = await parts.members.read(members => aliveMembers(members).map(member => member.address))
      await Promise.all(peers.map(address => gather(address, `${url.pathname}?local`, `entry ${address}`)))
      const agents = new Set(answer.records.map(record => record.fields['agentAddress'])
        .filter(value => typeof value === 'string'))
      await Promise.all([...agents].map(address =>
        gather(address as string, `/explain/${requestId}`, `agent ${String(address)}`)))
    }
    answer.records.sort((a, b) => a.atMs - b.atMs)
    if (answer.records.length === 0 && answer.unanswered.length === 0) {
      return outcomes.refuse('not_found', 404, 'not_run', `no process holds anything about request ${requestId}`)
    }
    problem.sendJson(response, 200, answer)

    async function gather (address: string, path: string, name: string): Promise<void> {
      const gathered = await readRecords(parts.client, address, path, request.headers.authorization ?? '')
      if (gathered === undefined) answer.unanswered.push(name)
      else answer.records.push(...gathered.records)
    }
  }

  function aliveMembers (members: membership.Membership): membership.EntryMember[] {
    return [...members.entries.values()].filter(member => membership.isAlive(member, nowMs()))
  }
}

function entryStatus (isDraining: boolean, inFlight: number): string {
  if (!isDraining) return 'serving'
  return inFlight > 0 ? 'draining' : 'drained'
}

/** Reads the records that another process holds about a request; undefined without a valid answer. */
async function readRecords (
  client: backendClient.BackendClient, address: string, path: string, authorization: string
): Promise<{ records: wire.ExplainAnswer['records'] } | undefined> {
  const result = await client.request({
    address,
    method: 'GET',
    path,
    headers: { authorization },
    body: undefined,
    timeoutMs: GATHER_TIMEOUT_MS,
    signal: AbortSignal.timeout(GATHER_TIMEOUT_MS)
  })
  if (result.kind !== 'answer') return undefined
  if (result.status === 404) {
    result.body.resume()
    return { records: [] }
  }
  try {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    for await (const chunk of result.body as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length
      if (sizeBytes > MAX_ANSWER_BYTES) return undefined
      chunks.push(chunk)
    }
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as { records: wire.ExplainAnswer['records'] }
  } catch {
    return undefined
  }
}

function parseStopBody (body: Buffer): wire.StopBody | undefined {
  if (body.length === 0) return { reason: '', confirmOverload: false }
  try {
    const input = JSON.parse(body.toString('utf8')) as Partial<wire.StopBody> | null
    const { reason = '', confirmOverload = false } = input ?? {}
    return typeof reason === 'string' && typeof confirmOverload === 'boolean' ? { reason, confirmOverload } : undefined
  } catch {
    return undefined
  }
}

/** Operator named in the request's headers; `unknown` without a valid name. */
export function operatorOf (request: http.IncomingMessage): string {
  const text = String(request.headers[wire.operatorHeaders.operator] ?? 'unknown')
  return decodeName(text) ?? 'unknown'
}

/** Operation id from the request's headers, or a new one. */
export function operationIdOf (request: http.IncomingMessage): string {
  const text = request.headers[wire.operatorHeaders.operationId]
  return typeof text === 'string' && /^[A-Za-z0-9._-]{8,64}$/.test(text) ? text : crypto.randomUUID()
}

function decodeName (text: string): string | undefined {
  try {
    const name = decodeURIComponent(text).normalize()
    // eslint-disable-next-line no-control-regex
    return name === '' || name.length > MAX_NAME_CHARACTERS || /[\u0000-\u001f]/.test(name) ? undefined : name
  } catch {
    return undefined
  }
}

function invalid (detail: string, status = 400): outcomes.Refusal {
  return outcomes.refuse('invalid_request', status, 'not_run', detail)
}
