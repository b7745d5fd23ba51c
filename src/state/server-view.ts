/**
 * State that an entry keeps for each backend server: identity, reported load, and the entry's own requests in flight.
 */

export type ServedKind = 'model' | 'plain'

export interface Served {
  kind: ServedKind
  name: string
}

/** `down`: the agent runs, but its backend server does not answer. */
export type ServerStatus = 'serving' | 'draining' | 'drained' | 'down'

export interface ServerIdentity {
  incarnation: string
  host: string
  /** IP address and port of the agent. */
  address: string
  failureDomain: string
  region: string
  serves: Served[]
  /** Lock-step group; empty when the backend server belongs to none. */
  group: string
  rank: number
}

export interface ServerLoad {
  running: number
  waiting: number
  concurrencyLimit: number
  firstByteMs: number
  engineReportAgeMs: number
  status: ServerStatus
}

export interface ServerRecord {
  identity: ServerIdentity
  load: ServerLoad
  /** When the agent made the report, on this process's clock. */
  reportedAtMs: number
  /** When `running` and `waiting` were read; later than the report when they came with an answer. */
  loadAtMs: number
  /** Requests of this entry that the backend server has not finished. */
  inFlight: number
  /** Values of `inFlight` with the time of each change, oldest first; they cover the time since `loadAtMs`. */
  inFlightChanges: { atMs: number, inFlight: number }[]
  /** Total time of this entry's recent requests here, and how many of them ended; the ratio is their mean time. */
  recentWork: { totalMs: number, ended: number }
  consecutiveFailures: number
  /** The backend server is out of rotation until this time. */
  ejectedUntilMs: number
  ejections: number
  /** When the backend server came into rotation, for slow start. */
  returnedAtMs: number
}

export interface ServerView {
  servers: Map<string, ServerRecord>
  /** Incarnation that each address last announced. */
  incarnationByAddress: Map<string, string>
  /** Hosts that get no new requests because of a planned stop or because they leave. */
  withdrawnHosts: ReadonlySet<string>
}

export function createServerView (): ServerView {
  return { servers: new Map(), incarnationByAddress: new Map(), withdrawnHosts: new Set() }
}

/**
 * Applies a report to the view. A report older than the current one is ignored; a new incarnation at an address
 * replaces the old one.
 * @returns whether the report was accepted.
 */
export function applyReport (
  view: ServerView, identity: ServerIdentity, load: ServerLoad, reportedAtMs: number, nowMs: number = reportedAtMs
): boolean {
  const held = view.servers.get(identity.incarnation)
  if (held !== undefined) {
    if (reportedAtMs < held.reportedAtMs) return false
    held.reportedAtMs = reportedAtMs
    // A server that answers again gets a slow start, like a new one.
    if (held.load.status !== 'serving' && load.status === 'serving') held.returnedAtMs = nowMs
    // Answers arrive more often than reports but carry only request counts, so the report still has the newest values
    // of all other fields.
    const isLoadNewer = reportedAtMs >= held.loadAtMs
    held.load = isLoadNewer ? load : { ...load, running: held.load.running, waiting: held.load.waiting }
    if (isLoadNewer) held.loadAtMs = reportedAtMs
    return true
  }
  const previous = view.incarnationByAddress.get(identity.address)
  if (previous !== undefined && previous !== identity.incarnation) {
    const older = view.servers.get(previous)
    // A delayed digest with an earlier incarnation must not restore that incarnation.
    if (older !== undefined && older.reportedAtMs > reportedAtMs) return false
    view.servers.delete(previous)
  }
  view.incarnationByAddress.set(identity.address, identity.incarnation)
  view.servers.set(identity.incarnation, {
    identity,
    load,
    reportedAtMs,
    loadAtMs: reportedAtMs,
    inFlight: 0,
    inFlightChanges: [],
    recentWork: { totalMs: 0, ended: 0 },
    consecutiveFailures: 0,
    ejectedUntilMs: 0,
    ejections: 0,
    returnedAtMs: reportedAtMs
  })
  return true
}

/** Maximum number of changes kept for each backend server; the oldest are removed first. */
const MAX_IN_FLIGHT_CHANGES = 64

/** After this many requests, the older ones count half, so that the mean time follows a change of the workload. */
const RECENT_REQUESTS = 20

/**
 * Records that this entry sent a request to the backend server (+1) or that one ended (-1).
 * @param hasRun false for a refused request, whose short time is not representative.
 */
export function changeInFlight (record: ServerRecord, change: 1 | -1, nowMs: number, hasRun = true): void {
  const changes = record.inFlightChanges
  // The last change before the load was read is kept, because it gives the number of requests at that time.
  while (changes.length > 1 && changes[1]!.atMs <= record.loadAtMs) changes.shift()
  if (changes.length === 0) changes.push({ atMs: -Infinity, inFlight: record.inFlight })
  const { recentWork } = record
  if (record.inFlight > 0) recentWork.totalMs += record.inFlight * Math.max(0, nowMs - changes.at(-1)!.atMs)
  if (change === -1 && hasRun) recentWork.ended += 1
  if (recentWork.ended > RECENT_REQUESTS) {
    recentWork.ended /= 2
    recentWork.totalMs /= 2
  }
  record.inFlight = Math.max(0, record.inFlight + change)
  changes.push({ atMs: nowMs, inFlight: record.inFlight })
  if (changes.length > MAX_IN_FLIGHT_CHANGES) changes.shift()
}

/** Requests of this entry that the reported load can include: those in flight when the load was read. */
export function inFlightAtReport (record: ServerRecord): number {
  const changes = record.inFlightChanges
  for (let index = changes.length - 1; index >= 0; index--) {
    if (changes[index]!.atMs <= record.loadAtMs) return changes[index]!.inFlight
  }
  return changes[0]?.inFlight ?? record.inFlight
}

/**
 * Applies the load that came with an answer. It is newer than any report, and it was read before the request of the
 * answer ended.
 */
export function applyAnswerLoad (
  view: ServerView, incarnation: string, load: Pick<ServerLoad, 'running' | 'waiting'>, nowMs: number
): void {
  const record = view.servers.get(incarnation)
  if (record === undefined || nowMs < record.loadAtMs) return
  record.load = { ...record.load, running: load.running, waiting: load.waiting }
  record.loadAtMs = nowMs
}

export function removeServer (view: ServerView, incarnation: string): void {
  const record = view.servers.get(incarnation)
  if (record === undefined) return
  view.servers.delete(incarnation)
  if (view.incarnationByAddress.get(record.identity.address) === incarnation) {
    view.incarnationByAddress.delete(record.identity.address)
  }
}

export function servesTarget (identity: ServerIdentity, target: Served): boolean {
  return identity.serves.some(served => served.kind === target.kind && served.name === target.name)
}
