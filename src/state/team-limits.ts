/**
 * Team limits that are enforced across entries without a store. Entries announce to each other the demand of each team
 * and how many concurrent requests they reserve for it. Each entry uses a share of the rate in proportion to its own
 * announced demand, and reserves more concurrency only from what no entry has reserved.
 */

import * as tokenBucket from './token-bucket.js'
import type * as configuration from './configuration.js'

export interface Demand {
  requestsPerSecond: number
  /** Concurrent requests that the sender reserves for itself until its next announcement. */
  reserved: number
}

/** Its tokens are the requests that may be admitted now. */
interface TeamState extends tokenBucket.TokenBucket {
  inFlight: number
  /** Maximum number of requests in flight since the last announcement. */
  peakInFlight: number
  /** Whether a request was refused because of the concurrency limit since the last announcement. */
  hasConcurrencyRefusal: boolean
  /** Requests since `countedSinceMs`, admitted or not. */
  requestCount: number
  countedSinceMs: number
  smoothedRate: number
  limit: configuration.Limits
  /** The last announcement of this entry. Shares are computed from it, so all entries compute with the same values. */
  announced: Demand
  announcedAtMs: number
}

export interface TeamLimits {
  /** Name of this entry in its announcements. */
  self: string
  teams: Map<string, TeamState>
  /** Announcements of other entries of the cell, and of other cells as a whole. */
  peers: Map<string, { heardAtMs: number, demand: Map<string, Demand>, isFar: boolean }>
  /** Listed entries of the cell from which nothing was received yet, with the time at which they were first listed. */
  expected: Map<string, number>
  /** Listed entries of the cell from which something was received, or that were expected for too long. */
  seen: Set<string>
}

export type LimitDecision = 'admitted' | 'rate' | 'concurrency'

/** Announcements are sent every 2 s within a cell and every 4 s between cells; they expire after two missed ones. */
const DEMAND_LIFETIME_MS = 10_000
/** Weight of the last second in the smoothed demand of a team. */
const DEMAND_SMOOTHING = 0.6
/**
 * Demand below this share of the limit is not announced. Most teams are far below their limits, and announcing all of
 * them to every entry would exceed the budget for control traffic.
 */
const MIN_ANNOUNCED_SHARE = 0.01
/** The state of a team is removed when its requests per second are below this. */
const MIN_KEPT_RATE = 0.001
/** Share of a limit that an entry may use without announced demand while other entries have announced theirs. */
const UNANNOUNCED_SHARE = 0.05
/** The list of entries that callers get has at most this many, so a new team starts on no more of them. */
const ENTRIES_PER_TEAM = 4
/** Time for which unused rate accumulates and may be used in a burst. */
const BURST_MS = 250
/** Reservation relative to the maximum in flight; the headroom lets small changes do without an announcement. */
const RESERVED_HEADROOM = 1.25
/**
 * After an announcement, an entry does not use more of the unreserved concurrency for this long, because announcements
 * of other entries may have been sent at the same time.
 */
const RESERVATION_DELAY_MS = 200

export function createTeamLimits (self: string): TeamLimits {
  return { self, teams: new Map(), peers: new Map(), expected: new Map(), seen: new Set() }
}

/**
 * Applies the list of the other entries of the cell. Until something was received from each of them, their reservations
 * are not all known, and this entry does not extend its first reservation.
 */
export function expectPeers (limits: TeamLimits, sources: ReadonlySet<string>, nowMs: number): void {
  for (const source of limits.expected.keys()) if (!sources.has(source)) limits.expected.delete(source)
  for (const source of limits.seen) if (!sources.has(source)) limits.seen.delete(source)
  for (const source of sources) {
    if (!limits.seen.has(source) && !limits.expected.has(source)) limits.expected.set(source, nowMs)
  }
}

/**
 * Applies the announcement of another entry.
 * @param isFar whether the source is another cell, which announces the demand at all its entries.
 */
export function applyDemand (
  limits: TeamLimits, source: string, demand: Map<string, Demand>, nowMs: number, isFar = false
): void {
  limits.peers.set(source, { heardAtMs: nowMs, demand, isFar })
  if (limits.expected.delete(source)) limits.seen.add(source)
}

/** Records that an entry is alive, and keeps its last announcement. */
export function notePeerAlive (limits: TeamLimits, source: string, nowMs: number, isFar = false): void {
  applyDemand(limits, source, limits.peers.get(source)?.demand ?? new Map(), nowMs, isFar)
}

/** Removes an entry that is gone before its announcement expires. */
export function removePeer (limits: TeamLimits, source: string): void {
  limits.peers.delete(source)
}

/** Removes expired announcements, and no longer waits for entries that have been expected for too long. */
export function expirePeers (limits: TeamLimits, nowMs: number): void {
  for (const [source, peer] of limits.peers) {
    if (nowMs - peer.heardAtMs > DEMAND_LIFETIME_MS) limits.peers.delete(source)
  }
  for (const [source, sinceMs] of limits.expected) {
    if (nowMs - sinceMs <= DEMAND_LIFETIME_MS) continue
    limits.expected.delete(source)
    limits.seen.add(source)
  }
}

/** Sum of the announced demand of this entry and of the others of its cell, by team. */
export function sumCellDemand (limits: TeamLimits): Map<string, Demand> {
  const sums = new Map<string, Demand>()
  const add = (name: string, demand: Demand): void => {
    if (demand.requestsPerSecond === 0) return
    const sum = sums.get(name) ?? { requestsPerSecond: 0, reserved: 0 }
    sums.set(name, {
      requestsPerSecond: sum.requestsPerSecond + demand.requestsPerSecond, reserved: sum.reserved + demand.reserved
    })
  }
  for (const [name, team] of limits.teams) add(name, team.announced)
  for (const peer of limits.peers.values()) {
    if (!peer.isFar) for (const [name, demand] of peer.demand) add(name, demand)
  }
  return sums
}

/**
 * Ends a period of measuring demand and starts the next.
 * @returns the demand by team to announce to the other entries.
 */
export function announceDemand (limits: TeamLimits, nowMs: number): Map<string, Demand> {
  expirePeers(limits, nowMs)
  const result = new Map<string, Demand>()
  for (const [name, team] of limits.teams) {
    const elapsedMs = nowMs - team.countedSinceMs
    if (elapsedMs > 0) {
      const rate = team.requestCount * 1000 / elapsedMs
      const weight = 1 - (1 - DEMAND_SMOOTHING) ** (elapsedMs / 1000)
      team.smoothedRate += weight * (rate - team.smoothedRate)
      team.requestCount = 0
      team.countedSinceMs = nowMs
    }
    const minRate = MIN_ANNOUNCED_SHARE * team.limit.requestsPerSecond
    const wasAnnounced = team.announced.requestsPerSecond > 0
    const isSmall = team.smoothedRate < minRate && team.inFlight <= MIN_ANNOUNCED_SHARE * team.limit.concurrentRequests
    const reserved = reservationOf(limits, name, team, nowMs)
    team.announced = isSmall
      ? { requestsPerSecond: 0, reserved: 0 }
      : { requestsPerSecond: Math.max(minRate, team.smoothedRate), reserved }
    team.announcedAtMs = nowMs
    team.peakInFlight = team.inFlight
    team.hasConcurrencyRefusal = false
    // When a team's demand ends, that is announced once, so that the other entries can use its part at once.
    if (!isSmall || wasAnnounced) result.set(name, team.announced)
    else if (team.inFlight === 0 && team.smoothedRate < MIN_KEPT_RATE) limits.teams.delete(name)
  }
  return result
}

/** The last announcement of this entry, for a peer that has just connected. */
export function announcedDemand (limits: TeamLimits): Map<string, Demand> {
  return new Map([...limits.teams].filter(([, team]) => team.announced.requestsPerSecond > 0)
    .map(([name, team]) => [name, team.announced]))
}

/** Whether this entry has announced no demand for the team, so that its first refusal should be announced at once. */
export function isUnannounced (limits: TeamLimits, name: string): boolean {
  return limits.teams.get(name)?.announced.requestsPerSecond === 0
}

/**
 * Whether the reservation should be announced before the end of the period: this entry needs concurrency that is not
 * reserved, or has reserved concurrency that others may use.
 */
export function shouldAnnounceReservation (limits: TeamLimits, name: string, nowMs: number): boolean {
  const team = limits.teams.get(name)
  if (team === undefined || team.announced.requestsPerSecond === 0) return false
  const allowance = allowanceOf(limits, name, team, nowMs)
  if (allowance > team.announced.reserved) return team.hasConcurrencyRefusal
  return Math.max(allowance, team.inFlight) < team.announced.reserved
}

/** Decides on one request. An admitted request counts as in flight until `release` is called. */
export function admit (
  limits: TeamLimits, name: string, limit: configuration.Limits, nowMs: number
): LimitDecision {
  const team = ensureTeam(limits, name, limit, nowMs)
  team.limit = limit
  team.requestCount += 1
  const share = shareOf(limits, name, limit)
  const rate = limit.requestsPerSecond * share
  const burst = Math.max(1, rate * BURST_MS / 1000)
  tokenBucket.refill(team, rate, burst, nowMs)
  if (team.tokens < 1) return 'rate'
  if (team.inFlight >= allowanceOf(limits, name, team, nowMs)) {
    team.hasConcurrencyRefusal = true
    return 'concurrency'
  }
  team.tokens -= 1
  team.inFlight += 1
  team.peakInFlight = Math.max(team.peakInFlight, team.inFlight)
  return 'admitted'
}

export function release (limits: TeamLimits, name: string): void {
  const team = limits.teams.get(name)
  if (team !== undefined) team.inFlight = Math.max(0, team.inFlight - 1)
}

/** Share of the team's rate that this entry may use, between 0 and 1. */
export function shareOf (limits: TeamLimits, name: string, limit: configuration.Limits): number {
  const own = cappedRate(limits.teams.get(name)?.announced, limit)
  let sum = own
  for (const peer of limits.peers.values()) sum += cappedRate(peer.demand.get(name), limit)
  if (sum === 0 || (limits.expected.size > 0 && sum === own)) return 1 / activeEntries(limits)
  return own === 0 ? UNANNOUNCED_SHARE : own / sum
}

/** Number of entries at which a team may start at the same time, as far as this entry knows. */
function activeEntries (limits: TeamLimits): number {
  return Math.min(ENTRIES_PER_TEAM, limits.peers.size + limits.expected.size + 1)
}

/** Concurrent requests that this entry may have now: its reservation plus its part of what no entry has reserved. */
function allowanceOf (limits: TeamLimits, name: string, team: TeamState, nowMs: number): number {
  const { concurrentRequests } = team.limit
  const { reserved } = team.announced
  if (limits.peers.size === 0 && limits.expected.size === 0) return concurrentRequests
  const unannounced = team.announced.requestsPerSecond === 0 ? Math.floor(UNANNOUNCED_SHARE * concurrentRequests) : 0
  return Math.max(
    unannounced,
    Math.min(maxReservation(limits, name, team), reserved + reservationChange(limits, name, team, nowMs))
  )
}

/**
 * Change of this entry's reservation. Entries that extend their reservations at the same time do not exceed the limit,
 * because each uses only its part of what is free. If they have reserved too much, each gives back its part.
 */
function reservationChange (limits: TeamLimits, name: string, team: TeamState, nowMs: number): number {
  const free = unreservedOf(limits, name, team)
  if (free < 0) return -Math.ceil(-free / activeEntries(limits))
  if (free === 0 || nowMs - team.announcedAtMs < RESERVATION_DELAY_MS) return 0
  if (limits.expected.size > 0 && team.announced.reserved > 0) return 0
  const part = Math.floor(free / activeEntries(limits))
  return part === 0 && isEntitledToRemainder(limits, name, team, free) ? 1 : part
}

/** Whether this entry is among those that get one of the last free requests, which are too few to be divided. */
function isEntitledToRemainder (limits: TeamLimits, name: string, team: TeamState, free: number): boolean {
  const parts = divideLimit(limits, name, team)
  if (parts.length === 0) return true
  const own = parts.find(part => part.source === limits.self)
  if (own === undefined) return false
  const shortfallOf = (part: LimitPart): number => part.target - part.reserved
  const ahead = parts.filter(part =>
    shortfallOf(part) > shortfallOf(own) || (shortfallOf(part) === shortfallOf(own) && part.source < own.source))
  return ahead.length < free
}

function unreservedOf (limits: TeamLimits, name: string, team: TeamState): number {
  let free = team.limit.concurrentRequests - team.announced.reserved
  for (const peer of limits.peers.values()) free -= peer.demand.get(name)?.reserved ?? 0
  return free
}

/** New reservation of this entry. Requests in flight stay reserved even if they exceed its part. */
function reservationOf (limits: TeamLimits, name: string, team: TeamState, nowMs: number): number {
  const needed = team.hasConcurrencyRefusal
    ? team.limit.concurrentRequests
    : Math.ceil(RESERVED_HEADROOM * team.peakInFlight) + 1
  return Math.max(team.inFlight, Math.min(needed, allowanceOf(limits, name, team, nowMs)))
}

/** Maximum number of concurrent requests that the entry may reserve. */
function maxReservation (limits: TeamLimits, name: string, team: TeamState): number {
  const own = divideLimit(limits, name, team).find(part => part.source === limits.self)
  return own?.target ?? team.limit.concurrentRequests
}

interface LimitPart {
  source: string
  target: number
  reserved: number
}

/**
 * Divides the limit among the entries that announced demand, in proportion to it and by largest remainder, so that the
 * parts of all entries with the same announcements add up to the limit.
 */
function divideLimit (limits: TeamLimits, name: string, team: TeamState): LimitPart[] {
  const { concurrentRequests } = team.limit
  const shares: { source: string, rate: number, reserved: number }[] = []
  const add = (source: string, demand: Demand | undefined): void => {
    const rate = cappedRate(demand, team.limit)
    if (rate > 0) shares.push({ source, rate, reserved: demand!.reserved })
  }
  add(limits.self, team.announced)
  for (const [source, peer] of limits.peers) add(source, peer.demand.get(name))
  const sum = shares.reduce((total, share) => total + share.rate, 0)
  const exact = shares.map(share => ({ ...share, exact: share.rate / sum * concurrentRequests }))
  const left = concurrentRequests - exact.reduce((total, share) => total + Math.floor(share.exact), 0)
  const remainderOf = (value: number): number => value - Math.floor(value)
  const ranked = exact.sort((a, b) =>
    remainderOf(b.exact) - remainderOf(a.exact) || (a.source < b.source ? -1 : 1))
  return ranked.map(({ source, exact, reserved }, rank) =>
    ({ source, target: Math.floor(exact) + (rank < left ? 1 : 0), reserved }))
}

/** Caps the demand at the limit, so that other entries keep a share when one of them gets a flood of requests. */
function cappedRate (demand: Demand | undefined, limit: configuration.Limits): number {
  return Math.min(limit.requestsPerSecond, demand?.requestsPerSecond ?? 0)
}

function ensureTeam (limits: TeamLimits, name: string, limit: configuration.Limits, nowMs: number): TeamState {
  let team = limits.teams.get(name)
  if (team === undefined) {
    team = {
      tokens: 1,
      refilledAtMs: nowMs,
      inFlight: 0,
      peakInFlight: 0,
      hasConcurrencyRefusal: false,
      requestCount: 0,
      countedSinceMs: nowMs,
      smoothedRate: 0,
      limit,
      announced: { requestsPerSecond: 0, reserved: 0 },
      announcedAtMs: -Infinity
    }
    limits.teams.set(name, team)
  }
  return team
}
