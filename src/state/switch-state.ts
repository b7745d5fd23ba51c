/**
 * State of the switch of a lock-step group to a new expert map; see rank-switch.ts.
 */

import type * as rankControl from '../protocol/rank-control.js'
import type * as passTiming from './pass-timing.js'

/** Phase of a switch. The fields of each phase, except the map, are logged under the same names. */
export type SwitchPhase =
  /** The states of all ranks are not known yet. */
  | { kind: 'recovering', sinceMs: number }
  | { kind: 'idle', sinceMs: number }
  | { kind: 'preparing', version: number, map: rankControl.ExpertMap, sinceMs: number }
  | { kind: 'holding', version: number, step: number, holder: number, sinceMs: number }
  | { kind: 'arming', version: number, step: number, holder: number, sinceMs: number }
  | { kind: 'releasing', version: number, step: number, holder: number, sinceMs: number }
  /** Undoes the switch of a lead that can't be reached: no rank may be armed when the hold ends. */
  | { kind: 'withdrawing', version: number, step: number, holder: number, absent: number, sinceMs: number }
  /** Waits until all ranks have begun the pass with the new map. */
  | { kind: 'settling', version: number, sinceMs: number }

export interface PreviousLead {
  /** Undefined if it is not known. */
  rank: number | undefined
  term: number
}

export interface SwitchState {
  epoch: number
  size: number
  ownRank: number
  /** The previous lead; its rank may be unreachable. */
  previousLead: PreviousLead | undefined
  /** Undefined until it is known. */
  mapInUse: rankControl.ExpertMap | undefined
  phase: SwitchPhase
  passes: passTiming.PassTiming
  /** When the last order was sent to each rank, to decide when it is sent again. */
  orderedAtMs: Map<number, number>
  /** The same for orders that end a hold which the switch does not wait for. */
  strayGoAtMs: Map<number, number>
  /** Highest step for which a hold was ended; an order to end it may still be executed. */
  highestGoStep: number
  /** Keys of the stray holds that the last advance has found. */
  strayHolds: Set<string>
  /** Highest version that was sent to a rank. */
  highestVersion: number
}
