/**
 * What the admission and quarantine policies tell the other entries, as parts of the messages between entries.
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
  /** The next message to near peers carries the policies ahead of the regular one. */
  markChanged (): void
  /** Fields for the peers of the own cell; nothing between regular messages without news. */
  fieldsForNear (isBeat: boolean): PolicyFields
  /** Fields for a near peer that this entry has just met: what the others were told last. */
  fieldsForOpening (): PolicyFields
  /** Takes the peer addresses of the other entries of the cell. */
  expect (peerAddresses: ReadonlySet<string>): void
  /** Fields for peers of other cells, with the demand of the whole cell. */
  fieldsForFar (): PolicyFields
  receive (peer: Peer, message: Required<PolicyFields>, isFar: boolean): void
  /** The peer is gone. */
  lose (peer: Peer): void
}

const STATES: readonly quarantine.SuspectState[] = ['suspect', 'quarantined', 'cleared']

export function createPolicyExchange (
  admission: admissionGate.AdmissionGate, attempts: attemptPolicy.AttemptPolicy
): PolicyExchange {
  let hasNews = false
  return {
    markChanged () { hasNews = true },
    fieldsForNear (isBeat) {
      if (!isBeat && !hasNews) return {}
      hasNews = false
      return fieldsOf(admission.collectDemand())
    },
    fieldsForOpening: () => fieldsOf(admission.lastAnnouncedDemand()),
    expect (peerAddresses) { admission.expectPeers(peerAddresses) },
    fieldsForFar: () => fieldsOf(admission.cellDemand()),
    receive (peer, message, isFar) {
      // A message without demand changes nothing: a team that falls silent is announced once more, with zero.
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
      demand: [...demand].map(([team, one]) => protobuf.create(controlPb.TeamDemandSchema, {
        team, requestsPerSecond: one.requestsPerSecond, reservedRequests: one.reserved
      })),
      quarantine: attempts.records().map(record => protobuf.create(controlPb.QuarantineEntrySchema, record))
    }
  }
}

/** Several entries of another region tell the same sum, so the region is the source. */
function sourceOf (peer: Peer, isFar: boolean): string {
  return isFar ? `region ${peer.region}` : peer.peerAddress
}
