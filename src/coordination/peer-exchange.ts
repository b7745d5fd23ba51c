/**
 * Exchange streams between entries: heartbeats, configuration changes and digests of backend servers. Entries of a cell
 * (a region, or a part of a large one) exchange full digests over one stream for each pair; an entry receives summaries
 * from a few entries of each other cell.
 */

import { setMaxListeners } from 'node:events'
import type * as connect from '@connectrpc/connect'
import * as protobuf from '@bufbuild/protobuf'
import type * as agentTracker from './agent-tracker.js'
import type * as claimSharing from './claim-sharing.js'
import type * as configurationGuard from './configuration-guard.js'
import type * as configurationPeers from './configuration-peers.js'
import type * as configurationTask from './configuration-task.js'
import type * as configurationSync from './configuration-sync.js'
import * as environment from './environment.js'
import * as crossCellDigests from './cross-cell-digests.js'
import type * as membershipTask from './membership-task.js'
import * as peerReceiver from './peer-receiver.js'
import type * as policyExchange from './policy-exchange.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as controlMessages from '../protocol/control-messages.js'
import * as digestMessages from '../protocol/digest-messages.js'
import * as backOff from '../state/back-off.js'
import type * as configuration from '../state/configuration.js'
import * as digestTable from '../state/digest-table.js'
import type * as membership from '../state/membership.js'
import * as peerChoice from '../state/peer-choice.js'
import type * as stops from '../state/stops.js'
import * as peerClient from '../transport/peer-client.js'

export interface ExchangeParts {
  self: membership.EntryIdentity
  tracker: Omit<agentTracker.AgentTracker, 'countHomes'>
  configuration: configurationTask.ConfigurationTask
  sync: configurationSync.ConfigurationSync
  members: membershipTask.MembershipTask
  guard: configurationGuard.ConfigurationGuard
  peers: configurationPeers.ConfigurationPeers
  /** Stops that the change log does not hold yet, so messages to peers carry them. */
  unrecordedStops: () => stops.PlannedStop[]
  onStops: (stops: stops.PlannedStop[]) => void
  /** Digests of the agents that report to this entry. */
  digests: digestTable.DigestTable
  policies: policyExchange.PolicyExchange
  claims: Pick<claimSharing.ClaimSharing, 'receive' | 'lose'>
  isDraining: () => boolean
  inFlight: () => number
}

export interface PeerExchange {
  /** Keeps streams open to those of the entries with which this entry should exchange messages. */
  connectTo (entries: readonly peerChoice.PeerCandidate[]): void
  /**
   * Sends changes, stops and the drain state to peers at once, ahead of the next heartbeat. Changes that a peer pushed
   * are forwarded only to the cells that the peer's own push does not reach.
   */
  push (changes: configuration.Change[], origin?: configurationTask.ChangeOrigin): void
  /** Sends changed digests ahead of the next heartbeat. */
  pushDigests (): void
  /** Sends a message to one peer. @returns false when there is no stream with this incarnation. */
  sendTo (incarnation: string, fields: protobuf.MessageInitShape<typeof controlPb.PeerMessageSchema>): boolean
  /** Handler for exchanges that other entries open. */
  serve (
    requests: AsyncIterable<controlPb.PeerMessage>, context: connect.HandlerContext
  ): AsyncIterable<controlPb.PeerMessage>
}

/**
 * `near`: the peer belongs to the same cell. `takesSummaries`: this entry receives summaries from a peer of another
 * cell. `givesSummaries`: this entry sends summaries to a peer of another cell.
 */
type Role = 'near' | 'takesSummaries' | 'givesSummaries'

interface Stream {
  role: Role
  outbox: peerClient.Outbox<controlPb.PeerMessage>
  controller: AbortController
  /** When the last message was received, or the stream was opened. */
  receivedAtMs: number
  /** Undefined until the peer's first message. */
  peer: membership.EntryIdentity | undefined
}

interface Outgoing {
  controller: AbortController
  role: Role
}

/**
 * A message costs its sender and its receiver about the same CPU time whatever its size, and an entry has up to 63
 * peers in its cell. Urgent changes don't wait for the heartbeat.
 */
export const HEARTBEAT_PERIOD_MS = 2_000
/** Entries of other cells get every second heartbeat. */
const FAR_HEARTBEAT_INTERVAL = 2
/** A stream without a message for this long is closed: its peer is paused or unreachable. */
const STREAM_IDLE_TIMEOUT_MS = 10_000
/** Digests that change within this time are sent in one message. */
const COALESCE_MS = 50
/** An entry waits this long for the peer that should open their stream, and then opens one itself. */
const OPENER_GRACE_MS = 3_000
const RECONNECT_BACK_OFF: backOff.BackOff = { baseMs: 500, maxMs: 8_000 }

export function startPeerExchange (
  env: environment.Environment, parts: ExchangeParts, signal: AbortSignal
): PeerExchange {
  const outgoing = new Map<string, Outgoing>()
  /** Since when the stream that a peer should open has been missing, by the peer's address. */
  const missingSinceMs = new Map<string, number>()
  const streams = new Set<Stream>()
  const farDigests = crossCellDigests.createCrossCellDigests(env, parts.self, parts.tracker)
  const receiver = peerReceiver.createPeerReceiver(env, parts)
  let choice: peerChoice.PeerChoice = { near: [], far: [] }
  /** List that `choice` was made from. */
  let chosenFrom: readonly peerChoice.PeerCandidate[] = []
  let heartbeatAtMs = env.nowMs()
  let heartbeats = 0
  let pushTimer: NodeJS.Timeout | undefined
  setMaxListeners(0, signal)
  environment.every(HEARTBEAT_PERIOD_MS, signal, () => {
    closeIdle()
    broadcast([], true).catch(() => {})
  })

  return {
    connectTo,
    push (changes, origin = 'here') {
      if (origin === 'near') pushFar(changes).catch(() => {})
      else if (origin !== 'snapshot') broadcast(changes, false, origin === 'here').catch(() => {})
    },
    pushDigests () {
      pushTimer ??= setTimeout(() => {
        pushTimer = undefined
        if (!signal.aborted) broadcast([], false).catch(() => {})
      }, COALESCE_MS)
    },
    sendTo (incarnation, fields) {
      const stream = [...streams].find(candidate => candidate.peer?.incarnation === incarnation)
      stream?.outbox.push(protobuf.create(controlPb.PeerMessageSchema, fields))
      return stream !== undefined
    },
    async * serve (requests, context) {
      const stream = openStream('near', context.signal)
      const first = new Promise<void>(resolve => {
        receiveAll(requests, stream, message => {
          if (message.takesSummaries) stream.role = 'givesSummaries'
          resolve()
        }).catch(() => {}).finally(() => {
          resolve()
          closeStream(stream)
        })
      })
      await first
      if (stream.peer === undefined) return
      await sendOpening(stream)
      yield * stream.outbox.messages
    }
  }

  function connectTo (entries: readonly peerChoice.PeerCandidate[]): void {
    // Ranking all entries takes milliseconds, so it is repeated only for a new list.
    if (entries !== chosenFrom) {
      choice = peerChoice.choosePeers(parts.self, entries, env.hash64)
      parts.policies.expect(new Set(choice.near.map(peer => peer.peerAddress)))
    }
    chosenFrom = entries
    const { near, far: farPeers } = choice
    const wanted = new Map<string, Role>()
    for (const { peerAddress } of near) if (shouldOpen(peerAddress)) wanted.set(peerAddress, 'near')
    for (const { peerAddress } of farPeers) wanted.set(peerAddress, 'takesSummaries')
    for (const [address, { controller, role }] of outgoing) {
      if (wanted.get(address) === role) continue
      controller.abort()
      outgoing.delete(address)
    }
    for (const [address, role] of wanted) {
      if (outgoing.has(address)) continue
      const controller = new AbortController()
      outgoing.set(address, { controller, role })
      keepOpen(address, role, AbortSignal.any([signal, controller.signal])).catch(() => {})
    }
  }

  function shouldOpen (peerAddress: string): boolean {
    if (peerChoice.isOpener(parts.self.peerAddress, peerAddress, env.hash64)) return true
    const hasPeerOpened = [...streams].some(stream =>
      stream.role === 'near' && stream.peer?.peerAddress === peerAddress && !outgoing.has(peerAddress))
    if (hasPeerOpened) {
      missingSinceMs.delete(peerAddress)
      return false
    }
    // The peer may not know this entry yet, because the host list lags.
    const sinceMs = missingSinceMs.get(peerAddress) ?? env.nowMs()
    missingSinceMs.set(peerAddress, sinceMs)
    return env.nowMs() - sinceMs >= OPENER_GRACE_MS
  }

  async function keepOpen (address: string, role: Role, untilAborted: AbortSignal): Promise<void> {
    const connection = peerClient.openConnection(address, controlPb.EntryPeer)
    untilAborted.addEventListener('abort', () => connection.close(), { once: true })
    let failures = 0
    while (!untilAborted.aborted) {
      const stream = openStream(role, untilAborted)
      try {
        const { signal: streamSignal } = stream.controller
        const responses = connection.openStream(
          controlPb.EntryPeer.method.exchange, stream.outbox.messages, streamSignal)
        await sendOpening(stream)
        await receiveAll(responses, stream, () => { failures = 0 })
      } catch {
        // All failures of the stream are treated alike: the peer counts as lost until its next heartbeat.
      }
      closeStream(stream)
      if (untilAborted.aborted) return
      failures += 1
      const waitMs = backOff.backOffMs(RECONNECT_BACK_OFF, failures, env.random())
      env.log.emit('peerLost', { peerAddress: address, waitMs: Math.round(waitMs) })
      await new Promise(resolve => setTimeout(resolve, waitMs))
    }
  }

  function openStream (role: Role, outer: AbortSignal): Stream {
    const controller = new AbortController()
    const abort = (): void => controller.abort()
    if (outer.aborted || signal.aborted) abort()
    for (const source of [outer, signal]) source.addEventListener('abort', abort, { once: true })
    controller.signal.addEventListener('abort', () => {
      for (const source of [outer, signal]) source.removeEventListener('abort', abort)
    }, { once: true })
    const outbox = peerClient.createOutbox<controlPb.PeerMessage>(controller.signal)
    return { role, outbox, controller, receivedAtMs: env.nowMs(), peer: undefined }
  }

  function closeStream (stream: Stream): void {
    streams.delete(stream)
    stream.controller.abort()
    const peerAddress = stream.peer?.peerAddress
    if (peerAddress === undefined || [...streams].some(other => other.peer?.peerAddress === peerAddress)) return
    parts.members.post({ type: 'lost', peerAddress })
    if (stream.peer === undefined) return
    parts.policies.lose(stream.peer)
    parts.claims.lose(stream.peer.incarnation)
  }

  function closeIdle (): void {
    const nowMs = env.nowMs()
    // After a pause of this process the messages of that time are still unread.
    const wasPaused = nowMs - heartbeatAtMs > STREAM_IDLE_TIMEOUT_MS / 2
    heartbeatAtMs = nowMs
    for (const stream of streams) {
      if (wasPaused) stream.receivedAtMs = nowMs
      if (nowMs - stream.receivedAtMs <= STREAM_IDLE_TIMEOUT_MS) continue
      closeStream(stream)
    }
  }

  /** Sends the first message of a stream: this entry's identity and the full state that the peer needs. */
  async function sendOpening (stream: Stream): Promise<void> {
    const heartbeat = await currentHeartbeat()
    const nowMs = env.nowMs()
    const digest = stream.role === 'near'
      ? digestTable.fullState(parts.digests)
      : stream.role === 'givesSummaries' ? farDigests.describeAll() : undefined
    stream.outbox.push(protobuf.create(controlPb.PeerMessageSchema, {
      hello: protobuf.create(controlPb.EntryIdentitySchema, parts.self),
      heartbeat,
      stops: parts.unrecordedStops().map(controlMessages.stopToMessage),
      takesSummaries: stream.role === 'takesSummaries',
      ...(stream.role === 'near' ? parts.policies.fieldsForOpening() : {}),
      ...(digest === undefined ? {} : digestMessages.digestToFields(digest, nowMs))
    }))
    if (!stream.controller.signal.aborted) streams.add(stream)
  }

  async function commonFields (
    changes: configuration.Change[]
  ): Promise<protobuf.MessageInitShape<typeof controlPb.PeerMessageSchema>> {
    return {
      heartbeat: await currentHeartbeat(),
      changes: changes.map(controlMessages.changeToMessage),
      stops: parts.unrecordedStops().map(controlMessages.stopToMessage)
    }
  }

  async function pushFar (changes: configuration.Change[]): Promise<void> {
    const message = protobuf.create(controlPb.PeerMessageSchema, await commonFields(changes))
    for (const stream of streams) if (stream.role !== 'near') stream.outbox.push(message)
  }

  /**
   * @param isHeartbeat whether this is the heartbeat of a period, which may hold summaries.
   * @param isUrgentForFar whether other cells get the message at once, and not only with their heartbeat.
   */
  async function broadcast (
    changes: configuration.Change[], isHeartbeat: boolean, isUrgentForFar = false
  ): Promise<void> {
    if (streams.size === 0) return
    const common = await commonFields(changes)
    const nowMs = env.nowMs()
    const nearMessage = protobuf.create(controlPb.PeerMessageSchema, {
      ...common,
      ...digestMessages.digestToFields(digestTable.takeChanges(parts.digests, nowMs), nowMs),
      ...parts.policies.fieldsForNear(isHeartbeat)
    })
    if (isHeartbeat) heartbeats += 1
    const isForFar = isUrgentForFar || (isHeartbeat && heartbeats % FAR_HEARTBEAT_INTERVAL === 0)
    const summaries = isForFar && isHeartbeat ? farDigests.takeSummary(nearHomes()) : undefined
    const summaryMessage = summaries === undefined
      ? undefined
      : protobuf.create(controlPb.PeerMessageSchema, {
        ...common,
        ...digestMessages.digestToFields(summaries.digest, nowMs),
        groups: summaries.groups,
        ...parts.policies.fieldsForFar()
      })
    const plainMessage = protobuf.create(controlPb.PeerMessageSchema, common)
    for (const stream of streams) {
      if (stream.role === 'near') stream.outbox.push(nearMessage)
      else if (!isForFar) continue
      else if (stream.role === 'givesSummaries') stream.outbox.push(summaryMessage ?? plainMessage)
      else stream.outbox.push(plainMessage)
    }
  }

  function nearHomes (): Set<string> {
    const homes = new Set([parts.self.incarnation])
    for (const stream of streams) {
      if (stream.role === 'near' && stream.peer !== undefined) homes.add(stream.peer.incarnation)
    }
    return homes
  }

  async function currentHeartbeat (): Promise<controlPb.Heartbeat> {
    return protobuf.create(controlPb.HeartbeatSchema, {
      revision: BigInt(await parts.configuration.read(copy => copy.revision)),
      confirmedAgeMs: BigInt(Math.min(Number.MAX_SAFE_INTEGER, Math.round(parts.sync.confirmedAgeMs()))),
      draining: parts.isDraining(),
      inFlight: parts.inFlight()
    })
  }

  async function receiveAll (
    messages: AsyncIterable<controlPb.PeerMessage>,
    stream: Stream,
    onFirst: (message: controlPb.PeerMessage) => void
  ): Promise<void> {
    const streamReceiver = receiver.openStreamReceiver(() => stream.role !== 'near')
    for await (const message of messages) {
      stream.receivedAtMs = env.nowMs()
      if (stream.peer === undefined && message.hello !== undefined) {
        stream.peer = message.hello
        onFirst(message)
        env.log.emit('peerConnected', { peerAddress: message.hello.peerAddress })
      }
      await streamReceiver.receive(message)
    }
  }
}
