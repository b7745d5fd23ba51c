/**
 * Chooses a backend server for one attempt. The score of a server is the work that a new request is expected to find
 * there, in requests: the entry's own requests in flight plus those of other entries, estimated from delayed reports.
 */

import * as serverView from './server-view.js'

export interface RouteQuery {
  target: serverView.Served
  /** Incarnations that earlier attempts of the request already used. */
  excluded: ReadonlySet<string>
  nowMs: number
  /** Share of the prompt, 0 to 1, that the backend server with this incarnation probably has in its cache. */
  cachedShare?: (incarnation: string) => number
  /**
   * Preferred host for prompts with the same first part: the one with the largest weight. All entries compute the same
   * weights and so agree on the server without messages, which makes it likely to have this share of the prompt cached.
   */
  affinity?: { share: number, weight: (host: string) => number }
  /**
   * For a suspect: the server with the largest weight is chosen. All entries compute the same weights and so choose the
   * same server, where copies of the request wait for each other instead of crashing a server each.
   */
  trialWeight?: (incarnation: string) => number
}

/** Data on which a choice was based, logged to explain a request. */
export interface ChoiceExplanation {
  score: number
  candidates: number
  inFlight: number
  reportedLoad: number
  reportAgeMs: number
}

export type RouteChoice =
  | { kind: 'chosen', record: serverView.ServerRecord, explanation?: ChoiceExplanation }
  | { kind: 'none', reason: 'unknown_target' | 'no_backend_server' }

/** Strategy that picks among the candidates of a request. */
export interface RoutePolicy {
  pick (candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number): serverView.ServerRecord
  /** Score of the last pick, for its explanation in the log. */
  lastScore? (): number
}

export interface RouteOptions {
  /** Number of candidates that are compared. */
  choices: number
  /**
   * `random` draws them independently. `deck` draws without replacement and shuffles again when all were drawn. `turns`
   * takes those that have not been chosen for the longest time.
   */
  draw: 'random' | 'deck' | 'turns'
  /** With `turns`, a candidate whose score is this much above the lowest goes to the end of the order. */
  turnMargin: number
  /**
   * Maximum decay time of reported loads: after it, the difference between a report and the mean of all reports counts
   * only 1/e.
   */
  loadMemoryMs: number
  /**
   * The decay time is at most this multiple of the mean time of a request, because the requests in a report have ended
   * by then.
   */
  memoryPerWork: number
  /** Amount by which a full prefix hit lowers the score, in requests. */
  maxPrefixGain: number
  /** Times to first byte up to this multiple of the typical one count as normal. */
  normalSlowness: number
  /** Maximum factor for the score of a slow server; with 1, slowness is ignored. */
  maxSlowness: number
  /** Time in which a server that came into rotation reaches its full share; with 0, it gets that at once. */
  slowStartMs: number
}

export const DEFAULT_ROUTE_OPTIONS: RouteOptions = {
  choices: 3,
  draw: 'turns',
  turnMargin: 0.5,
  loadMemoryMs: 2_000,
  memoryPerWork: 0.5,
  maxPrefixGain: 2,
  normalSlowness: 2,
  maxSlowness: 4,
  slowStartMs: 20_000
}

/** A returning server starts with this share of its traffic. */
const SLOW_START_MIN_SHARE = 0.1
/** Number of sampled servers from which the typical time to first byte is estimated. */
const FIRST_BYTE_SAMPLE = 15
/** Minimum number of ended requests from which a mean time is estimated. */
const MIN_ENDED_REQUESTS = 10

/**
 * Compares a few candidates and picks the one with the lowest score. Each entry compares those that it has not chosen
 * for the longest time. Its requests are then spread as evenly as by round robin where reports carry little
 * information, and the small number of candidates limits herding on delayed reports.
 */
export class LeastExpectedWork implements RoutePolicy {
  readonly #options: RouteOptions
  /**
   * Servers in the order in which they are compared next, by target. With `deck`, those not drawn yet, last first; with
   * `turns`, all servers, the least recently chosen first.
   */
  readonly #drawOrders = new Map<string, serverView.ServerRecord[]>()
  #lastScore = 0

  constructor (options: RouteOptions = DEFAULT_ROUTE_OPTIONS) {
    this.#options = options
  }

  pick (
    candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const statistics = computeFleetStatistics(candidates, this.#options, random)
    const compared = this.#options.draw === 'turns'
      ? this.#nextInTurn(candidates, query, random)
      : Array.from({ length: this.#options.choices }, () => this.#draw(candidates, query, random))
    const inTurn = [...compared]
    // Servers that probably have the prefix cached are compared too. Their advantage is bounded, so load still decides.
    const preferred = affinityServerOf(candidates, query)
    for (const holder of [preferred, longestPrefixHolder(candidates, query)]) {
      if (holder !== undefined && !compared.includes(holder)) compared.push(holder)
    }
    const largestShare = Math.max(...compared.map(record => slowStartShare(record, query.nowMs, this.#options)))
    let best: serverView.ServerRecord | undefined
    let bestScore = Infinity
    const heldBack = new Set<serverView.ServerRecord>()
    for (const record of compared) {
      const expected = loadScoreOf(record, query.nowMs, statistics, this.#options) -
        this.#options.maxPrefixGain * cachedShareOf(record, preferred, query)
      const share = slowStartShare(record, query.nowMs, this.#options) / largestShare
      // A returning server competes with its full score for its share of the requests. With a score that is always
      // divided by the share, it would lose every comparison to idle servers and get no requests during slow start.
      const hasFullScore = share === 1 || random() < share
      if (!hasFullScore) heldBack.add(record)
      const score = hasFullScore ? expected : expected / share
      if (best === undefined || score < bestScore) [best, bestScore] = [record, score]
    }
    this.#lastScore = bestScore
    if (this.#options.draw === 'turns') this.#endTurns(inTurn, best!, heldBack, query, statistics)
    return best!
  }

  lastScore (): number { return this.#lastScore }

  #nextInTurn (
    candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number
  ): serverView.ServerRecord[] {
    const key = keyOf(query.target)
    const present = new Set(candidates)
    let queue = this.#drawOrders.get(key) ?? []
    const known = new Set(queue)
    const added = candidates.filter(record => !known.has(record))
    if (added.length > 0) {
      queue = [...queue.filter(record => present.has(record)), ...shuffled(added, random)]
      this.#drawOrders.set(key, queue)
    }
    const next: serverView.ServerRecord[] = []
    for (let index = 0; index < queue.length && next.length < this.#options.choices; index++) {
      if (present.has(queue[index]!)) next.push(queue[index]!)
    }
    return next
  }

  /**
   * Moves the chosen server and those with clearly more load to the end; the others are compared again next time.
   * Returning servers that were held back also move to the end, or they would try their share at every request.
   */
  #endTurns (
    inTurn: readonly serverView.ServerRecord[],
    chosen: serverView.ServerRecord,
    heldBack: ReadonlySet<serverView.ServerRecord>,
    query: RouteQuery,
    statistics: FleetStatistics
  ): void {
    const queue = this.#drawOrders.get(keyOf(query.target))!
    const loads = inTurn.map(record => loadScoreOf(record, query.nowMs, statistics, this.#options))
    const lowest = Math.min(...loads)
    const ended = inTurn.filter((record, index) =>
      record !== chosen && (heldBack.has(record) || loads[index]! >= lowest + this.#options.turnMargin))
    for (const record of [...ended, chosen]) {
      const index = queue.indexOf(record)
      if (index >= 0) queue.push(...queue.splice(index, 1))
    }
  }

  #draw (
    candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number
  ): serverView.ServerRecord {
    if (this.#options.draw === 'random') return candidates[Math.floor(random() * candidates.length)]!
    const key = keyOf(query.target)
    const present = new Set(candidates)
    let undrawn = this.#drawOrders.get(key) ?? []
    for (;;) {
      const drawn = undrawn.pop()
      if (drawn !== undefined && present.has(drawn)) return drawn
      if (drawn !== undefined) continue
      undrawn = shuffled(candidates, random)
      this.#drawOrders.set(key, undrawn)
    }
  }
}

function keyOf (target: serverView.Served): string {
  return `${target.kind}/${target.name}`
}

function shuffled<T> (items: readonly T[], random: () => number): T[] {
  const result = [...items]
  for (let index = result.length - 1; index > 0; index--) {
    const other = Math.floor(random() * (index + 1))
    ;[result[index], result[other]] = [result[other]!, result[index]!]
  }
  return result
}

/** Chooses a backend server that serves the target, is in rotation and was not tried yet. */
export function chooseServer (
  view: serverView.ServerView, query: RouteQuery, policy: RoutePolicy, random: () => number
): RouteChoice {
  const serving = [...view.servers.values()].filter(record => serverView.servesTarget(record.identity, query.target))
  if (serving.length === 0) return { kind: 'none', reason: 'unknown_target' }
  const usable = serving.filter(record =>
    record.load.status === 'serving' && !view.withdrawnHosts.has(record.identity.host) &&
    !query.excluded.has(record.identity.incarnation))
  const inRotation = usable.filter(record => record.ejectedUntilMs <= query.nowMs)
  // If all candidates are ejected, trying one of them is better than refusing the request.
  const candidates = inRotation.length > 0 ? inRotation : usable
  if (candidates.length === 0) return { kind: 'none', reason: 'no_backend_server' }
  const { trialWeight } = query
  const record = trialWeight === undefined
    ? policy.pick(candidates, query, random)
    : candidates.reduce((best, candidate) =>
      trialWeight(candidate.identity.incarnation) > trialWeight(best.identity.incarnation) ? candidate : best)
  return { kind: 'chosen', record, explanation: explainChoice(record, candidates.length, query.nowMs, policy) }
}

function explainChoice (
  record: serverView.ServerRecord, candidates: number, nowMs: number, policy: RoutePolicy
): ChoiceExplanation {
  return {
    score: policy.lastScore?.() ?? 0,
    candidates,
    inFlight: record.inFlight,
    reportedLoad: record.load.running + record.load.waiting,
    reportAgeMs: Math.round(nowMs - record.reportedAtMs)
  }
}

export interface Capacity {
  /** Number of servers in rotation that serve the target. */
  servers: number
  /** Number of further requests that they can run, as far as this entry knows. */
  free: number
}

export function capacityOf (view: serverView.ServerView, target: serverView.Served, nowMs: number): Capacity {
  const capacity: Capacity = { servers: 0, free: 0 }
  for (const record of view.servers.values()) {
    if (record.load.status !== 'serving' || !serverView.servesTarget(record.identity, target)) continue
    if (record.ejectedUntilMs > nowMs) continue
    capacity.servers += 1
    capacity.free += Math.max(0, record.load.concurrencyLimit - record.inFlight - othersAtReport(record))
  }
  return capacity
}

/** Statistics over all candidates, to which the load of a single one is compared. */
export interface FleetStatistics {
  /** Mean number of other entries' requests at a backend server. */
  meanOthers: number
  typicalFirstByteMs: number
  /** Decay time of reported loads: after it, the difference between a report and the mean counts only 1/e. */
  memoryMs: number
}

export function computeFleetStatistics (
  candidates: readonly serverView.ServerRecord[], options: RouteOptions, random: () => number
): FleetStatistics {
  const sumOthers = candidates.reduce((sum, record) => sum + othersAtReport(record), 0)
  const sample = options.maxSlowness === 1
    ? []
    : Array.from({ length: FIRST_BYTE_SAMPLE }, () =>
      candidates[Math.floor(random() * candidates.length)]!.load.firstByteMs).filter(value => value > 0)
  sample.sort((a, b) => a - b)
  return {
    meanOthers: sumOthers / Math.max(1, candidates.length),
    typicalFirstByteMs: sample[Math.floor(sample.length / 2)] ?? 0,
    memoryMs: decayTimeOf(candidates, options)
  }
}

function decayTimeOf (candidates: readonly serverView.ServerRecord[], options: RouteOptions): number {
  let totalMs = 0
  let ended = 0
  for (const { recentWork } of candidates) {
    totalMs += recentWork.totalMs
    ended += recentWork.ended
  }
  if (ended < MIN_ENDED_REQUESTS) return options.loadMemoryMs
  return Math.max(1, Math.min(options.loadMemoryMs, options.memoryPerWork * totalMs / ended))
}

/** Requests of other entries at the backend server when it made its report. */
function othersAtReport (record: serverView.ServerRecord): number {
  return Math.max(0, record.load.running + record.load.waiting - serverView.inFlightAtReport(record))
}

/** Share of the prompt, 0 to 1, that the backend server probably has in its cache. */
function cachedShareOf (
  record: serverView.ServerRecord, preferred: serverView.ServerRecord | undefined, query: RouteQuery
): number {
  const cached = query.cachedShare?.(record.identity.incarnation) ?? 0
  return record === preferred ? Math.max(cached, query.affinity!.share) : cached
}

/** Work that a new request is expected to find at the server, relative to the server's speed. */
function loadScoreOf (
  record: serverView.ServerRecord, nowMs: number, statistics: FleetStatistics, options: RouteOptions
): number {
  const ageMs = Math.max(0, nowMs - record.loadAtMs)
  // The reported requests end over time; without a newer report, the mean becomes the best estimate.
  const weight = Math.exp(-ageMs / statistics.memoryMs)
  const others = statistics.meanOthers + (othersAtReport(record) - statistics.meanOthers) * weight
  return (record.inFlight + others + 1) * slownessOf(record, statistics, options)
}

function slownessOf (record: serverView.ServerRecord, statistics: FleetStatistics, options: RouteOptions): number {
  if (statistics.typicalFirstByteMs === 0 || record.load.firstByteMs === 0) return 1
  const slowness = record.load.firstByteMs / statistics.typicalFirstByteMs
  return slowness <= options.normalSlowness ? 1 : Math.min(options.maxSlowness, slowness)
}

function slowStartShare (record: serverView.ServerRecord, nowMs: number, options: RouteOptions): number {
  if (options.slowStartMs === 0) return 1
  return Math.min(1, Math.max(SLOW_START_MIN_SHARE, (nowMs - record.returnedAtMs) / options.slowStartMs))
}

function affinityServerOf (
  candidates: readonly serverView.ServerRecord[], query: RouteQuery
): serverView.ServerRecord | undefined {
  if (query.affinity === undefined) return undefined
  let best: serverView.ServerRecord | undefined
  let bestWeight = -Infinity
  for (const record of candidates) {
    const weight = query.affinity.weight(record.identity.host)
    if (weight > bestWeight) [best, bestWeight] = [record, weight]
  }
  return best
}

function longestPrefixHolder (
  candidates: readonly serverView.ServerRecord[], query: RouteQuery
): serverView.ServerRecord | undefined {
  if (query.cachedShare === undefined) return undefined
  let best: serverView.ServerRecord | undefined
  let bestShare = 0
  for (const record of candidates) {
    const share = query.cachedShare(record.identity.incarnation)
    if (share > bestShare) [best, bestShare] = [record, share]
  }
  return best
}
