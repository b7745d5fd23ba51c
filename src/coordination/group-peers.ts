/**
 * Calls to the agents of a lock-step group, whose addresses come from the settings or from the host list.
 */

import * as protobuf from '@bufbuild/protobuf'
import type * as connect from '@connectrpc/connect'
import type * as mapAgent from './map-agent.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as mapMessages from '../protocol/map-messages.js'
import type * as platform from '../protocol/platform.js'
import type * as mapSwitch from '../state/map-switch.js'
import * as peerClient from '../transport/peer-client.js'

export interface GroupPeersOptions {
  group: string
  rank: number
  ranks: number
  /** Addresses by rank; empty when the host list names them. */
  addresses: string[]
  callTimeoutMs: number
}

export interface PeerAnswer {
  answer: mapSwitch.SwitchAnswer
  map: platform.ExpertMap | undefined
  /** Empty unless the call asked for token counts. */
  tokens: number[]
}

export interface GroupPeers {
  ranks: number
  self: number
  /** Calls the agent of a rank. @returns undefined without an answer in time. */
  call (
    rank: number, message: mapSwitch.SwitchMessage, map?: platform.ExpertMap, withTokens?: boolean
  ): Promise<PeerAnswer | undefined>
}

type SwitchClient = connect.Client<typeof controlPb.ExpertMapSwitch>

const MAX_HOST_LIST_AGE_MS = 1_000

export function createGroupPeers (
  options: GroupPeersOptions, self: mapAgent.MapAgent, selfTokens: () => Promise<number[]>,
  hostList: platform.HostList, nowMs: () => number, signal: AbortSignal
): GroupPeers {
  const clients = new Map<string, SwitchClient>()
  let addresses = options.addresses
  let readAtMs = -Infinity
  return { ranks: options.ranks, self: options.rank, call }

  async function call (
    rank: number, message: mapSwitch.SwitchMessage, map?: platform.ExpertMap, withTokens = false
  ): Promise<PeerAnswer | undefined> {
    if (rank === options.rank) {
      const answer = await self.handle(message, map)
      const committedMap = answer.result === 'committed' ? await self.mapOf(message.version) : undefined
      return { answer, map: committedMap, tokens: withTokens ? await selfTokens() : [] }
    }
    const client = await clientOf(rank)
    if (client === undefined) return undefined
    try {
      return await send(client, message, map, withTokens)
    } catch {
      // An unreachable agent, a late answer and a broken connection are treated alike, as no answer.
      return undefined
    }
  }

  async function send (
    client: SwitchClient, message: mapSwitch.SwitchMessage, map: platform.ExpertMap | undefined, withTokens: boolean
  ): Promise<PeerAnswer> {
    const callOptions = { signal: AbortSignal.any([signal, AbortSignal.timeout(options.callTimeoutMs)]) }
    const common = { groupIncarnation: message.groupIncarnation, ballot: BigInt(message.ballot) }
    const mapMessage = map === undefined ? {} : { map: mapMessages.mapToMessage(map) }
    switch (message.type) {
      case 'prepare': {
        const request = { ...common, ...mapMessage, agentIncarnation: message.agentIncarnation, hold: message.hold }
        const response = await client.prepare(protobuf.create(controlPb.PrepareRequestSchema, request), callOptions)
        return { answer: mapMessages.answerFromMessage(response), map: undefined, tokens: [] }
      }
      case 'resolve': {
        const request = { ...common, version: BigInt(message.version), withTokens }
        const response = await client.resolve(protobuf.create(controlPb.ResolveRequestSchema, request), callOptions)
        return {
          answer: mapMessages.answerFromMessage(response),
          map: mapMessages.mapFromMessage(response.map),
          tokens: response.tokenCounts.map(Number)
        }
      }
      case 'commit':
      case 'abort': {
        const response = await client.commit(protobuf.create(controlPb.CommitRequestSchema, {
          ...common,
          ...mapMessage,
          version: BigInt(message.version),
          step: BigInt(message.type === 'commit' ? message.step : 0),
          decision: message.type
        }), callOptions)
        return { answer: mapMessages.answerFromMessage(response), map: undefined, tokens: [] }
      }
    }
  }

  async function clientOf (rank: number): Promise<SwitchClient | undefined> {
    if (options.addresses.length === 0 && nowMs() - readAtMs > MAX_HOST_LIST_AGE_MS) {
      const listed = await hostList.read(signal)
      if (listed.kind === 'ok') {
        readAtMs = nowMs()
        addresses = []
        for (const host of listed.value) {
          if (host.role !== 'agent' || host.group !== options.group || host.peerAddress === '') continue
          addresses[host.rank ?? 0] = host.peerAddress
        }
      }
    }
    const address = addresses[rank]
    if (address === undefined) return undefined
    const client = clients.get(address) ?? peerClient.expertMapClient(address)
    clients.set(address, client)
    return client
  }
}
