/**
 * Conversion between the messages of the expert map switch and protobuf messages.
 */

import * as protobuf from '@bufbuild/protobuf'
import type * as platform from './platform.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import type * as mapSwitch from '../state/map-switch.js'

export function mapToMessage (map: platform.ExpertMap): controlPb.ExpertMap {
  return protobuf.create(controlPb.ExpertMapSchema, {
    version: BigInt(map.version),
    slotsPerRank: map.slotsPerRank,
    layers: map.layers.map(expertOfSlot => ({ expertOfSlot }))
  })
}

export function mapFromMessage (message: controlPb.ExpertMap | undefined): platform.ExpertMap | undefined {
  return message && {
    version: Number(message.version),
    slotsPerRank: message.slotsPerRank,
    layers: message.layers.map(layer => layer.expertOfSlot)
  }
}

export function prepareFromMessage (message: controlPb.PrepareRequest): mapSwitch.SwitchMessage {
  return {
    type: 'prepare',
    groupIncarnation: message.groupIncarnation,
    agentIncarnation: message.agentIncarnation,
    ballot: Number(message.ballot),
    version: Number(message.map?.version ?? 0),
    hold: message.hold
  }
}

export function commitFromMessage (message: controlPb.CommitRequest): mapSwitch.SwitchMessage {
  const common = {
    groupIncarnation: message.groupIncarnation, ballot: Number(message.ballot), version: Number(message.version)
  }
  if (message.decision === 'abort') return { type: 'abort', ...common }
  return { type: 'commit', ...common, step: Number(message.step), decides: false }
}

export function resolveFromMessage (message: controlPb.ResolveRequest): mapSwitch.SwitchMessage {
  return {
    type: 'resolve',
    groupIncarnation: message.groupIncarnation,
    ballot: Number(message.ballot),
    version: Number(message.version)
  }
}

/** Converts the answer of another agent. Fields that the response lacks become empty or 0. */
export function answerFromMessage (
  message: {
    result: string,
    reason: string,
    promisedBallot: bigint,
    agentIncarnation?: string,
    groupIncarnation?: string
    mapVersion?: bigint,
    holdStep?: bigint,
    step?: bigint
  }
): mapSwitch.SwitchAnswer {
  return {
    result: message.result as mapSwitch.AnswerResult,
    reason: message.reason,
    promised: Number(message.promisedBallot),
    agentIncarnation: message.agentIncarnation ?? '',
    groupIncarnation: message.groupIncarnation ?? '',
    mapVersion: Number(message.mapVersion ?? 0),
    step: Number(message.holdStep ?? message.step ?? 0)
  }
}
