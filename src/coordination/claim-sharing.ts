/**
 * Shares table transactions for claims among the entries of a region: an entry sends its claims over the exchange
 * stream to the entry that is the current writer, which writes them together. Without an answer in time the sender
 * writes them itself, under the same operation id.
 */

import * as claimStore from './claim-store.js'
import type * as environment from './environment.js'
import type * as membershipTask from './membership-task.js'
import type * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as claimMessages from '../protocol/claim-messages.js'
import type * as platform from '../protocol/platform.js'
import type * as claims from '../state/claim.js'
import * as claimSharing from '../state/claim-sharing.js'
import * as membership from '../state/membership.js'

export interface ClaimSharingParts {
  self: membership.EntryIdentity
  members: membershipTask.MembershipTask
  table: platform.TableService
  /** @returns false when there is no stream with this incarnation. */
  sendTo: (incarnation: string, fields: ClaimMessageFields) => boolean
  /** Claims per second in the region above which entries share transactions; 0 always shares. */
  shareAbove: number
}

export interface ClaimMessageFields {
  claimHandovers?: controlPb.ClaimHandover[]
  claimAnswers?: controlPb.ClaimAnswer[]
}

export interface ClaimSharing extends claimStore.ClaimWriter {
  /** Handles claims that a peer hands over, and answers to those that this entry handed over. */
  receive (incarnation: string, message: controlPb.PeerMessage): void
  /** Called when the stream with the peer has ended, so that no more answers arrive. */
  lose (incarnation: string): void
}

interface Handover {
  incarnation: string
  operation: claims.ClaimOperation
  settle: (result: claims.RowWriteResult) => void
  timer: NodeJS.Timeout
}

/** Lets a region write 40 transactions/s, and 7 regions 280, of several hundred that the table service accepts. */
const SHARED_INTERVAL_MS = 25
/** Full transactions may overlap, so that a region keeps its rate while the table service is slow. */
const MAX_SHARED_BATCHES_IN_FLIGHT = 4
/** Timeout for the writer's answer: the interval, a write of about 10 ms, two hops, and a busy event loop. */
const ANSWER_TIMEOUT_MS = 120
/**
 * When a write takes this long, the writer reports it as pending. Without that, the senders would write the claims
 * themselves and multiply the writes while the table service is slow.
 */
const PENDING_NOTICE_DELAY_MS = 50
/** Timeout for a write that the writer reported as pending. */
const PENDING_TIMEOUT_MS = 500
const MAX_MEMBERS_AGE_MS = 500

export function createClaimSharing (
  env: environment.Environment, parts: ClaimSharingParts, signal: AbortSignal
): ClaimSharing {
  const directWriter = claimStore.createClaimWriter(env, parts.table, signal)
  const sharedWriter = claimStore.createClaimWriter(env, parts.table, signal, {
    minIntervalMs: SHARED_INTERVAL_MS, maxBatchesInFlight: MAX_SHARED_BATCHES_IN_FLIGHT
  })
  const state = claimSharing.createClaimSharing()
  const handovers = new Map<bigint, Handover>()
  const answers = new Map<string, controlPb.ClaimAnswer[]>()
  let lastNumber = 0
  let entries: string[] = [parts.self.incarnation]
  let entriesReadAtMs = -Infinity

  return {
    async write (operation) {
      claimSharing.countClaim(state, env.nowMs())
      if (env.nowMs() - entriesReadAtMs > MAX_MEMBERS_AGE_MS) await readEntries()
      for (;;) {
        const writer = claimSharing.chooseWriter(state, parts.self.incarnation, entries, parts.shareAbove,
          env.nowMs(), env.wallClockMs(), env.hash64)
        if (writer === parts.self.incarnation) return await (isSharing() ? sharedWriter : directWriter).write(operation)
        const answer = handOver(writer, operation)
        if (answer !== undefined) return await answer
        // Entries of another cell have no stream with this one.
        avoid(writer, 'no_stream')
      }
    },
    receive (incarnation, message) {
      for (const handover of message.claimHandovers) handleHandover(incarnation, handover)
      for (const answer of message.claimAnswers) handleAnswer(incarnation, answer)
    },
    lose (incarnation) {
      for (const [number, handover] of handovers) if (handover.incarnation === incarnation) writeDirectly(number)
    }
  }

  function isSharing (): boolean {
    return entries.length > 1 && state.ratePerSecond * entries.length >= parts.shareAbove
  }

  async function readEntries (): Promise<void> {
    entriesReadAtMs = env.nowMs()
    const alive = await parts.members.read(members => membership.usableEntries(members, env.nowMs())
      .filter(member => member.region === parts.self.region).flatMap(member => member.identity?.incarnation ?? []))
    entries = [parts.self.incarnation, ...alive]
  }

  /** @returns undefined when there is no stream with the entry. */
  function handOver (
    incarnation: string, operation: claims.ClaimOperation
  ): Promise<claims.RowWriteResult> | undefined {
    const number = ++lastNumber
    const isSent = parts.sendTo(incarnation, { claimHandovers: [claimMessages.handoverToMessage(number, operation)] })
    if (!isSent) return undefined
    return new Promise(resolve => {
      const timer = setTimeout(() => writeDirectly(BigInt(number)), ANSWER_TIMEOUT_MS)
      handovers.set(BigInt(number), { incarnation, operation, settle: resolve, timer })
    })
  }

  function handleAnswer (incarnation: string, answer: controlPb.ClaimAnswer): void {
    const handover = handovers.get(answer.number)
    if (handover === undefined) {
      // A late answer shows that the writer works; avoiding it would only split the claims over more transactions.
      const isLate = answer.result === 'committed' || answer.result === 'conflict'
      if (isLate) claimSharing.readmitEntry(state, incarnation)
      return
    }
    if (answer.result === 'pending') {
      clearTimeout(handover.timer)
      handover.timer = setTimeout(() => writeDirectly(answer.number), PENDING_TIMEOUT_MS)
      return
    }
    const result = claimMessages.answerFromMessage(answer)
    // The table service may be unavailable to the writer alone.
    if (result.kind === 'unavailable') return writeDirectly(answer.number)
    clearTimeout(handover.timer)
    handovers.delete(answer.number)
    handover.settle(result)
  }

  /**
   * Writes a claim that was handed over. The other entry's write may have been applied, or may still be: the condition
   * allows only one of the two.
   */
  function writeDirectly (number: bigint): void {
    const handover = handovers.get(number)
    if (handover === undefined) return
    clearTimeout(handover.timer)
    handovers.delete(number)
    avoid(handover.incarnation, 'no_answer')
    env.metrics.count('entry.claims_unanswered', 1)
    directWriter.write(handover.operation).then(handover.settle, () => handover.settle({ kind: 'unavailable' }))
  }

  function avoid (incarnation: string, reason: 'no_stream' | 'no_answer'): void {
    if (claimSharing.avoidEntry(state, incarnation, env.nowMs())) env.log.emit('claimWriterAvoided', { incarnation, reason })
  }

  function handleHandover (incarnation: string, handover: controlPb.ClaimHandover): void {
    const operation = claimMessages.handoverFromMessage(handover)
    if (operation === undefined) return
    const { number } = handover
    const timer = setTimeout(() => {
      parts.sendTo(incarnation, { claimAnswers: [claimMessages.pendingMessage(number)] })
    }, PENDING_NOTICE_DELAY_MS)
    sharedWriter.write(operation).then(result => {
      clearTimeout(timer)
      answer(incarnation, claimMessages.answerToMessage(number, result))
    }, () => clearTimeout(timer))
  }

  /** Answers to the claims of one transaction are sent in one message to each peer. */
  function answer (incarnation: string, message: controlPb.ClaimAnswer): void {
    const waiting = answers.get(incarnation)
    if (waiting !== undefined) {
      waiting.push(message)
      return
    }
    answers.set(incarnation, [message])
    setImmediate(() => {
      const claimAnswers = answers.get(incarnation)!
      answers.delete(incarnation)
      parts.sendTo(incarnation, { claimAnswers })
    })
  }
}
