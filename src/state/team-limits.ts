/**
 * Limits of teams that hold across entries. Entries announce to each other how much each team asks of them and how
 * many concurrent requests they reserve for it. Each takes the share of the rate that its own announcement has in the
 * sum, and reserves more concurrency only out of what nobody has reserved. No store is involved.
 */

import type * as configuration from './configuration.js'

export interface Demand {
  requestsPerSecond: number
  /** Concurrent requests that the sender keeps for itself until its next announcement. */
  reserved: number
}

interface TeamState {
  /** Requests that may be admitted now. */
  tokens: number
  refilledAtMs: number
  inFlight: number
  /** Most requests in flight since the last announcement. */
  peakInFlight: number
  /** A request was refused for concurrency since the last announcement. */
  hasConcurrencyRefusal: boolean
  /** Requests asked for since `countedFromMs`, admitted or not. */
  requestCount: number
  countedSinceMs: number
  smoothedRate: number
  limit: configuration.Limits
  /** What the other entries were told last. All entries divide the same figures. */
  announced: Demand
  announcedAtMs: number
}

export interface TeamLimits {
  /** Name of this entry in the announcements that others take. */
  self: string
  teams: Map<string, TeamState>
  /** Announcements of other entries, and of other cells as a whole. */
  peers: Map<string, { heardAtMs: number, demand: Map<string, Demand>, isFar: boolean }>
  /** Entries of the cell that are listed but have said nothing yet, with the time at which they were first listed. */
  expected: Map<string, number>
  /** Entries of the cell that have been heard and are still listed. */
  seen: Set<string>
}

export type LimitDecision = 'admitted' | 'rate' | 'concurrency'

/** Announcements are made every 2 s in a cell and every 4 s between cells; after two are missed they end. */
const DEMAND_LIFETIME_MS = 10_000
/** Weight of the last second in the demand of a team. */
const DEMAND_SMOOTHING = 0.6
/**
 * Demand below this share of the limit is not announced: most teams are far below their limits, and announcing each
 * of them to each entry would exceed the budget of the control traffic.
 */
const MIN_ANNOUNCED_SHARE = 0.01
/** Requests per second under which a team's state is dropped. */
const MIN_KEPT_RATE = 0.001
/** Share of a limit that an entry may use before its first announcement, when others announced demand. */
const UNANNOUNCED_SHARE = 0.05
/** The answer to callers names at most this many entries, so a new team starts on no more. */
const ENTRIES_PER_TEAM = 4
/** Unused rate that is kept for a burst. */
const BURST_MS = 250
/** Reservation relative to the most requests in flight, so that small changes need no announcement. */
const RESERVED_HEADROOM = 1.25
/** An entry takes no free places this soon after an announcement, since announcements of others may have crossed it. */
const RESERVATION_DELAY_MS = 200

export function createTeamLimits (self: string): TeamLimits {
  return { self, teams: new Map(), peers: new Map(), expected: new Map(), seen: new Set() }
}

/**
 * Takes the list of the other entries of the cell. Until each of them has been heard, what it has reserved is not
 * known, and this entry reserves no more than its first part.
 */
export function expectPeers (limits: TeamLimits, sources: ReadonlySet<string>, nowMs: number): void {
  for (const source of limits.expected.keys()) if (!sources.has(source)) limits.expected.delete(source)
  for (const source of limits.seen) if (!sources.has(source)) limits.seen.delete(source)
  for (const source of sources) {
    if (!limits.seen.has(source) && !limits.expected.has(source)) limits.expected.set(source, nowMs)
  }
}

/**
 * Takes the announcement of another entry.
 * @param isFar that the source is another cell, with the demand at all its entries.
 */
export function applyDemand (
  limits: TeamLimits, source: string, demand: Map<string, Demand>, nowMs: number, isFar = false
): void {
  limits.peers.set(source, { heardAtMs: nowMs, demand, isFar })
  if (limits.expected.delete(source)) limits.seen.add(source)
}

/** Notes that an entry is there, whatever it said. */
export function notePeerAlive (limits: TeamLimits, source: string, nowMs: number, isFar = false): void {
  applyDemand(limits, source, limits.peers.get(source)?.demand ?? new Map(), nowMs, isFar)
}

/** Forgets an entry that is gone, ahead of the life time of its announcement. */
export function removePeer (limits: TeamLimits, source: string): void {
  limits.peers.delete(source)
}

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

/** Announced demand at this entry and at the others of its cell. */
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
 * Closes a period of demand.
 * @returns what to announce to the other entries.
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
    // A team that falls silent is announced once more, so that the others take back its part at once.
    if (!isSmall || wasAnnounced) result.set(name, team.announced)
    else if (team.inFlight === 0 && team.smoothedRate < MIN_KEPT_RATE) limits.teams.delete(name)
  }
  return result
}

/** What this entry announced last, for a peer that it has just met. */
export function announcedDemand (limits: TeamLimits): Map<string, Demand> {
  return new Map([...limits.teams].filter(([, team]) => team.announced.requestsPerSecond > 0)
    .map(([name, team]) => [name, team.announced]))
}

/** Whether the demand of a team was silent here until now, so that its first refusal should be announced at once. */
export function isUnannounced (limits: TeamLimits, name: string): boolean {
  return limits.teams.get(name)?.announced.requestsPerSecond === 0
}

/**
 * Whether the reservation should be announced ahead of the next period: this entry lacks places that are free, or
 * keeps places that others may take.
 */
export function shouldAnnounceReservation (limits: TeamLimits, name: string, nowMs: number): boolean {
  const team = limits.teams.get(name)
  if (team === undefined || team.announced.requestsPerSecond === 0) return false
  const allowance = allowanceOf(limits, name, team, nowMs)
  if (allowance > team.announced.reserved) return team.hasConcurrencyRefusal
  return Math.max(allowance, team.inFlight) < team.announced.reserved
}

/** Decides on one request and, when it is admitted, counts it as in flight until `release`. */
export function admit (
  limits: TeamLimits, name: string, limit: configuration.Limits, nowMs: number
): LimitDecision {
  const team = ensureTeam(limits, name, limit, nowMs)
  team.limit = limit
  team.requestCount += 1
  const share = shareOf(limits, name, limit)
  const rate = limit.requestsPerSecond * share
  const burst = Math.max(1, rate * BURST_MS / 1000)
  team.tokens = Math.min(burst, team.tokens + rate * (nowMs - team.refilledAtMs) / 1000)
  team.refilledAtMs = nowMs
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

/** Entries that a team may start on at once, as far as this entry knows. */
function activeEntries (limits: TeamLimits): number {
  return Math.min(ENTRIES_PER_TEAM, limits.peers.size + limits.expected.size + 1)
}

/** Concurrent requests that this entry may have now: those it reserved, and its part of what nobody has reserved. */
function allowanceOf (limits: TeamLimits, name: string, team: TeamState, nowMs: number): number {
  const { concurrentRequests } = team.limit
  const { reserved } = team.announced
  if (limits.peers.size === 0 && limits.expected.size === 0) return concurrentRequests
  const newcomer = team.announced.requestsPerSecond === 0 ? Math.floor(UNANNOUNCED_SHARE * concurrentRequests) : 0
  return Math.max(newcomer, Math.min(maxReservation(limits, name, team), reserved + reservationChange(limits, name, team, nowMs)))
}

/**
 * Places that this entry may take beyond its reservation. Entries that take at the same time take no more than what
 * is free, because each takes only its part. When they reserved too much, each gives back its part.
 */
function reservationChange (limits: TeamLimits, name: string, team: TeamState, nowMs: number): number {
  const free = freePlaces(limits, name, team)
  if (free < 0) return -Math.ceil(-free / activeEntries(limits))
  if (free === 0 || nowMs - team.announcedAtMs < RESERVATION_DELAY_MS) return 0
  if (limits.expected.size > 0 && team.announced.reserved > 0) return 0
  const part = Math.floor(free / activeEntries(limits))
  return part === 0 && isEntitledToPlace(limits, name, team, free) ? 1 : part
}

/** Whether this entry is among those that take one of the last free places, which are too few to be divided. */
function isEntitledToPlace (limits: TeamLimits, name: string, team: TeamState, free: number): boolean {
  const parts = divideLimit(limits, name, team)
  if (parts.length === 0) return true
  const own = parts.find(part => part.source === limits.self)
  if (own === undefined) return false
  const lackOf = (part: LimitPart): number => part.target - part.reserved
  const ahead = parts.filter(part =>
    lackOf(part) > lackOf(own) || (lackOf(part) === lackOf(own) && part.source < own.source))
  return ahead.length < free
}

function freePlaces (limits: TeamLimits, name: string, team: TeamState): number {
  let free = team.limit.concurrentRequests - team.announced.reserved
  for (const peer of limits.peers.values()) free -= peer.demand.get(name)?.reserved ?? 0
  return free
}

/** What the entry keeps for itself from now on. Requests in flight count even when they exceed its part. */
function reservationOf (limits: TeamLimits, name: string, team: TeamState, nowMs: number): number {
  const needed = team.hasConcurrencyRefusal
    ? team.limit.concurrentRequests
    : Math.ceil(RESERVED_HEADROOM * team.peakInFlight) + 1
  return Math.max(team.inFlight, Math.min(needed, allowanceOf(limits, name, team, nowMs)))
}

/** Most places that the entry may reserve. */
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
 * The limit divided among the entries that announced demand, in proportion to it and by largest remainders, so that
 * the parts of all entries that hold the same announcements add up to the limit.
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

/** A flood at one entry takes no more than the whole limit into the division, so that other entries keep a share. */
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
