/**
 * Stand-in for the table service: GetItem, Query and TransactWriteItems of the DynamoDB JSON API, in memory.
 */

import type * as http from 'node:http'
import * as jsonServer from './json-server.js'
import * as throughputLimit from './throughput-limit.js'

type Item = Record<string, { S?: string, N?: string }>

interface Put {
  Item: Item
  ConditionExpression?: string
  ExpressionAttributeValues?: Record<string, { N?: string }>
}

export interface TableFaults {
  /** `down`: connections are closed without an answer. */
  mode: 'up' | 'down'
  delayMs: number
  /** Number of transactions, from the next one on, that take effect but are not answered. */
  lostAnswers: number
  /** Number of transactions, from the next one on, that are refused with the error `refusal` and have no effect. */
  refusals: number
  /**
   * Error of refused transactions. TransactionConflict (a concurrent transaction) and ThrottlingError are reported for
   * the first row, ThrottlingException for the whole transaction.
   */
  refusal: 'TransactionConflict' | 'ThrottlingError' | 'ThrottlingException'
  /** How far the service's clock runs ahead, which makes it remove expiring rows early. */
  clockAheadMs: number
  /** Rate limit; requests beyond it are answered with the throttling error. 0 sets no limit. */
  readsPerSecond: number
  /** Rate limit of transactions, as for reads. */
  writesPerSecond: number
}

export interface TableCounts {
  reads: number
  /** Reads that list rows; also counted in `reads`. */
  queries: number
  writes: number
  /** Requests answered with the throttling error. */
  throttled: number
  /** Requests closed without an answer while the service was down. */
  cut: number
}

const MAX_TRANSACTION_ITEMS = 100

export class TableStandin {
  readonly faults: TableFaults = {
    mode: 'up',
    delayMs: 0,
    lostAnswers: 0,
    refusals: 0,
    refusal: 'TransactionConflict',
    clockAheadMs: 0,
    readsPerSecond: 0,
    writesPerSecond: 0
  }

  readonly counts: TableCounts = { reads: 0, queries: 0, writes: 0, throttled: 0, cut: 0 }
  readonly #readLimit = new throughputLimit.ThroughputLimit()
  readonly #writeLimit = new throughputLimit.ThroughputLimit()
  readonly #rows = new Map<string, Map<string, Item>>()
  readonly #answers = new Map<string, { status: number, body: unknown }>()

  async handle (request: jsonServer.JsonRequest, response: http.ServerResponse): Promise<void> {
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.mode === 'down') {
      this.counts.cut += 1
      response.destroy()
      return
    }
    const operation = String(request.headers['x-amz-target'] ?? '').split('.')[1]
    const input = JSON.parse(request.body.toString('utf8')) as Record<string, unknown>
    if (!this.#isWithinLimit(operation)) {
      this.counts.throttled += 1
      return jsonServer.sendJson(response, 400, throughputLimit.THROTTLING_RESPONSE)
    }
    if (operation === 'GetItem') return this.#getItem(input, response)
    if (operation === 'Query') return this.#query(input, response)
    if (operation === 'TransactWriteItems') return this.#transact(input, response)
    jsonServer.sendJson(response, 400, { __type: 'com.amazonaws.dynamodb.v20120810#UnknownOperationException' })
  }

  #isWithinLimit (operation: string | undefined): boolean {
    return operation === 'TransactWriteItems'
      ? this.#writeLimit.tryAcquire(this.faults.writesPerSecond, performance.now())
      : this.#readLimit.tryAcquire(this.faults.readsPerSecond, performance.now())
  }

  #getItem (input: Record<string, unknown>, response: http.ServerResponse): void {
    this.counts.reads += 1
    const key = input['Key'] as Item
    const item = this.#find(key)
    jsonServer.sendJson(response, 200, item === undefined ? {} : { Item: item })
  }

  #query (input: Record<string, unknown>, response: http.ServerResponse): void {
    this.counts.reads += 1
    this.counts.queries += 1
    const values = input['ExpressionAttributeValues'] as Record<string, { S: string }>
    const partition = this.#rows.get(values[':pk']!.S) ?? new Map<string, Item>()
    const items = [...partition.entries()]
      .filter(([sort]) => sort > values[':sk']!.S)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .slice(0, Number(input['Limit'] ?? 1000))
      .map(([, item]) => item)
    jsonServer.sendJson(response, 200, { Items: items, Count: items.length })
  }

  #transact (input: Record<string, unknown>, response: http.ServerResponse): void {
    this.counts.writes += 1
    const items = input['TransactItems'] as { Put: Put }[]
    const rows = new Set(items.map(({ Put: put }) => JSON.stringify([put.Item['pk'], put.Item['sk']])))
    // Like the real service, refuses a transaction that is too large or contains a row twice.
    if (items.length > MAX_TRANSACTION_ITEMS || rows.size < items.length) {
      return jsonServer.sendJson(response, 400, { __type: 'com.amazon.coral.validate#ValidationException' })
    }
    if (this.faults.refusals > 0) {
      this.faults.refusals -= 1
      return jsonServer.sendJson(response, 400, refusalBody(this.faults.refusal, items.length))
    }
    const token = String(input['ClientRequestToken'])
    let answer = this.#answers.get(token)
    if (answer === undefined) {
      answer = this.#apply(items.map(entry => entry.Put))
      // Only successes are stored: a cancelled transaction may be retried with the same token.
      if (answer.status === 200) this.#answers.set(token, answer)
    }
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1
      response.destroy()
      return
    }
    jsonServer.sendJson(response, answer.status, answer.body)
  }

  #find (key: Item): Item | undefined {
    const partition = this.#rows.get(key['pk']!.S!)
    const item = partition?.get(key['sk']!.S!)
    const expiresAtSeconds = Number(item?.['ttl']?.N ?? Infinity)
    if (expiresAtSeconds * 1_000 > Date.now() + this.faults.clockAheadMs) return item
    partition?.delete(key['sk']!.S!)
    return undefined
  }

  #apply (puts: Put[]): { status: number, body: unknown } {
    const reasons = puts.map(put => {
      const existing = this.#find(put.Item)
      if (conditionHolds(put, existing)) return { Code: 'None' }
      return { Code: 'ConditionalCheckFailed', ...(existing === undefined ? {} : { Item: existing }) }
    })
    if (reasons.some(reason => reason.Code !== 'None')) {
      return {
        status: 400,
        body: { __type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException', CancellationReasons: reasons }
      }
    }
    for (const put of puts) {
      const partition = put.Item['pk']!.S!
      if (!this.#rows.has(partition)) this.#rows.set(partition, new Map())
      this.#rows.get(partition)!.set(put.Item['sk']!.S!, put.Item)
    }
    return { status: 200, body: {} }
  }
}

function refusalBody (code: TableFaults['refusal'], items: number): unknown {
  if (code === 'ThrottlingException') return { __type: `com.amazonaws.dynamodb.v20120810#${code}` }
  return {
    __type: 'com.amazonaws.dynamodb.v20120810#TransactionCanceledException',
    CancellationReasons: Array.from({ length: items }, (_, index) => ({ Code: index === 0 ? code : 'None' }))
  }
}

function conditionHolds (put: Put, existing: Item | undefined): boolean {
  if (put.ConditionExpression === undefined) return true
  if (put.ConditionExpression.startsWith('attribute_not_exists')) return existing === undefined
  return existing?.['rev']?.N === put.ExpressionAttributeValues?.[':rev']?.N
}
