/**
 * What a gateway knows about each backend server: its row in the service discovery, its last load report with the time
 * of that report, the gateway's own requests there, and its recent failures.
 */

import * as backendLimits from './backend-limits.js'
import * as retiredBackends from './retired-backends.js'
import type * as backendInstance from './backend-instance.js'

export type BackendState = 'ready' | 'draining'

/** One incarnation of a backend server, as listed by the service discovery. */
export interface BackendRow extends backendInstance.InstanceId {
  service: string
  /** IP address and port. */
  address: string
  failureDomain: string
  slots: number
  state: BackendState
  /** Lock-step group of the backend server; undefined when it belongs to none. */
  group: GroupMembership | undefined
}

export interface GroupMembership {
  name: string
  epoch: number
  rank: number
  isOpen: boolean
  size: number
}

export interface LoadReport {
  running: number
  waiting: number
  slots: number
  /** Relative to the engine's nominal speed; above 1 the engine is slower. */
  slowdown: number
  cacheTokensUsed: number
}

export interface Backend {
  row: BackendRow
  load: LoadReport | undefined
  loadAtMs: number
  /** Last sign of life: a load report or a part of a response. */
  heardAtMs: number
  /** Requests of this gateway that the backend server has not finished. */
  inFlight: number
  /** Prompt and expected output tokens of the requests in flight. */
  inFlightTokens: number
  /** Send times of this gateway's requests that the last load report cannot include yet. */
  sentAtMs: number[]
  /** Send times of this gateway's requests within the window in which backend servers count them. */
  sentInWindowAtMs: number[]
  failuresInRow: number
  ejections: number
  ejectedUntilMs: number
  /** Until this time another instance is assumed to hold the address. */
  replacedUntilMs: number
  /** The backend server wants no requests from this process until this time. */
  pausedUntilMs: number
}

export interface PoolOptions {
  /** For how long a backend server still serves after it has announced that it leaves. */
  drainTimeoutMs: number
}

/** The last pass of a lock-step group that this gateway knows of. */
export interface GroupProgress {
  step: number
  atMs: number
}

export interface BackendPool {
  options: PoolOptions
  backends: Map<string, Backend>
  /** Instances whose rows are gone and may return. */
  retired: retiredBackends.RetiredBackends<Backend>
  limits: backendLimits.BackendLimits
  /** When each instance that leaves announced it, by id and start; kept without the row, which may return. */
  leavingSinceMs: Map<string, number>
  /** By name of the group. */
  progress: Map<string, GroupProgress>
  /** Ids of the ranks whose addresses other instances hold, since the last success in the group; by group and epoch. */
  replacedRanks: Map<string, Set<string>>
  /** Until when groups are avoided that a rank called broken; by group and epoch. */
  brokenUntilMs: Map<string, number>
  /** When each group had a row last; by group and epoch. */
  groupListedAtMs: Map<string, number>
  /** Smoothed time from sending a request to its first event or complete response, by service. */
  firstResponseMs: Map<string, number>
  /** Usual time since the last sign of life of a group's ranks, by name of the group. */
  usualSilence: Map<string, UsualSilence>
}

export interface UsualSilence {
  computedAtMs: number
  medianMs: number
}

/** An older load report says nothing about the present load. */
const MAX_REPORT_AGE_MS = 1_000
/** Consecutive failures after which a backend server is ejected. */
const FAILURES_TO_EJECT = 2
const EJECTION_BASE_MS = 1_500
const EJECTION_MAX_MS = 8_000
/** The row of a new instance is listed within about this time, after which the address is tried again. */
const REPLACED_AVOIDANCE_MS = 2_000
/** Different replaced ranks in a row after which their group is avoided; in a group of a dozen, fewer restart alone. */
const REPLACED_RANKS_TO_AVOID_GROUP = 3
/** An avoided group is tried again with the next request after this time. */
const GROUP_AVOIDANCE_MS = 500
/** Maximum share of a service's backend servers that are ejected at a time. */
const MAX_EJECTED_SHARE = 0.5

const DEFAULT_OPTIONS: PoolOptions = { drainTimeoutMs: 2_000 }

export function createPool (options = DEFAULT_OPTIONS): BackendPool {
  return {
    options,
    backends: new Map(),
    retired: new Map(),
    limits: backendLimits.createLimits(),
    leavingSinceMs: new Map(),
    progress: new Map(),
    replacedRanks: new Map(),
    brokenUntilMs: new Map(),
    groupListedAtMs: new Map(),
    firstResponseMs: new Map(),
    usualSilence: new Map()
  }
}

/**
 * Sets the rows in force. What was recorded for another incarnation under the same id is dropped; what is known of one
 * whose row is gone is kept for a time, since the row may return.
 */
export function setRows (pool: BackendPool, rows: readonly BackendRow[], nowMs: number): void {
  const listed = new Map(rows.map(row => [row.id, row]))
  for (const [id, backend] of pool.backends) {
    const row = listed.get(id)
    if (row !== undefined && isSameBackend(backend, row)) continue
    pool.backends.delete(id)
    retiredBackends.retire(pool.retired, backend, nowMs)
  }
  forgetGroups(pool, rows, nowMs)
  for (const row of rows) {
    const backend = pool.backends.get(row.id) ?? retiredBackends.reinstate(pool.retired, row, nowMs) ?? newBackend(row)
    if (backend.row.group?.epoch !== row.group?.epoch) backend.replacedUntilMs = 0
    backend.row = row
    pool.backends.set(row.id, backend)
  }
}

function isSameBackend (backend: Backend, row: BackendRow): boolean {
  return backend.row.startedAtUnixMs === row.startedAtUnixMs && backend.row.address === row.address
}

/** Forgets what is known of groups whose rows have been gone for long; those of all ranks may lapse for a moment. */
function forgetGroups (pool: BackendPool, rows: readonly BackendRow[], nowMs: number): void {
  for (const { group } of rows) if (group !== undefined) pool.groupListedAtMs.set(groupKey(group), nowMs)
  for (const [key, listedAtMs] of pool.groupListedAtMs) {
    if (nowMs - listedAtMs <= retiredBackends.RETENTION_MS) continue
    for (const byGroup of [pool.groupListedAtMs, pool.replacedRanks, pool.brokenUntilMs]) byGroup.delete(key)
  }
}

function newBackend (row: BackendRow): Backend {
  return {
    row,
    load: undefined,
    loadAtMs: 0,
    heardAtMs: 0,
    inFlight: 0,
    inFlightTokens: 0,
    sentAtMs: [],
    sentInWindowAtMs: [],
    failuresInRow: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    replacedUntilMs: 0,
    pausedUntilMs: 0
  }
}

/**
 * Records a load report, unless a later one is known.
 *
 * @param readAtMs when the load was read at the backend server, on this process's clock.
 */
export function noteLoad (backend: Backend, load: LoadReport, readAtMs: number): void {
  if (readAtMs < backend.loadAtMs) return
  backend.load = load
  backend.loadAtMs = readAtMs
  noteHeard(backend, readAtMs)
  backend.sentAtMs = backend.sentAtMs.filter(sentAtMs => sentAtMs > readAtMs)
}

/** Records a sign of life of a backend server. */
export function noteHeard (backend: Backend, atMs: number): void {
  backend.heardAtMs = Math.max(backend.heardAtMs, atMs)
}

/** Weight of a new observation in the smoothed time to the first response. */
const FIRST_RESPONSE_WEIGHT = 0.15
const INITIAL_FIRST_RESPONSE_MS = 150

export function noteFirstResponse (pool: BackendPool, service: string, tookMs: number): void {
  const known = firstResponseMs(pool, service)
  pool.firstResponseMs.set(service, known + FIRST_RESPONSE_WEIGHT * (tookMs - known))
}

export function firstResponseMs (pool: BackendPool, service: string): number {
  return pool.firstResponseMs.get(service) ?? INITIAL_FIRST_RESPONSE_MS
}

/** A group without a pass for this long counts as stalled as a whole. */
const GROUP_STALL_TIMEOUT_MS = 500

/** Records a pass of the group: an event arrived, or an agent read a new step. @param step undefined for an event. */
export function noteProgress (pool: BackendPool, group: string, step: number | undefined, nowMs: number): void {
  const known = pool.progress.get(group)
  if (step !== undefined && known !== undefined && step === known.step) return
  pool.progress.set(group, { step: step ?? known?.step ?? 0, atMs: nowMs })
}

/**
 * Whether the whole group of a backend server is stalled, as far as this gateway knows. A request without an answer
 * then gains nothing by moving to another rank. Load pattern: all requests that waited for a group to open are sent to
 * it at once, and the first passes take longer than one request normally waits before it is moved.
 */
export function isGroupStalled (pool: BackendPool, backend: Backend, nowMs: number): boolean {
  const group = backend.row.group
  if (group === undefined) return false
  const progress = pool.progress.get(group.name)
  return !group.isOpen || progress === undefined || nowMs - progress.atMs > GROUP_STALL_TIMEOUT_MS
}

/**
 * Whether no backend server of a service makes progress, because all belong to groups that are stalled as a whole. Load
 * pattern: a rank crashes, and its group still counts as open until the stall ends. Calls that are refused as if slots
 * became free at the rate of the last second return before the group does.
 */
export function isServiceStalled (pool: BackendPool, service: string, nowMs: number): boolean {
  const backends = backendsOf(pool, service)
  return backends.length > 0 && backends.every(backend => isGroupStalled(pool, backend, nowMs))
}

/** Records a request that was sent. @param tokens its prompt and expected output tokens. */
export function noteSent (backend: Backend, tokens: number, nowMs: number): void {
  backend.inFlight += 1
  backend.inFlightTokens += tokens
  backend.sentAtMs.push(nowMs)
  backend.sentInWindowAtMs.push(nowMs)
  while (backend.sentInWindowAtMs[0]! <= nowMs - backendLimits.WINDOW_MS) backend.sentInWindowAtMs.shift()
}

/** Records the end of a request. @param tokens the same number as when it was sent. */
export function noteFinished (backend: Backend, tokens: number): void {
  backend.inFlight -= 1
  backend.inFlightTokens -= tokens
}

/**
 * `declined`: the backend server accepted no work, which is not a failure. `replaced`: another instance holds its
 * address, so the backend server cannot be reached until its row changes.
 */
export type AttemptResult = 'succeeded' | 'failed' | 'unreachable' | 'declined' | 'replaced'

/** Records the result of an attempt. @returns whether it led to the ejection of the backend server. */
export function noteResult (pool: BackendPool, backend: Backend, result: AttemptResult, nowMs: number): boolean {
  if (result === 'declined') return false
  if (result === 'replaced') {
    backend.replacedUntilMs = nowMs + REPLACED_AVOIDANCE_MS
    noteReplacedRank(pool, backend, nowMs)
    return false
  }
  if (result === 'succeeded') {
    if (backend.row.group !== undefined) pool.replacedRanks.delete(groupKey(backend.row.group))
    backend.failuresInRow = 0
    backend.ejections = 0
    return false
  }
  if (backend.ejectedUntilMs > nowMs) return false
  backend.failuresInRow += 1
  const isSuspect = result === 'unreachable' || backend.ejections > 0
  if (!isSuspect && backend.failuresInRow < FAILURES_TO_EJECT) return false
  if (!mayEject(pool, backend.row.service, nowMs)) return false
  backend.ejections += 1
  backend.failuresInRow = 0
  backend.ejectedUntilMs = nowMs + Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** (backend.ejections - 1))
  return true
}

/**
 * Avoids a whole group when other instances hold the addresses of several of its ranks in a row.
 *
 * Load pattern: after a power loss all hosts are back before the rows of the new instances are. In a group of 63 each
 * request was sent to six earlier instances in turn and then refused, and its repeats used up the budget. A single
 * restarted rank says nothing about the others: during an outage of the store, its row may stay outdated for long.
 */
function noteReplacedRank (pool: BackendPool, backend: Backend, nowMs: number): void {
  const { group } = backend.row
  if (group === undefined) return
  const replaced = pool.replacedRanks.get(groupKey(group)) ?? new Set<string>()
  pool.replacedRanks.set(groupKey(group), replaced.add(backend.row.id))
  if (replaced.size < REPLACED_RANKS_TO_AVOID_GROUP) return
  for (const other of pool.backends.values()) {
    if (other.row.group === undefined || groupKey(other.row.group) !== groupKey(group)) continue
    other.replacedUntilMs = Math.max(other.replacedUntilMs, nowMs + GROUP_AVOIDANCE_MS)
  }
}

/**
 * Records that a rank refused a request because of another rank of its group.
 *
 * Load pattern: a rank crashes, and its group stalls until all requests at it fail at the same moment. That is 50 ms
 * before the rows say so, in which all of them and those that wait were sent to other ranks of the group, refused, and
 * refused for good when the retry budget was used up.
 */
export function noteGroupBroken (pool: BackendPool, backend: Backend, nowMs: number): void {
  if (backend.row.group !== undefined) pool.brokenUntilMs.set(groupKey(backend.row.group), nowMs + GROUP_AVOIDANCE_MS)
}

export function isGroupBroken (pool: BackendPool, group: GroupMembership, nowMs: number): boolean {
  return pool.brokenUntilMs.size > 0 && (pool.brokenUntilMs.get(groupKey(group)) ?? -Infinity) > nowMs
}

/** Identifies a group in one of its epochs. */
function groupKey (group: GroupMembership): string {
  return `${group.name} ${group.epoch}`
}

function mayEject (pool: BackendPool, service: string, nowMs: number): boolean {
  const all = backendsOf(pool, service)
  const ejected = all.filter(backend => backend.ejectedUntilMs > nowMs).length
  return ejected + 1 <= all.length * MAX_EJECTED_SHARE
}

export function backendsOf (pool: BackendPool, service: string): Backend[] {
  return [...pool.backends.values()].filter(backend => backend.row.service === service)
}

export function backendAt (pool: BackendPool, address: string): Backend | undefined {
  for (const backend of pool.backends.values()) if (backend.row.address === address) return backend
  return undefined
}

/** Requests at the backend server: those reported and sent since, or this gateway's own when no report is recent. */
export function estimatedRequests (backend: Backend, nowMs: number): number {
  if (backend.load === undefined || nowMs - backend.loadAtMs > MAX_REPORT_AGE_MS) return backend.inFlight
  return Math.max(backend.load.running + backend.load.waiting + backend.sentAtMs.length, backend.inFlight)
}

export function slotsOf (backend: Backend): number {
  // The load report of a rank does not contain its slots.
  return backend.load !== undefined && backend.load.slots > 0 ? backend.load.slots : backend.row.slots
}
