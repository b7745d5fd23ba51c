/**
 * Stand-in for a lock-step group as one process: all ranks, each with its own management port. A step runs only when
 * every rank can run it. Prints one line of JSON with the addresses once it is ready.
 * Usage: lockstep-group.js enforced|ignored RANKS STEP_MS HOLD_STEPS [EXPERTS SLOTS_PER_RANK LAYERS]
 */

import * as crypto from 'node:crypto'
import type * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as engineMaps from './engine-maps.js'
import * as jsonServer from './json-server.js'
import type * as mapSwitch from '../src/state/map-switch.js'

interface GroupMap {
  version: number
  slotsPerRank: number
  layers: number[][]
}

interface Rank {
  maps: engineMaps.EngineMaps
  prepared: GroupMap | undefined
  current: GroupMap
  tokens: number[][]
  isStalled: boolean
  /** Delay before a command of each type takes effect; the answer is sent after that. */
  delaysMs: Partial<Record<mapSwitch.EngineCommand['type'], number>>
  address: string
}

interface ControlInput {
  rank?: number
  isStalled?: boolean
  delaysMs?: Rank['delaysMs']
  popularity?: number[][]
}

const [rankCount, stepMs, holdSteps, experts = 8, slotsPerRank = 1, layers = 2] = process.argv.slice(3)
  .map(Number) as [number, number, number, number?, number?, number?]
const fencing = process.argv[2] as engineMaps.Fencing
const TOKENS_PER_STEP = 10_000
const initialMap: GroupMap = {
  version: 0,
  slotsPerRank,
  layers: Array.from({ length: layers }, () =>
    Array.from({ length: rankCount * slotsPerRank }, (_, slot) => slot % experts))
}
let popularity = initialMap.layers.map(() => new Array<number>(experts).fill(1 / experts))
/** One row for each step and rank: step, rank, map version. */
const record: [number, number, number][] = []
/** Skew of each step: the sum over layers of the highest rank load, divided by the mean load of a rank. */
const skews: number[] = []
/** Monotonic time at which each step ended, in ms. */
const endedAtMs: number[] = []
/** Commands in order of arrival; `result` is empty until the command has taken effect. */
const commands: { rank: number, type: string, version: number, result: string }[] = []
const ranks: Rank[] = []
let groupIncarnation = crypto.randomUUID()

for (let index = 0; index < rankCount; index++) {
  const rank = newRank()
  ranks.push(rank)
  const server = await jsonServer.serveJson((request, response) => handleManagement(index, request, response))
  rank.address = server.address
}
const control = await jsonServer.serveJson(handleControl)
process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
console.log(JSON.stringify({ ready: true, control: control.address, ranks: ranks.map(rank => rank.address) }))

for (;;) {
  await timers.setTimeout(stepMs)
  if (ranks.every(rank => !rank.isStalled && rank.maps.canStep())) step()
}

function newRank (): Rank {
  return {
    maps: new engineMaps.EngineMaps(groupIncarnation, fencing, holdSteps),
    prepared: undefined,
    current: initialMap,
    tokens: initialMap.layers.map(() => new Array<number>(experts).fill(0)),
    isStalled: false,
    delaysMs: {},
    address: ''
  }
}

function step (): void {
  const loads = initialMap.layers.map(() => new Array<number>(rankCount).fill(0))
  ranks.forEach((rank, index) => {
    const version = rank.maps.advance()
    if (version !== rank.current.version && rank.prepared?.version === version) rank.current = rank.prepared
    record.push([rank.maps.step, index, version])
    rank.current.layers.forEach((slots, layer) => {
      for (const expert of slots.slice(index * slotsPerRank, (index + 1) * slotsPerRank)) {
        const replicas = slots.filter(other => other === expert).length
        const tokens = Math.round(TOKENS_PER_STEP * popularity[layer]![expert]! / replicas)
        rank.tokens[layer]![expert]! += tokens
        loads[layer]![index]! += tokens
      }
    })
  })
  const maximumLoadSum = loads.reduce((sum, layer) => sum + Math.max(...layer), 0)
  skews.push(maximumLoadSum * rankCount / loads.flat().reduce((sum, load) => sum + load, 0))
  endedAtMs.push(performance.now())
}

async function handleManagement (
  index: number, request: jsonServer.JsonRequest, response: http.ServerResponse
): Promise<void> {
  const rank = ranks[index]!
  const maps = { current: rank.current, prepared: rank.prepared }
  switch (request.path) {
    case '/health': return jsonServer.sendJson(response, 200, {})
    case '/management/state': return jsonServer.sendJson(response, 200, rank.maps.snapshot)
    case '/management/maps': return jsonServer.sendJson(response, 200, maps)
    case '/management/tokens': return jsonServer.sendJson(response, 200, { tokens: rank.tokens })
    case '/management/command': {
      const { command, map } = JSON.parse(request.body.toString('utf8')) as { command: mapSwitch.EngineCommand, map?: GroupMap }
      const entry = { rank: index, type: command.type, version: command.version, result: '' }
      commands.push(entry)
      // The engine applies a received command even if the sender disconnects before the delay is over.
      const delayMs = rank.delaysMs[command.type] ?? 0
      if (delayMs > 0) await timers.setTimeout(delayMs)
      const result = rank.maps.apply(command)
      if (result.kind === 'done' && command.type === 'prepare') rank.prepared = map
      entry.result = result.kind === 'refused' ? result.reason : result.kind
      return jsonServer.sendJson(response, result.kind === 'done' ? 200 : 409, result)
    }
    default: jsonServer.sendJson(response, 404, { error: 'no such path' })
  }
}

/**
 * `GET /record` returns all records, `POST /control` changes one rank, all ranks or the expert popularity, and
 * `POST /restart` starts a new group incarnation.
 */
function handleControl (request: jsonServer.JsonRequest, response: http.ServerResponse): void {
  if (request.path === '/control') {
    const input = JSON.parse(request.body.toString('utf8')) as ControlInput
    if (input.popularity !== undefined) popularity = input.popularity
    const targets = input.rank === undefined ? ranks : [ranks[input.rank]!]
    for (const rank of targets) {
      if (input.isStalled !== undefined) rank.isStalled = input.isStalled
      if (input.delaysMs !== undefined) rank.delaysMs = input.delaysMs
    }
  }
  if (request.path === '/restart') {
    groupIncarnation = crypto.randomUUID()
    for (const rank of ranks) Object.assign(rank, { ...newRank(), address: rank.address })
  }
  jsonServer.sendJson(response, 200, request.path === '/record'
    ? { record, skews, endedAtMs, commands, states: ranks.map(rank => rank.maps.snapshot) }
    : {})
}
