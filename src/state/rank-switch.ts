/**
 * Switch of a lock-step group to a new expert map, decided by the agent that leads the group.
 *
 * All ranks load the new experts. Then one rank is held before a step, which stops the whole group, every rank is armed
 * for that step, and the hold ends. A held group begins no pass, so no pass runs with two maps. An order without an
 * answer may be executed seconds later, so a switch whose step was held is completed unless the group forms again.
 *
 * Holds that a phase does not wait for are ended (stray-holds.ts). The orders that end them may be late as well, so
 * that their steps are not held again.
 *
 * The lead's host may freeze at any moment, and its rank then accepts no orders. The lead therefore holds a rank of
 * another host and arms its own rank last: as long as any other rank is not armed, the lead's rank is not armed either,
 * and a successor that can't reach it may undo the switch.
 */

import * as passTiming from './pass-timing.js'
import * as rankState from './rank-state.js'
import * as strayHolds from './stray-holds.js'
import * as switchOrders from './switch-orders.js'
import type * as rankControl from '../protocol/rank-control.js'
import type * as switchState from './switch-state.js'

export type RankState = rankState.RankState

export type SwitchPhase = switchState.SwitchPhase
export type PreviousLead = switchState.PreviousLead
export type SwitchState = switchState.SwitchState

export interface SwitchActions {
  orders: switchOrders.AddressedOrder[]
  /** Those that were found now, for the log. */
  strayHolds: strayHolds.StrayHold[]
  /** The phase that was entered, if any, for the log. */
  entered: SwitchPhase['kind'] | undefined
}

/**
 * A version contains the term of the lead that proposed it, so that a successor knows in which order the ranks were
 * armed.
 */
const VERSIONS_PER_TERM = 4_096

const REPEAT_PREPARE_MS = 400
/**
 * The same for the last ranks. Load pattern: one of the datagrams in which 128 ranks report that they are ready is
 * usually lost, and its repeat comes half a second later.
 */
const REPEAT_LAST_PREPARE_MS = 120
const LAST_RANKS_SHARE = 0.25
/** A rank that is reachable but slow answers within this time. */
const ABSENT_LEAD_TIMEOUT_MS = 300
/** Time for a hold order to reach its rank before the held step begins. */
const HOLD_MARGIN_MS = 60
/** A load of experts that takes longer is abandoned; the next plan replaces it. */
const PREPARE_TIMEOUT_MS = 6_000

/** State of a lead that takes over a group; it starts by recovering a switch that a previous lead left unfinished. */
export function createSwitchState (
  epoch: number, size: number, ownRank: number, term: number, nowMs: number, previousLead?: PreviousLead
): SwitchState {
  return {
    epoch,
    size,
    ownRank,
    previousLead,
    mapInUse: undefined,
    phase: { kind: 'recovering', sinceMs: nowMs },
    passes: passTiming.createTiming(),
    orderedAtMs: new Map(),
    strayGoAtMs: new Map(),
    highestGoStep: -1,
    strayHolds: new Set(),
    highestVersion: term * VERSIONS_PER_TERM
  }
}

/** Whether a new map may be proposed now. */
export function isIdle (state: SwitchState): boolean {
  return state.phase.kind === 'idle'
}

/** Begins the switch to a map. Called only while idle. @returns the version of the map. */
export function propose (state: SwitchState, map: rankControl.ExpertMap, nowMs: number): number {
  state.highestVersion += 1
  state.orderedAtMs.clear()
  state.phase = { kind: 'preparing', version: state.highestVersion, map, sinceMs: nowMs }
  return state.highestVersion
}

/**
 * Version of the map in use. All ranks begin a pass with it together, so that the newest version that any rank reports
 * is that of all, while the last readings of the others may be older than the switch.
 *
 * @returns undefined while no rank of the epoch is known.
 */
export function versionInUse (ranks: ReadonlyMap<number, RankState>, epoch: number): number | undefined {
  const versions = [...ranks.values()].filter(rank => rank.epoch === epoch).map(rank => rank.mapVersion)
  return versions.length === 0 ? undefined : Math.max(...versions)
}

/** Called when a rank has refused to prepare a map: the group can't switch to it, and another plan may be made. */
export function notePrepareRefused (state: SwitchState, version: number, nowMs: number): void {
  const { phase } = state
  if (phase.kind === 'preparing' && phase.version === version) enterPhase(state, { kind: 'recovering', sinceMs: nowMs })
}

/**
 * Called when the counts of the proposed map are out of date. No rank is held or armed while it is prepared, so that
 * another one may be proposed at once; ranks that have an order for it refuse those for the earlier version.
 *
 * @returns the version that is given up, if any.
 */
export function giveUpPreparation (state: SwitchState, nowMs: number): number | undefined {
  const { phase } = state
  if (phase.kind !== 'preparing') return undefined
  enterPhase(state, { kind: 'idle', sinceMs: nowMs })
  return phase.version
}

/**
 * Advances the switch according to the last known states of the ranks. The lead calls it periodically.
 * @returns the orders to send now.
 */
export function advance (state: SwitchState, ranks: ReadonlyMap<number, RankState>, nowMs: number): SwitchActions {
  const known = currentStates(state, ranks, nowMs)
  for (const rank of known) {
    state.highestVersion = Math.max(
      state.highestVersion, rank.mapVersion, rank.preparedVersion ?? 0, rank.armed?.version ?? 0)
  }
  passTiming.noteReadings(state.passes, known)
  const before = state.phase.kind
  const found = strayHolds.noteStrayHolds(state, known, nowMs)
  const orders = ordersOf(state, known, nowMs)
  const goSteps = orders.flatMap(({ order }) => order.kind === 'go' ? [order.step] : [])
  state.highestGoStep = Math.max(state.highestGoStep, ...goSteps)
  return { orders, strayHolds: found, entered: state.phase.kind === before ? undefined : state.phase.kind }
}

/**
 * The first step that begins after the orders have reached all ranks, so that the group does not have to wait. A late
 * order to end an earlier hold must not end this one while only some ranks are armed.
 */
function nextHoldStep (state: SwitchState, known: readonly RankState[], nowMs: number): number {
  const delayMs = HOLD_MARGIN_MS + switchOrders.largeGroupDelayMs(state.size)
  return Math.max(passTiming.nextStepAfter(state.passes, known, delayMs, nowMs), state.highestGoStep + 1)
}

function currentStates (state: SwitchState, ranks: ReadonlyMap<number, RankState>, nowMs: number): RankState[] {
  const sinceMs = nowMs - rankState.stateLifetimeMs(state.size)
  // What a lead takes over is decided from states that were read since: a previous lead may have changed older ones.
  const fromMs = state.phase.kind === 'recovering' ? Math.max(sinceMs, state.phase.sinceMs) : sinceMs
  return [...ranks.values()].filter(rank =>
    rank.epoch === state.epoch && rank.isOpen && rank.readAtMs >= fromMs)
}

function ordersOf (state: SwitchState, known: RankState[], nowMs: number): switchOrders.AddressedOrder[] {
  const { phase } = state
  const isComplete = known.length === state.size
  switch (phase.kind) {
    case 'recovering':
      return isComplete ? recover(state, known, nowMs) : recoverWithoutLead(state, known, nowMs)
    case 'withdrawing':
      return withdraw(state, phase, known, nowMs)
    case 'idle':
      // No rank is armed while idle, so that a hold may end before all ranks are known.
      if (!isComplete) return strayHolds.endStrayHolds(state, known, nowMs)
      return known.some(isHeld) ? recover(state, known, nowMs) : []
    case 'preparing':
      return [...strayHolds.endStrayHolds(state, known, nowMs), ...prepare(state, phase, known, isComplete, nowMs)]
    case 'holding':
      return [...strayHolds.endStrayHolds(state, known, nowMs), ...hold(state, phase, known, nowMs)]
    case 'arming':
      return [...strayHolds.endStrayHolds(state, known, nowMs), ...arm(state, phase, known, isComplete, nowMs)]
    case 'releasing':
      return [...strayHolds.endStrayHolds(state, known, nowMs), ...release(state, phase, known, nowMs)]
    case 'settling':
      // All ranks were armed for the same pass, and a pass begins at all of them together.
      if (known.some(rank => rank.mapVersion === phase.version)) enterPhase(state, { kind: 'idle', sinceMs: nowMs })
      return strayHolds.endStrayHolds(state, known, nowMs)
  }
}

function enterPhase (state: SwitchState, phase: SwitchPhase): void {
  state.phase = phase
  state.orderedAtMs.clear()
}

function isHeld (rank: RankState): boolean {
  return rank.heldStep !== undefined
}

/** Continues a switch that another lead, or an earlier run of this process, has begun. */
function recover (state: SwitchState, known: RankState[], nowMs: number): switchOrders.AddressedOrder[] {
  const armed = known.find(rank => rank.armed !== undefined)?.armed
  // One of several holds may be late, and that of the switch is the one for which ranks are armed.
  const held = known.find(rank => isHeld(rank) && rank.heldStep === armed?.step) ?? known.find(isHeld)
  if (held?.heldStep !== undefined) {
    const areArmedAlike = armed !== undefined && known.every(rank =>
      rank.armed?.version === armed.version && rank.armed.step === armed.step)
    const found = { step: held.heldStep, holder: held.rank, sinceMs: nowMs }
    const common = commonPreparedVersion(known)
    const version = armed?.step === held.heldStep ? armed.version : common
    const mayArm = armed !== undefined || held.heldStep > state.highestGoStep
    const isArmable = mayArm && version !== undefined && known.every(rank =>
      rank.preparedVersion === version || rank.armed?.version === version)
    if (areArmedAlike) enterPhase(state, { kind: 'releasing', version: armed.version, ...found })
    else if (isArmable) enterPhase(state, { kind: 'arming', version, ...found })
    // A hold order that was executed late, after its switch: no rank is armed for it.
    else if (armed === undefined) enterPhase(state, { kind: 'releasing', version: held.mapVersion, ...found })
    return []
  }
  if (armed !== undefined) enterPhase(state, { kind: 'settling', version: armed.version, sinceMs: nowMs })
  else if (known.every(rank => rank.mapVersion === known[0]!.mapVersion)) enterPhase(state, { kind: 'idle', sinceMs: nowMs })
  return []
}

/**
 * Undoes a switch when only the rank of the previous lead is unreachable. A lead arms its own rank last, so that rank
 * is not armed as long as another rank isn't, and the switch can be undone without it.
 */
function recoverWithoutLead (state: SwitchState, known: RankState[], nowMs: number): switchOrders.AddressedOrder[] {
  const absent = allRanks(state).filter(rank => !known.some(other => other.rank === rank))
  const held = known.find(isHeld)
  if (held?.heldStep === undefined || absent.length !== 1 || absent[0] !== state.previousLead?.rank) return []
  if (nowMs - state.phase.sinceMs < ABSENT_LEAD_TIMEOUT_MS) return []
  // A lead before the absent one may have armed the absent rank before other ranks.
  const isProposedByAbsent = known.every(rank =>
    termOf(rank.armed?.version ?? rank.preparedVersion) === state.previousLead?.term)
  if (!isProposedByAbsent) return []
  const isFullyArmed = known.every(rank => rank.armed?.step === held.heldStep)
  if (isFullyArmed || held.rank === absent[0]) return []
  state.highestVersion += 1
  enterPhase(state, {
    kind: 'withdrawing',
    version: state.highestVersion,
    step: held.heldStep,
    holder: held.rank,
    absent: absent[0]!,
    sinceMs: nowMs
  })
  return []
}

/**
 * Disarms the ranks and has them prepare the map in use under a newer version, so that an arm order that arrives late
 * finds no prepared version to arm. Then the hold ends.
 */
function withdraw (
  state: SwitchState, phase: SwitchPhase & { kind: 'withdrawing' }, known: RankState[], nowMs: number
): switchOrders.AddressedOrder[] {
  const { version, step, holder, absent } = phase
  const present = known.filter(rank => rank.rank !== absent)
  if (present.length < state.size - 1) return []
  const armed = present.filter(rank => rank.armed !== undefined)
  if (armed.length > 0) {
    const versions = new Set(armed.map(rank => rank.armed!.version))
    return [...versions].flatMap(other => switchOrders.ordersDue(
      state.orderedAtMs, armed.filter(rank => rank.armed!.version === other).map(rank => rank.rank),
      { kind: 'disarm', version: other }, nowMs))
  }
  const unprepared = present.filter(rank => rank.preparedVersion !== version).map(rank => rank.rank)
  if (unprepared.length > 0) {
    if (state.mapInUse === undefined) return []
    return switchOrders.ordersDue(state.orderedAtMs, unprepared, { kind: 'prepare', version, map: state.mapInUse }, nowMs)
  }
  const held = present.find(rank => rank.rank === holder)
  if (held?.heldStep === undefined) {
    enterPhase(state, { kind: 'recovering', sinceMs: nowMs })
    return []
  }
  return switchOrders.ordersDue(state.orderedAtMs, [holder], { kind: 'go', step }, nowMs)
}

function termOf (version: number | undefined): number | undefined {
  return version === undefined ? undefined : Math.floor(version / VERSIONS_PER_TERM)
}

function commonPreparedVersion (known: readonly RankState[]): number | undefined {
  const version = known[0]?.preparedVersion
  return known.every(rank => rank.preparedVersion === version) ? version : undefined
}

function prepare (
  state: SwitchState, phase: SwitchPhase & { kind: 'preparing' }, known: RankState[], isComplete: boolean, nowMs: number
): switchOrders.AddressedOrder[] {
  const { version, map } = phase
  if (nowMs - phase.sinceMs > PREPARE_TIMEOUT_MS) {
    enterPhase(state, { kind: 'recovering', sinceMs: nowMs })
    return []
  }
  if (isComplete && known.every(rank => rank.preparedVersion === version)) {
    const step = nextHoldStep(state, known, nowMs)
    const holder = (state.ownRank + 1) % state.size
    enterPhase(state, { kind: 'holding', version, step, holder, sinceMs: nowMs })
    return switchOrders.ordersDue(state.orderedAtMs, [holder], { kind: 'hold', step }, nowMs)
  }
  const prepared = new Set(known.filter(rank => rank.preparedVersion === version).map(rank => rank.rank))
  const unprepared = allRanks(state).filter(rank => !prepared.has(rank))
  const isLast = unprepared.length <= state.size * LAST_RANKS_SHARE
  const repeatMs = isLast ? REPEAT_LAST_PREPARE_MS : REPEAT_PREPARE_MS
  return switchOrders.ordersDue(state.orderedAtMs, unprepared, { kind: 'prepare', version, map }, nowMs, repeatMs)
}

function hold (
  state: SwitchState, phase: SwitchPhase & { kind: 'holding' }, known: RankState[], nowMs: number
): switchOrders.AddressedOrder[] {
  const { holder } = phase
  const held = known.find(rank => rank.rank === holder)
  if (held?.heldStep !== undefined) {
    // An order to end this hold may still be executed, while only some ranks are armed.
    if (held.heldStep <= state.highestGoStep) {
      return switchOrders.ordersDue(state.orderedAtMs, [holder], { kind: 'go', step: held.heldStep }, nowMs)
    }
    // An earlier hold order may have been executed instead of the last one.
    enterPhase(state, { kind: 'arming', version: phase.version, step: held.heldStep, holder, sinceMs: nowMs })
    return arm(state, state.phase as SwitchPhase & { kind: 'arming' }, known, false, nowMs)
  }
  // The rank refuses a hold for a pass that has already begun, so a later step is needed.
  if (held !== undefined && held.step >= phase.step) {
    phase.step = nextHoldStep(state, [held], nowMs)
    state.orderedAtMs.clear()
  }
  return switchOrders.ordersDue(state.orderedAtMs, [holder], { kind: 'hold', step: phase.step }, nowMs)
}

function arm (
  state: SwitchState, phase: SwitchPhase & { kind: 'arming' }, known: RankState[], isComplete: boolean, nowMs: number
): switchOrders.AddressedOrder[] {
  const { version, step, holder } = phase
  const isArmed = (rank: RankState): boolean => rank.armed?.version === version && rank.armed.step === step
  if (isComplete && known.every(isArmed)) {
    enterPhase(state, { kind: 'releasing', version, step, holder, sinceMs: nowMs })
    return switchOrders.ordersDue(state.orderedAtMs, [holder], { kind: 'go', step }, nowMs)
  }
  const armed = new Set(known.filter(isArmed).map(rank => rank.rank))
  const others = allRanks(state).filter(rank => rank !== state.ownRank && !armed.has(rank))
  const next = others.length > 0 ? others : [state.ownRank]
  return switchOrders.ordersDue(state.orderedAtMs, next, { kind: 'arm', version, step }, nowMs)
}

function release (
  state: SwitchState, phase: SwitchPhase & { kind: 'releasing' }, known: RankState[], nowMs: number
): switchOrders.AddressedOrder[] {
  const { version, step, holder } = phase
  const rank = known.find(candidate => candidate.rank === holder)
  const wasOrdered = state.orderedAtMs.has(holder)
  if (wasOrdered && rank !== undefined && rank.heldStep === undefined && rank.readAtMs > phase.sinceMs) {
    enterPhase(state, { kind: 'settling', version, sinceMs: nowMs })
    return []
  }
  return switchOrders.ordersDue(state.orderedAtMs, [holder], { kind: 'go', step }, nowMs)
}

/** Called when an order got no answer: it is sent again at the next `advance` instead of after its interval. */
export function noteUnanswered (state: SwitchState, rank: number): void {
  state.orderedAtMs.delete(rank)
  state.strayGoAtMs.delete(rank)
}

function allRanks (state: SwitchState): number[] {
  return Array.from({ length: state.size }, (_, rank) => rank)
}
