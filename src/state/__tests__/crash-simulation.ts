/**
 * Simulates gateways before one lock-step group, some of whose requests crash the rank that writes their response. A
 * crash stops the whole group for seconds and cuts all of its streams. Without a group, it stops one rank.
 */

import * as crashRecurrence from '../crash-recurrence.js'
import * as crashSuspects from '../crash-suspects.js'

export interface CrashLoad {
  gateways: number
  ranks: number
  requestsPerS: number
  /** Share of the first class's requests that have the crashing part. */
  crashingShare: number
  crashingFromMs: number
  crashingUntilMs: number
  /** Number of events that get out before the crash, as a share of those of the response and an absolute number. */
  crashAt: { share: number, events: number }
  /** Smallest and largest number of events of a response. */
  events: [smallest: number, largest: number]
  /** Whether a crash stops all ranks. */
  isGroup: boolean
  /** Number of backend servers that may run a request. */
  maxRuns: number
  /** Share of messages between gateways that are lost. */
  lossShare: number
  /** Times at which a rank crashes for a reason other than a request. */
  killsAtMs: number[]
  /** Times at which all ranks crash at once for such a reason. */
  powerLossesAtMs: number[]
  /** Whether requests with the same second part are sent to the same rank while it is up. */
  hasHomes: boolean
  /** Rank that crashes for such a reason half a second after each return; undefined for none. */
  failingRank: number | undefined
  durationMs: number
  /** What a gateway knows of a request. */
  featuresOf: (request: SimulatedRequest) => crashSuspects.Features
  /** Uniform in [0, 1). */
  random: () => number
}

export interface SimulatedRequest {
  id: number
  atMs: number
  isCrashing: boolean
  /** Ids of all parts of the prompt; the last one is the request's own. */
  parts: string[]
  /** When it could have been sent for the first time since the last crash. */
  offeredAtMs: number | undefined
  begunAtMs: number | undefined
  endedAtMs: number | undefined
  /** Number of events of the whole response, and of those that the client has. */
  events: number
  received: number
  lastEventAtMs: number
  attempts: number
  wasRefused: boolean
}

export interface CrashResult {
  requests: SimulatedRequest[]
  /** Times at which a crashing request crashed a rank. */
  crashesAtMs: number[]
  /** Times at which requests with the crashing part were sent to a rank. */
  crashingSentAtMs: number[]
  /** Number of times that the group stopped. */
  outages: number
  /** Features that a gateway blamed for crashes at any point of responses. */
  blamed: string[]
}

const CLASSES = 3
const DOCUMENTS_PER_CLASS = 40
const SERVICE = 'service'
/** Time for which the others refuse what one gateway blames. */
const BLAME_MS = 60_000
const FIRST_RESPONSE_MS = 150
const EVENT_INTERVAL_MS = 40
/** Time from a crash until the group is open again. */
const OUTAGE_MS = 3_500
const FAILING_RANK_UP_MS = 500
/** Time after which requests in the group are cut off once a rank is dead. */
const STALL_MS = 1_500
/** Time from a crash until the gateway whose connection broke is sure of it. */
const DETECTION_MS = 45
const MESSAGE_DELAY_MS = 2
const CHECK_INTERVAL_MS = 20
/** Clients leave a stream without an event after this time. */
const PATIENCE_MS = 2_000

interface Gateway {
  suspects: crashSuspects.CrashSuspects
  recurrence: crashRecurrence.CrashRecurrence
}

interface Running {
  startedAtMs: number
  request: SimulatedRequest
  gateway: number
  rank: number
  tried: string[]
  /** Number of events that arrived in this attempt. */
  events: number
  isResumed: boolean
  isOver: boolean
}

/** Runs the simulation. */
export function simulateCrashes (load: CrashLoad): CrashResult {
  const { random, featuresOf } = load
  const gateways = Array.from({ length: load.gateways }, (): Gateway => ({
    suspects: crashSuspects.createCrashSuspects(), recurrence: crashRecurrence.createCrashRecurrence()
  }))
  const waiting: SimulatedRequest[][] = Array.from({ length: load.gateways }, () => [])
  const running = new Set<Running>()
  const events: { atMs: number, act: () => void }[] = []
  const result: CrashResult = { requests: [], crashesAtMs: [], crashingSentAtMs: [], outages: 0, blamed: [] }
  const openAtMs = Array.from({ length: load.ranks }, () => 0)
  let [nowMs, incarnation] = [0, 0]
  at(0, arrive)
  at(0, check)
  for (const killAtMs of load.killsAtMs) at(killAtMs, () => { crash(Math.floor(random() * load.ranks)) })
  for (const lossAtMs of load.powerLossesAtMs) {
    at(lossAtMs, () => { for (let rank = 0; rank < load.ranks; rank++) crash(rank) })
  }
  if (load.failingRank !== undefined) failAgain(load.failingRank)
  while (nowMs < load.durationMs) {
    const next = events.shift()!
    nowMs = next.atMs
    next.act()
  }
  return result

  function at (atMs: number, act: () => void): void {
    let index = events.length
    while (index > 0 && events[index - 1]!.atMs > atMs) index -= 1
    events.splice(index, 0, { atMs, act })
  }

  function arrive (): void {
    at(nowMs - Math.log(1 - random()) * 1_000 / load.requestsPerS, arrive)
    const kind = Math.floor(random() * CLASSES)
    const [smallest, largest] = load.events
    const isCrashingTime = nowMs >= load.crashingFromMs && nowMs < load.crashingUntilMs
    const isCrashing = kind === 0 && random() < load.crashingShare && isCrashingTime
    const id = result.requests.length
    const document = `document-${kind}-${Math.floor(random() * DOCUMENTS_PER_CLASS)}`
    const request: SimulatedRequest = {
      id,
      atMs: nowMs,
      isCrashing,
      parts: [`class-${kind}`, isCrashing ? 'crashing' : document, `own-${id}`],
      offeredAtMs: undefined,
      begunAtMs: undefined,
      endedAtMs: undefined,
      events: largest === smallest ? smallest : smallest + Math.floor(random() * (largest - smallest + 1)),
      received: 0,
      lastEventAtMs: nowMs,
      attempts: 0,
      wasRefused: false
    }
    result.requests.push(request)
    waiting[Math.floor(random() * load.gateways)]!.push(request)
  }

  function check (): void {
    at(nowMs + CHECK_INTERVAL_MS, check)
    for (let gateway = 0; gateway < load.gateways; gateway++) serveWaiting(gateway)
  }

  function serveWaiting (gateway: number): void {
    const { suspects: state, recurrence } = gateways[gateway]!
    const present = waiting[gateway]!.filter(request => nowMs - request.lastEventAtMs < PATIENCE_MS)
    waiting[gateway] = present
    const blamed = crashRecurrence.decide(recurrence, nowMs, random)
    if (blamed.length > 0) {
      result.blamed.push(...blamed)
      tell(other => {
        for (const feature of blamed) crashRecurrence.applyBlamed(other.recurrence, feature, BLAME_MS, nowMs)
      })
    }
    if (openRanks().length === 0) return
    const counts = present.map(request => crashSuspects.suspectedFeatures(state, featuresOf(request), nowMs).length)
    const fewest = Math.min(...counts.filter(count => count > 0))
    waiting[gateway] = present.filter(request => {
      request.offeredAtMs ??= nowMs
      const isBlamed = crashRecurrence.isBlamed(recurrence, featuresOf(request), nowMs)
      const isHeld = crashRecurrence.isHeld(recurrence, SERVICE, featuresOf(request), nowMs)
      const verdict = isBlamed || isHeld
        ? isBlamed ? 'blamed' : 'wait'
        : crashSuspects.judge(state, featuresOf(request), {
          fewestSuspected: fewest, offeredForMs: nowMs - request.offeredAtMs
        }, nowMs)
      if (verdict === 'blamed') request.wasRefused = true
      else if (verdict !== 'wait') send(gateway, request)
      return verdict === 'wait'
    })
  }

  function send (gateway: number, request: SimulatedRequest): void {
    const state = gateways[gateway]!.suspects
    const tried = crashSuspects.suspectedFeatures(state, featuresOf(request), nowMs)
    crashSuspects.startTrial(state, tried, nowMs)
    crashRecurrence.noteSent(gateways[gateway]!.recurrence, SERVICE, featuresOf(request), nowMs)
    request.attempts += 1
    if (request.isCrashing) result.crashingSentAtMs.push(nowMs)
    const open = openRanks()
    const home = homeOf(request)
    const rank = load.hasHomes && open.includes(home) ? home : open[Math.floor(random() * open.length)]!
    const run: Running = {
      startedAtMs: nowMs, request, gateway, rank, tried, events: 0, isResumed: request.received > 0, isOver: false
    }
    running.add(run)
    at(nowMs + FIRST_RESPONSE_MS * (0.5 + random()), () => { begin(run) })
  }

  function homeOf ({ parts }: SimulatedRequest): number {
    return [...parts[1]!].reduce((sum, character) => sum * 31 + character.charCodeAt(0), 7) % load.ranks
  }

  function failAgain (rank: number): void {
    at(nowMs + OUTAGE_MS + FAILING_RANK_UP_MS, () => {
      crash(rank)
      failAgain(rank)
    })
  }

  function openRanks (): number[] {
    return [...openAtMs.keys()].filter(rank => nowMs >= openAtMs[rank]!)
  }

  function begin (run: Running): void {
    const { request } = run
    if (run.isOver || nowMs < openAtMs[run.rank]!) return
    const whole = request.events - request.received + run.events
    const crashEvents = Math.min(whole, Math.floor(load.crashAt.share * whole) + load.crashAt.events)
    if (request.isCrashing && run.events >= crashEvents) {
      result.crashesAtMs.push(nowMs)
      crash(run.rank)
      return
    }
    run.events += 1
    request.received += 1
    request.begunAtMs ??= nowMs
    request.lastEventAtMs = nowMs
    const isLast = request.received === request.events
    if (isLast && !request.isCrashing) {
      end(run)
      request.endedAtMs = nowMs
    } else at(nowMs + EVENT_INTERVAL_MS, () => { begin(run) })
    noteProgress(run, isLast && !request.isCrashing)
  }

  function noteProgress (run: Running, isLast: boolean): void {
    const [{ suspects, recurrence }, features] = [gateways[run.gateway]!, featuresOf(run.request)]
    const cleared = run.events === 1 ? crashSuspects.noteBegun(suspects, features) : []
    if (cleared.length > 0) {
      tell(other => { crashSuspects.applyCleared(other.suspects, cleared, nowMs, optionsOf(other)) })
    }
    if (!isLast || run.isResumed) return
    const place = { service: SERVICE, server: `rank-${run.rank}` }
    const whole = crashRecurrence.noteWhole(recurrence, place, features, nowMs - run.startedAtMs, nowMs)
    if (whole.length > 0) tell(other => { crashRecurrence.clear(other.recurrence, whole, nowMs) })
  }

  function tell (apply: (gateway: Gateway) => void): void {
    at(nowMs + MESSAGE_DELAY_MS, () => {
      for (const gateway of gateways) if (load.lossShare === 0 || random() >= load.lossShare) apply(gateway)
    })
  }

  function end (run: Running): void {
    run.isOver = true
    running.delete(run)
    const { suspects, recurrence } = gateways[run.gateway]!
    crashSuspects.endTrial(suspects, run.tried)
    const place = { service: SERVICE, server: `rank-${run.rank}` }
    crashRecurrence.noteRun(recurrence, place, featuresOf(run.request), nowMs - run.startedAtMs, nowMs)
  }

  function crash (rank: number): void {
    if (nowMs >= openAtMs[rank]!) result.outages += 1
    if (load.isGroup) openAtMs.fill(nowMs + OUTAGE_MS)
    else openAtMs[rank] = nowMs + OUTAGE_MS
    for (const request of waiting.flat()) request.offeredAtMs = undefined
    const backend = `rank-${rank} ${incarnation++}`
    for (const run of [...running]) {
      if (run.rank === rank) interrupt(run, backend)
      else if (load.isGroup) at(nowMs + STALL_MS, () => { requeue(run) })
    }
  }

  function interrupt (run: Running, backend: string): void {
    end(run)
    const { request, tried, gateway } = run
    const interrupted = { ...featuresOf(request), backend, tried }
    const hasBegun = run.events > 0
    at(nowMs + DETECTION_MS, () => {
      request.offeredAtMs = undefined
      if (request.attempts < load.maxRuns) waiting[gateway]!.push(request)
      tell(other => {
        if (!hasBegun) crashSuspects.noteCrash(other.suspects, interrupted, nowMs, optionsOf(other))
        crashRecurrence.noteCrash(other.recurrence, {
          ...interrupted, call: String(request.id), service: SERVICE, server: `rank-${run.rank}`
        }, nowMs)
      })
    })
  }

  function optionsOf ({ recurrence }: Gateway): crashSuspects.BlameOptions {
    return { isCommon: part => crashRecurrence.isCommon(recurrence, part, nowMs), random }
  }

  function requeue (run: Running): void {
    if (run.isOver) return
    end(run)
    run.request.offeredAtMs = undefined
    waiting[run.gateway]!.push(run.request)
  }
}
