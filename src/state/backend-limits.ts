/**
 * Limits that backend servers state in their responses: how many requests a second one takes from all processes
 * together, for as long as its responses say so. A request to such a server needs a permit, which one entry grants for
 * all; see limit-shares.ts.
 */

import * as backendInstance from './backend-instance.js'

/** What a response says about the limit of its backend server. */
export type StatedLimit =
  | { kind: 'limit', perSecond: number }
  /** There is no limit. */
  | { kind: 'none' }
  /** A value that is not understood says nothing, neither about a limit nor about its end. */
  | { kind: 'unreadable' }

export interface LimitRecord {
  instance: backendInstance.InstanceId
  /** Undefined after the limit has ended. */
  perSecond: number | undefined
  /** When the response arrived from which this is known, on this process's clock. */
  notedAtMs: number
}

export interface BackendLimits {
  /** By id and start of the instance. */
  records: Map<string, LimitRecord>
  /** Ends of the permits that this entry holds, by id and start of the instance. */
  permits: Map<string, number[]>
  /** Permits that ended unused and are not returned yet, by id and start of the instance. */
  unused: Map<string, number>
}

/** Time over which a backend server's requests are counted. */
export const WINDOW_MS = 4_000
/** Ended limits and those of instances that are gone are forgotten after this time. */
const RECORD_RETENTION_MS = 600_000

export function createLimits (): BackendLimits {
  return { records: new Map(), permits: new Map(), unused: new Map() }
}

/** @returns requests a second; undefined when the instance has no limit. */
export function limitOf (limits: BackendLimits, instance: backendInstance.InstanceId): number | undefined {
  return limits.records.size === 0 ? undefined : limits.records.get(backendInstance.keyOf(instance))?.perSecond
}

/**
 * Applies a response. Responses overtake each other on their connections, so a higher limit or none counts only in a
 * response to a request that was sent after the limit in force became known.
 *
 * @returns the record if the limit has changed.
 */
export function noteStated (
  limits: BackendLimits, instance: backendInstance.InstanceId, stated: StatedLimit, sentAtMs: number, nowMs: number
): LimitRecord | undefined {
  if (stated.kind === 'unreadable') return undefined
  const known = limits.records.get(backendInstance.keyOf(instance))
  if (known === undefined && stated.kind === 'none') return undefined
  const perSecond = stated.kind === 'none' ? undefined : stated.perSecond
  const isHigher = (perSecond ?? Infinity) > (known?.perSecond ?? Infinity)
  if (isHigher && sentAtMs <= known!.notedAtMs) return undefined
  return setRecord(limits, { instance, perSecond, notedAtMs: nowMs })
}

/** Applies what another entry knows; the later response counts. @returns the record if the limit has changed. */
export function noteTold (limits: BackendLimits, told: LimitRecord): LimitRecord | undefined {
  const known = limits.records.get(backendInstance.keyOf(told.instance))
  if (known === undefined && told.perSecond === undefined) return undefined
  if (known !== undefined && told.notedAtMs <= known.notedAtMs) return undefined
  return setRecord(limits, told)
}

function setRecord (limits: BackendLimits, record: LimitRecord): LimitRecord | undefined {
  const key = backendInstance.keyOf(record.instance)
  const before = limits.records.get(key)?.perSecond
  limits.records.set(key, record)
  return record.perSecond === before ? undefined : record
}

/** Removes expired permits and old records. @returns the number of permits that expired unused. */
export function expire (limits: BackendLimits, isListed: (key: string) => boolean, nowMs: number): number {
  let expired = 0
  for (const [key, record] of limits.records) {
    if (nowMs - record.notedAtMs <= RECORD_RETENTION_MS) continue
    if (record.perSecond !== undefined && isListed(key)) continue
    limits.records.delete(key)
    limits.unused.delete(key)
  }
  for (const [key, ends] of limits.permits) {
    const left = ends.filter(endMs => endMs > nowMs)
    expired += ends.length - left.length
    if (left.length < ends.length && limits.records.has(key)) {
      limits.unused.set(key, (limits.unused.get(key) ?? 0) + ends.length - left.length)
    }
    if (left.length === 0) limits.permits.delete(key)
    else limits.permits.set(key, left)
  }
  return expired
}

export function addPermit (limits: BackendLimits, instance: backendInstance.InstanceId, endMs: number): void {
  const key = backendInstance.keyOf(instance)
  const ends = limits.permits.get(key)
  if (ends === undefined) limits.permits.set(key, [endMs])
  else ends.push(endMs)
}

export function hasPermit (limits: BackendLimits, instance: backendInstance.InstanceId, nowMs: number): boolean {
  return limits.permits.get(backendInstance.keyOf(instance))?.some(endMs => endMs > nowMs) ?? false
}

/** Uses up the permit that ends first. */
export function takePermit (limits: BackendLimits, instance: backendInstance.InstanceId, nowMs: number): void {
  const key = backendInstance.keyOf(instance)
  const ends = limits.permits.get(key) ?? []
  const first = ends.filter(endMs => endMs > nowMs).reduce((earliest, endMs) => Math.min(earliest, endMs), Infinity)
  const index = ends.indexOf(first)
  if (index >= 0) ends.splice(index, 1)
}

/** Forgets the permits of an instance that ended unused. @returns their number. */
export function takeUnused (limits: BackendLimits, instance: backendInstance.InstanceId): number {
  const key = backendInstance.keyOf(instance)
  const count = limits.unused.get(key) ?? 0
  limits.unused.delete(key)
  return count
}
