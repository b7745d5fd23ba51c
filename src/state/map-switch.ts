/**
 * Consensus of a lock-step group on its expert map, as pure state transitions.
 *
 * The engine of each rank is the acceptor: it stores what is prepared, held and armed, and outlives its agent. An agent
 * keeps only its promise and the progress of a load. The version of a map is the ballot that prepared it.
 */

/** Round × 2^32 + random part. Two proposers of a round draw different random parts, which makes ballots unique. */
export type Ballot = number

export interface ArmedMap {
  version: number
  /** First step that uses the map. */
  step: number
}

/** State that an agent reads from the engine of its rank. */
export interface EngineSnapshot {
  /** Identity of the group; changes when any of its engines restarts. */
  groupIncarnation: string
  /** Last step that the rank finished. */
  step: number
  /** Version of the map in use. */
  version: number
  /** Version whose weights are loaded in addition to those of the map in use. */
  prepared: number | undefined
  /** The rank does not pass this step while the version is undecided. */
  hold: ArmedMap | undefined
  armed: ArmedMap | undefined
  /** Highest fencing number that the engine has seen; stays 0 at an engine that ignores them. */
  fencingNumber: number
}

export type EngineRefusal = 'fenced' | 'other_group' | 'not_prepared' | 'step_passed' | 'armed'

export interface EngineCommand {
  /**
   * - `prepare` loads the weights and keeps them in addition to those of the map in use.
   * - `hold` stops the rank before a step until `arm` or `release`.
   * - `arm` schedules the switch for a step and ends the hold.
   * - `seal` makes every `arm` under a lower ballot fail, and itself fails if the version is armed. The hold remains.
   * - `release` discards the prepared version and ends its hold.
   */
  type: 'prepare' | 'hold' | 'arm' | 'seal' | 'release'
  groupIncarnation: string
  fencingNumber: number
  version: number
  /** For `arm`: the first step with the map. */
  step: number
}

export type EngineResult =
  | { kind: 'done', snapshot: EngineSnapshot }
  | { kind: 'refused', reason: EngineRefusal, snapshot: EngineSnapshot }
  /** The engine did not answer: the command may have taken effect or may still do so. */
  | { kind: 'unknown' }

export type SwitchMessage =
  /** Sent with `hold` false to load the weights, and with `hold` true once all ranks have loaded them. */
  | { type: 'prepare', groupIncarnation: string, agentIncarnation: string, ballot: Ballot, version: number, hold: boolean }
  /** `decides` is true for the commit to the proposer's own rank, whose engine makes the decision; then false. */
  | { type: 'commit', groupIncarnation: string, ballot: Ballot, version: number, step: number, decides: boolean }
  | { type: 'abort', groupIncarnation: string, ballot: Ballot, version: number }
  /** Version 0 requests only the status; the agent makes no promise then. */
  | { type: 'resolve', groupIncarnation: string, ballot: Ballot, version: number }

export type AnswerResult =
  | 'loading' | 'loaded' | 'prepared' | 'armed' | 'released' | 'committed' | 'not_seen' | 'status' | 'refused' | 'failed'

export interface SwitchAnswer {
  result: AnswerResult
  /** Empty unless refused or failed. */
  reason: string
  promised: Ballot
  agentIncarnation: string
  groupIncarnation: string
  mapVersion: number
  /** Hold step for `prepared`, first step of the new map for `armed` and `committed`. */
  step: number
}

export interface LoadProgress {
  version: number
  phase: 'loading' | 'loaded' | 'failed'
}

export interface SwitchAgent {
  /** Identity of the agent process. */
  incarnation: string
  promised: Ballot
  load: LoadProgress | undefined
}

export interface SwitchTransition {
  agent: SwitchAgent
  /** Command to run now; its result is passed to `complete`. */
  command?: EngineCommand
  answer?: SwitchAnswer
}

/** Initial state of an agent that starts or restarts while its engine runs. */
export function createSwitchAgent (incarnation: string, engine: EngineSnapshot): SwitchAgent {
  return { incarnation, promised: engine.fencingNumber, load: undefined }
}

/**
 * Handles a message from a proposer. The engine itself refuses the commands of a message that was sent in an earlier
 * incarnation of the group.
 *
 * @param engine current state of the engine.
 */
export function receive (agent: SwitchAgent, engine: EngineSnapshot, message: SwitchMessage): SwitchTransition {
  switch (message.type) {
    case 'prepare': return receivePrepare(agent, engine, message)
    case 'commit':
      if (engine.version === message.version || engine.armed?.version === message.version) {
        return { agent, answer: answerOf(agent, engine, 'armed', engine.armed?.step ?? message.step) }
      }
      if (engine.version > message.version) return refuse(agent, engine, 'a later map is in use')
      return { agent, command: commandFor('arm', message, message.step) }
    case 'abort':
      return { agent: clearLoad(agent, message.version), command: commandFor('release', message) }
    case 'resolve': return receiveResolve(agent, engine, message)
  }
}

/** Handles the result of the command that `receive` or `complete` returned. */
export function complete (
  agent: SwitchAgent, message: SwitchMessage, command: EngineCommand, result: EngineResult
): SwitchTransition {
  if (result.kind === 'unknown') {
    return { agent: setLoadPhase(agent, command, 'failed'), answer: unknownAnswer(agent) }
  }
  const engine = result.snapshot
  if (result.kind === 'refused') {
    if (command.type === 'seal' && result.reason === 'armed' && engine.armed?.version === message.version) {
      return { agent, answer: answerOf(agent, engine, 'committed', engine.armed.step) }
    }
    // A seal discarded the weights of a version that is committed, so they are loaded again. A commit that is not
    // decided yet must fail here, because the ranks that sealed may have agreed on the abort.
    if (message.type === 'commit' && !message.decides && command.type === 'arm' && result.reason === 'not_prepared') {
      return { agent, command: commandFor('prepare', message) }
    }
    return { ...refuse(agent, engine, result.reason), agent: setLoadPhase(agent, command, 'failed') }
  }
  switch (command.type) {
    case 'prepare':
      if (message.type === 'commit') return { agent, command: commandFor('arm', message, message.step) }
      return { agent: setLoadPhase(agent, command, 'loaded'), answer: answerOf(agent, engine, 'loaded') }
    case 'hold': return { agent, answer: answerOf(agent, engine, 'prepared', engine.hold?.step ?? 0) }
    case 'arm': return { agent, answer: answerOf(agent, engine, 'armed', command.step) }
    case 'seal': return { agent: clearLoad(agent, message.version), answer: answerOf(agent, engine, 'not_seen') }
    case 'release': return { agent, answer: answerOf(agent, engine, 'released') }
  }
}

function receivePrepare (
  agent: SwitchAgent, engine: EngineSnapshot, message: SwitchMessage & { type: 'prepare' }
): SwitchTransition {
  // A restarted agent has lost its promise, so it must refuse a duplicate of a message to its predecessor.
  if (message.agentIncarnation !== agent.incarnation) return refuse(agent, engine, 'addressed to another agent')
  if (message.ballot < agent.promised) return refuse(agent, engine, 'a higher ballot is promised')
  const undecided = engine.armed ?? engine.hold
  if (undecided !== undefined && undecided.version !== message.version) {
    return refuse(agent, engine, 'another version is undecided')
  }
  if (engine.version >= message.version) return refuse(agent, engine, 'a later map is in use')
  if (agent.load?.version !== message.version) {
    if (message.hold) return refuse(agent, engine, 'the version is not loaded')
    return {
      agent: { ...agent, promised: message.ballot, load: { version: message.version, phase: 'loading' } },
      command: commandFor('prepare', message)
    }
  }
  const phase = agent.load.phase
  if (phase === 'failed') {
    return { agent: { ...agent, load: undefined }, answer: answerOf(agent, engine, 'failed') }
  }
  if (phase === 'loading' || !message.hold) return { agent, answer: answerOf(agent, engine, phase) }
  if (engine.hold !== undefined) return { agent, answer: answerOf(agent, engine, 'prepared', engine.hold.step) }
  return { agent, command: commandFor('hold', message) }
}

function receiveResolve (
  agent: SwitchAgent, engine: EngineSnapshot, message: SwitchMessage & { type: 'resolve' }
): SwitchTransition {
  if (isStatusQuery(message)) return { agent, answer: answerOf(agent, engine, 'status') }
  if (engine.armed?.version === message.version || engine.version === message.version) {
    return { agent, answer: answerOf(agent, engine, 'committed', engine.armed?.step ?? 0) }
  }
  return { agent: { ...agent, promised: Math.max(agent.promised, message.ballot) }, command: commandFor('seal', message) }
}

function isStatusQuery (message: SwitchMessage): boolean {
  return message.type === 'resolve' && message.version === 0
}

function commandFor (type: EngineCommand['type'], message: SwitchMessage, step = 0): EngineCommand {
  const { groupIncarnation, version } = message
  return { type, groupIncarnation, fencingNumber: message.ballot, version, step }
}

function answerOf (agent: SwitchAgent, engine: EngineSnapshot, result: AnswerResult, step = 0, reason = ''): SwitchAnswer {
  return {
    result,
    reason,
    promised: Math.max(agent.promised, engine.fencingNumber),
    agentIncarnation: agent.incarnation,
    groupIncarnation: engine.groupIncarnation,
    mapVersion: engine.version,
    step
  }
}

function refuse (agent: SwitchAgent, engine: EngineSnapshot, reason: string): SwitchTransition {
  return { agent, answer: answerOf(agent, engine, 'refused', 0, reason) }
}

function unknownAnswer (agent: SwitchAgent): SwitchAnswer {
  return {
    result: 'failed',
    reason: 'the engine does not answer',
    promised: agent.promised,
    agentIncarnation: agent.incarnation,
    groupIncarnation: '',
    mapVersion: 0,
    step: 0
  }
}

function clearLoad (agent: SwitchAgent, version: number): SwitchAgent {
  return agent.load?.version === version ? { ...agent, load: undefined } : agent
}

function setLoadPhase (agent: SwitchAgent, command: EngineCommand, phase: LoadProgress['phase']): SwitchAgent {
  if (command.type !== 'prepare' || agent.load?.version !== command.version) return agent
  return { ...agent, load: { version: command.version, phase } }
}

const BALLOTS_PER_ROUND = 2 ** 32

/** Returns a ballot above all in `seen`. @param random uniform in [0, 1). */
export function nextBallot (seen: readonly Ballot[], random: number): Ballot {
  const round = Math.floor(Math.max(0, ...seen) / BALLOTS_PER_ROUND) + 1
  return round * BALLOTS_PER_ROUND + Math.floor(random * BALLOTS_PER_ROUND)
}

/** First step of the new map: after the hold steps of all ranks. Undefined until every rank has answered `prepared`. */
export function commitStep (answers: ReadonlyMap<number, SwitchAnswer>, ranks: number): number | undefined {
  const prepared = [...answers.values()].filter(answer => answer.result === 'prepared')
  if (prepared.length < ranks) return undefined
  return Math.max(...prepared.map(answer => answer.step)) + 1
}

/**
 * Order in which a proposer that has determined the step sends its commits: its own engine is armed first. Any later
 * commit message then proves that the commit is final, since no abort can be agreed without the proposer's rank.
 */
export function commitSequence (proposer: number, ranks: number): { first: number, then: number[] } {
  return { first: proposer, then: Array.from({ length: ranks }, (_, rank) => rank).filter(rank => rank !== proposer) }
}

export type Resolution =
  | { kind: 'commit', step: number }
  | { kind: 'abort' }
  /** Not all agents have answered; to be repeated under a higher ballot. */
  | { kind: 'open' }

/** Decision that follows from the answers to a `resolve`. */
export function resolve (answers: ReadonlyMap<number, SwitchAnswer>, ranks: number): Resolution {
  const committed = [...answers.values()].find(answer => answer.result === 'committed')
  if (committed !== undefined) return { kind: 'commit', step: committed.step }
  const notSeen = [...answers.values()].filter(answer => answer.result === 'not_seen')
  return notSeen.length === ranks ? { kind: 'abort' } : { kind: 'open' }
}

/** Rank that plans and proposes maps: the lowest member. */
export function leaderOf (ranks: Iterable<number>): number {
  return Math.min(...ranks)
}
