/**
 * What is known of backend servers whose rows are gone. A row lapses when its backend server misses three heartbeats,
 * and returns when the store answers it again. Load pattern: a server asks for a pause of seconds, its row lapses and
 * returns within them, and each entry sends it the requests that it had asked not to get.
 */

import * as backendInstance from './backend-instance.js'

/** What is known of an instance. */
interface Retirable {
  row: Row
  /** Until when it wants no requests. */
  pausedUntilMs: number
}

interface Row extends backendInstance.InstanceId {
  address: string
}

/** By id and start of the instance. */
export type RetiredBackends<T extends Retirable> = Map<string, { backend: T, untilMs: number }>

/** A live backend server writes its row again within seconds of the end of its outage. */
export const RETENTION_MS = 60_000
/** Longest time for which a pause is remembered without a row. */
const MAX_RETENTION_MS = 3_600_000

export function retire<T extends Retirable> (retired: RetiredBackends<T>, backend: T, nowMs: number): void {
  for (const [key, { untilMs }] of retired) if (untilMs <= nowMs) retired.delete(key)
  const untilMs = Math.min(Math.max(backend.pausedUntilMs, nowMs + RETENTION_MS), nowMs + MAX_RETENTION_MS)
  retired.set(backendInstance.keyOf(backend.row), { backend, untilMs })
}

/** @returns what is known of the instance, if its row is at the same address and has not been gone for too long. */
export function reinstate<T extends Retirable> (
  retired: RetiredBackends<T>, row: Row, nowMs: number
): T | undefined {
  const key = backendInstance.keyOf(row)
  const known = retired.get(key)
  retired.delete(key)
  return known !== undefined && known.untilMs > nowMs && known.backend.row.address === row.address
    ? known.backend
    : undefined
}
