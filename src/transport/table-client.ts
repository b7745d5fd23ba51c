/**
 * Client of the table service, through the DynamoDB JSON API (version 20120810): GetItem, Query and
 * TransactWriteItems. A repeated ClientRequestToken returns the first answer, which distinguishes a lost answer from a
 * conflict.
 */

import * as undici from 'undici'
import type * as platform from '../protocol/platform.js'
import * as jsonBody from './json-body.js'

export interface TableClientOptions {
  /** Base URL of the service. */
  url: string
  tableName: string
  /** Maximum wait for one answer. */
  timeoutMs: number
}

interface Item {
  pk: { S: string }
  sk: { S: string }
  rev: { N: string }
  doc: { S: string }
  /** Expiry in seconds since 1970, for the service's time to live. */
  ttl?: { N: string }
}

interface ApiAnswer {
  status: number
  body: Record<string, unknown>
}

/** Errors by which the service refuses requests beyond its rate limits. */
const THROTTLING_ERRORS = ['ProvisionedThroughputExceededException', 'RequestLimitExceeded', 'ThrottlingException']

export class DynamoTable implements platform.TableService {
  readonly #options: TableClientOptions
  readonly #client: undici.Pool

  constructor (options: TableClientOptions, signal: AbortSignal) {
    this.#options = options
    this.#client = new undici.Pool(options.url, { connections: 8, pipelining: 1 })
    signal.addEventListener('abort', () => { this.#client.destroy().catch(() => {}) }, { once: true })
  }

  async get (key: platform.RowKey, signal: AbortSignal): Promise<platform.TableResult<platform.Row | undefined>> {
    const answer = await this.#call('GetItem', { Key: keyOf(key), ConsistentRead: true }, signal)
    if (answer.kind !== 'ok') return answer
    const item = answer.value.body['Item'] as Item | undefined
    return { kind: 'ok', value: item === undefined ? undefined : toRow(item) }
  }

  async list (
    partition: string, afterSort: string, limit: number, signal: AbortSignal
  ): Promise<platform.TableResult<platform.Row[]>> {
    const answer = await this.#call('Query', {
      KeyConditionExpression: 'pk = :pk AND sk > :sk',
      ExpressionAttributeValues: { ':pk': { S: partition }, ':sk': { S: afterSort } },
      Limit: limit,
      ConsistentRead: true
    }, signal)
    if (answer.kind !== 'ok') return answer
    return { kind: 'ok', value: (answer.value.body['Items'] as Item[]).map(toRow) }
  }

  async transact (
    writes: platform.ConditionalWrite[], operationId: string, signal: AbortSignal
  ): Promise<platform.TransactResult> {
    const answer = await this.#call('TransactWriteItems', {
      ClientRequestToken: operationId,
      TransactItems: writes.map(write => ({ Put: this.#toPut(write) }))
    }, signal, true)
    if (answer.kind === 'unavailable') return { kind: 'unavailable', mayHaveApplied: true, detail: answer.detail }
    if (answer.value.status === 200) return { kind: 'committed' }
    const reasons = answer.value.body['CancellationReasons'] as { Code?: string, Item?: Item }[] | undefined
    return {
      kind: 'conflict',
      current: (reasons ?? []).map(reason => reason.Item === undefined ? undefined : toRow(reason.Item)),
      failed: (reasons ?? []).map(reason => reason.Code === 'ConditionalCheckFailed')
    }
  }

  #toPut (write: platform.ConditionalWrite): Record<string, unknown> {
    const expected = write.expectedRevision
    const item: Item = {
      ...keyOf(write.key),
      rev: { N: String(expected === 'any' ? 1 : expected + 1) },
      doc: { S: JSON.stringify(write.document) },
      ...(write.expiresAtSeconds === undefined ? {} : { ttl: { N: String(write.expiresAtSeconds) } })
    }
    return {
      TableName: this.#options.tableName,
      Item: item,
      ReturnValuesOnConditionCheckFailure: 'ALL_OLD',
      ...conditionOf(expected)
    }
  }

  async #call (
    operation: string, body: Record<string, unknown>, signal: AbortSignal, isConflictAllowed = false
  ): Promise<platform.TableResult<ApiAnswer>> {
    try {
      const response = await this.#client.request({
        path: '/',
        method: 'POST',
        headers: { 'content-type': 'application/x-amz-json-1.0', 'x-amz-target': `DynamoDB_20120810.${operation}` },
        body: JSON.stringify(operation === 'TransactWriteItems' ? body : { TableName: this.#options.tableName, ...body }),
        signal: AbortSignal.any([signal, AbortSignal.timeout(this.#options.timeoutMs)])
      })
      const answer = await jsonBody.readJson(response.body) as Record<string, unknown>
      if (response.statusCode === 200) return { kind: 'ok', value: { status: 200, body: answer } }
      const type = String(answer['__type'] ?? '')
      if (isConflictAllowed && type.endsWith('TransactionCanceledException')) {
        return { kind: 'ok', value: { status: response.statusCode, body: answer } }
      }
      const isThrottled = THROTTLING_ERRORS.some(error => type.endsWith(error))
      return { kind: 'unavailable', detail: `${operation}: status ${response.statusCode} ${type}`, isThrottled }
    } catch (error) {
      return { kind: 'unavailable', detail: `${operation}: ${(error as Error).message}` }
    }
  }
}

function keyOf (key: platform.RowKey): Pick<Item, 'pk' | 'sk'> {
  return { pk: { S: key.partition }, sk: { S: key.sort } }
}

function conditionOf (expected: platform.ConditionalWrite['expectedRevision']): Record<string, unknown> {
  if (expected === 'any') return {}
  if (expected === 0) return { ConditionExpression: 'attribute_not_exists(pk)' }
  return { ConditionExpression: 'rev = :rev', ExpressionAttributeValues: { ':rev': { N: String(expected) } } }
}

function toRow (item: Item): platform.Row {
  return {
    key: { partition: item.pk.S, sort: item.sk.S },
    revision: Number(item.rev.N),
    document: JSON.parse(item.doc.S) as unknown
  }
}
