/**
 * Applies the messages of other entries: heartbeats, digests and configuration changes.
 */

import type * as agentTracker from './agent-tracker.js'
import type * as claimSharing from './claim-sharing.js'
import type * as configurationGuard from './configuration-guard.js'
import type * as configurationPeers from './configuration-peers.js'
import type * as configurationTask from './configuration-task.js'
import type * as configurationSync from './configuration-sync.js'
import type * as environment from './environment.js'
import type * as membershipTask from './membership-task.js'
import type * as policyExchange from './policy-exchange.js'
import type * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as controlMessages from '../protocol/control-messages.js'
import * as digestMessages from '../protocol/digest-messages.js'
import type * as membership from '../state/membership.js'
import type * as serverView from '../state/server-view.js'
import type * as stops from '../state/stops.js'

export interface ReceiverParts {
  tracker: Omit<agentTracker.AgentTracker, 'countHomes'>
  configuration: configurationTask.ConfigurationTask
  sync: configurationSync.ConfigurationSync
  members: membershipTask.MembershipTask
  guard: configurationGuard.ConfigurationGuard
  peers: configurationPeers.ConfigurationPeers
  onStops: (stops: stops.PlannedStop[]) => void
  policies: policyExchange.PolicyExchange
  claims: Pick<claimSharing.ClaimSharing, 'receive'>
}

/** Applies the messages of one stream. */
export interface StreamReceiver {
  receive (message: controlPb.PeerMessage): Promise<void>
}

export interface PeerReceiver {
  /** @param isFar whether the peer belongs to another cell. */
  openStreamReceiver (isFar: () => boolean): StreamReceiver
}

export function createPeerReceiver (
  env: environment.Environment, parts: ReceiverParts
): PeerReceiver {
  return { openStreamReceiver }

  function openStreamReceiver (isFar: () => boolean): StreamReceiver {
    const agentsByIndex = new Map<number, serverView.ServerIdentity>()
    let peer: membership.EntryIdentity | undefined
    return {
      async receive (message) {
        peer ??= message.hello
        if (peer === undefined) return
        if (message.claimHandovers.length + message.claimAnswers.length > 0) {
          return parts.claims.receive(peer.incarnation, message)
        }
        receiveDigests(peer.incarnation, agentsByIndex, message)
        parts.policies.receive(peer, message, isFar())
        // The first message of a stream names all agents of the peer, so those of an earlier stream that it omits are
        // lost.
        if (message.hello !== undefined && !message.takesSummaries) {
          parts.tracker.retainAgents(
            peer.incarnation, new Set([...agentsByIndex.values()].map(identity => identity.incarnation)))
        }
        if (message.heartbeat !== undefined) await receiveHeartbeat(peer, isFar(), message)
      }
    }
  }

  function receiveDigests (
    home: string, agentsByIndex: Map<number, serverView.ServerIdentity>, content: controlPb.PeerMessage
  ): void {
    const { tracker } = parts
    tracker.noteHomeAlive(home)
    for (const { index, identity } of content.agents) {
      if (identity === undefined) continue
      const agent = controlMessages.identityFromMessage(identity)
      agentsByIndex.set(index, agent)
      tracker.markAgentConnected(home, agent)
    }
    for (const index of content.returned) {
      const identity = agentsByIndex.get(index)
      if (identity !== undefined) tracker.markAgentConnected(home, identity)
    }
    for (const index of content.gone) {
      const identity = agentsByIndex.get(index)
      if (identity !== undefined) tracker.lose(home, identity.incarnation)
    }
    if (content.loads === undefined) return
    for (const load of digestMessages.loadsFromColumns(content.loads, env.nowMs())) {
      const identity = agentsByIndex.get(load.index)
      if (identity !== undefined) tracker.report(home, identity, load)
    }
  }

  async function receiveHeartbeat (
    peer: membership.EntryIdentity, isFar: boolean, content: controlPb.PeerMessage
  ): Promise<void> {
    const { changes } = content
    const heartbeat = content.heartbeat!
    parts.guard.noteMessage()
    parts.members.post({
      type: 'heartbeat',
      heartbeat: {
        identity: peer,
        isDraining: heartbeat.draining,
        isFar,
        inFlight: heartbeat.inFlight,
        revision: Number(heartbeat.revision)
      }
    })
    if (content.stops.length > 0) parts.onStops(content.stops.map(controlMessages.stopFromMessage))
    if (changes.length > 0) {
      await parts.configuration.apply(changes.map(controlMessages.changeFromMessage), isFar ? 'far' : 'near')
    }
    const revision = await parts.configuration.read(copy => copy.revision)
    if (Number(heartbeat.revision) > revision) await parts.peers.fillGap(peer.peerAddress)
    else if (Number(heartbeat.revision) === revision) parts.sync.confirm(Number(heartbeat.confirmedAgeMs))
  }
}
