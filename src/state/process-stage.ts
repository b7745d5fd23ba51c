/**
 * Stages in the life of a process, and what a signal, a fault or the end of a drain changes. Load pattern: supervisors
 * and operators send signals in series and at any moment, also while the process starts or drains.
 */

export type Stage = 'starting' | 'ready' | 'draining' | 'closing'

/** Signals whose default action would end the process, and which supervisors or operators send. */
export const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const
export type HandledSignal = typeof HANDLED_SIGNALS[number]

export type ProcessEvent =
  /** `isInteractive`: the process has a terminal. */
  | { kind: 'signal', signal: HandledSignal, isInteractive: boolean }
  /** The program begins to open its listeners. */
  | { kind: 'opening' }
  | { kind: 'started' }
  | { kind: 'drained' }
  /** The time limit of the start, of the drain or of the drain after a fault has passed. */
  | { kind: 'overdue' }
  | { kind: 'fault' }
  /** The start or the drain has failed. */
  | { kind: 'failed' }

export type Action =
  | 'limit_start' | 'limit_drain' | 'limit_fault_drain'
  | 'announce_ready' | 'drain' | 'check_settings' | 'close'

/** What a signal does, for the log. */
export type SignalEffect =
  | 'start_abandoned' | 'drain_follows_start' | 'drain_begins' | 'drain_goes_on' | 'drain_cut_short' | 'stops_now'
  | 'settings_checked' | 'settings_checked_after_start' | 'none'

export interface ProcessState {
  stage: Stage
  /** The program has begun to open its listeners, so that requests may be in flight. */
  isOpening: boolean
  /** A SIGTERM came while the process started. */
  mustDrain: boolean
  /** A SIGHUP came while the process started. */
  mustCheckSettings: boolean
  hasFault: boolean
}

export interface Step {
  state: ProcessState
  actions: Action[]
  /** Only for signals. */
  effect?: SignalEffect
}

export const INITIAL_STATE: Readonly<ProcessState> = {
  stage: 'starting', isOpening: false, mustDrain: false, mustCheckSettings: false, hasFault: false
}

export function advance (state: Readonly<ProcessState>, event: ProcessEvent): Step {
  if (state.stage === 'closing') {
    const hasFault = state.hasFault || event.kind === 'fault' || event.kind === 'failed'
    return { state: { ...state, hasFault }, actions: [], ...(event.kind === 'signal' ? { effect: 'none' } : {}) }
  }
  switch (event.kind) {
    case 'signal':
      return advanceBySignal(state, event.signal, event.isInteractive)
    case 'opening':
      return { state: { ...state, isOpening: true }, actions: [] }
    case 'started':
      return endStart(state)
    case 'fault':
      return advanceByFault(state)
    case 'failed':
      return close({ ...state, hasFault: true })
    case 'drained':
    case 'overdue':
      return close(state)
  }
}

function close (state: ProcessState, effect?: SignalEffect): Step {
  return { state: { ...state, stage: 'closing' }, actions: ['close'], ...(effect === undefined ? {} : { effect }) }
}

function advanceBySignal (state: ProcessState, signal: HandledSignal, isInteractive: boolean): Step {
  switch (signal) {
    case 'SIGTERM':
      return advanceBySigterm(state)
    case 'SIGINT':
      if (state.stage !== 'draining' && !state.mustDrain) return close(state, 'stops_now')
      // Requests that the drain promises to finish are given up only for an operator at a terminal.
      return isInteractive ? close(state, 'drain_cut_short') : { state, actions: [], effect: 'drain_goes_on' }
    case 'SIGHUP':
      return state.stage === 'starting'
        ? { state: { ...state, mustCheckSettings: true }, actions: [], effect: 'settings_checked_after_start' }
        : { state, actions: ['check_settings'], effect: 'settings_checked' }
    case 'SIGUSR2':
      return { state, actions: [], effect: 'none' }
  }
}

function advanceBySigterm (state: ProcessState): Step {
  if (state.stage === 'draining' || state.mustDrain) return { state, actions: [], effect: 'drain_goes_on' }
  if (state.stage === 'ready') {
    return { state: { ...state, stage: 'draining' }, actions: ['limit_drain', 'drain'], effect: 'drain_begins' }
  }
  if (!state.isOpening) return close(state, 'start_abandoned')
  return { state: { ...state, mustDrain: true }, actions: ['limit_start'], effect: 'drain_follows_start' }
}

function endStart (state: ProcessState): Step {
  const actions: Action[] = state.mustDrain ? ['limit_drain', 'drain'] : ['announce_ready']
  if (state.mustCheckSettings) actions.push('check_settings')
  return { state: { ...state, stage: state.mustDrain ? 'draining' : 'ready', mustCheckSettings: false }, actions }
}

/**
 * An error outside of any request ends the process, because its tasks may have stopped. What is in flight has no part
 * in it as a rule, and is finished within a short limit; a further fault doesn't extend it.
 */
function advanceByFault (state: ProcessState): Step {
  const faulty: ProcessState = { ...state, hasFault: true }
  if (state.stage === 'starting') return close(faulty)
  if (state.hasFault) return { state, actions: [] }
  return state.stage === 'draining'
    ? { state: faulty, actions: ['limit_fault_drain'] }
    : { state: { ...faulty, stage: 'draining' }, actions: ['limit_fault_drain', 'drain'] }
}
