/**
 * Many entries before backend servers that state limits, on a virtual clock. The queue and the gate of each entry are
 * the real ones.
 */

import * as events from 'node:events'
import * as random from 'pure-rand/distribution/uniformInt'
import * as generator from 'pure-rand/generator/xoroshiro128plus'
import * as vitest from 'vitest'
import * as backendLimits from '../../../state/backend-limits.js'
import * as backendPool from '../../../state/backend-pool.js'
import * as textMetrics from '../../../transport/text-metrics.js'
import * as limitGate from '../limit-gate.js'
import * as serviceQueue from '../service-queue.js'
import type * as limitMessages from '../../../protocol/limit-messages.js'

const { vi } = vitest

/** The limit is judged from this time after it was stated first. */
const GRACE_MS = 3_000
const WINDOW_MS = 4_000
/** An entry counts as told this long after it has passed on a response that states the limit. */
const TOLD_MS = 500
const STATUS_INTERVAL_MS = 300
const SILENT_MS = 1_200
const FORGOTTEN_MS = 30_000
const STEP_MS = 10
const CALL_DEADLINE_MS = 3_000
const CALL_TARGET_MS = 400
const SERVICE = 's'

export interface SimulationOptions {
  seed: number
  entries: number
  servers: number
  /** Requests a second at all entries together; the first entries get most of them. */
  perSecond: number
  /** Share of the datagrams that are lost. */
  loss?: number
}

interface Arrival {
  atMs: number
  entry: number
}

interface SimulatedServer {
  row: backendPool.BackendRow
  limit: number | undefined
  limitedSinceMs: number | undefined
  arrivals: Arrival[]
  /** When each entry passed on a response that states the limit, by number of the entry. */
  toldAtMs: Map<number, number>
}

interface SimulatedEntry {
  number: number
  address: string
  pool: backendPool.BackendPool
  queue: serviceQueue.ServiceQueue
  gate: limitGate.LimitGate
  controller: AbortController
  frozenUntilMs: number
  /** Entries of different parts don't hear each other. */
  part: number
  heardAtMs: Map<number, number>
  weight: number
}

export interface Outcome {
  atMs: number
  kind: 'served' | 'refused' | 'aborted'
  tookMs: number
}

export class LimitSimulation {
  readonly servers: SimulatedServer[]
  readonly outcomes: Outcome[] = []
  readonly #options: SimulationOptions
  readonly #generator: ReturnType<typeof generator.xoroshiro128plus>
  readonly #entries: SimulatedEntry[] = []
  #isStopped = false

  constructor (options: SimulationOptions) {
    this.#options = options
    this.#generator = generator.xoroshiro128plus(options.seed)
    vi.useFakeTimers({ now: 1_000_000 })
    this.servers = Array.from({ length: options.servers }, (_, index) => ({
      row: {
        id: `b${index}`,
        startedAtUnixMs: 1,
        service: SERVICE,
        address: `10.0.1.${index}:80`,
        failureDomain: 'd',
        slots: 8,
        state: 'ready',
        group: undefined
      },
      limit: undefined,
      limitedSinceMs: undefined,
      arrivals: [],
      toldAtMs: new Map()
    }))
    for (let number = 0; number < options.entries; number++) this.#entries.push(this.#createEntry(number))
  }

  stop (): void {
    this.#isStopped = true
    for (const entry of this.#entries) entry.controller.abort()
    vi.useRealTimers()
  }

  limit (server: number, perSecond: number | undefined): void {
    this.servers[server]!.limit = perSecond
    if (perSecond !== undefined) this.servers[server]!.limitedSinceMs ??= Date.now()
  }

  kill (number: number): void {
    this.#entries[number]!.controller.abort()
  }

  /** Starts an entry again, without any knowledge. */
  restart (number: number): void {
    this.kill(number)
    this.#entries[number] = this.#createEntry(number)
    for (const server of this.servers) server.toldAtMs.delete(number)
  }

  freeze (number: number, forMs: number): void {
    this.#entries[number]!.frozenUntilMs = Date.now() + forMs
  }

  /** Sets an entry's part of the requests. */
  setWeight (number: number, weight: number): void {
    this.#entries[number]!.weight = weight
  }

  /** Cuts off entries from the others, or joins all again. */
  cut (numbers: readonly number[]): void {
    for (const entry of this.#entries) entry.part = numbers.includes(entry.number) ? 1 : 0
  }

  /** Number of the entry that grants permits. */
  get coordinator (): number {
    const entry = this.#entries.find(candidate => this.#isRunning(candidate) && candidate.gate.isCoordinator(SERVICE))
    return entry?.number ?? 0
  }

  async run (forMs: number): Promise<void> {
    const endMs = Date.now() + forMs
    const calls: Promise<void>[] = []
    while (Date.now() < endMs) {
      for (const entry of this.#entries) {
        if (!this.#isRunning(entry)) continue
        const perStep = this.#options.perSecond * entry.weight * STEP_MS / 1_000
        if (this.#random() < perStep) calls.push(this.#serveCall(entry))
        if (Date.now() % STATUS_INTERVAL_MS < STEP_MS) this.#sendStatus(entry)
      }
      await vi.advanceTimersByTimeAsync(STEP_MS)
    }
  }

  /**
   * Highest number of requests in a window, relative to what is allowed.
   * @param server number of the server. @param excused entries whose requests don't count.
   */
  worstRatio (server: number, perSecond: number, excused: readonly number[] = []): number {
    const { arrivals, toldAtMs, limitedSinceMs } = this.servers[server]!
    const counted = arrivals.filter(({ atMs, entry }) => atMs >= limitedSinceMs! + GRACE_MS &&
      !excused.includes(entry) && (toldAtMs.get(entry) ?? Infinity) + TOLD_MS <= atMs)
    const most = Math.max(0, ...counted.map(({ atMs }, index) =>
      counted.slice(index).filter(other => other.atMs < atMs + WINDOW_MS).length))
    return most / (1.5 * perSecond * WINDOW_MS / 1_000 + 5)
  }

  /** Requests at a server since a time. */
  arrivalsSince (server: number, sinceMs: number): number {
    return this.servers[server]!.arrivals.filter(({ atMs }) => atMs >= sinceMs).length
  }

  #random (): number {
    return random.uniformInt(this.#generator, 0, 0x7fffffff) / 0x80000000
  }

  #isRunning (entry: SimulatedEntry): boolean {
    return !entry.controller.signal.aborted && entry.frozenUntilMs <= Date.now()
  }

  #createEntry (number: number): SimulatedEntry {
    const pool = backendPool.createPool()
    backendPool.setRows(pool, this.servers.map(server => server.row), 0)
    const controller = new AbortController()
    events.EventEmitter.setMaxListeners(0, controller.signal)
    const runtime = {
      nowMs: () => Date.now(),
      random: () => this.#random(),
      log: { emit: () => {} },
      metrics: textMetrics.createTextMetrics()
    }
    const address = `10.0.0.${number + 1}:70`
    const gate: limitGate.LimitGate = new limitGate.LimitGate({
      runtime,
      pool,
      queue: () => queue,
      self: address,
      readyEntries: () => [...this.#heardBy(entry, SILENT_MS).map(other => other.address), address],
      entryCounts: () => ({
        heard: this.#heardBy(entry, SILENT_MS).length + 1, known: this.#heardBy(entry, FORGOTTEN_MS).length + 1
      }),
      sendTo: (to, message) => { this.#deliver(entry, this.#entries.find(other => other.address === to), message) },
      broadcast: message => {
        for (const other of this.#heardBy(entry, SILENT_MS)) this.#deliver(entry, other, message)
      },
      signal: controller.signal
    })
    const queue: serviceQueue.ServiceQueue = new serviceQueue.ServiceQueue({
      runtime,
      pool,
      failureDomain: 'd',
      gatewayCount: () => this.#options.entries,
      backlogAtLimit: service => gate.backlog(service),
      onWaiting: service => { gate.noteWaiting(service) },
      signal: controller.signal
    })
    const weights = Array.from({ length: this.#options.entries }, (_, index) => 1 / (index + 1))
    const weight = weights[number]! / weights.reduce((sum, value) => sum + value, 0)
    const entry: SimulatedEntry = {
      number, address, pool, queue, gate, controller, frozenUntilMs: 0, part: 0, heardAtMs: new Map(), weight
    }
    return entry
  }

  #heardBy (entry: SimulatedEntry, withinMs: number): SimulatedEntry[] {
    return this.#entries.filter(other =>
      other.number !== entry.number && Date.now() - (entry.heardAtMs.get(other.number) ?? -Infinity) <= withinMs)
  }

  #sendStatus (entry: SimulatedEntry): void {
    for (const other of this.#entries) {
      if (other !== entry && other.part === entry.part) other.heardAtMs.set(entry.number, Date.now())
    }
  }

  #deliver (from: SimulatedEntry, to: SimulatedEntry | undefined, message: limitMessages.LimitMessage): void {
    if (to === undefined || from.part !== to.part || this.#random() < (this.#options.loss ?? 0)) return
    // A frozen process sends and receives when it wakes up.
    const waitMs = Math.max(0, from.frozenUntilMs - Date.now(), to.frozenUntilMs - Date.now())
    setTimeout(() => {
      if (!to.controller.signal.aborted && !this.#isStopped) to.gate.receive(message)
    }, waitMs + 1 + this.#random() * 2)
  }

  async #serveCall (entry: SimulatedEntry): Promise<void> {
    const arrivedAtMs = Date.now()
    const placed = await entry.queue.acquire({
      call: {
        id: 'c',
        priority: 0,
        arrivedAtMs,
        latestTimelyStartMs: arrivedAtMs + CALL_TARGET_MS,
        latestStartMs: arrivedAtMs + CALL_DEADLINE_MS,
        clientDeadlineAtMs: arrivedAtMs + CALL_DEADLINE_MS,
        isReturning: false
      },
      service: SERVICE,
      excluded: new Set(),
      tokens: 1,
      signal: entry.controller.signal
    })
    const kind = placed.kind === 'placed' ? 'served' : placed.kind
    this.outcomes.push({ atMs: arrivedAtMs, kind, tookMs: Date.now() - arrivedAtMs })
    if (placed.kind === 'placed') this.#runAtServer(entry, placed.backend)
  }

  #runAtServer (entry: SimulatedEntry, backend: backendPool.Backend): void {
    const sentAtMs = Date.now()
    const server = this.servers.find(candidate => candidate.row.id === backend.row.id)!
    setTimeout(() => { server.arrivals.push({ atMs: Date.now(), entry: entry.number }) }, 1)
    setTimeout(() => {
      const stated: backendLimits.StatedLimit = server.limit === undefined
        ? { kind: 'none' }
        : { kind: 'limit', perSecond: server.limit }
      setTimeout(() => {
        if (entry.controller.signal.aborted) return
        backendPool.noteFinished(backend, 1)
        if (stated.kind === 'limit' && !server.toldAtMs.has(entry.number)) server.toldAtMs.set(entry.number, Date.now())
        entry.gate.noteResponse(backend.row, stated, sentAtMs)
        entry.queue.placeWaiting()
      }, 1 + this.#random() * 5)
    }, 20 + this.#random() * 200)
  }
}
