/**
 * Admission of calls at an entry: first the team limits, which hold across entries, then a bounded queue for free
 * capacity of the backend servers. A refusal is final and is sent without delay.
 */

import * as environment from './environment.js'
import type * as serverTask from './server-task.js'
import type * as call from '../protocol/call.js'
import * as admission from '../state/admission.js'
import * as outcomes from '../state/outcome.js'
import type * as serverView from '../state/server-view.js'
import * as teamLimits from '../state/team-limits.js'

export interface Admitted {
  kind: 'admitted'
  /** Ends the call's use of the limits; must be called once. */
  release: () => void
}

export interface AdmissionGate {
  /** Admits the call, after a wait in the queue where necessary, or refuses it. The signal withdraws it. */
  admit (request: call.Call, signal: AbortSignal): Promise<Admitted | outcomes.Refusal>
  /** Ends the current measuring period and returns the demand to announce to the other entries. */
  collectDemand (): ReadonlyMap<string, teamLimits.Demand>
  /** Total demand of each team at the entries of this cell. */
  cellDemand (): ReadonlyMap<string, teamLimits.Demand>
  /**
   * Applies demand that was announced by others.
   * @param source entry that the demand is of, or its region when `isFar` (another cell).
   */
  receiveDemand (source: string, demand: Map<string, teamLimits.Demand>, isFar: boolean): void
  /** Sets the other entries of the cell, named like the sources of `receiveDemand`. */
  expectPeers (sources: ReadonlySet<string>): void
  /** Notes a message without demand, which shows that the source is alive. */
  notePeerAlive (source: string, isFar: boolean): void
  /** The demand that was announced last. */
  lastAnnouncedDemand (): ReadonlyMap<string, teamLimits.Demand>
  /** Removes the demand of a source. */
  forgetDemand (source: string): void
}

export interface AdmissionGateParts {
  /** Name of this entry as a source of demand at the other entries. */
  self: string
  servers: Pick<serverTask.ServerTask, 'capacity'>
  /** Announces the demand to the other entries ahead of the next heartbeat. */
  announce: () => void
}

interface WaitingCall {
  call: admission.QueuedCall
  settle: (result: 'served' | 'dropped') => void
}

interface TargetQueue {
  target: serverView.Served
  admissionQueue: admission.AdmissionQueue
  waiting: Map<string, WaitingCall>
  isServingCalls: boolean
}

const EXPIRY_PERIOD_MS = 1_000
/** Minimum time between two announcements ahead of the heartbeat. */
const MIN_EARLY_ANNOUNCE_INTERVAL_MS = 100
/** Period at which queues are checked for free capacity, besides the check at the end of each call. */
const QUEUE_CHECK_PERIOD_MS = 20

export function startAdmissionGate (
  env: environment.Environment, parts: AdmissionGateParts, signal: AbortSignal
): AdmissionGate {
  const limits = teamLimits.createTeamLimits(parts.self)
  const queues = new Map<string, TargetQueue>()
  let announcedAtMs = -Infinity
  environment.every(EXPIRY_PERIOD_MS, signal, () => { teamLimits.expirePeers(limits, env.nowMs()) })
  let queueCheckTimer: NodeJS.Timeout | undefined

  return {
    collectDemand: () => teamLimits.announceDemand(limits, env.nowMs()),
    cellDemand: () => teamLimits.sumCellDemand(limits),
    receiveDemand (source, received, isFar) {
      teamLimits.applyDemand(limits, source, received, env.nowMs(), isFar)
      for (const name of received.keys()) announceReservationIfDue(name)
    },
    expectPeers (sources) { teamLimits.expectPeers(limits, sources, env.nowMs()) },
    notePeerAlive (source, isFar) { teamLimits.notePeerAlive(limits, source, env.nowMs(), isFar) },
    lastAnnouncedDemand: () => teamLimits.announcedDemand(limits),
    forgetDemand (source) { teamLimits.removePeer(limits, source) },
    async admit (request, callSignal) {
      const decision = teamLimits.admit(limits, request.team.name, request.team.limits, env.nowMs())
      if (decision !== 'admitted') {
        if (teamLimits.isUnannounced(limits, request.team.name)) announceEarly()
        else announceReservationIfDue(request.team.name)
        const limit = decision === 'rate'
          ? `${request.team.limits.requestsPerSecond} requests per second`
          : `${request.team.limits.concurrentRequests} concurrent requests`
        return outcomes.refuse('team_limit', 429, 'not_run', `team ${request.team.name}: over its limit of ${limit}`,
          admission.retryAfterMs(env.random))
      }
      const refusal = await waitForCapacity(request, callSignal)
      if (refusal === undefined) return admitted(request)
      teamLimits.release(limits, request.team.name)
      return refusal
    }
  }

  function announceReservationIfDue (name: string): void {
    if (teamLimits.shouldAnnounceReservation(limits, name, env.nowMs())) announceEarly()
  }

  function announceEarly (): void {
    if (env.nowMs() - announcedAtMs < MIN_EARLY_ANNOUNCE_INTERVAL_MS) return
    announcedAtMs = env.nowMs()
    parts.announce()
  }

  function admitted (request: call.Call): Admitted {
    const queue = queueOf(request.target)
    const startedAtMs = env.nowMs()
    let isReleased = false
    return {
      kind: 'admitted',
      release () {
        if (isReleased) return
        isReleased = true
        teamLimits.release(limits, request.team.name)
        announceReservationIfDue(request.team.name)
        admission.noteServiceTime(queue.admissionQueue, env.nowMs() - startedAtMs)
        serveQueue(queue)
      }
    }
  }

  async function waitForCapacity (request: call.Call, callSignal: AbortSignal): Promise<outcomes.Refusal | undefined> {
    const queue = queueOf(request.target)
    if (queue.admissionQueue.calls.length === 0 && await hasCapacity(queue)) {
      admission.noteServed(queue.admissionQueue, env.nowMs())
      return undefined
    }
    const queued: admission.QueuedCall = {
      id: request.requestId, priority: request.priority, deadlineAtMs: request.deadlineAtMs
    }
    const offered = admission.offer(queue.admissionQueue, queued, admission.DEFAULT_QUEUE_OPTIONS, env.nowMs())
    if (offered !== 'queued') return overloaded(offered === 'full' ? 'the queue is full' : 'the wait would exceed the deadline')
    scheduleQueueCheck()
    const result = await new Promise<'served' | 'dropped'>(resolve => {
      queue.waiting.set(queued.id, { call: queued, settle: resolve })
      callSignal.addEventListener('abort', () => {
        admission.withdraw(queue.admissionQueue, queued.id)
        queue.waiting.delete(queued.id)
        resolve('dropped')
      }, { once: true })
    })
    return result === 'served' ? undefined : overloaded('no place became free before the deadline')
  }

  function overloaded (detail: string): outcomes.Refusal {
    return outcomes.refuse('overloaded', 503, 'not_run', detail, admission.retryAfterMs(env.random))
  }

  /** With no known server the call is admitted, because the dispatcher then refuses it with the reason. */
  async function hasCapacity (queue: TargetQueue): Promise<boolean> {
    const capacity = await parts.servers.capacity(queue.target)
    return capacity.servers === 0 || capacity.free >= 1
  }

  /** The timer runs only while calls wait; an idle one would wake the process 50 times per second. */
  function scheduleQueueCheck (): void {
    queueCheckTimer ??= setTimeout(() => {
      queueCheckTimer = undefined
      if (signal.aborted) return
      const waiting = [...queues.values()].filter(queue => queue.admissionQueue.calls.length > 0)
      if (waiting.length > 0) scheduleQueueCheck()
      waiting.forEach(serveQueue)
    }, QUEUE_CHECK_PERIOD_MS)
  }

  function serveQueue (queue: TargetQueue): void {
    if (queue.isServingCalls || queue.admissionQueue.calls.length === 0) return
    queue.isServingCalls = true
    serveWaiting(queue).finally(() => { queue.isServingCalls = false })
  }

  async function serveWaiting (queue: TargetQueue): Promise<void> {
    for (const dropped of admission.dropExpired(queue.admissionQueue, env.nowMs())) settle(queue, dropped.id, 'dropped')
    const capacity = await parts.servers.capacity(queue.target)
    let free = capacity.servers === 0 ? Infinity : Math.floor(capacity.free)
    while (free > 0 && queue.admissionQueue.calls.length > 0) {
      const dequeued = admission.take(queue.admissionQueue, env.nowMs())
      for (const dropped of dequeued.dropped) settle(queue, dropped.id, 'dropped')
      if (dequeued.next === undefined) return
      admission.noteServed(queue.admissionQueue, env.nowMs())
      settle(queue, dequeued.next.id, 'served')
      free -= 1
    }
  }

  function settle (queue: TargetQueue, id: string, result: 'served' | 'dropped'): void {
    queue.waiting.get(id)?.settle(result)
    queue.waiting.delete(id)
  }

  function queueOf (target: serverView.Served): TargetQueue {
    const key = `${target.kind}/${target.name}`
    let queue = queues.get(key)
    if (queue === undefined) {
      queue = { target, admissionQueue: admission.createQueue(env.nowMs()), waiting: new Map(), isServingCalls: false }
      queues.set(key, queue)
    }
    return queue
  }
}
