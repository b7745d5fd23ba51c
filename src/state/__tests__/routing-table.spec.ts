import * as vitest from 'vitest'
import * as routingTable from '../routing-table.js'

const { expect, test } = vitest

function routeOf (name: string, pathPrefix: string, fields: Partial<routingTable.Route> = {}): routingTable.Route {
  return {
    name,
    host: 'a.example',
    pathPrefix,
    targets: [{ service: 's', weight: 1 }],
    repeat: 'repeatable',
    isStream: false,
    isResumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    maxGapMs: 0,
    priority: 1,
    maxServers: 2,
    isPublic: false,
    ...fields
  }
}

const table = routingTable.compileRoutingTable({
  version: 1,
  routes: [routeOf('short', '/x/'), routeOf('long', '/x/y/'), routeOf('open', '/open/', { isPublic: true })],
  services: [],
  teams: [{ name: 'team', keys: ['k1', 'k2'], priority: 0 }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

// Guards against a general route that hides a more specific one, and against a match with part of a path segment.
test('the longest prefix selects the route', () => {
  expect(routingTable.findRoute(table, 'A.example', '/x/y/z')?.name).toBe('long')
  expect(routingTable.findRoute(table, 'a.example', '/x/z')?.name).toBe('short')
  expect(routingTable.findRoute(table, 'a.example', '/x')).toBeUndefined()
  expect(routingTable.findRoute(table, 'b.example', '/x/z')).toBeUndefined()
})

// Guards against requests without a valid key on a route that needs one.
test('an unknown key is refused, except on a public route', () => {
  const [closed, open] = [table.configuration.routes[0]!, table.configuration.routes[2]!]
  expect(routingTable.findTeam(table, closed, 'k2')).toMatchObject({ kind: 'team', team: { name: 'team' } })
  expect(routingTable.findTeam(table, closed, 'gone').kind).toBe('unknown_key')
  expect(routingTable.findTeam(table, closed, undefined).kind).toBe('unknown_key')
  expect(routingTable.findTeam(table, open, undefined).kind).toBe('no_team_needed')
})

// Guards against a traffic split that differs from the configured weights.
test('a route with several targets is split by their weights', () => {
  const split = routeOf('split', '/', { targets: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
  expect(routingTable.chooseTarget(split, 0.89)).toBe('a')
  expect(routingTable.chooseTarget(split, 0.91)).toBe('b')
})

// Guards against a second run of a request that must not run twice.
test('only repeatable requests and resumable streams are repeated', () => {
  expect(routingTable.mayRepeat(routeOf('a', '/'))).toBe(true)
  expect(routingTable.mayRepeat(routeOf('a', '/', { repeat: 'once' }))).toBe(false)
  expect(routingTable.mayRepeat(routeOf('a', '/', { repeat: 'once', isStream: true }))).toBe(false)
  expect(routingTable.mayRepeat(routeOf('a', '/', { repeat: 'once', isStream: true, isResumable: true }))).toBe(true)
})
