/**
 * Keeps the limits that backend servers state, together with the other entries: spreads them, asks for permits, and
 * grants permits for the services that this entry coordinates.
 */

import * as backendLimits from '../../state/backend-limits.js'
import * as backendPool from '../../state/backend-pool.js'
import * as backendInstance from '../../state/backend-instance.js'
import * as limitCoordinator from '../../state/limit-coordinator.js'
import * as limitShares from '../../state/limit-shares.js'
import * as limitMessages from '../../protocol/limit-messages.js'
import type * as runtime from '../runtime.js'
import type * as serviceQueue from './service-queue.js'

export interface LimitGateOptions {
  runtime: runtime.Runtime
  pool: backendPool.BackendPool
  queue: () => serviceQueue.ServiceQueue
  /** Address of this process for datagrams. */
  self: string
  /** Addresses of the ready entries that are not silent, with the process itself if it is ready. */
  readyEntries: () => string[]
  entryCounts: () => EntryCounts
  sendTo: (address: string, message: limitMessages.LimitMessage) => void
  broadcast: (message: limitMessages.LimitMessage) => void
  signal: AbortSignal
}

export interface EntryCounts {
  /** Entries that are not silent, with the process itself. */
  heard: number
  /** All that were heard within the last while, with the process itself. */
  known: number
}

/** State of a service with limited backend servers. */
interface LimitedService {
  shares: limitShares.LimitShares
  coordinator: string
  chosenAtMs: number
  /** From when on unused permits are those of this coordinator. */
  returnsFromMs: number
  /** Instances whose earlier requests the coordinator has been told. */
  reported: Set<string>
  demandSentAtMs: number
  hadDemand: boolean
  /** Calls that wait at all entries, as the coordinator said. */
  backlog: number
  backlogAtMs: number
  spreadAtMs: number
  /** When the coordinator was told the limits that this entry knows of. */
  toldAtMs: number
  loggedAtMs: number
  /** Permits granted since the last log line, by entry. */
  granted: Map<string, number>
}

const TICK_MS = 50
/** Interval in which an entry with waiting calls repeats its demand. */
const WAITING_DEMAND_INTERVAL_MS = 100
const DEMAND_INTERVAL_MS = 300
/** Shortest time between two demands for a service. */
const MIN_DEMAND_INTERVAL_MS = 20
/** Interval in which a coordinator tells all entries the limits and the backlog. */
const SPREAD_INTERVAL_MS = 300
/** Interval in which an entry tells the coordinator the limits; one that has just started knows none. */
const TELL_INTERVAL_MS = 1_000
/** Time for which the end of a limit is repeated. */
const ENDED_SPREAD_MS = 3_000
const COORDINATOR_LIFETIME_MS = 200
const BACKLOG_LIFETIME_MS = 1_000
const LOG_INTERVAL_MS = 1_000

export class LimitGate {
  readonly #options: LimitGateOptions
  readonly #services = new Map<string, LimitedService>()
  #timer: NodeJS.Timeout | undefined

  constructor (options: LimitGateOptions) {
    this.#options = options
    options.signal.addEventListener('abort', () => { this.#stop() }, { once: true })
  }

  /** Applies what a response says. @param sentAtMs when its request was sent. */
  noteResponse (row: backendPool.BackendRow, stated: backendLimits.StatedLimit, sentAtMs: number): void {
    const { pool, runtime: { nowMs }, broadcast } = this.#options
    const changed = backendLimits.noteStated(pool.limits, row, stated, sentAtMs, nowMs())
    if (changed === undefined) return
    this.#noteChange(changed, 'response')
    broadcast({ kind: 'limits', limits: [this.#toldLimit(changed)] })
  }

  /** Number of calls that wait at all entries for a service. */
  backlog (service: string): number {
    const known = this.#services.get(service)
    const nowMs = this.#options.runtime.nowMs()
    return known === undefined || nowMs - known.backlogAtMs > BACKLOG_LIFETIME_MS ? 0 : known.backlog
  }

  /** Whether this entry grants the permits for a service. */
  isCoordinator (service: string): boolean {
    return this.#coordinatorOf(service, this.#serviceOf(service)) === this.#options.self
  }

  /** Asks for permits without waiting for the next interval. */
  noteWaiting (service: string): void {
    const limited = this.#limitedOf(service)
    if (limited.length > 0) this.#sendDemand(service, this.#serviceOf(service), limited, MIN_DEMAND_INTERVAL_MS)
  }

  receive (message: limitMessages.LimitMessage): void {
    const { pool, runtime: { nowMs } } = this.#options
    if (message.kind === 'limits') {
      for (const [id, startedAtUnixMs, perSecond, ageMs] of message.limits) {
        const changed = backendLimits.noteTold(pool.limits, {
          instance: { id, startedAtUnixMs },
          perSecond: perSecond < 0 ? undefined : perSecond,
          notedAtMs: nowMs() - Math.max(0, ageMs)
        })
        if (changed !== undefined) this.#noteChange(changed, 'peer')
      }
    } else if (message.kind === 'permits') this.#applyPermits(message)
    else this.#answerDemand(message)
  }

  #applyPermits ({ service, waiting, permits }: limitMessages.PermitsMessage): void {
    const { pool, queue, runtime: { nowMs } } = this.#options
    this.#setBacklog(service, waiting)
    for (const [id, startedAtUnixMs, lifetimeMs] of permits) {
      backendLimits.addPermit(pool.limits, { id, startedAtUnixMs }, nowMs() + lifetimeMs)
    }
    if (permits.length > 0) queue().placeWaiting()
  }

  #answerDemand (message: limitMessages.PermitDemandMessage): void {
    const { self, runtime: { nowMs }, sendTo } = this.#options
    const state = this.#serviceOf(message.service)
    if (!this.isCoordinator(message.service)) return
    for (const [id, startedAtUnixMs, ageMs] of message.sent) {
      limitShares.noteSent(state.shares, { id, startedAtUnixMs }, [nowMs() - ageMs], nowMs())
    }
    for (const [id, startedAtUnixMs, count] of message.unused ?? []) {
      limitShares.noteUnused(state.shares, message.entry, { id, startedAtUnixMs }, count, nowMs())
    }
    limitShares.noteDemand(state.shares, message.entry, message, nowMs())
    this.#grant(message.service, state, this.#limitedOf(message.service))
    if (message.entry !== self) sendTo(message.entry, { kind: 'permits', service: message.service, waiting: state.backlog, permits: [] })
  }

  /** The gate wakes the process only while limits are known. */
  #ensureRunning (): void {
    if (this.#options.signal.aborted) return
    this.#timer ??= setInterval(() => { this.#tick() }, TICK_MS)
  }

  #stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
  }

  #noteChange (record: backendLimits.LimitRecord, source: 'response' | 'peer'): void {
    const { queue, runtime: { log, metrics } } = this.#options
    const { instance: { id }, perSecond } = record
    this.#ensureRunning()
    if (perSecond === undefined) {
      log.emit('backendLimitEnded', { backend: id, source })
      metrics.backendLimit.remove({ backend: id })
      queue().placeWaiting()
      return
    }
    log.emit('backendLimitStated', { backend: id, perSecond, source })
    metrics.backendLimit.set({ backend: id }, perSecond)
  }

  #tick (): void {
    const { pool, runtime: { nowMs, metrics } } = this.#options
    if (pool.limits.records.size === 0) {
      this.#stop()
      return
    }
    const listed = new Set([...pool.backends.values()].map(backend => backendInstance.keyOf(backend.row)))
    const expired = backendLimits.expire(pool.limits, key => listed.has(key), nowMs())
    if (expired > 0) metrics.limitPermits.inc({ outcome: 'expired' }, expired)
    for (const [service, limited] of this.#limitedServices()) {
      const state = this.#serviceOf(service)
      this.#sendDemand(service, state, limited, this.#demandIntervalMs(service))
      if (!this.isCoordinator(service)) continue
      this.#grant(service, state, limited)
      this.#spread(service, state)
    }
  }

  #demandIntervalMs (service: string): number {
    return this.#options.queue().waitingCount(service) > 0 ? WAITING_DEMAND_INTERVAL_MS : DEMAND_INTERVAL_MS
  }

  /** Services that have a backend server with a limit, or had one shortly before. */
  #limitedServices (): Map<string, limitShares.Limited[]> {
    const { pool, runtime: { nowMs } } = this.#options
    const services = new Map<string, limitShares.Limited[]>()
    for (const { row } of pool.backends.values()) {
      const record = pool.limits.records.get(backendInstance.keyOf(row))
      if (record === undefined) continue
      if (record.perSecond === undefined && nowMs() - record.notedAtMs > ENDED_SPREAD_MS) continue
      const limited = services.get(row.service) ?? []
      if (record.perSecond !== undefined) limited.push({ instance: row, perSecond: record.perSecond })
      services.set(row.service, limited)
    }
    return services
  }

  #limitedOf (service: string): limitShares.Limited[] {
    return this.#options.pool.limits.records.size === 0 ? [] : this.#limitedServices().get(service) ?? []
  }

  #coordinatorOf (service: string, state: LimitedService): string {
    const { self, readyEntries, runtime: { nowMs } } = this.#options
    if (nowMs() - state.chosenAtMs <= COORDINATOR_LIFETIME_MS) return state.coordinator
    const coordinator = limitCoordinator.chooseCoordinator(service, readyEntries()) ?? self
    if (coordinator !== state.coordinator) {
      state.reported.clear()
      state.returnsFromMs = nowMs() + limitShares.MAX_LIFETIME_MS
      state.toldAtMs = -Infinity
      state.shares = limitShares.createShares()
    }
    state.coordinator = coordinator
    state.chosenAtMs = nowMs()
    return coordinator
  }

  #sendDemand (
    service: string, state: LimitedService, limited: readonly limitShares.Limited[], intervalMs: number
  ): void {
    const { pool, queue, self, sendTo, runtime: { nowMs } } = this.#options
    if (nowMs() - state.demandSentAtMs < intervalMs) return
    const coordinator = this.#coordinatorOf(service, state)
    const held = limited.filter(({ instance }) => backendLimits.hasPermit(pool.limits, instance, nowMs())).length
    const waiting = Math.max(0, queue().waitingCount(service) - held)
    const perSecond = queue().arrivalsPerSecond(service)
    const sent = this.#unreported(state, limited)
    const hasDemand = waiting > 0 || perSecond > 0
    const unused = sent.length > 0 ? [] : this.#takeUnused(state, limited)
    if (!hasDemand && !state.hadDemand && sent.length === 0 && unused.length === 0) return
    state.demandSentAtMs = nowMs()
    state.hadDemand = hasDemand
    const message: limitMessages.PermitDemandMessage = {
      kind: 'permitDemand', service, entry: self, waiting, perSecond, sent, unused
    }
    if (coordinator === self) {
      this.#answerDemand(message)
      return
    }
    if (nowMs() - state.toldAtMs >= TELL_INTERVAL_MS) {
      state.toldAtMs = nowMs()
      for (const told of this.#limitsMessages(service)) sendTo(coordinator, told)
    }
    sendTo(coordinator, message)
  }

  /** Recent requests to backend servers that the coordinator has not been told yet. */
  #unreported (state: LimitedService, limited: readonly limitShares.Limited[]): limitMessages.SentRequest[] {
    const { pool, runtime: { nowMs } } = this.#options
    const sent: limitMessages.SentRequest[] = []
    for (const { instance } of limited) {
      const key = backendInstance.keyOf(instance)
      if (state.reported.has(key)) continue
      if (sent.length >= limitMessages.MAX_SENT_REQUESTS) break
      state.reported.add(key)
      for (const atMs of pool.backends.get(instance.id)?.sentInWindowAtMs ?? []) {
        sent.push([instance.id, instance.startedAtUnixMs, Math.round(nowMs() - atMs)])
      }
    }
    return sent.slice(0, limitMessages.MAX_SENT_REQUESTS)
  }

  #takeUnused (state: LimitedService, limited: readonly limitShares.Limited[]): limitMessages.UnusedPermits[] {
    const { pool, runtime: { nowMs } } = this.#options
    const unused: limitMessages.UnusedPermits[] = []
    for (const { instance } of limited) {
      if (unused.length >= limitMessages.MAX_UNUSED) break
      const count = backendLimits.takeUnused(pool.limits, instance)
      if (count > 0 && nowMs() >= state.returnsFromMs) unused.push([instance.id, instance.startedAtUnixMs, count])
    }
    return unused
  }

  #grant (service: string, state: LimitedService, limited: readonly limitShares.Limited[]): void {
    const { self, sendTo, entryCounts, runtime: { nowMs, random, metrics } } = this.#options
    const { heard, known } = entryCounts()
    const grants = limitShares.grantPermits(
      state.shares, limited, limitCoordinator.rateShare(heard, known), nowMs(), random
    )
    this.#setBacklog(service, limitShares.totalWaiting(state.shares, nowMs()))
    const byEntry = new Map<string, limitMessages.Permit[]>()
    for (const { entry, instance, lifetimeMs } of grants) {
      const permit: limitMessages.Permit = [instance.id, instance.startedAtUnixMs, Math.round(lifetimeMs)]
      const permits = byEntry.get(entry)
      if (permits === undefined) byEntry.set(entry, [permit])
      else permits.push(permit)
      state.granted.set(entry, (state.granted.get(entry) ?? 0) + 1)
      metrics.limitPermits.inc({ outcome: 'granted' })
    }
    for (const [entry, permits] of byEntry) {
      for (let start = 0; start < permits.length; start += limitMessages.MAX_PERMITS) {
        const message: limitMessages.PermitsMessage = {
          kind: 'permits',
          service,
          waiting: state.backlog,
          permits: permits.slice(start, start + limitMessages.MAX_PERMITS)
        }
        if (entry === self) this.#applyPermits(message)
        else sendTo(entry, message)
      }
    }
    this.#logGrants(service, state, limited)
  }

  #logGrants (service: string, state: LimitedService, limited: readonly limitShares.Limited[]): void {
    const { runtime: { nowMs, log } } = this.#options
    if (state.granted.size === 0 || nowMs() - state.loggedAtMs < LOG_INTERVAL_MS) return
    state.loggedAtMs = nowMs()
    log.emit('limitDivided', {
      service,
      limits: Object.fromEntries(limited.map(({ instance, perSecond }) => [instance.id, perSecond])),
      granted: Object.fromEntries(state.granted),
      waiting: state.backlog
    })
    state.granted.clear()
  }

  #spread (service: string, state: LimitedService): void {
    const { broadcast, runtime: { nowMs } } = this.#options
    if (nowMs() - state.spreadAtMs < SPREAD_INTERVAL_MS) return
    state.spreadAtMs = nowMs()
    for (const told of this.#limitsMessages(service)) broadcast(told)
    broadcast({ kind: 'permits', service, waiting: state.backlog, permits: [] })
  }

  #limitsMessages (service: string): limitMessages.LimitsMessage[] {
    const { pool, runtime: { nowMs } } = this.#options
    const told = [...pool.backends.values()].filter(({ row }) => row.service === service)
      .map(({ row }) => pool.limits.records.get(backendInstance.keyOf(row)))
      .filter(record => record !== undefined)
      .filter(record => record.perSecond !== undefined || nowMs() - record.notedAtMs <= ENDED_SPREAD_MS)
      .map(record => this.#toldLimit(record))
    const messages: limitMessages.LimitsMessage[] = []
    for (let start = 0; start < told.length; start += limitMessages.MAX_TOLD_LIMITS) {
      messages.push({ kind: 'limits', limits: told.slice(start, start + limitMessages.MAX_TOLD_LIMITS) })
    }
    return messages
  }

  #toldLimit ({ instance, perSecond, notedAtMs }: backendLimits.LimitRecord): limitMessages.ToldLimit {
    const ageMs = Math.round(this.#options.runtime.nowMs() - notedAtMs)
    return [instance.id, instance.startedAtUnixMs, perSecond ?? -1, ageMs]
  }

  #setBacklog (service: string, waiting: number): void {
    const state = this.#serviceOf(service)
    state.backlog = waiting
    state.backlogAtMs = this.#options.runtime.nowMs()
  }

  #serviceOf (service: string): LimitedService {
    let state = this.#services.get(service)
    if (state === undefined) {
      state = {
        shares: limitShares.createShares(),
        coordinator: '',
        chosenAtMs: -Infinity,
        returnsFromMs: -Infinity,
        reported: new Set(),
        demandSentAtMs: -Infinity,
        hadDemand: false,
        backlog: 0,
        backlogAtMs: -Infinity,
        spreadAtMs: -Infinity,
        toldAtMs: -Infinity,
        loggedAtMs: -Infinity,
        granted: new Map()
      }
      this.#services.set(service, state)
    }
    return state
  }
}
