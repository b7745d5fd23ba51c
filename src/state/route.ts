/**
 * Choice of a backend server for one attempt. The score of a server is the work expected ahead of a new request,
 * in requests: the entry's own requests in flight plus those of others, as far as a report with a lag can tell.
 */

import * as serverView from './server-view.js'

export interface RouteQuery {
  target: serverView.Served
  /** Incarnations that an earlier attempt of the request already used. */
  excluded: ReadonlySet<string>
  nowMs: number
  /** Share of the prompt, 0 to 1, that the backend server with this incarnation probably holds in its cache. */
  cachedShare?: (incarnation: string) => number
  /**
   * Where the prompt's first part belongs: the host with the largest weight. All entries that give the same weights
   * agree on the server without a message, so that it probably holds this share of the prompt.
   */
  affinity?: { share: number, weight: (host: string) => number }
  /**
   * For a suspected request: all entries that give the same weights choose the same server, so that copies of it
   * wait for each other there and do not crash a server each. The largest weight wins.
   */
  trialWeight?: (incarnation: string) => number
}

/** Figures behind a choice, for the explanation of a request. */
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
  /** Score of the last pick, for its explanation. */
  lastScore? (): number
}

export interface RouteOptions {
  /** Candidates that are compared. */
  choices: number
  /**
   * `random` draws them independently; `deck` draws without replacement and shuffles again at the end; `turns` takes
   * those that had no request for longest.
   */
  draw: 'random' | 'deck' | 'turns'
  /** With `turns`, a candidate whose score is this much above the least keeps its turn no longer. */
  turnMargin: number
  /** Longest time after which the difference between a report and the mean of all reports has shrunk to 1/e. */
  loadMemoryMs: number
  /** That time is at most this multiple of the mean time of a request, after which those in a report have ended. */
  memoryPerWork: number
  /** Most that a full prefix hit takes off the score, in requests. */
  maxPrefixGain: number
  /** Times to first byte up to this multiple of the typical one count as normal. */
  normalSlowness: number
  /** Most that a slow server's score is multiplied with; 1 ignores slowness. */
  maxSlowness: number
  /** Time that a server takes to its full share after it came into rotation; 0 gives it at once. */
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
/** Servers that the typical time to first byte is estimated from. */
const FIRST_BYTE_SAMPLE = 15
/** Requests that a mean time is estimated from at least. */
const MIN_ENDED_REQUESTS = 10

/**
 * A few candidates, of which the lowest score wins. Each entry compares those that it has not used for longest: its
 * requests then reach the servers as evenly as by round robin where the reports say little, and only few candidates
 * at a time bound herding on delayed reports.
 */
export class LeastExpectedWork implements RoutePolicy {
  readonly #options: RouteOptions
  /** By target: with `deck` the servers not yet drawn in this pass, with `turns` all, the longest unused one first. */
  readonly #decks = new Map<string, serverView.ServerRecord[]>()
  #lastScore = 0

  constructor (options: RouteOptions = DEFAULT_ROUTE_OPTIONS) {
    this.#options = options
  }

  pick (
    candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const fleet = computeFleetStatistics(candidates, this.#options, random)
    const drawn = this.#options.draw === 'turns'
      ? this.#nextInTurn(candidates, query, random)
      : Array.from({ length: this.#options.choices }, () => this.#draw(candidates, query, random))
    const turns = [...drawn]
    // The servers that probably hold the prefix are compared too; their gain is bounded, so load still decides.
    const place = affinityServerOf(candidates, query)
    for (const holder of [place, longestPrefixHolder(candidates, query)]) {
      if (holder !== undefined && !drawn.includes(holder)) drawn.push(holder)
    }
    const largestShare = Math.max(...drawn.map(record => slowStartShare(record, query.nowMs, this.#options)))
    let best: serverView.ServerRecord | undefined
    let bestScore = Infinity
    const heldBack = new Set<serverView.ServerRecord>()
    for (const record of drawn) {
      const expected = loadScoreOf(record, query.nowMs, fleet, this.#options) -
        this.#options.maxPrefixGain * cachedShareOf(record, place, query)
      const share = slowStartShare(record, query.nowMs, this.#options) / largestShare
      // A returning server is compared on equal terms for its share of the requests. With the reduced score alone it
      // would lose every comparison while the others are idle, and get no work until the slow start is over.
      const isEqual = share === 1 || random() < share
      if (!isEqual) heldBack.add(record)
      const score = isEqual ? expected : expected / share
      if (best === undefined || score < bestScore) [best, bestScore] = [record, score]
    }
    this.#lastScore = bestScore
    if (this.#options.draw === 'turns') this.#endTurns(turns, best!, heldBack, query, fleet)
    return best!
  }

  lastScore (): number { return this.#lastScore }

  #nextInTurn (
    candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number
  ): serverView.ServerRecord[] {
    const key = keyOf(query.target)
    const present = new Set(candidates)
    let line = this.#decks.get(key) ?? []
    const known = new Set(line)
    const added = candidates.filter(record => !known.has(record))
    if (added.length > 0) {
      line = [...line.filter(record => present.has(record)), ...shuffled(added, random)]
      this.#decks.set(key, line)
    }
    const next: serverView.ServerRecord[] = []
    for (let index = 0; index < line.length && next.length < this.#options.choices; index++) {
      if (present.has(line[index]!)) next.push(line[index]!)
    }
    return next
  }

  /**
   * The chosen server and those with clearly more load go to the end; the others are compared again next time. So do
   * returning servers that were held back, which would otherwise try their share at every request.
   */
  #endTurns (
    turns: readonly serverView.ServerRecord[],
    chosen: serverView.ServerRecord,
    heldBack: ReadonlySet<serverView.ServerRecord>,
    query: RouteQuery,
    fleet: FleetStatistics
  ): void {
    const line = this.#decks.get(keyOf(query.target))!
    const loads = turns.map(record => loadScoreOf(record, query.nowMs, fleet, this.#options))
    const least = Math.min(...loads)
    const ended = turns.filter((record, index) =>
      record !== chosen && (heldBack.has(record) || loads[index]! >= least + this.#options.turnMargin))
    for (const record of [...ended, chosen]) {
      const index = line.indexOf(record)
      if (index >= 0) line.push(...line.splice(index, 1))
    }
  }

  #draw (
    candidates: serverView.ServerRecord[], query: RouteQuery, random: () => number
  ): serverView.ServerRecord {
    if (this.#options.draw === 'random') return candidates[Math.floor(random() * candidates.length)]!
    const key = keyOf(query.target)
    const present = new Set(candidates)
    let deck = this.#decks.get(key) ?? []
    for (;;) {
      const drawn = deck.pop()
      if (drawn !== undefined && present.has(drawn)) return drawn
      if (drawn !== undefined) continue
      deck = shuffled(candidates, random)
      this.#decks.set(key, deck)
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

/** Picks a backend server that serves the target, is in rotation and was not tried yet. */
export function chooseServer (
  view: serverView.ServerView, query: RouteQuery, policy: RoutePolicy, random: () => number
): RouteChoice {
  const serving = [...view.servers.values()].filter(record => serverView.servesTarget(record.identity, query.target))
  if (serving.length === 0) return { kind: 'none', reason: 'unknown_target' }
  const usable = serving.filter(record =>
    record.load.status === 'serving' && !view.withdrawnHosts.has(record.identity.host) &&
    !query.excluded.has(record.identity.incarnation))
  const inRotation = usable.filter(record => record.ejectedUntilMs <= query.nowMs)
  // With every candidate ejected, trying one is better than refusing everything.
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
  /** Servers in rotation that offer the target. */
  servers: number
  /** Requests that they can take on, as far as this entry knows. */
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

/** Figures over all candidates that a single score refers to. */
export interface FleetStatistics {
  /** Mean of the requests of others on a backend server. */
  meanOthers: number
  typicalFirstByteMs: number
  /** Time after which the difference between a report and the mean of all reports has shrunk to 1/e. */
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
    memoryMs: memoryOf(candidates, options)
  }
}

function memoryOf (candidates: readonly serverView.ServerRecord[], options: RouteOptions): number {
  let totalMs = 0
  let ended = 0
  for (const { recentWork } of candidates) {
    totalMs += recentWork.totalMs
    ended += recentWork.ended
  }
  if (ended < MIN_ENDED_REQUESTS) return options.loadMemoryMs
  return Math.max(1, Math.min(options.loadMemoryMs, options.memoryPerWork * totalMs / ended))
}

/** Requests that other entries had on the backend server when it made its report. */
function othersAtReport (record: serverView.ServerRecord): number {
  return Math.max(0, record.load.running + record.load.waiting - serverView.inFlightAtReport(record))
}

/** Share of the prompt, 0 to 1, that the backend server probably holds in its cache. */
function cachedShareOf (
  record: serverView.ServerRecord, place: serverView.ServerRecord | undefined, query: RouteQuery
): number {
  const cached = query.cachedShare?.(record.identity.incarnation) ?? 0
  return record === place ? Math.max(cached, query.affinity!.share) : cached
}

/** Expected work ahead of a new request, relative to the server's speed. */
function loadScoreOf (
  record: serverView.ServerRecord, nowMs: number, fleet: FleetStatistics, options: RouteOptions
): number {
  const ageMs = Math.max(0, nowMs - record.loadAtMs)
  // Requests that were seen have ended by and by; without a newer report the mean is the best estimate.
  const weight = Math.exp(-ageMs / fleet.memoryMs)
  const others = fleet.meanOthers + (othersAtReport(record) - fleet.meanOthers) * weight
  return (record.inFlight + others + 1) * slownessOf(record, fleet, options)
}

function slownessOf (record: serverView.ServerRecord, fleet: FleetStatistics, options: RouteOptions): number {
  if (fleet.typicalFirstByteMs === 0 || record.load.firstByteMs === 0) return 1
  const slowness = record.load.firstByteMs / fleet.typicalFirstByteMs
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
