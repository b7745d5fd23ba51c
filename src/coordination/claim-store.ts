/**
 * Claims for keys that callers chose, in the table service. Claims that arrive while a write is in progress are written
 * together in the next transaction (group commit).
 */

import * as crypto from 'node:crypto'
import type * as environment from './environment.js'
import type * as platform from '../protocol/platform.js'
import * as backOff from '../state/back-off.js'
import * as claims from '../state/claim.js'

/** Claims by key; one implementation for keys that callers chose, one for keys that this entry issued. */
export interface ClaimStore {
  read (key: string, signal: AbortSignal): Promise<platform.TableResult<claims.HeldClaim | undefined>>
  write (key: string, write: claims.ClaimWrite): Promise<claims.ClaimWriteResult>
}

/** Writes rows of claims, several in one transaction. */
export interface ClaimWriter {
  write (operation: claims.ClaimOperation): Promise<claims.RowWriteResult>
}

interface PendingWrite {
  write: platform.ConditionalWrite
  settle: (result: claims.RowWriteResult) => void
}

type TransactionResult =
  | { kind: 'committed' }
  | { kind: 'unavailable' }
  /** Rejected without effect, and not because of a condition; the service is available. */
  | { kind: 'busy' }
  | { kind: 'conflict', failed: boolean[], rows: (claims.ClaimRow | undefined)[] }

/** Limit of the DynamoDB API on the items of one transaction. */
const MAX_BATCH_ITEMS = 100
/** A second try under the same operation id distinguishes a lost answer from an outage. */
const MAX_UNANSWERED_TRIES = 2
/** Tries of a transaction that collided with another one, or was throttled. */
const MAX_BUSY_TRIES = 4
const BUSY_BACK_OFF: backOff.BackOff = { baseMs: 10, maxMs: 80 }
/** After an outage is detected, claims are refused at once for this long before the next write tries the service. */
const OUTAGE_PAUSE_MS = 500
const CLAIM_LIFETIME_MS = 24 * 3_600_000
/** Each write carries the claims that arrived meanwhile, so with one at a time its latency limits the write rate. */
const MAX_BATCHES_IN_FLIGHT = 1

export interface ClaimWriterOptions {
  /** 1 writes each claim alone; for measurements. */
  maxBatchItems?: number
  maxBatchesInFlight?: number
  /** Minimum time between the starts of two transactions that are not full. */
  minIntervalMs?: number
}

export function createClaimWriter (
  env: environment.Environment, table: platform.TableService, signal: AbortSignal, options: ClaimWriterOptions = {}
): ClaimWriter {
  const maxBatch = options.maxBatchItems ?? MAX_BATCH_ITEMS
  const maxBatchesInFlight = options.maxBatchesInFlight ?? MAX_BATCHES_IN_FLIGHT
  const minIntervalMs = options.minIntervalMs ?? 0
  const rowsInFlight = new Set<string>()
  let pending: PendingWrite[] = []
  let inFlight = 0
  let startedAtMs = -Infinity
  let timer: NodeJS.Timeout | undefined
  let refuseUntilMs = -Infinity
  signal.addEventListener('abort', () => clearTimeout(timer), { once: true })

  return {
    write ({ key, write: { claim, expectedRevision }, operationId }) {
      if (env.nowMs() < refuseUntilMs) return Promise.resolve({ kind: 'unavailable' })
      return new Promise(resolve => {
        const expiresAtSeconds = Math.ceil((env.wallClockMs() + CLAIM_LIFETIME_MS) / 1000)
        const write = { key: rowKey(key), document: { ...claim, operationId }, expectedRevision, expiresAtSeconds }
        pending.push({ write, settle: resolve })
        // Claims of one turn of the event loop share a transaction.
        setImmediate(startBatches)
      })
    }
  }

  function startBatches (): void {
    while (pending.length > 0 && inFlight < maxBatchesInFlight && !isWaitingForInterval()) {
      const batch = takeBatch()
      if (batch.length === 0) return
      inFlight += 1
      startedAtMs = env.nowMs()
      commit(batch).finally(() => {
        inFlight -= 1
        for (const item of batch) rowsInFlight.delete(item.write.key.partition)
        startBatches()
      })
    }
  }

  /** @returns true when the next transaction waits for more claims to share it. */
  function isWaitingForInterval (): boolean {
    const waitMs = startedAtMs + minIntervalMs - env.nowMs()
    if (waitMs <= 0 || pending.length >= maxBatch) return false
    timer ??= setTimeout(() => {
      timer = undefined
      startBatches()
    }, Math.ceil(waitMs))
    return true
  }

  /** A transaction may name a row only once, and two concurrent ones on a row cancel each other: later writes wait. */
  function takeBatch (): PendingWrite[] {
    const batch: PendingWrite[] = []
    const rest: PendingWrite[] = []
    for (const item of pending) {
      const row = item.write.key.partition
      if (batch.length >= maxBatch || rowsInFlight.has(row)) {
        rest.push(item)
      } else {
        rowsInFlight.add(row)
        batch.push(item)
      }
    }
    pending = rest
    return batch
  }

  async function commit (batch: PendingWrite[]): Promise<void> {
    let rest = batch
    while (rest.length > 0) {
      const result = await transact(rest.map(item => item.write))
      if (result.kind === 'committed') return rest.forEach(item => item.settle({ kind: 'committed' }))
      if (result.kind === 'unavailable') {
        refuseUntilMs = env.nowMs() + OUTAGE_PAUSE_MS
        for (const item of [...rest, ...pending]) item.settle({ kind: 'unavailable' })
        pending = []
        return
      }
      if (result.kind === 'busy') return rest.forEach(item => item.settle({ kind: 'unavailable' }))
      const { failed, rows } = result
      rest.forEach((item, index) => {
        if (failed[index] === true) item.settle({ kind: 'conflict', row: rows[index] })
      })
      rest = rest.filter((_, index) => failed[index] !== true)
    }
  }

  async function transact (writes: platform.ConditionalWrite[]): Promise<TransactionResult> {
    const operationId = crypto.randomUUID()
    let unanswered = 0
    for (let busy = 0; unanswered < MAX_UNANSWERED_TRIES && busy < MAX_BUSY_TRIES;) {
      const result = await table.transact(writes, operationId, signal)
      if (result.kind === 'committed') return result
      if (result.kind === 'unavailable') {
        unanswered += 1
        continue
      }
      if (result.failed.includes(true)) return { kind: 'conflict', rows: result.current.map(parseClaimRow), failed: result.failed }
      busy += 1
      const waitMs = backOff.backOffMs(BUSY_BACK_OFF, busy, env.random())
      await new Promise(resolve => setTimeout(resolve, waitMs))
    }
    return { kind: unanswered < MAX_UNANSWERED_TRIES ? 'busy' : 'unavailable' }
  }
}

/** @param writer writes the claims of this entry, directly or through another entry. */
export function createTableClaimStore (table: platform.TableService, writer: ClaimWriter): ClaimStore {
  return {
    async read (key, callSignal) {
      const answer = await table.get(rowKey(key), callSignal)
      if (answer.kind !== 'ok') return answer
      const row = parseClaimRow(answer.value)
      return { kind: 'ok', value: row === undefined ? undefined : { revision: row.revision, claim: row.claim } }
    },
    async write (key, write) {
      const operationId = crypto.randomUUID()
      return claims.resolveWriteResult(operationId, await writer.write({ key, write, operationId }))
    }
  }
}

function rowKey (key: string): platform.RowKey {
  return { partition: `claim/${key}`, sort: 'claim' }
}

function parseClaimRow (row: platform.Row | undefined): claims.ClaimRow | undefined {
  if (row === undefined) return undefined
  const { operationId, ...claim } = row.document as claims.Claim & { operationId?: string }
  return { revision: row.revision, claim, operationId: operationId ?? '' }
}

/** Row key of a caller's own key; a digest of team and key, so that any characters are allowed. */
export function claimKeyOf (team: string, idempotencyKey: string): string {
  return crypto.createHash('sha256').update(`${team.length}:${team}${idempotencyKey}`).digest('hex')
}
