/**
 * The operators' configuration, indexed for the gateway: routes by host and path prefix, teams by key.
 */

/** `once`: must not run a second time for the same attempt of a client. */
export type RepeatPolicy = 'repeatable' | 'once'

export interface RouteTarget {
  service: string
  /** Share of the requests, relative to the other targets of the route. */
  weight: number
}

export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  targets: RouteTarget[]
  repeat: RepeatPolicy
  isStream: boolean
  /** A broken stream may continue at another backend server after its last event. */
  isResumable: boolean
  timeoutMs: number
  targetLatencyMs: number
  /** Maximum pause between events of a stream that is on time; 0 for plain responses. */
  maxGapMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Maximum number of backend servers on which one attempt of a client may run. */
  maxServers: number
  /** Requests need no key. */
  isPublic: boolean
}

/** Speed and memory of the inference engines of a service, from which load and latency are predicted. */
export interface EngineModel {
  slots: number
  cacheTokens: number
  stepMs: number
  perSequenceMs: number
  prefillTokensPerMs: number
  usualPromptTokens: number
  usualOutputTokens: number
  /** Number of sets of experts, which belong to layers; 0 when the engine has no expert groups. */
  expertSets: number
  expertsPerSet: number
  placesPerRank: number
  /** Experts of a set that a rank can load in addition to those of the map in use. */
  spareCopies: number
  expertMegabytes: number
  linkMegabitsPerSecond: number
  stepsPerPass: number
}

export interface Service {
  name: string
  healthPath: string
  connectionLimit: number
  engine: EngineModel | undefined
}

export interface Team {
  name: string
  keys: string[]
  /** Takes precedence over the route's priority. */
  priority: number | undefined
}

export interface ClientLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

export interface Configuration {
  version: number
  routes: Route[]
  services: Service[]
  /** Undefined when requests carry no keys. */
  teams: Team[] | undefined
  limits: ClientLimits
}

export interface RoutingTable {
  configuration: Configuration
  /** Routes of a host, longest prefix first. */
  routesByHost: Map<string, Route[]>
  teamsByKey: Map<string, Team>
  services: Map<string, Service>
}

export function compileRoutingTable (configuration: Configuration): RoutingTable {
  const routesByHost = new Map<string, Route[]>()
  for (const route of configuration.routes) {
    const routes = routesByHost.get(route.host)
    if (routes === undefined) routesByHost.set(route.host, [route])
    else routes.push(route)
  }
  for (const routes of routesByHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  const teamsByKey = new Map<string, Team>()
  for (const team of configuration.teams ?? []) for (const key of team.keys) teamsByKey.set(key, team)
  return {
    configuration,
    routesByHost,
    teamsByKey,
    services: new Map(configuration.services.map(service => [service.name, service]))
  }
}

/**
 * Finds the route with the longest path prefix that matches.
 * @param path path of the request, without its query.
 */
export function findRoute (table: RoutingTable, host: string, path: string): Route | undefined {
  return table.routesByHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
}

export type TeamLookup =
  | { kind: 'team', team: Team }
  | { kind: 'no_team_needed' }
  | { kind: 'unknown_key' }

export function findTeam (table: RoutingTable, route: Route, key: string | undefined): TeamLookup {
  if (table.configuration.teams === undefined) return { kind: 'no_team_needed' }
  const team = key === undefined ? undefined : table.teamsByKey.get(key)
  if (team !== undefined) return { kind: 'team', team }
  return route.isPublic ? { kind: 'no_team_needed' } : { kind: 'unknown_key' }
}

/**
 * Chooses the service for a request, in proportion to the weights of the route's targets.
 * @param random uniform in [0, 1).
 */
export function chooseTarget (route: Route, random: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = random * total
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return route.targets.at(-1)?.service
}

/** Whether a request that may have run can be run again, as a whole or from its last event. */
export function mayRepeat (route: Route): boolean {
  return route.isStream ? route.isResumable : route.repeat === 'repeatable'
}

/** Clients abandon a stream after the longest of these times without an event. */
const CLIENT_STREAM_TIMEOUT_MS = 2_000
const STREAM_TIMEOUT_LATENCY_TARGETS = 4
const STREAM_TIMEOUT_GAPS = 8

export function clientStreamTimeoutMs (route: Route): number {
  return Math.max(
    CLIENT_STREAM_TIMEOUT_MS,
    route.targetLatencyMs * STREAM_TIMEOUT_LATENCY_TARGETS,
    route.maxGapMs * STREAM_TIMEOUT_GAPS
  )
}
