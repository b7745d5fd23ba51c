/**
 * Divides the limits of a service's backend servers among the entries. One entry does this for all: it grants permits
 * for single requests, first to entries at which calls wait.
 *
 * Load pattern: a server in need takes one request a second, and sixty entries with very different load have requests
 * for it. Equal parts leave most of a small limit unused, and a bucket at each entry lets as many requests pass at once
 * as there are entries. So the right to the next request is divided, not the rate.
 *
 * A limit may also be far above all demand. Entries get no more permits than they can use while these last.
 */

import * as backendLimits from './backend-limits.js'
import * as backendInstance from './backend-instance.js'
import * as tokenBucket from './token-bucket.js'

/** What an entry wants of the limited backend servers of a service. */
export interface Demand {
  /** Calls that wait, less the permits that the entry holds. */
  waiting: number
  /** Requests a second for the service at this entry. */
  perSecond: number
}

interface HeardDemand extends Demand {
  heardAtMs: number
}

interface GrantedPermit {
  entry: string
  atMs: number
  endsAtMs: number
}

interface Share {
  bucket: tokenBucket.TokenBucket
  /** Permits granted within the window, less those that ended unused. */
  granted: GrantedPermit[]
  /** Permits that ended unused and may be granted again. */
  returned: number
  /** Requests that were sent without one within the window. */
  sentAtMs: number[]
}

export interface LimitShares {
  /** By address of the entry. */
  demands: Map<string, HeardDemand>
  /** By id and start of the backend server's instance. */
  shares: Map<string, Share>
}

export interface Limited {
  instance: backendInstance.InstanceId
  perSecond: number
}

export interface Grant {
  entry: string
  instance: backendInstance.InstanceId
  /** Time in which the permit may be used. */
  lifetimeMs: number
}

/** A server that states less, or zero, gets one request in ten seconds, which shows when its limit has ended. */
const MIN_PER_SECOND = 0.1
/** Part of a window that requests from before the limit was known may fill. */
const MAX_EARLIER_SHARE = 0.5
/** Time for which unused permits accumulate. */
const BURST_S = 0.25
/** An entry repeats its demand in shorter intervals than this while calls wait. */
const WAITING_LIFETIME_MS = 500
const DEMAND_LIFETIME_MS = 3_000
/** Permits last for half of the time between two of them, so that an entry without waiting calls can use one. */
const LIFETIME_SHARE = 0.5
const MIN_LIFETIME_MS = 400
export const MAX_LIFETIME_MS = 2_000
/** An entry without waiting calls gets permits for this multiple of the calls that it is likely to have meanwhile. */
const STOCK_FACTOR = 4
/** Permits that such an entry may hold at any rate, for calls that come together. */
const MIN_STOCK = 8

export function createShares (): LimitShares {
  return { demands: new Map(), shares: new Map() }
}

export function noteDemand (shares: LimitShares, entry: string, demand: Demand, nowMs: number): void {
  shares.demands.set(entry, { ...demand, heardAtMs: nowMs })
}

/** Records requests that an entry sent before it needed permits of this process. */
export function noteSent (
  shares: LimitShares, instance: backendInstance.InstanceId, sentAtMs: readonly number[], nowMs: number
): void {
  const share = shareOf(shares, instance, nowMs)
  share.sentAtMs.push(...sentAtMs)
}

/** Takes back permits that ended unused at an entry. Those that this process did not grant to it count for nothing. */
export function noteUnused (
  shares: LimitShares, entry: string, instance: backendInstance.InstanceId, count: number, nowMs: number
): void {
  const share = shareOf(shares, instance, nowMs)
  const before = share.granted.length
  let left = count
  share.granted = share.granted.filter(permit => {
    if (left <= 0 || permit.entry !== entry || permit.endsAtMs > nowMs) return true
    left -= 1
    return false
  })
  share.returned += before - share.granted.length
}

/** Number of calls that wait at all entries. */
export function totalWaiting (shares: LimitShares, nowMs: number): number {
  let total = 0
  for (const demand of shares.demands.values()) total += waitingOf(demand, nowMs)
  return total
}

/**
 * Grants the permits that are due now.
 *
 * @param rateShare part of each limit that this process may grant: less than 1 while it is in doubt whether another one
 *   grants, too.
 * @param random uniform in [0, 1).
 */
export function grantPermits (
  shares: LimitShares, limited: readonly Limited[], rateShare: number, nowMs: number, random: () => number
): Grant[] {
  removeOutdated(shares, limited, nowMs)
  const grants: Grant[] = []
  for (const { instance, perSecond } of inRandomOrder(limited, random)) {
    const rate = Math.max(MIN_PER_SECOND, perSecond) * rateShare
    const share = shareOf(shares, instance, nowMs)
    tokenBucket.refill(share.bucket, rate, Math.max(1, rate * BURST_S), nowMs)
    const held = countHeld(share, nowMs)
    while ((share.returned > 0 || share.bucket.tokens >= 1) && usedInWindow(share, rate) < maxInWindow(rate)) {
      const entry = nextEntry(shares, held, lifetimeMs(rate), nowMs, random)
      if (entry === undefined) break
      if (share.returned > 0) share.returned -= 1
      else share.bucket.tokens -= 1
      share.granted.push({ entry, atMs: nowMs, endsAtMs: nowMs + lifetimeMs(rate) })
      held.set(entry, (held.get(entry) ?? 0) + 1)
      grants.push({ entry, instance, lifetimeMs: lifetimeMs(rate) })
    }
  }
  return grants
}

function maxInWindow (perSecond: number): number {
  return Math.max(1, Math.floor(perSecond * backendLimits.WINDOW_MS / 1_000))
}

/**
 * Requests that count in the window. Load pattern: all backend servers of a service state limits at once, far below
 * what they have just got. Without a bound on earlier requests, none of them would get any for most of the window.
 */
function usedInWindow (share: Share, perSecond: number): number {
  const maxEarlier = Math.floor(MAX_EARLIER_SHARE * maxInWindow(perSecond))
  return share.granted.length + Math.min(maxEarlier, share.sentAtMs.length)
}

function lifetimeMs (perSecond: number): number {
  return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, LIFETIME_SHARE * 1_000 / perSecond))
}

/** Permits of each entry that have not ended, used or not. */
function countHeld (share: Share, nowMs: number): Map<string, number> {
  const held = new Map<string, number>()
  for (const { entry, endsAtMs } of share.granted) {
    if (endsAtMs > nowMs) held.set(entry, (held.get(entry) ?? 0) + 1)
  }
  return held
}

/** An entry at which a call waits, or else one that is likely to have a call soon and holds too few permits for it. */
function nextEntry (
  shares: LimitShares, held: ReadonlyMap<string, number>, lifeMs: number, nowMs: number, random: () => number
): string | undefined {
  const entries = [...shares.demands]
  const waiting = pickWeighted(entries, ([, demand]) => waitingOf(demand, nowMs), random)
  if (waiting !== undefined) {
    waiting[1].waiting -= 1
    return waiting[0]
  }
  const short = entries.filter(([entry, { perSecond }]) =>
    (held.get(entry) ?? 0) < Math.max(MIN_STOCK, STOCK_FACTOR * perSecond * lifeMs / 1_000))
  return pickWeighted(short, ([, demand]) => demand.perSecond, random)?.[0]
}

function waitingOf (demand: HeardDemand, nowMs: number): number {
  return nowMs - demand.heardAtMs > WAITING_LIFETIME_MS ? 0 : Math.max(0, demand.waiting)
}

function pickWeighted<T> (items: readonly T[], weightOf: (item: T) => number, random: () => number): T | undefined {
  const weights = items.map(weightOf)
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0)
  return items.find((_, index) => {
    left -= weights[index]!
    return weights[index]! > 0 && left <= 0
  })
}

function inRandomOrder<T> (items: readonly T[], random: () => number): T[] {
  return items.map(item => ({ item, rank: random() })).sort((a, b) => a.rank - b.rank).map(({ item }) => item)
}

function removeOutdated (shares: LimitShares, limited: readonly Limited[], nowMs: number): void {
  for (const [entry, demand] of shares.demands) {
    if (nowMs - demand.heardAtMs > DEMAND_LIFETIME_MS) shares.demands.delete(entry)
  }
  const keys = new Set(limited.map(({ instance }) => backendInstance.keyOf(instance)))
  for (const [key, share] of shares.shares) {
    const fromMs = nowMs - backendLimits.WINDOW_MS
    share.granted = share.granted.filter(({ atMs }) => atMs > fromMs)
    share.sentAtMs = share.sentAtMs.filter(atMs => atMs > fromMs)
    // Returned permits that nobody has needed for long would be granted all at once.
    if (share.granted.length === 0) share.returned = 0
    if (!keys.has(key)) shares.shares.delete(key)
  }
}

/** A process that begins to grant permits has none at first, since another one may just have granted some. */
function shareOf (shares: LimitShares, instance: backendInstance.InstanceId, nowMs: number): Share {
  const key = backendInstance.keyOf(instance)
  let share = shares.shares.get(key)
  if (share === undefined) {
    share = { bucket: { tokens: 0, refilledAtMs: nowMs }, granted: [], returned: 0, sentAtMs: [] }
    shares.shares.set(key, share)
  }
  return share
}
