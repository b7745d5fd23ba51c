/**
 * Rounds of the expert map switch that one agent leads: the switch to a new map, and the resolution of an undecided
 * switch.
 */

import * as timers from 'node:timers/promises'
import type * as environment from './environment.js'
import type * as groupPeers from './group-peers.js'
import type * as platform from '../protocol/platform.js'
import * as mapSwitch from '../state/map-switch.js'

export interface ProposerOptions {
  /** Longest time for all ranks to load the weights. */
  prepareTimeoutMs: number
  /** Longest time that a rank holds before its agent asks the others. */
  decisionTimeoutMs: number
}

export type SwitchOutcome = 'committed' | 'not_prepared' | 'undecided'

export interface MapProposer {
  /** @param layers expert of each slot, for each layer. */
  switchTo (layers: number[][], slotsPerRank: number, signal: AbortSignal): Promise<SwitchOutcome>
  /** Resolves an undecided version to commit or abort; `open` when a rank does not answer. */
  resolve (groupIncarnation: string, version: number, signal: AbortSignal): Promise<mapSwitch.Resolution['kind']>
}

const LOAD_POLL_PERIOD_MS = 100
const RETRY_DELAY_MS = 20

export function createMapProposer (
  env: environment.Environment, peers: groupPeers.GroupPeers, options: ProposerOptions
): MapProposer {
  const allRanks = Array.from({ length: peers.ranks }, (_, rank) => rank)
  /** Highest ballot that this process has seen or used. */
  let highestBallot = 0
  return { switchTo, resolve }

  async function switchTo (layers: number[][], slotsPerRank: number, signal: AbortSignal): Promise<SwitchOutcome> {
    const status = await askAll(() => ({ type: 'resolve', groupIncarnation: '', ballot: 0, version: 0 }))
    const own = status.get(peers.self)
    if (own === undefined || status.size < peers.ranks || !isSameGroup(status)) return 'not_prepared'
    const groupIncarnation = own.groupIncarnation
    const ballot = nextBallot([...status.values()].flatMap(answer => [answer.promised, answer.mapVersion]))
    // A version equals the ballot that prepares it, so no two proposals share a version.
    const map: platform.ExpertMap = { version: ballot, slotsPerRank, layers }
    const prepare = (rank: number, hold: boolean): mapSwitch.SwitchMessage => ({
      type: 'prepare',
      groupIncarnation,
      agentIncarnation: status.get(rank)!.agentIncarnation,
      ballot,
      version: ballot,
      hold
    })
    if (!await loadOnAllRanks(rank => prepare(rank, false), map, signal)) {
      env.log.emit('mapSwitchFailed', { version: ballot })
      return 'not_prepared'
    }
    const held = await askUntil(rank => prepare(rank, true), map, answer => answer.result === 'prepared', signal)
    const step = mapSwitch.commitStep(held, peers.ranks)
    if (step === undefined) return settle()
    const sequence = mapSwitch.commitSequence(peers.self, peers.ranks)
    const commit = { type: 'commit' as const, groupIncarnation, ballot, version: ballot, step }
    const decided = await peers.call(sequence.first, { ...commit, decides: true }, map)
    if (decided?.answer.result !== 'armed') return settle()
    env.log.emit('mapCommitted', { version: ballot, step })
    const armed = await askUntil(
      () => ({ ...commit, decides: false }), undefined, answer => answer.result === 'armed', signal, sequence.then)
    return [...armed.values()].filter(answer => answer.result === 'armed').length === sequence.then.length
      ? 'committed'
      : 'undecided'

    async function settle (): Promise<SwitchOutcome> {
      return await resolve(groupIncarnation, ballot, signal) === 'commit' ? 'committed' : 'undecided'
    }
  }

  async function resolve (
    groupIncarnation: string, version: number, signal: AbortSignal
  ): Promise<mapSwitch.Resolution['kind']> {
    const ballot = nextBallot([version])
    const maps: platform.ExpertMap[] = []
    const answers = await askAll(() => ({ type: 'resolve', groupIncarnation, ballot, version }), undefined, maps)
    const decision = mapSwitch.resolve(answers, peers.ranks)
    if (decision.kind === 'open') {
      env.log.emit('mapUndecided', {
        version, answers: [...answers].map(([rank, answer]) => `${rank}: ${answer.result} ${answer.reason}`).join(', ')
      })
      return 'open'
    }
    env.log.emit(decision.kind === 'commit' ? 'mapCommitted' : 'mapAborted', { version, ballot })
    const message: mapSwitch.SwitchMessage = decision.kind === 'commit'
      ? { type: 'commit', groupIncarnation, ballot, version, step: decision.step, decides: false }
      : { type: 'abort', groupIncarnation, ballot, version }
    await askUntil(() => message, maps[0], answer => ['armed', 'released'].includes(answer.result), signal)
    return decision.kind
  }

  function nextBallot (seen: number[]): number {
    highestBallot = mapSwitch.nextBallot([highestBallot, ...seen], env.random())
    return highestBallot
  }

  /** Loading takes long and does not block the group: ranks hold only after all have loaded. */
  async function loadOnAllRanks (
    messageFor: (rank: number) => mapSwitch.SwitchMessage, map: platform.ExpertMap, signal: AbortSignal
  ): Promise<boolean> {
    const endMs = env.nowMs() + options.prepareTimeoutMs
    let waiting = allRanks
    while (env.nowMs() < endMs && !signal.aborted) {
      const answers = await askAll(messageFor, map, [], waiting)
      if ([...answers.values()].some(answer => ['refused', 'failed'].includes(answer.result))) return false
      waiting = waiting.filter(rank => answers.get(rank)?.result !== 'loaded')
      if (waiting.length === 0) return true
      await timers.setTimeout(LOAD_POLL_PERIOD_MS)
    }
    return false
  }

  /** Repeats the message to the ranks that have not given the wanted answer, up to the decision timeout. */
  async function askUntil (
    messageFor: (rank: number) => mapSwitch.SwitchMessage, map: platform.ExpertMap | undefined,
    isWanted: (answer: mapSwitch.SwitchAnswer) => boolean, signal: AbortSignal, ranks = allRanks
  ): Promise<Map<number, mapSwitch.SwitchAnswer>> {
    const endMs = env.nowMs() + options.decisionTimeoutMs
    const answers = new Map<number, mapSwitch.SwitchAnswer>()
    for (;;) {
      const waiting = ranks.filter(rank => !isWanted(answers.get(rank) ?? EMPTY_ANSWER))
      for (const [rank, answer] of await askAll(messageFor, map, [], waiting)) answers.set(rank, answer)
      const isDone = ranks.every(rank => answers.has(rank) &&
        (isWanted(answers.get(rank)!) || answers.get(rank)!.result === 'refused'))
      if (isDone || env.nowMs() > endMs || signal.aborted) return answers
      await timers.setTimeout(RETRY_DELAY_MS)
    }
  }

  /** Sends the message to the ranks at the same time. @param maps receives the maps that came with the answers. */
  async function askAll (
    messageFor: (rank: number) => mapSwitch.SwitchMessage, map?: platform.ExpertMap, maps: platform.ExpertMap[] = [],
    ranks = allRanks
  ): Promise<Map<number, mapSwitch.SwitchAnswer>> {
    const answers = new Map<number, mapSwitch.SwitchAnswer>()
    await Promise.all(ranks.map(async rank => {
      const reply = await peers.call(rank, messageFor(rank), map)
      if (reply === undefined) return
      answers.set(rank, reply.answer)
      highestBallot = Math.max(highestBallot, reply.answer.promised)
      if (reply.map !== undefined) maps.push(reply.map)
    }))
    return answers
  }
}

const EMPTY_ANSWER: mapSwitch.SwitchAnswer = {
  result: 'failed', reason: '', promised: 0, agentIncarnation: '', groupIncarnation: '', mapVersion: 0, step: 0
}

function isSameGroup (status: Map<number, mapSwitch.SwitchAnswer>): boolean {
  const answers = [...status.values()]
  return answers.every(answer => answer.result === 'status' &&
    answer.groupIncarnation === answers[0]!.groupIncarnation && answer.mapVersion === answers[0]!.mapVersion)
}
