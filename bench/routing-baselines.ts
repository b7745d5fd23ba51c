/**
 * Baseline routing policies, with which the experiments compare the project's own.
 */

import type * as route from '../src/state/route.js'
import type * as serverView from '../src/state/server-view.js'

export class RandomPolicy implements route.RoutePolicy {
  pick (
    candidates: serverView.ServerRecord[], _query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    return candidates[Math.floor(random() * candidates.length)]!
  }
}

export class RoundRobinPolicy implements route.RoutePolicy {
  #next: number

  constructor (start: number) {
    this.#next = start
  }

  pick (candidates: serverView.ServerRecord[]): serverView.ServerRecord {
    return candidates[this.#next++ % candidates.length]!
  }
}

/** Picks the server with the lowest reported load, and one of them at random when several have it. */
export class LeastReportedPolicy implements route.RoutePolicy {
  pick (
    candidates: serverView.ServerRecord[], _query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const lowest = Math.min(...candidates.map(reportedLoad))
    const tied = candidates.filter(record => reportedLoad(record) === lowest)
    return tied[Math.floor(random() * tied.length)]!
  }
}

/** Picks the one with the lower reported load of two servers drawn at random. */
export class PlainPowerOfTwoPolicy implements route.RoutePolicy {
  pick (
    candidates: serverView.ServerRecord[], _query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const first = candidates[Math.floor(random() * candidates.length)]!
    const second = candidates[Math.floor(random() * candidates.length)]!
    return reportedLoad(first) <= reportedLoad(second) ? first : second
  }
}

/**
 * The project's earlier policy, power of two choices: the larger of own and reported load, relative to the concurrency
 * limit and multiplied by the age of a stale report.
 */
export class AgePenaltyPolicy implements route.RoutePolicy {
  pick (
    candidates: serverView.ServerRecord[], query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const first = candidates[Math.floor(random() * candidates.length)]!
    const second = candidates[Math.floor(random() * candidates.length)]!
    return agePenaltyScore(first, query.nowMs) <= agePenaltyScore(second, query.nowMs) ? first : second
  }
}

/** Age from which a report is stale. */
const REPORT_STALE_MS = 3_000

function agePenaltyScore (record: serverView.ServerRecord, nowMs: number): number {
  const ageMs = nowMs - record.reportedAtMs
  const staleness = ageMs > REPORT_STALE_MS ? ageMs / REPORT_STALE_MS : 1
  const sentSinceReport = record.inFlightChanges.filter((change, index, all) =>
    change.atMs > record.loadAtMs && change.inFlight > (all[index - 1]?.inFlight ?? 0)).length
  const expected = Math.max(record.inFlight, reportedLoad(record) + sentSinceReport) + 1
  return expected * staleness / Math.max(1, record.load.concurrencyLimit)
}

function reportedLoad (record: serverView.ServerRecord): number {
  return record.load.running + record.load.waiting
}
