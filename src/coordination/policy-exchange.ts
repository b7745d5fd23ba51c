/**
 * State of the admission and quarantine policies that entries exchange, as fields of the messages between them.
 */

import * as protobuf from '@bufbuild/protobuf'
import type * as admissionGate from './admission-gate.js'
import type * as attemptPolicy from './attempt-policy.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import type * as quarantine from '../state/quarantine.js'
import type * as teamLimits from '../state/team-limits.js'

export type PolicyFields = Partial<Pick<controlPb.PeerMessage, 'demand' | 'quarantine'>>
type Peer = Pick<controlPb.EntryIdentity, 'peerAddress' | 'region'>

export interface PolicyExchange {
  /**
   * Marks the state as changed, so that the next message to peers of the cell carries it, ahead of the next heartbeat.
   */
  markChanged (): void
  /** Fields for the peers of the own cell; none between heartbeats while nothing has changed. */
  fieldsForNear (isHeartbeat: boolean): PolicyFields
  /** Fields for the first message to a peer of the own cell: the state that the other peers received last. */
  fieldsForOpening (): PolicyFields
  /** Sets the peer addresses of the other entries of the cell. */
  expect (peerAddresses: ReadonlySet<string>): void
  /** Fields for peers of other cells, with the demand of the whole cell. */
  fieldsForFar (): PolicyFields
  receive (peer: Peer, message: Required<PolicyFields>, isFar: boolean): void
  /** Removes the demand of a peer that was lost. */
  lose (peer: Peer): void
}

const STATES: readonly quarantine.SuspectState[] = ['suspect', 'quarantined', 'cleared']

export function createPolicyExchange (
  admission: admissionGate.AdmissionGate, attempts: attemptPolicy.AttemptPolicy
): PolicyExchange {
  let hasChanged = false
  return {
    markChanged () { hasChanged = true },
    fieldsForNear (isHeartbeat) {
      if (!isHeartbeat && !hasChanged) return {}
      hasChanged = false
      return fieldsOf(admission.collectDemand())
    },
    fieldsForOpening: () => fieldsOf(admission.lastAnnouncedDemand()),
    expect (peerAddresses) { admission.expectPeers(peerAddresses) },
    fieldsForFar: () => fieldsOf(admission.cellDemand()),
    receive (peer, message, isFar) {
      // A message without demand changes nothing: a team that stops sending requests is announced once more, with zero.
      if (message.demand.length === 0) admission.notePeerAlive(sourceOf(peer, isFar), isFar)
      else {
        admission.receiveDemand(sourceOf(peer, isFar), new Map(message.demand.map(demand =>
          [demand.team, { requestsPerSecond: demand.requestsPerSecond, reserved: demand.reservedRequests }])), isFar)
      }
      for (const record of message.quarantine) {
        attempts.receiveRecord({
          fingerprint: record.fingerprint,
          state: STATES.find(state => state === record.state) ?? 'suspect',
          crashedIncarnations: record.crashedIncarnations,
          timeToLiveMs: record.timeToLiveMs
        })
      }
    },
    lose (peer) { admission.forgetDemand(sourceOf(peer, false)) }
  }

  function fieldsOf (demand: ReadonlyMap<string, teamLimits.Demand>): PolicyFields {
    return {
      demand: [...demand].map(([team, teamDemand]) => protobuf.create(controlPb.TeamDemandSchema, {
        team, requestsPerSecond: teamDemand.requestsPerSecond, reservedRequests: teamDemand.reserved
      })),
      quarantine: attempts.records().map(record => protobuf.create(controlPb.QuarantineEntrySchema, record))
    }
  }
}

/** Several entries of another region send the same sum, so the region is the source. */
function sourceOf (peer: Peer, isFar: boolean): string {
  return isFar ? `region ${peer.region}` : peer.peerAddress
}
