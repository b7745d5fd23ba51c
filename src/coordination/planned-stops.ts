/**
 * The planned stops of an entry: accepts and lifts them, sends those that the table service does not hold yet through
 * peers, and records them when it answers again.
 */

import type * as configurationSync from './configuration-sync.js'
import type * as configurationTask from './configuration-task.js'
import * as environment from './environment.js'
import * as configuration from '../state/configuration.js'
import * as stops from '../state/stops.js'

export interface StopRequest {
  scope: stops.StopScope
  name: string
  operator: string
  reason: string
  operationId: string
  /** The operator accepts that the remaining capacity may not carry the load. */
  confirmOverload: boolean
}

export type StopResult =
  | { kind: 'accepted', stop: stops.PlannedStop, revision: number | undefined, alreadyInForce: boolean }
  | { kind: 'overload', detail: string }
  | { kind: 'id_reused' }

export type LiftResult =
  | { kind: 'lifted', stops: stops.PlannedStop[] }
  | { kind: 'not_found' }

export interface PlannedStopsParts {
  configuration: configurationTask.ConfigurationTask
  sync: configurationSync.ConfigurationSync
  /** Load and limits of the backend servers and entries, for the overload check. */
  capacity: () => Promise<stops.ServerCapacity[]>
  /**
   * Called when the set changed. `isForPeers`: peers receive the change only from this entry, since the change log does
   * not hold it.
   */
  onChange: (isForPeers: boolean) => void
}

export interface PlannedStops {
  announce (request: StopRequest): Promise<StopResult>
  lift (request: Omit<StopRequest, 'confirmOverload'>): Promise<LiftResult>
  /** Merges stops received from a peer. */
  merge (received: readonly stops.PlannedStop[]): void
  /** Applies stops from configuration changes that came into force, or from a whole snapshot of the configuration. */
  applyChanges (changes: readonly configuration.Change[], isSnapshot: boolean): void
  all (): stops.PlannedStop[]
  /** Stops whose present state is not recorded in the change log: each message to peers carries them. */
  unrecorded (): stops.PlannedStop[]
  /** The stop in force that covers the location; undefined when there is none. */
  stopFor (location: stops.Location): stops.PlannedStop | undefined
}

/** Lifted stops are kept this long, so that late copies do not put them in force again. */
const RETENTION_MS = 24 * 3_600_000
const MAX_CONFLICTS = 3
const RECORD_PERIOD_MS = 1_000
/**
 * An entry waits at least this long before it records a stop that another entry accepted, in case that one has failed.
 */
const PEER_RECORD_DELAY_MS = 5_000

export function startPlannedStops (
  env: environment.Environment, parts: PlannedStopsParts, signal: AbortSignal
): PlannedStops {
  const set = stops.createStopSet()
  /** When this entry may record a stop that it did not accept itself, by stop id. */
  const recordAfterMs = new Map<string, number>()
  let isRecording = false

  environment.every(RECORD_PERIOD_MS, signal, () => {
    dropOld()
    if (isRecording) return
    isRecording = true
    recordAll().catch(() => {}).finally(() => { isRecording = false })
  })
  return {
    announce,
    lift,
    merge (received) {
      const changed = received.filter(stop => stops.mergeStop(set, stop))
      for (const stop of changed) {
        if (!stop.recorded) recordAfterMs.set(stop.stopId, env.nowMs() + PEER_RECORD_DELAY_MS * (1 + env.random()))
      }
      if (changed.length > 0) parts.onChange(true)
    },
    applyChanges (changes, isSnapshot) {
      const recorded = changes.filter(change => change.entityKind === 'stop' && change.document !== undefined)
        .map(change => change.document as stops.PlannedStop)
      const changed = recorded.filter(stop => stops.mergeRecordedStop(set, stop))
      // A recorded stop that a snapshot lacks was lifted so long ago that its row was removed.
      const dropped = !isSnapshot
        ? []
        : stops.activeStops(set).filter(stop => stop.recorded && !recorded.some(one => stops.isSameTarget(one, stop)))
      for (const stop of dropped) stops.mergeStop(set, { ...stop, lifted: true })
      if (changed.length + dropped.length > 0) parts.onChange(false)
    },
    all: () => [...set.values()],
    unrecorded: () => stops.unrecordedStops(set),
    stopFor: location => stops.stopFor(set, location)
  }

  /** Drops lifted stops after their retention. A late copy of one is found in the change log and lifted again. */
  function dropOld (): void {
    const oldestMs = env.wallClockMs() - RETENTION_MS
    for (const stop of set.values()) {
      if (stop.lifted && stop.recorded && stop.changedAtMs < oldestMs) set.delete(stop.stopId)
    }
  }

  async function announce (request: StopRequest): Promise<StopResult> {
    const { scope, name, operator, reason } = request
    const inForce = stops.activeStops(set).find(stop => stops.isSameTarget(stop, request))
    if (inForce !== undefined) return acceptedResult(inForce, inForce.stopId !== request.operationId)
    const stop: stops.PlannedStop = {
      stopId: request.operationId,
      scope,
      name,
      operator,
      reason,
      changedAtMs: env.wallClockMs(),
      recorded: false,
      lifted: false
    }
    const capacity = request.confirmOverload ? [] : await parts.capacity()
    for (let attempt = 0; attempt < MAX_CONFLICTS; attempt++) {
      const result = await record(stop, copy => overloadOf(stop, capacity, copy))
      if (result.kind === 'refused') return { kind: 'overload', detail: result.detail }
      if (result.kind === 'id_reused') return { kind: 'id_reused' }
      if (result.kind === 'accepted') return acceptedResult(set.get(stop.stopId) ?? stop, false)
      if (result.kind === 'unavailable') break
      // Another operator's stop of the same target was recorded first.
      const other = stops.activeStops(set).find(held => stops.isSameTarget(held, stop))
      if (other !== undefined) return acceptedResult(other, true)
    }
    const overload = overloadOf(stop, capacity)
    if (overload !== undefined) return { kind: 'overload', detail: overload }
    putInForce(stop)
    return acceptedResult(stop, false)
  }

  async function lift (request: Omit<StopRequest, 'confirmOverload'>): Promise<LiftResult> {
    await parts.sync.catchUp()
    const found = stops.activeStops(set).filter(stop => stops.isSameTarget(stop, request))
    if (found.length === 0) return { kind: 'not_found' }
    for (const stop of found) {
      const lifted = {
        ...stop, lifted: true, recorded: false, operator: request.operator, changedAtMs: env.wallClockMs()
      }
      putInForce(lifted)
      await record(lifted)
    }
    return { kind: 'lifted', stops: found.map(stop => set.get(stop.stopId)!) }
  }

  async function acceptedResult (stop: stops.PlannedStop, alreadyInForce: boolean): Promise<StopResult> {
    const entity = await findRecorded(stop)
    const isRecorded = entity?.stop.stopId === stop.stopId
    return { kind: 'accepted', stop, revision: isRecorded ? entity?.revision : undefined, alreadyInForce }
  }

  /** Puts a stop in force here and at the peers, before it is recorded. */
  function putInForce (stop: stops.PlannedStop): void {
    if (!stops.mergeStop(set, stop)) return
    env.log.emit(stop.lifted ? 'stopLifted' : 'stopAnnounced', {
      scope: stop.scope, name: stop.name, stopId: stop.stopId
    })
    parts.onChange(true)
  }

  /** The change log's newest state of a stop of the same target, as this entry's copy has it. */
  async function findRecorded (
    stop: Pick<stops.PlannedStop, 'scope' | 'name'>
  ): Promise<{ revision: number, stop: stops.PlannedStop } | undefined> {
    const entity = await parts.configuration.read(copy =>
      copy.entities.get(configuration.entityId('stop', entityName(stop))))
    return entity === undefined ? undefined : { revision: entity.revision, stop: entity.document as stops.PlannedStop }
  }

  /**
   * Names the targets that the stop would overload; undefined when there are none. Called again for each revision that
   * the stop might follow, so that of two stops that only together exceed the capacity, the second is refused.
   */
  function overloadOf (
    stop: stops.PlannedStop, capacity: stops.ServerCapacity[], copy?: configuration.Configuration
  ): string | undefined {
    const recorded = [...copy?.entities.values() ?? []]
      .filter(entity => entity.change.entityKind === 'stop')
      .map(entity => entity.document as stops.PlannedStop)
      .filter(held => !held.lifted && set.get(held.stopId)?.lifted !== true)
    const targets = stops.overloadedTargets(capacity, [...stops.activeStops(set), ...recorded, stop])
    return targets.length === 0 ? undefined : targets.join('; ')
  }

  async function record (
    stop: stops.PlannedStop, guard?: configurationSync.ChangeRequest['guard']
  ): Promise<configurationSync.ChangeResult | { kind: 'covered' }> {
    const caughtUp = await parts.sync.catchUp()
    // The table service does not answer, so a second request would only delay sending the stop through peers.
    if (caughtUp.kind !== 'ok') return { kind: 'unavailable', mayHaveApplied: false, detail: caughtUp.detail }
    const step = stops.nextRecordAction(stop, await findRecorded(stop))
    if (step.kind === 'covered') return { kind: 'covered' }
    return parts.sync.submit({
      entityKind: 'stop',
      entityName: entityName(stop),
      expectedRevision: step.expectedRevision,
      document: { ...stop, recorded: true },
      operator: stop.operator,
      operationId: stop.lifted ? `${stop.stopId}-lift` : stop.stopId,
      guard
    })
  }

  async function recordAll (): Promise<void> {
    for (const stop of stops.unrecordedStops(set)) {
      if ((recordAfterMs.get(stop.stopId) ?? 0) > env.nowMs()) continue
      const result = await record(stop)
      if (result.kind === 'unavailable') return
      await settle(stop, result.kind === 'accepted')
      env.log.emit('stopRecorded', { scope: stop.scope, name: stop.name, stopId: stop.stopId, lifted: stop.lifted })
    }
  }

  /**
   * Marks a stop as recorded after the change log has accepted it or already covers it. The stop is over when another
   * one replaced it, or when the log accepted it once and has removed it since.
   */
  async function settle (stop: stops.PlannedStop, isAccepted: boolean): Promise<void> {
    recordAfterMs.delete(stop.stopId)
    const recorded = await findRecorded(stop)
    if (recorded === undefined && !isAccepted) return
    const isOver = recorded?.stop.stopId !== stop.stopId
    stops.mergeStop(set, { ...stop, lifted: stop.lifted || isOver, recorded: true })
    parts.onChange(false)
  }
}

function entityName (stop: Pick<stops.PlannedStop, 'scope' | 'name'>): string {
  return `${stop.scope}.${stop.name}`
}
