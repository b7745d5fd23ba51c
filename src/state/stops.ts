/**
 * Planned stops of hosts and failure domains. Each stop moves through its states in one direction only, so every
 * process ends up with the same set, even if copies arrive in different order, late or more than once.
 */

export type StopScope = 'host' | 'failure-domain'

export interface PlannedStop {
  /** Operation id of the announcement. */
  stopId: string
  scope: StopScope
  /** Name of the host or failure domain. */
  name: string
  /** Who announced the stop or, once it is lifted, who lifted it. */
  operator: string
  reason: string
  /** When it was announced or, once it is lifted, when it was lifted, in milliseconds since 1970. */
  changedAtMs: number
  /** Whether the table service stores the stop in its present state. */
  recorded: boolean
  /** Whether a later change ended the stop. */
  lifted: boolean
}

/** Stops by their id. */
export type StopSet = Map<string, PlannedStop>

/** Location of a process or backend server, to which stops are matched. */
export interface Location {
  host: string
  failureDomain: string
}

export function createStopSet (): StopSet {
  return new Map()
}

/** Position of a stop among its states: announced, recorded, lifted, lift recorded. */
function progressOf (stop: PlannedStop): number {
  return (stop.lifted ? 2 : 0) + (stop.recorded ? 1 : 0)
}

/** Keeps the more advanced of the known and the given state of a stop. @returns whether the set changed. */
export function mergeStop (set: StopSet, stop: PlannedStop): boolean {
  const held = set.get(stop.stopId)
  if (held !== undefined && progressOf(held) >= progressOf(stop)) return false
  set.set(stop.stopId, stop)
  return true
}

/**
 * Merges the stop that the change log holds for its target. The log holds one stop per target, and accepts a new one
 * only after the previous one was lifted.
 */
export function mergeRecordedStop (set: StopSet, stop: PlannedStop): boolean {
  let isChanged = mergeStop(set, { ...stop, recorded: true })
  for (const other of [...set.values()]) {
    if (other.stopId === stop.stopId || !isSameTarget(other, stop) || !other.recorded || other.lifted) continue
    isChanged = mergeStop(set, { ...other, lifted: true }) || isChanged
  }
  return isChanged
}

export function isSameTarget (a: Pick<PlannedStop, 'scope' | 'name'>, b: Pick<PlannedStop, 'scope' | 'name'>): boolean {
  return a.scope === b.scope && a.name === b.name
}

export function coversLocation (stop: Pick<PlannedStop, 'scope' | 'name'>, location: Location): boolean {
  // Names such as Södra have several encodings in Unicode.
  return stop.name.normalize() === (stop.scope === 'host' ? location.host : location.failureDomain).normalize()
}

/** A stop that is in force for the location, if any. */
export function stopFor (set: StopSet, location: Location): PlannedStop | undefined {
  for (const stop of set.values()) {
    if (!stop.lifted && coversLocation(stop, location)) return stop
  }
  return undefined
}

export function activeStops (set: StopSet): PlannedStop[] {
  return [...set.values()].filter(stop => !stop.lifted)
}

/** Stops whose present state the table service does not store yet. */
export function unrecordedStops (set: StopSet): PlannedStop[] {
  return [...set.values()].filter(stop => !stop.recorded)
}

export type RecordAction =
  /** Write the stop, replacing the one that the log holds for its target. */
  | { kind: 'write', expectedRevision: number }
  /** The log already holds this state or a more advanced one, or another stop that is in force for the target. */
  | { kind: 'covered' }

/**
 * What remains to be done to record a stop.
 * @param held what the log holds for the target of the stop; undefined if nothing.
 */
export function nextRecordAction (
  stop: PlannedStop, held: { revision: number, stop: PlannedStop } | undefined
): RecordAction {
  if (held === undefined) return { kind: 'write', expectedRevision: 0 }
  const isCovered = held.stop.stopId === stop.stopId
    ? held.stop.lifted || !stop.lifted
    : !held.stop.lifted
  return isCovered ? { kind: 'covered' } : { kind: 'write', expectedRevision: held.revision }
}

/** Load and capacity of one backend server, for the overload check. */
export interface ServerCapacity extends Location {
  /** Lock-step group; empty when the backend server belongs to none. */
  group: string
  /** Targets that the backend server serves, such as `model/draft-model`. */
  targets: string[]
  isServing: boolean
  /** Requests that run or wait. */
  load: number
  /** Maximum number of requests that run at a time. */
  limit: number
}

/**
 * Derived stops of the other members of a lock-step group, which cannot step without the stopped one. Each has the
 * state of the stop from which it is derived.
 */
export function groupStops (
  set: StopSet, members: readonly (Location & { group: string })[]
): PlannedStop[] {
  return [...set.values()].flatMap(stop => {
    const covered = members.filter(member => coversLocation(stop, member))
    const groups = new Set(covered.map(member => member.group).filter(group => group !== ''))
    return members.filter(member => groups.has(member.group) && !coversLocation(stop, member)).map(member => ({
      ...stop, stopId: `${stop.stopId}/${member.host}`, scope: 'host' as const, name: member.host
    }))
  })
}

/**
 * Targets whose present load would exceed the capacity that remains when the stops are in force, as sentences for the
 * operator. A target that would lose its last backend server is included even without load.
 */
export function overloadedTargets (items: readonly ServerCapacity[], stops: readonly PlannedStop[]): string[] {
  const isCovered = (item: ServerCapacity): boolean => stops.some(stop => coversLocation(stop, item))
  const stoppedGroups = new Set(items.filter(isCovered).map(item => item.group).filter(group => group !== ''))
  const sums = new Map<string, { load: number, limit: number, isAffected: boolean }>()
  for (const item of items) {
    const isStopped = isCovered(item) || stoppedGroups.has(item.group)
    for (const target of item.targets) {
      const sum = sums.get(target) ?? { load: 0, limit: 0, isAffected: false }
      sum.load += item.load
      if (isStopped) sum.isAffected = true
      else if (item.isServing) sum.limit += item.limit
      sums.set(target, sum)
    }
  }
  return [...sums]
    .filter(([, sum]) => sum.isAffected && (sum.limit === 0 || sum.load > sum.limit))
    .map(([target, sum]) => `${target}: ${sum.load} requests in progress, room for ${sum.limit} without the stopped hosts`)
}
