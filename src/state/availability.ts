/**
 * Whether a backend server may get new requests, and why not. Each reason is decided here alone.
 */

import * as backendLimits from './backend-limits.js'
import * as backendInstance from './backend-instance.js'
import * as backendPool from './backend-pool.js'

/** Reasons for which a backend server gets no request, even if no other one is left. */
export type Block =
  /** Its row says that it drains. */
  | 'draining'
  /** It announced that it leaves, longer ago than it serves afterwards. */
  | 'left'
  /** Its lock-step group makes no passes. */
  | 'group_closed'
  /** Another instance holds its address. */
  | 'replaced'
  /** It asked this process for a pause. */
  | 'paused'
  /** It has stated a limit, and this entry holds no permit for a request. */
  | 'limited'

/** Reasons for which a backend server gets a request only when no other one is left. */
export type Avoidance = 'leaving' | 'ejected'

export function blockOf (
  pool: backendPool.BackendPool, backend: backendPool.Backend, nowMs: number
): Block | undefined {
  const { row } = backend
  if (row.state === 'draining') return 'draining'
  if (row.group !== undefined && (!row.group.isOpen || backendPool.isGroupBroken(pool, row.group, nowMs))) {
    return 'group_closed'
  }
  const leavingAtMs = leavingSinceMs(pool, row)
  if (leavingAtMs !== undefined && nowMs - leavingAtMs >= pool.options.drainTimeoutMs - DRAIN_MARGIN_MS) return 'left'
  if (backend.replacedUntilMs > nowMs) return 'replaced'
  if (backend.pausedUntilMs > nowMs) return 'paused'
  const isLimited = backendLimits.limitOf(pool.limits, row) !== undefined
  if (isLimited && !backendLimits.hasPermit(pool.limits, row, nowMs)) return 'limited'
  return undefined
}

export function avoidanceOf (
  pool: backendPool.BackendPool, backend: backendPool.Backend, nowMs: number
): Avoidance | undefined {
  if (leavingSinceMs(pool, backend.row) !== undefined) return 'leaving'
  return backend.ejectedUntilMs > nowMs ? 'ejected' : undefined
}

/** A request that is placed now reaches the backend server within this time. */
const DRAIN_MARGIN_MS = 250
/** Instances that announced that they leave are remembered for this long, also without a row. */
const LEAVING_RETENTION_MS = 3_600_000

/** Records that an instance has announced that it leaves. @returns whether this was not known. */
export function noteLeaving (
  pool: backendPool.BackendPool, instance: backendInstance.InstanceId, nowMs: number
): boolean {
  const key = backendInstance.keyOf(instance)
  if (pool.leavingSinceMs.has(key)) return false
  for (const [other, sinceMs] of pool.leavingSinceMs) {
    if (nowMs - sinceMs > LEAVING_RETENTION_MS) pool.leavingSinceMs.delete(other)
  }
  pool.leavingSinceMs.set(key, nowMs)
  return true
}

function leavingSinceMs (pool: backendPool.BackendPool, instance: backendInstance.InstanceId): number | undefined {
  return pool.leavingSinceMs.size === 0 ? undefined : pool.leavingSinceMs.get(backendInstance.keyOf(instance))
}

/** Records that a backend server wants no requests from this process for a time. */
export function notePause (backend: backendPool.Backend, pauseMs: number, nowMs: number): void {
  backend.pausedUntilMs = Math.max(backend.pausedUntilMs, nowMs + pauseMs)
}
