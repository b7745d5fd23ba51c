/**
 * State of the ranks of a group as its lead knows it: how often agents report it, and for how long it counts.
 */

/** State of one rank as the lead last read it. */
export interface RankState {
  rank: number
  epoch: number
  isOpen: boolean
  step: number
  mapVersion: number
  preparedVersion: number | undefined
  armed: { version: number, step: number } | undefined
  heldStep: number | undefined
  /** Above 1: slower than nominal. */
  slowdown: number
  /** When the rank was read, on the lead's clock. */
  readAtMs: number
}

/** Whether a message of another process holds the state of a rank. */
export function isRankState (value: unknown): value is RankState {
  const state = (value ?? {}) as Partial<RankState>
  const { rank, epoch, step, mapVersion, preparedVersion, heldStep, armed } = state
  return [rank, epoch, step, mapVersion].every(Number.isFinite) && Number.isFinite(state.slowdown) &&
    typeof state.isOpen === 'boolean' && [preparedVersion, heldStep].every(isOptionalNumber) &&
    (armed === undefined || (armed !== null && Number.isFinite(armed.version) && Number.isFinite(armed.step)))
}

function isOptionalNumber (value: unknown): boolean {
  return value === undefined || Number.isFinite(value)
}

/** Number of ranks up to which the intervals below don't depend on the size of the group. */
export const TYPICAL_GROUP_SIZE = 12
/** The state of a rank in a group of typical size is ignored when it is older than this. */
const STATE_LIFETIME_MS = 700
const STATE_LIFETIME_PER_EXTRA_RANK_MS = 15
/** Interval at which the unchanged state of a rank is repeated, for each rank of the group. */
const STATE_REPEAT_PER_RANK_MS = 4
const MIN_STATE_REPEAT_MS = 100
/** Plans differ little for smaller changes of a rank's slowdown. */
const SLOWDOWN_TOLERANCE = 0.1

/**
 * Time for which the state of a rank counts. Load pattern: the states of all ranks of a large group, ten times a
 * second, fill the link of the lead's host, and messages of the lead are lost.
 */
export function stateLifetimeMs (size: number): number {
  return STATE_LIFETIME_MS + Math.max(0, size - TYPICAL_GROUP_SIZE) * STATE_LIFETIME_PER_EXTRA_RANK_MS
}

/** Interval at which the lead gets the state of a rank that has not changed. */
export function stateRepeatMs (size: number): number {
  return Math.max(MIN_STATE_REPEAT_MS, size * STATE_REPEAT_PER_RANK_MS)
}

/** Whether the lead needs a rank's state at once: anything but the step differs. */
export function isChanged (before: RankState, now: RankState): boolean {
  return before.epoch !== now.epoch || before.isOpen !== now.isOpen || before.mapVersion !== now.mapVersion ||
    before.preparedVersion !== now.preparedVersion || before.heldStep !== now.heldStep ||
    before.armed?.version !== now.armed?.version || before.armed?.step !== now.armed?.step ||
    Math.abs(before.slowdown - now.slowdown) > SLOWDOWN_TOLERANCE
}
