/**
 * Model of entries, agents, the claim table and a network that loses, delays, reorders and duplicates messages. It
 * runs the production transitions of the attempt ledger, claims and issued keys. A schedule of numbers determines
 * every choice, so that a property test can generate and shrink schedules.
 */

import * as attemptLedger from '../src/state/attempt-ledger.js'
import * as claims from '../src/state/claim.js'
import * as issuedKeys from '../src/state/issued-keys.js'

type Message =
  | { type: 'attempt', call: Call, operation: number, ref: claims.AttemptRef, oldestOpen: number }
  | { type: 'resolve', call: Call, operation: number, ref: claims.AttemptRef }
  | { type: 'write', call: Call, operation: number, write: claims.ClaimWrite, operationId: string }
  | { type: 'read', call: Call, operation: number }
  /** `hasKeyRun`: whether the key had run when the reply was created. */
  | { type: 'reply', call: Call, operation: number, reply: Reply, hasKeyRun: boolean }

type Reply = claims.KeyedEvent | { type: 'cancelled', isTombstoned: boolean }

interface Call {
  request: number
  key: string
  /** Number of a key that the call's entry issued; 0 for a key chosen by the caller. */
  issuedNumber: number
  entry: Entry
  step: claims.KeyedStep
  /** Number of the call's current operation. Replies to earlier operations are ignored. */
  operation: number
  isCancelling: boolean
  /** The entry responsible for the write did not answer, so the call's own entry sent the write as well. */
  hasFallbackWrite: boolean
  reservations: number
  /** Whether the key had run when the last received reply was created. */
  hasKeyRun: boolean
  ending: claims.KeyedCallResult | 'crashed' | undefined
}

interface Entry { incarnation: string, sequence: number, open: Set<number>, keys: issuedKeys.IssuedKeys, calls: Call[] }
interface Agent { slot: number, incarnation: string, ledger: attemptLedger.AttemptLedger, running: Message[] }

const AGENT_COUNT = 2
const ENTRY_COUNT = 2
const KEY_COUNT = 3
const MAX_RESERVATIONS = 3

/**
 * Violations begin with the guarantee that is broken. G3: a request that is reported as not_run has not run and never
 * runs. G4: a key runs at most once.
 */
export class OnceModel {
  readonly #schedule: Iterator<number>
  readonly #table = new Map<string, claims.ClaimRow>()
  readonly #agents: Agent[] = []
  readonly #entries: Entry[] = []
  #network: Message[] = []
  readonly #calls: Call[] = []
  readonly #runsByKey = new Map<string, number>()
  readonly #runsByRequest = new Map<number, number>()
  readonly #problems: string[] = []
  #incarnations = 0

  constructor (schedule: number[]) {
    this.#schedule = schedule[Symbol.iterator]()
    for (let slot = 0; slot < AGENT_COUNT; slot++) this.#agents.push(this.#newAgent(slot))
    for (let slot = 0; slot < ENTRY_COUNT; slot++) this.#entries.push(this.#newEntry())
  }

  /** Runs the schedule, then delivers every message still in transit. @returns the violations found. */
  run (): string[] {
    for (let action = this.#next(); action !== undefined; action = this.#next()) this.#performAction(action % 12)
    for (let rounds = 0; this.#network.length > 0 && rounds < 1_000; rounds++) this.#deliver(0, false)
    return this.#violations()
  }

  /** Results of all calls; a test checks that the schedules reach every result. */
  endings (): string[] {
    return this.#calls.map(call => call.ending ?? 'open')
  }

  #next (): number | undefined { return this.#schedule.next().value as number | undefined }
  #choose (count: number): number { return (this.#next() ?? 0) % count }
  #incarnation (): string { return (++this.#incarnations).toString(16).padStart(32, '0') }
  #newAgent (slot: number): Agent {
    return { slot, incarnation: this.#incarnation(), ledger: attemptLedger.createLedger(), running: [] }
  }

  #newEntry (): Entry {
    const keys = issuedKeys.createIssuedKeys()
    issuedKeys.issueNumbers(keys, KEY_COUNT, 0)
    return { incarnation: this.#incarnation(), sequence: 0, open: new Set(), keys, calls: [] }
  }

  #performAction (action: number): void {
    const messageIndex = this.#choose(Math.max(1, this.#network.length))
    if (action <= 1) return this.#request()
    if (action <= 5) return this.#deliver(messageIndex, false)
    if (action <= 7) return this.#deliver(messageIndex, true)
    if (action === 8) return this.#lose(messageIndex)
    if (action === 9) return this.#finishRun()
    if (action === 10) return this.#timeOutCall()
    this.#crash()
  }

  #post (message: Message): void { this.#network.push(message) }
  #lose (index: number): void { this.#network.splice(index, 1) }

  #request (): void {
    const entry = this.#entries[this.#choose(ENTRY_COUNT)]!
    const number = this.#choose(KEY_COUNT) + 1
    const isIssued = this.#choose(2) === 0
    const fingerprint = this.#choose(5) === 0 ? 'other' : 'same'
    const call: Call = {
      request: this.#calls.length,
      key: isIssued ? `${entry.incarnation}.${number}` : `own-${number}`,
      issuedNumber: isIssued ? number : 0,
      entry,
      step: claims.startKeyedCall(fingerprint),
      operation: 0,
      isCancelling: false,
      hasFallbackWrite: false,
      reservations: 0,
      hasKeyRun: false,
      ending: undefined
    }
    this.#calls.push(call)
    entry.calls.push(call)
    this.#executeCommand(call)
  }

  #executeCommand (call: Call): void {
    const { command } = call.step
    const operation = ++call.operation
    switch (command.type) {
      case 'reserve': return this.#advance(call, this.#reserve(call))
      case 'send': {
        const oldestOpen = Math.min(...call.entry.open)
        return this.#post({ type: 'attempt', call, operation, ref: command.attempt, oldestOpen })
      }
      case 'resolve': return this.#post({ type: 'resolve', call, operation, ref: command.attempt })
      case 'write':
      case 'release':
      case 'read': {
        const message: Message = command.type === 'read'
          ? { type: 'read', call, operation }
          : { type: 'write', call, operation, write: command.write, operationId: `${call.request}.${operation}` }
        call.hasFallbackWrite = false
        // Claims of issued keys are held in the entry's own memory, so no message is needed.
        if (call.issuedNumber > 0) {
          return this.#receive(call, operation, this.#store(message), this.#runsByKey.has(call.key))
        }
        return this.#post(message)
      }
      case 'finish':
        call.ending = command.result
        // A call may end as not_run only if its key had not run, for this or any other request, when the last reply
        // about the key's claim was created.
        if (command.result === 'not_run' && call.hasKeyRun) {
          this.#problems.push(`G3: request ${call.request} ended not_run after a run of key ${call.key}`)
        }
    }
  }

  #reserve (call: Call): claims.KeyedEvent {
    if (this.#choose(3) === 0 || ++call.reservations > MAX_RESERVATIONS) return { type: 'no_server' }
    const agent = this.#agents[this.#choose(AGENT_COUNT)]!
    const sequence = ++call.entry.sequence
    call.entry.open.add(sequence)
    const attemptId = `${call.entry.incarnation}.${sequence}`
    const attempt = { attemptId, agentIncarnation: agent.incarnation, agentAddress: String(agent.slot) }
    return { type: 'reserved', attempt }
  }

  #advance (call: Call, event: claims.KeyedEvent): void {
    if (event.type === 'sent') call.entry.open.delete(Number(sentAttemptId(call).split('.')[1]))
    call.step = claims.advanceKeyedCall(call.step.call, event)
    this.#executeCommand(call)
  }

  /** @param isDuplicated the message stays in the network, to be delivered again later. */
  #deliver (index: number, isDuplicated: boolean): void {
    const message = this.#network[index]
    if (message === undefined) return
    if (!isDuplicated) this.#network.splice(index, 1)
    const { call, operation } = message
    if (message.type === 'reply') return this.#receive(call, operation, message.reply, message.hasKeyRun)
    const reply = message.type === 'attempt'
      ? this.#beginAttempt(message)
      : message.type === 'resolve' ? this.#resolve(message) : this.#store(message)
    const hasKeyRun = this.#runsByKey.has(call.key)
    if (reply !== undefined) this.#network.push({ type: 'reply', call, operation, reply, hasKeyRun })
  }

  #receive (call: Call, operation: number, reply: Reply, hasKeyRun: boolean): void {
    if (call.ending !== undefined || operation !== call.operation) return
    call.hasKeyRun = hasKeyRun
    if (reply.type !== 'cancelled') return this.#advance(call, reply)
    call.isCancelling = false
    this.#advance(call, { type: 'sent', result: reply.isTombstoned ? 'not_run' : 'may_have_run' })
  }

  #beginAttempt (message: Message & { type: 'attempt' }): Reply | undefined {
    const agent = this.#agents[Number(message.ref.agentAddress)]!
    if (agent.incarnation !== message.ref.agentIncarnation) return { type: 'sent', result: 'may_have_run' }
    const id = attemptLedger.parseAttemptId(message.ref.attemptId)!
    // An agent at capacity refuses the attempt and never runs it later.
    if (this.#choose(6) === 0) {
      const isTombstoned = attemptLedger.cancelAttempt(agent.ledger, id) === 'tombstoned'
      return { type: 'sent', result: isTombstoned ? 'not_run' : 'may_have_run' }
    }
    const begun = attemptLedger.beginAttempt(agent.ledger, id, message.oldestOpen)
    if (begun === 'tombstoned') return { type: 'sent', result: 'superseded' }
    if (begun !== 'begun') return { type: 'sent', result: 'may_have_run' }
    count(this.#runsByKey, message.call.key)
    count(this.#runsByRequest, message.call.request)
    agent.running.push(message)
    return undefined
  }

  #resolve (message: Message & { type: 'resolve' }): Reply {
    const agent = this.#agents[Number(message.ref.agentAddress)]!
    const hasRestarted = agent.incarnation !== message.ref.agentIncarnation
    const state = hasRestarted
      ? 'settled'
      : attemptLedger.cancelAttempt(agent.ledger, attemptLedger.parseAttemptId(message.ref.attemptId)!)
    if (message.call.isCancelling) return { type: 'cancelled', isTombstoned: state === 'tombstoned' }
    if (state === 'completed') return { type: 'resolved', state: 'result' }
    return { type: 'resolved', state: state === 'tombstoned' || state === 'running' ? state : 'unknown' }
  }

  #store (message: Message & { type: 'write' | 'read' }): claims.KeyedEvent {
    const { call } = message
    if (call.issuedNumber > 0) {
      if (message.type === 'read') return { type: 'read', held: call.entry.keys.claims.get(call.issuedNumber) }
      const written = issuedKeys.writeIssuedClaim(call.entry.keys, call.issuedNumber, message.write)
      return written.kind === 'committed' ? committed(message) : { type: 'conflict', held: written.held }
    }
    const held = this.#table.get(call.key)
    if (message.type === 'read') return { type: 'read', held }
    const { operationId, write: { claim, expectedRevision } } = message
    if ((held?.revision ?? 0) === expectedRevision) {
      this.#table.set(call.key, { revision: expectedRevision + 1, claim, operationId })
      return committed(message)
    }
    const settled = claims.resolveWriteResult(operationId, { kind: 'conflict', row: held })
    return settled.kind === 'conflict' ? { type: 'conflict', held: settled.held } : committed(message)
  }

  #finishRun (): void {
    const agent = this.#agents[this.#choose(AGENT_COUNT)]!
    const message = agent.running.shift()
    if (message?.type !== 'attempt') return
    attemptLedger.completeAttempt(agent.ledger, attemptLedger.parseAttemptId(message.ref.attemptId)!)
    const reply: Reply = { type: 'sent', result: 'answered' }
    this.#network.push({ type: 'reply', call: message.call, operation: message.operation, reply, hasKeyRun: true })
  }

  /** One of the calls stops waiting for a reply. */
  #timeOutCall (): void {
    const waiting = this.#calls.filter(call => call.ending === undefined)
    if (waiting.length === 0) return
    const call = waiting[this.#choose(waiting.length)]!
    const { command } = call.step
    if (command.type === 'send' && !call.isCancelling) {
      call.isCancelling = true
      return this.#post({ type: 'resolve', call, operation: ++call.operation, ref: command.attempt })
    }
    if (command.type === 'send') return this.#receive(call, call.operation, { type: 'cancelled', isTombstoned: false }, true)
    if (command.type === 'resolve') return this.#advance(call, { type: 'resolved', state: 'unknown' })
    // The first copy may have reached a writer that is frozen or whose answer was lost. Both copies have the same
    // operation id, so that the store applies only one.
    if ((command.type === 'write' || command.type === 'release') && !call.hasFallbackWrite && this.#choose(3) > 0) {
      call.hasFallbackWrite = true
      const operationId = `${call.request}.${call.operation}`
      return this.#post({ type: 'write', call, operation: call.operation, write: command.write, operationId })
    }
    this.#advance(call, { type: 'store_unavailable' })
  }

  #crash (): void {
    const slot = this.#choose(AGENT_COUNT + ENTRY_COUNT)
    if (slot < AGENT_COUNT) {
      this.#agents[slot] = this.#newAgent(slot)
      return
    }
    for (const call of this.#entries[slot - AGENT_COUNT]!.calls) call.ending ??= 'crashed'
    this.#entries[slot - AGENT_COUNT] = this.#newEntry()
  }

  #violations (): string[] {
    const problems = [...this.#problems]
    for (const [key, runs] of this.#runsByKey) if (runs > 1) problems.push(`G4: key ${key} ran ${runs} times`)
    for (const call of this.#calls) {
      const saysNotRun = call.ending === 'not_run' || call.ending === 'key_reused'
      if (saysNotRun && this.#runsByRequest.has(call.request)) problems.push(`G3: request ${call.request} ran`)
      const wasAnswered = call.ending === 'answered' || call.ending === 'replayed'
      if (wasAnswered && !this.#runsByKey.has(call.key)) problems.push(`key ${call.key} was answered and never ran`)
    }
    for (const key of new Set(this.#calls.map(call => call.key))) {
      const ofKey = this.#calls.filter(call => call.key === key)
      if (ofKey.every(call => call.ending === 'not_run') && this.#runsByKey.has(key)) problems.push(`G3: key ${key} ran`)
    }
    return problems
  }
}

function sentAttemptId (call: Call): string {
  return call.step.command.type === 'send' ? call.step.command.attempt.attemptId : ''
}

function committed (message: Message & { type: 'write' }): claims.KeyedEvent {
  return { type: message.write.claim.state === 'released' ? 'released' : 'committed' }
}

function count<K> (counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}
