/**
 * Experiment: admission policies under overload, with one team whose load rises far above its limit.
 */

import * as experiment from './experiment.js'
import * as littlesLawLimit from './littles-law.js'
import * as sharingModel from './sharing-model.js'
import * as virtualClock from './virtual-clock.js'
import * as admission from '../src/state/admission.js'
import * as concurrencyLimit from '../src/state/concurrency-limit.js'
import * as teamLimits from '../src/state/team-limits.js'

interface Variant {
  name: string
  hasTeamLimits: boolean
  /**
   * Order of waiting calls: `none` sends everything at once; `arrival` is first in, first out; `priority` is by
   * priority and deadline; `shares` has a queue by deadline for each priority, with a share of the throughput.
   */
  order: 'none' | 'arrival' | 'priority' | 'shares'
  limit: () => concurrencyLimit.ConcurrencyLimit
}

interface Team {
  name: string
  priority: number
  /** Offered load relative to the capacity. */
  load: number
  /** Rate limit relative to the capacity. */
  limit: number
}

interface Figures {
  /** Answers within the deadline relative to the capacity. */
  goodput: number
  urgentP95Ms: number
  /** Share of the team's calls that are answered within their deadline. */
  urgentShare: number
  normalShare: number
  /** Time from arrival to refusal. */
  refusalP99Ms: number
  /** Refusals after more than 20 ms, relative to all refusals. */
  lateRefusals: number
}

const ENTRIES = 4
const SERVERS = 16
/** Maximum number of concurrent requests that a server runs at full speed. */
const BATCH = 8
const MEAN_WORK_MS = 400
/** Target latency of the adaptive limits: 1.6 times the mean latency of an idle server. */
const TARGET_MS = 640
const DEADLINE_MS = 3_000
const URGENT_DEADLINE_MS = 1_500
const CAPACITY_PER_SECOND = SERVERS * BATCH * 1000 / MEAN_WORK_MS
const WARM_UP_MS = 10_000
const END_MS = 50_000
/** Capacity is halved between these times in runs with a drop. */
const DROP_FROM_MS = 25_000
const DROP_UNTIL_MS = 35_000
/** A refusal counts as late after this time. */
const LATE_REFUSAL_MS = 20
const TICK_MS = 20
const ADAPTIVE = { targetMs: TARGET_MS, min: 2, initial: 8 }
/** Throughput shares of the priorities 1, 5 and 7. */
const SHARES: Record<number, number> = { 1: 0.5, 5: 0.3, 7: 0.2 }

interface WaitingCall extends admission.QueuedCall {
  team: Team
  arrivedMs: number
  workMs: number
}

function runOnce (variant: Variant, load: number, hasDrop: boolean, seed: number): Figures {
  const clock = new virtualClock.VirtualClock()
  const random = virtualClock.seededRandom(seed)
  const teams: Team[] = [
    { name: 'urgent', priority: 1, load: 0.15, limit: 0.3 },
    { name: 'normal', priority: 5, load: 0.25, limit: 0.5 },
    { name: 'flood', priority: 7, load: load - 0.4, limit: 0.8 }
  ]
  const servers = Array.from({ length: SERVERS }, () => ({
    model: new sharingModel.SharingModel(clock, BATCH), limit: variant.limit()
  }))
  const entries = Array.from({ length: ENTRIES }, (_, index) => ({
    limits: teamLimits.createTeamLimits(`e${index}`),
    /** One queue, or one for each priority that has a share of the throughput. */
    queues: new Map<number, admission.AdmissionQueue>(),
    waiting: new Map<string, WaitingCall>(),
    /** Calls sent for each priority, decaying over some seconds. */
    served: new Map<number, number>()
  }))
  type Entry = typeof entries[number]
  let lastId = 0
  let inTime = 0
  const latencies = new Map<string, number[]>(teams.map(team => [team.name, []]))
  const inTimeByTeam = new Map<string, number>()
  const offeredByTeam = new Map<string, number>()
  const refusalsMs: number[] = []

  clock.every(1_000, exchange)
  clock.every(TICK_MS, () => { for (const entry of entries) sendQueued(entry) })
  clock.every(1_000, () => {
    for (const entry of entries) for (const [priority, served] of entry.served) entry.served.set(priority, served * 0.7)
  })
  if (hasDrop) {
    clock.after(DROP_FROM_MS, () => servers.forEach(server => server.model.setBatch(BATCH / 2)))
    clock.after(DROP_UNTIL_MS, () => servers.forEach(server => server.model.setBatch(BATCH)))
  }
  teams.forEach(nextArrival)
  clock.runUntil(END_MS)
  const share = (name: string): number => (inTimeByTeam.get(name) ?? 0) / Math.max(1, offeredByTeam.get(name) ?? 0)
  return {
    goodput: inTime * 1000 / (END_MS - WARM_UP_MS) / CAPACITY_PER_SECOND,
    urgentP95Ms: experiment.percentile(latencies.get('urgent')!, 0.95),
    urgentShare: share('urgent'),
    normalShare: share('normal'),
    refusalP99Ms: experiment.percentile(refusalsMs, 0.99),
    lateRefusals: refusalsMs.filter(ms => ms > LATE_REFUSAL_MS).length / Math.max(1, refusalsMs.length)
  }

  function nextArrival (team: Team): void {
    clock.after(virtualClock.exponential(1000 / (team.load * CAPACITY_PER_SECOND), random), () => {
      arrive(team)
      nextArrival(team)
    })
  }

  function exchange (): void {
    const announced = entries.map(entry => teamLimits.announceDemand(entry.limits, clock.nowMs))
    entries.forEach((entry, own) => announced.forEach((demand, other) => {
      if (own !== other) teamLimits.applyDemand(entry.limits, `e${other}`, demand, clock.nowMs)
    }))
  }

  function arrive (team: Team): void {
    const entry = entries[Math.floor(random() * ENTRIES)]!
    const call: WaitingCall = {
      id: `c${++lastId}`,
      priority: team.priority,
      deadlineAtMs: clock.nowMs + (team.name === 'urgent' ? URGENT_DEADLINE_MS : DEADLINE_MS),
      team,
      arrivedMs: clock.nowMs,
      workMs: virtualClock.exponential(MEAN_WORK_MS, random)
    }
    if (isMeasured(call)) offeredByTeam.set(team.name, (offeredByTeam.get(team.name) ?? 0) + 1)
    if (variant.hasTeamLimits) {
      const decision = teamLimits.admit(entry.limits, team.name, {
        requestsPerSecond: team.limit * CAPACITY_PER_SECOND, concurrentRequests: 10_000
      }, clock.nowMs)
      if (decision !== 'admitted') return refuse(call)
    }
    const queue = queueOf(entry, team)
    if (variant.order === 'none' || (queue.calls.length === 0 && hasFreePlace())) return send(entry, call)
    const queued = variant.order === 'priority' ? call : { ...call, priority: team.priority === 1 ? 1 : 5 }
    const ordered = variant.order === 'arrival'
      ? { ...call, priority: 5, deadlineAtMs: clock.nowMs + DEADLINE_MS }
      : queued
    const result = admission.offer(queue, ordered, admission.DEFAULT_QUEUE_OPTIONS, clock.nowMs)
    if (result === 'queued') entry.waiting.set(call.id, call)
    else {
      teamLimits.release(entry.limits, team.name)
      refuse(call)
    }
  }

  function hasFreePlace (): boolean {
    return servers.some(server => server.model.inFlight < server.limit.limit())
  }

  function queueOf (entry: Entry, team: Team): admission.AdmissionQueue {
    const key = variant.order === 'shares' ? team.priority : 0
    const queue = entry.queues.get(key) ?? admission.createQueue(clock.nowMs)
    entry.queues.set(key, queue)
    return queue
  }

  /** Of the queues with calls, the one whose priority is furthest below its share of the throughput. */
  function nextQueue (entry: Entry): admission.AdmissionQueue | undefined {
    const filled = [...entry.queues].filter(([, queue]) => queue.calls.length > 0)
    const usedShare = (priority: number): number => (entry.served.get(priority) ?? 0) / (SHARES[priority] ?? 1)
    return filled.sort(([a], [b]) => usedShare(a) - usedShare(b))[0]?.[1]
  }

  function sendQueued (entry: Entry): void {
    for (let queue = nextQueue(entry); queue !== undefined && hasFreePlace(); queue = nextQueue(entry)) {
      const result = admission.take(queue, clock.nowMs)
      for (const dropped of result.dropped) drop(entry, dropped.id)
      if (result.next === undefined) continue
      const call = entry.waiting.get(result.next.id)!
      entry.waiting.delete(call.id)
      send(entry, call)
    }
  }

  function drop (entry: Entry, id: string): void {
    const call = entry.waiting.get(id)!
    entry.waiting.delete(id)
    teamLimits.release(entry.limits, call.team.name)
    refuse(call)
  }

  function send (entry: Entry, call: WaitingCall): void {
    const queue = queueOf(entry, call.team)
    admission.noteServed(queue, clock.nowMs)
    entry.served.set(call.team.priority, (entry.served.get(call.team.priority) ?? 0) + 1)
    const free = servers.filter(server => variant.order === 'none' || server.model.inFlight < server.limit.limit())
    const first = free[Math.floor(random() * free.length)]!
    const second = free[Math.floor(random() * free.length)]!
    const server = first.model.inFlight <= second.model.inFlight ? first : second
    const sentMs = clock.nowMs
    server.model.submit(call.workMs, () => {
      server.limit.noteLatency(clock.nowMs - sentMs, server.model.inFlight + 1, clock.nowMs)
      admission.noteServiceTime(queue, clock.nowMs - sentMs)
      if (variant.hasTeamLimits) teamLimits.release(entry.limits, call.team.name)
      if (isMeasured(call)) {
        latencies.get(call.team.name)!.push(clock.nowMs - call.arrivedMs)
        if (clock.nowMs <= call.deadlineAtMs) {
          inTime += 1
          inTimeByTeam.set(call.team.name, (inTimeByTeam.get(call.team.name) ?? 0) + 1)
        }
      }
      sendQueued(entry)
    })
  }

  function refuse (call: WaitingCall): void {
    if (isMeasured(call)) refusalsMs.push(clock.nowMs - call.arrivedMs)
  }

  function isMeasured (call: WaitingCall): boolean {
    return call.arrivedMs >= WARM_UP_MS
  }
}

const fixed = (depth: number) => () => new concurrencyLimit.FixedLimit(depth)
const additive = (max: number) => () => new concurrencyLimit.AdditiveIncreaseLimit({ ...ADAPTIVE, max })
const littlesLaw = (max: number) => () => new littlesLawLimit.LittlesLawLimit({ ...ADAPTIVE, max })

const limited = (
  name: string, order: Variant['order'], limit: Variant['limit']
): Variant => ({ name, hasTeamLimits: true, order, limit })

const variants: Variant[] = [
  { name: 'no admission', hasTeamLimits: false, order: 'none', limit: fixed(1e9) },
  limited('team limits only', 'none', fixed(1e9)),
  limited('fixed 8, by arrival', 'arrival', fixed(8)),
  limited('fixed 8, by priority', 'priority', fixed(8)),
  limited('additive increase up to 8, by priority', 'priority', additive(8)),
  limited('Little\'s law up to 8, by priority', 'priority', littlesLaw(8)),
  limited('fixed 8, deadlines under shares', 'shares', fixed(8)),
  limited('Little\'s law up to 8, deadlines under shares', 'shares', littlesLaw(8)),
  limited('fixed 32, by priority', 'priority', fixed(32)),
  limited('additive increase up to 32, by priority', 'priority', additive(32)),
  limited('Little\'s law up to 32, by priority', 'priority', littlesLaw(32)),
  limited('Little\'s law up to 32, deadlines under shares', 'shares', littlesLaw(32))
]

const LOADS = [0.5, 0.8, 1, 1.25, 1.5, 2, 2.5, 3]

export const admissionExperiment: experiment.Experiment = {
  name: 'admission',
  description: '4 entries, 16 servers, load from 0.5 to 3 times capacity with one team that floods',
  async run ({ seeds }) {
    const tables = [false, true].map(hasDrop => {
      const rows = variants.flatMap(variant => LOADS.map(load => {
        const runs = seeds.map(seed => runOnce(variant, load, hasDrop, seed))
        const figure = (name: keyof Figures, digits: number): string =>
          experiment.spread(runs.map(run => run[name]), digits)
        return [variant.name, load, figure('goodput', 3), figure('urgentP95Ms', 0), figure('urgentShare', 3),
          figure('normalShare', 3), figure('refusalP99Ms', 1), figure('lateRefusals', 4)]
      }))
      return {
        title: hasDrop ? 'capacity halved from 25 s to 35 s of 50 s' : 'constant capacity',
        columns: ['policy', 'load', 'goodput', 'urgent p95 ms', 'urgent in time', 'normal in time', 'refusal p99 ms',
          'late refusals'],
        rows
      }
    })
    return { tables, conclusions: [] }
  }
}
