/**
 * For how long requests with each feature have run of late, by service and by backend server. It says how likely a
 * feature is among the requests that a crash interrupts by chance.
 */

export interface FeatureUsage {
  services: Map<string, UsageTable>
  servers: Map<string, UsageTable>
  prunedAtMs: number
}

interface UsageTable {
  total: DecayingSum
  /** Number of requests. */
  requests: DecayingSum
  byFeature: Map<string, DecayingSum>
  whole: WholeResponses
  wholeByFeature: Map<string, WholeResponses>
}

/** Responses that ended whole. */
interface WholeResponses {
  count: DecayingSum
  durationMs: DecayingSum
}

interface DecayingSum {
  value: number
  atMs: number
}

/** A request that has ended, or a place where one would run. */
export interface UsagePlace {
  service: string
  /** Backend server, whatever its incarnation. */
  server: string
}

const DECAY_MS = 20_000
/** Requests that are added both with the feature and without it, since a small sample may have missed either. */
const PRIOR_REQUESTS = 0.25
/** More of them are added to a sample of fewer requests than this. */
const LARGE_SAMPLE = 20
/** A backend server with less running time than this counts about as its whole service does. */
const SERVER_PRIOR_MS = 2_000
/** What has less is forgotten. */
const MIN_USAGE_MS = 50
const PRUNE_INTERVAL_MS = 10_000
/** Bounds the memory of a table to about 0.5 MB. */
const MAX_FEATURES = 4_000

export function createFeatureUsage (): FeatureUsage {
  return { services: new Map(), servers: new Map(), prunedAtMs: -Infinity }
}

/** Records a request that ran. */
export function noteUsage (
  usage: FeatureUsage, place: UsagePlace, features: readonly string[], durationMs: number, nowMs: number
): void {
  prune(usage, nowMs)
  for (const table of [tableOf(usage.services, place.service), tableOf(usage.servers, place.server)]) {
    add(table.total, durationMs, nowMs)
    add(table.requests, 1, nowMs)
    for (const feature of features) {
      const known = table.byFeature.get(feature)
      if (known === undefined) insert(table.byFeature, feature, { value: durationMs, atMs: nowMs })
      else add(known, durationMs, nowMs)
    }
  }
}

/** Records a response that ended whole. */
export function noteWhole (
  usage: FeatureUsage, service: string, features: readonly string[], durationMs: number, nowMs: number
): void {
  const { whole, wholeByFeature } = tableOf(usage.services, service)
  addWhole(whole, durationMs, nowMs)
  for (const feature of features) {
    const known = wholeByFeature.get(feature) ?? noResponses()
    addWhole(known, durationMs, nowMs)
    if (!wholeByFeature.has(feature)) insert(wholeByFeature, feature, known)
  }
}

/** @returns mean duration of the whole responses with a feature; of all of the service if there were none. */
export function usualDurationMs (usage: FeatureUsage, service: string, feature: string): number {
  const table = usage.services.get(service)
  const { count, durationMs } = table?.wholeByFeature.get(feature) ?? table?.whole ?? noResponses()
  return count.value === 0 ? Infinity : durationMs.value / count.value
}

/**
 * @param isHome whether the share at the backend server counts as well, since requests with the feature may be sent
 *   there on purpose.
 * @returns share of the running time of a service's requests that requests with the feature have, in (0, 1).
 */
export function usageShare (
  usage: FeatureUsage, place: UsagePlace, feature: string, isHome: boolean, nowMs: number
): number {
  const service = usage.services.get(place.service)
  const totalMs = current(service?.total, nowMs)
  const requests = current(service?.requests, nowMs)
  const priorMs = totalMs === 0 ? 1 : PRIOR_REQUESTS * Math.max(1, LARGE_SAMPLE / requests) * totalMs / requests
  const share = (runningMs(service, feature, nowMs) + priorMs) / (totalMs + 2 * priorMs)
  return isHome ? Math.max(share, shareAtServer(usage, place.server, feature, share, nowMs)) : share
}

/** @returns share of a backend server's running time that requests with the feature have. */
export function shareAtServer (
  usage: FeatureUsage, server: string, feature: string, serviceShare: number, nowMs: number
): number {
  const table = usage.servers.get(server)
  return (runningMs(table, feature, nowMs) + SERVER_PRIOR_MS * serviceShare) /
    (current(table?.total, nowMs) + SERVER_PRIOR_MS)
}

/** Number of features that have more than this share of the running time. */
export function countLargeShares (usage: FeatureUsage, service: string, smallestShare: number, nowMs: number): number {
  const table = usage.services.get(service)
  const smallestMs = smallestShare * current(table?.total, nowMs)
  return [...table?.byFeature.values() ?? []].filter(sum => current(sum, nowMs) > smallestMs).length
}

/** Number of requests of a service that have run of late. */
export function countRequests (usage: FeatureUsage, service: string, nowMs: number): number {
  return current(usage.services.get(service)?.requests, nowMs)
}

/** Number of features that requests of a service have had of late. */
export function countFeatures (usage: FeatureUsage, service: string): number {
  return usage.services.get(service)?.byFeature.size ?? 0
}

/** Services whose requests have had a feature of late. */
export function servicesWith (usage: FeatureUsage, feature: string): string[] {
  return [...usage.services].filter(([, { byFeature }]) => byFeature.has(feature)).map(([service]) => service)
}

function tableOf (tables: Map<string, UsageTable>, key: string): UsageTable {
  const known = tables.get(key)
  if (known !== undefined) return known
  const table: UsageTable = {
    total: { value: 0, atMs: 0 },
    requests: { value: 0, atMs: 0 },
    byFeature: new Map(),
    whole: noResponses(),
    wholeByFeature: new Map()
  }
  tables.set(key, table)
  return table
}

function add (sum: DecayingSum, value: number, nowMs: number): void {
  sum.value = current(sum, nowMs) + value
  sum.atMs = nowMs
}

function current (sum: DecayingSum | undefined, nowMs: number): number {
  return sum === undefined ? 0 : sum.value * Math.exp((sum.atMs - nowMs) / DECAY_MS)
}

function runningMs (table: UsageTable | undefined, feature: string, nowMs: number): number {
  return current(table?.byFeature.get(feature), nowMs)
}

function noResponses (): WholeResponses {
  return { count: { value: 0, atMs: 0 }, durationMs: { value: 0, atMs: 0 } }
}

/** The two sums decay alike, so that their ratio is the mean at any time. */
function addWhole (whole: WholeResponses, durationMs: number, nowMs: number): void {
  add(whole.count, 1, nowMs)
  add(whole.durationMs, durationMs, nowMs)
}

function insert<Value> (byFeature: Map<string, Value>, feature: string, value: Value): void {
  if (byFeature.size >= MAX_FEATURES) byFeature.delete(byFeature.keys().next().value!)
  byFeature.set(feature, value)
}

function prune (usage: FeatureUsage, nowMs: number): void {
  if (nowMs - usage.prunedAtMs < PRUNE_INTERVAL_MS) return
  usage.prunedAtMs = nowMs
  for (const tables of [usage.services, usage.servers]) {
    for (const [key, { total, byFeature, wholeByFeature }] of tables) {
      for (const [feature, sum] of byFeature) if (current(sum, nowMs) < MIN_USAGE_MS) byFeature.delete(feature)
      for (const [feature, { durationMs }] of wholeByFeature) {
        if (current(durationMs, nowMs) < MIN_USAGE_MS) wholeByFeature.delete(feature)
      }
      if (current(total, nowMs) < MIN_USAGE_MS) tables.delete(key)
    }
  }
}
