/**
 * The agent's side of an expert map switch: handles one message at a time and commands the engine of its rank.
 */

import type * as environment from './environment.js'
import type * as weightLoader from './weight-loader.js'
import type * as platform from '../protocol/platform.js'
import * as expertPlanner from '../state/expert-planner.js'
import * as mapSwitch from '../state/map-switch.js'

export interface MapAgentParts {
  incarnation: string
  rank: number
  engine: platform.EngineManagement
  weights: weightLoader.WeightLoader
}

export interface MapAgent {
  /** @param map the map that the message is about, if the sender has it. */
  handle (message: mapSwitch.SwitchMessage, map?: platform.ExpertMap): Promise<mapSwitch.SwitchAnswer>
  /** The map of a version, from memory or from the engine; undefined when neither holds it. */
  mapOf (version: number): Promise<platform.ExpertMap | undefined>
  snapshot (): Promise<mapSwitch.EngineSnapshot | undefined>
}

const MAX_MAPS = 4

export function createMapAgent (env: environment.Environment, parts: MapAgentParts, signal: AbortSignal): MapAgent {
  const maps = new Map<number, platform.ExpertMap>()
  let agent: mapSwitch.SwitchAgent = { incarnation: parts.incarnation, promised: 0, load: undefined }
  let isStarted = false
  let queueTail: Promise<unknown> = Promise.resolve()
  let currentLoad: AbortController | undefined
  return { handle, mapOf, snapshot: () => parts.engine.state(signal) }

  function handle (message: mapSwitch.SwitchMessage, map?: platform.ExpertMap): Promise<mapSwitch.SwitchAnswer> {
    if (map !== undefined) remember(map)
    return inOrder(() => handleNow(message))
  }

  function inOrder<T> (action: () => Promise<T>): Promise<T> {
    const result = queueTail.then(action)
    queueTail = result.catch(() => {})
    return result
  }

  async function handleNow (message: mapSwitch.SwitchMessage): Promise<mapSwitch.SwitchAnswer> {
    const engine = await parts.engine.state(signal)
    if (engine === undefined) return failed('the engine does not answer')
    if (!isStarted) agent = mapSwitch.createSwitchAgent(parts.incarnation, engine)
    isStarted = true
    let step = mapSwitch.receive(agent, engine, message)
    while (step.command !== undefined) {
      agent = step.agent
      const command = step.command
      if (command.type === 'prepare') {
        if (message.type === 'prepare') {
          startLoad(message, command)
          return { ...failed(''), result: 'loading' }
        }
        if (!await fetchWeights(command.version, signal)) return failed('the weights are not loaded')
      }
      const result = await parts.engine.command(command, maps.get(command.version), signal)
      step = mapSwitch.complete(agent, message, command, result)
    }
    agent = step.agent
    if (agent.load === undefined) currentLoad?.abort()
    return step.answer!
  }

  /**
   * Fetches the weights outside the message queue, and then has the engine prepare them inside it, unless the version
   * was aborted meanwhile.
   */
  function startLoad (message: mapSwitch.SwitchMessage, command: mapSwitch.EngineCommand): void {
    currentLoad?.abort()
    const controller = new AbortController()
    currentLoad = controller
    fetchWeights(command.version, AbortSignal.any([signal, controller.signal])).then(isFetched => inOrder(async () => {
      if (agent.load?.version !== command.version || agent.load.phase !== 'loading') return
      const result: mapSwitch.EngineResult = isFetched
        ? await parts.engine.command(command, maps.get(command.version), signal)
        : { kind: 'unknown' }
      agent = mapSwitch.complete(agent, message, command, result).agent
      if (result.kind === 'done') env.log.emit('mapPrepared', { version: command.version })
    })).catch(() => {})
  }

  async function fetchWeights (version: number, loadSignal: AbortSignal): Promise<boolean> {
    const current = (await parts.engine.maps(signal))?.current
    const next = maps.get(version)
    if (current === undefined || next === undefined) return false
    const ranks = Math.floor((next.layers[0]?.length ?? 0) / next.slotsPerRank)
    const shape = { ranks, experts: 0, slotsPerRank: next.slotsPerRank }
    const needed = next.layers.flatMap((slots, layer) =>
      expertPlanner.movedExperts(shape, current.layers[layer] ?? [], slots)
        .filter(moved => moved.rank === parts.rank).map(moved => ({ layer, expert: moved.expert })))
    return parts.weights.load(needed, loadSignal)
  }

  async function mapOf (version: number): Promise<platform.ExpertMap | undefined> {
    const known = maps.get(version)
    if (known !== undefined) return known
    const held = await parts.engine.maps(signal)
    return [held?.prepared, held?.current].find(map => map?.version === version)
  }

  function remember (map: platform.ExpertMap): void {
    maps.set(map.version, map)
    for (const version of [...maps.keys()].sort((a, b) => a - b).slice(0, -MAX_MAPS)) maps.delete(version)
  }

  function failed (reason: string): mapSwitch.SwitchAnswer {
    const { incarnation, promised } = agent
    return {
      result: 'failed', reason, promised, agentIncarnation: incarnation, groupIncarnation: '', mapVersion: 0, step: 0
    }
  }
}
