/**
 * Simulation of a lock-step group with its agents, engines and network, driven by a list of choices. Commands to
 * engines are separate messages, so the command of a paused or dead agent can take effect at any later time.
 */

import * as engineMaps from '../../../standins/engine-maps.js'
import * as mapSwitch from '../map-switch.js'

interface Round {
  /** `own` is the commit to the proposer's own rank; `resolve` decides on a version for which a rank is still held. */
  kind: 'load' | 'hold' | 'own' | 'resolve' | 'done'
  /** A round belongs to the incarnation of the group in which it began. */
  groupIncarnation: string
  ballot: number
  version: number
  answers: Map<number, mapSwitch.SwitchAnswer>
}

interface AgentProcess {
  rank: number
  agent: mapSwitch.SwitchAgent
  isAlive: boolean
  /** Whether the agent waits for its engine. */
  isBusy: boolean
  round: Round | undefined
}

/** A message, an answer or an engine command that was sent and has not been delivered yet. */
type Delivery = { number: number } & (
  | { kind: 'message', from: AgentProcess, rank: number, message: mapSwitch.SwitchMessage }
  | { kind: 'answer', to: AgentProcess, rank: number, message: mapSwitch.SwitchMessage, answer: mapSwitch.SwitchAnswer }
  | {
    kind: 'command',
    by: AgentProcess,
    from: AgentProcess,
    message: mapSwitch.SwitchMessage
    command: mapSwitch.EngineCommand,
    /** The agent has stopped waiting for the result. */
    isOrphan: boolean
  }
)

/** Relative frequencies of the faults in one run, compared with about 100 for the delivery of a message. */
export interface FaultRates {
  crash: number
  loss: number
  duplicate: number
  /** Execution of a command whose agent has died or stopped waiting. */
  late: number
  propose: number
  resolve: number
  restart: number
}

const HOLD_STEPS = 2

export class MapSwitchSimulation {
  /** Set when two ranks ran one step with different maps. */
  violation: string | undefined
  switches = 0
  aborts = 0
  readonly engines: engineMaps.EngineMaps[]
  readonly #processes: AgentProcess[] = []
  readonly #deliveries: Delivery[] = []
  readonly #ranks: number
  readonly #rates: FaultRates
  #count = 0

  constructor (ranks: number, fencing: engineMaps.Fencing, rates: FaultRates) {
    this.#ranks = ranks
    this.#rates = rates
    this.engines = Array.from({ length: ranks }, () => new engineMaps.EngineMaps('group-0', fencing, HOLD_STEPS))
    for (let rank = 0; rank < ranks; rank++) this.#start(rank)
  }

  /** Runs one of the possible actions. @param choice any integer from 0. */
  act (choice: number): void {
    const actions = this.#actions()
    const total = actions.reduce((sum, [weight]) => sum + weight, 0)
    let point = choice % total
    for (const [weight, run] of actions) {
      if (point < weight) return run()
      point -= weight
    }
  }

  #actions (): [number, () => void][] {
    const rates = this.#rates
    const isIdle = this.#deliveries.every(delivery => delivery.kind === 'command' && delivery.isOrphan)
    const actions: [number, () => void][] = [[15, () => this.#stepGroup()], [rates.restart, () => this.#restartGroup()]]
    for (const process of this.#processes.filter(candidate => candidate.isAlive)) {
      actions.push([isIdle ? 60 : rates.propose, () => this.#propose(process)])
      actions.push([rates.crash, () => { process.isAlive = false; this.#start(process.rank) }])
      // A paused agent and its replacement are alive at the same time.
      if (this.#processes.filter(other => other.isAlive && other.rank === process.rank).length === 1) {
        actions.push([rates.crash, () => this.#start(process.rank)])
      }
      if (this.engines[process.rank]!.hold !== undefined) {
        actions.push([isIdle ? 200 : rates.resolve, () => this.#resolve(process)])
      }
    }
    this.#deliveries.forEach((delivery, index) => {
      const isOrphan = delivery.kind === 'command' && (delivery.isOrphan || !delivery.by.isAlive)
      // Every seventh delivery has a low weight, so that some arrive very late.
      const weight = delivery.number % 7 === 0 ? 3 : 100
      actions.push([isOrphan ? rates.late : weight, () => { this.#remove(index); this.#deliver(delivery) }])
      if (delivery.kind === 'command') actions.push([isOrphan ? 0 : rates.loss, () => this.#timeOut(delivery)])
      else actions.push([rates.duplicate, () => this.#deliver(delivery)], [rates.loss, () => this.#remove(index)])
    })
    return actions
  }

  #remove (index: number): void {
    this.#deliveries.splice(index, 1)
  }

  #start (rank: number): void {
    const agent = mapSwitch.createSwitchAgent(`agent-${this.#count++}`, this.engines[rank]!.snapshot)
    this.#processes.push({ rank, agent, isAlive: true, isBusy: false, round: undefined })
  }

  /** When an engine restarts, the group's incarnation ends and all ranks start again with the first map. */
  #restartGroup (): void {
    const groupIncarnation = `group-${++this.#count}`
    for (const engine of this.engines) {
      const empty = { prepared: undefined, hold: undefined, armed: undefined }
      Object.assign(engine, { groupIncarnation, step: 0, version: 0, ...empty })
    }
  }

  #stepGroup (): void {
    if (!this.engines.every(engine => engine.canStep())) return
    const before = this.engines[0]!.version
    const versions = this.engines.map(engine => engine.advance())
    if (new Set(versions).size > 1) this.violation = `step ${this.engines[0]!.step} ran with versions ${versions.join(', ')}`
    if (versions[0] !== before) this.switches += 1
  }

  #propose (process: AgentProcess): void {
    const engine = this.engines[process.rank]!
    if (process.round !== undefined && process.round.kind !== 'done') process.round = undefined
    const seen = [process.agent.promised, engine.version, ...this.#promises(process)]
    const ballot = mapSwitch.nextBallot(seen, this.#count++ / 2 ** 32)
    process.round = { kind: 'load', groupIncarnation: engine.groupIncarnation, ballot, version: ballot, answers: new Map() }
    this.#sendPrepare(process, false)
  }

  /** Promises that a proposer reads with a status query; the agents may be replaced before it uses them. */
  #promises (process: AgentProcess): number[] {
    return this.#processes.filter(other => other.isAlive && other.rank !== process.rank)
      .map(other => other.agent.promised)
  }

  #sendPrepare (process: AgentProcess, hold: boolean): void {
    const { groupIncarnation, ballot, version } = process.round!
    for (let rank = 0; rank < this.#ranks; rank++) {
      const target = this.#processes.findLast(other => other.rank === rank && other.isAlive)!
      const agentIncarnation = target.agent.incarnation
      this.#send(process, rank, { type: 'prepare', groupIncarnation, agentIncarnation, ballot, version, hold })
    }
  }

  #resolve (process: AgentProcess): void {
    const version = this.engines[process.rank]!.hold!.version
    const ballot = mapSwitch.nextBallot([process.agent.promised, version], this.#count++ / 2 ** 32)
    const groupIncarnation = this.#groupIncarnationOf(process)
    process.round = { kind: 'resolve', groupIncarnation, ballot, version, answers: new Map() }
    this.#broadcast(process, { type: 'resolve', groupIncarnation, ballot, version })
  }

  #groupIncarnationOf (process: AgentProcess): string {
    return this.engines[process.rank]!.groupIncarnation
  }

  #broadcast (from: AgentProcess, message: mapSwitch.SwitchMessage): void {
    for (let rank = 0; rank < this.#ranks; rank++) this.#send(from, rank, message)
  }

  #send (from: AgentProcess, rank: number, message: mapSwitch.SwitchMessage): void {
    this.#deliveries.push({ number: this.#count++, kind: 'message', from, rank, message })
  }

  #deliver (delivery: Delivery): void {
    switch (delivery.kind) {
      case 'message': {
        const candidates = this.#processes
          .filter(process => process.rank === delivery.rank && process.isAlive && !process.isBusy)
        const { message } = delivery
        // A connection to an agent that was replaced still delivers to that agent.
        const target = (message.type === 'prepare'
          ? candidates.find(process => process.agent.incarnation === message.agentIncarnation)
          : undefined) ?? candidates[this.#count++ % candidates.length]
        if (target === undefined) {
          // Agents handle messages one at a time, so the message waits.
          this.#deliveries.push(delivery)
          return
        }
        const { snapshot } = this.engines[target.rank]!
        this.#applyTransition(target, delivery.from, message, mapSwitch.receive(target.agent, snapshot, message))
        return
      }
      case 'command': {
        const result = this.engines[delivery.by.rank]!.apply(delivery.command)
        if (delivery.isOrphan || !delivery.by.isAlive) return
        this.#applyTransition(delivery.by, delivery.from, delivery.message,
          mapSwitch.complete(delivery.by.agent, delivery.message, delivery.command, result))
        return
      }
      case 'answer':
        if (delivery.to.isAlive) this.#receiveAnswer(delivery.to, delivery.rank, delivery.message, delivery.answer)
    }
  }

  /** The agent stops waiting for its engine; the command may still take effect later. */
  #timeOut (delivery: Delivery & { kind: 'command' }): void {
    if (delivery.isOrphan || !delivery.by.isAlive) return
    delivery.isOrphan = true
    this.#applyTransition(delivery.by, delivery.from, delivery.message,
      mapSwitch.complete(delivery.by.agent, delivery.message, delivery.command, { kind: 'unknown' }))
  }

  #applyTransition (
    process: AgentProcess, from: AgentProcess, message: mapSwitch.SwitchMessage, step: mapSwitch.SwitchTransition
  ): void {
    process.agent = step.agent
    process.isBusy = step.command !== undefined
    if (step.command !== undefined) {
      this.#deliveries.push({ number: this.#count++, kind: 'command', by: process, from, message, command: step.command, isOrphan: false })
    }
    if (step.answer !== undefined) {
      this.#deliveries.push({ number: this.#count++, kind: 'answer', to: from, rank: process.rank, message, answer: step.answer })
    }
  }

  #receiveAnswer (
    process: AgentProcess, rank: number, message: mapSwitch.SwitchMessage, answer: mapSwitch.SwitchAnswer
  ): void {
    const round = process.round
    if (round === undefined || message.ballot !== round.ballot) return
    const { groupIncarnation, ballot, version } = round
    if (round.kind === 'load' && message.type === 'prepare' && answer.result === 'loaded') {
      round.answers.set(rank, answer)
      if (round.answers.size < this.#ranks) return
      Object.assign(round, { kind: 'hold', answers: new Map() })
      this.#sendPrepare(process, true)
      return
    }
    if (round.kind === 'hold' && message.type === 'prepare') {
      round.answers.set(rank, answer)
      const step = mapSwitch.commitStep(round.answers, this.#ranks)
      if (step === undefined) return
      round.kind = 'own'
      const order = mapSwitch.commitSequence(process.rank, this.#ranks)
      const commit: mapSwitch.SwitchMessage = { type: 'commit', groupIncarnation, ballot, version, step, decides: true }
      if (order.first >= 0) this.#send(process, order.first, commit)
      else for (const other of order.then) this.#send(process, other, { ...commit, decides: false })
      return
    }
    if (round.kind === 'own' && message.type === 'commit' && rank === process.rank && answer.result === 'armed') {
      round.kind = 'done'
      for (const other of mapSwitch.commitSequence(process.rank, this.#ranks).then) {
        this.#send(process, other, { ...message, decides: false })
      }
      return
    }
    if (round.kind !== 'resolve' || message.type !== 'resolve') return
    round.answers.set(rank, answer)
    const decision = mapSwitch.resolve(round.answers, this.#ranks)
    if (decision.kind === 'open') return
    round.kind = 'done'
    if (decision.kind === 'abort') this.aborts += 1
    this.#broadcast(process, decision.kind === 'abort'
      ? { type: 'abort', groupIncarnation, ballot, version }
      : { type: 'commit', groupIncarnation, ballot, version, step: decision.step, decides: false })
  }
}
