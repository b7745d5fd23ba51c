/**
 * Planned stops of hosts and failure domains. Each stop moves through its states in one direction only, so copies
 * that arrive in any order, late or more than once give every process the same set.
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
  /** The table service holds the stop in its present state. */
  recorded: boolean
  /** A later change ended the stop. */
  lifted: boolean
}

/** Stops by their id. */
export type StopSet = Map<string, PlannedStop>

/** A place that a stop can concern. */
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

/** Keeps the further of the held and the given state of a stop. @returns whether the set changed. */
export function mergeStop (set: StopSet, stop: PlannedStop): boolean {
  const held = set.get(stop.stopId)
  if (held !== undefined && progressOf(held) >= progressOf(stop)) return false
  set.set(stop.stopId, stop)
  return true
}

/**
 * Takes a stop that the change log holds for its target. The log holds one stop for a target, and a new one only
 * after the one before it was lifted.
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

/** A stop in force for the location, if there is one. */
export function stopFor (set: StopSet, location: Location): PlannedStop | undefined {
  for (const stop of set.values()) {
    if (!stop.lifted && coversLocation(stop, location)) return stop
  }
  return undefined
}

export function activeStops (set: StopSet): PlannedStop[] {
  return [...set.values()].filter(stop => !stop.lifted)
}

/** Stops whose present state the table service does not hold yet. */
export function unrecordedStops (set: StopSet): PlannedStop[] {
  return [...set.values()].filter(stop => !stop.recorded)
}

export type RecordAction =
  /** Write the stop in place of the one that the log holds for its target. */
  | { kind: 'write', expectedRevision: number }
  /** The log already has this state or a further one, or another stop in force for the target. */
  | { kind: 'covered' }

/** What is left to do to have a stop recorded, given what the log holds for its target. */
export function nextRecordAction (stop: PlannedStop, held: { revision: number, stop: PlannedStop } | undefined): RecordAction {
  if (held === undefined) return { kind: 'write', expectedRevision: 0 }
  const isCovered = held.stop.stopId === stop.stopId
    ? held.stop.lifted || !stop.lifted
    : !held.stop.lifted
  return isCovered ? { kind: 'covered' } : { kind: 'write', expectedRevision: held.revision }
}

/** What the overload check needs to know about one backend server. */
export interface ServerCapacity extends Location {
  /** Lock-step group; empty when the host is in none. */
  group: string
  /** Targets that the backend server offers, such as `model/draft-model`. */
  targets: string[]
  isServing: boolean
  /** Requests that run or wait. */
  load: number
  /** Most requests that run at a time. */
  limit: number
}

/**
 * Stops of the other members of a lock-step group, which cannot step without the stopped one. Each has the state of
 * the stop that it follows from.
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
 * Targets whose present load would exceed the capacity that is left when the stops are in force, with figures.
 * A target that would lose its last backend server counts even without load.
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
