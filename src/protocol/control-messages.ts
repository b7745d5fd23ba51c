/**
 * Conversion between protobuf control messages and the types of the state layer.
 */

import * as protobuf from '@bufbuild/protobuf'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import type * as configuration from '../state/configuration.js'
import type * as serverView from '../state/server-view.js'
import type * as stops from '../state/stops.js'

export function identityFromMessage (message: controlPb.AgentIdentity): serverView.ServerIdentity {
  return {
    incarnation: message.incarnation,
    host: message.host,
    address: message.address,
    failureDomain: message.failureDomain,
    region: message.region,
    serves: message.serves.map(served => ({ kind: served.kind === 'plain' ? 'plain' : 'model', name: served.name })),
    group: message.group,
    rank: message.rank
  }
}

export function identityToMessage (identity: serverView.ServerIdentity): controlPb.AgentIdentity {
  return protobuf.create(controlPb.AgentIdentitySchema, identity)
}

const STATUSES: readonly serverView.ServerStatus[] = ['serving', 'draining', 'drained', 'down']

export function loadFromMessage (message: controlPb.AgentLoad): serverView.ServerLoad {
  return {
    running: message.running,
    waiting: message.waiting,
    concurrencyLimit: message.concurrencyLimit,
    firstByteMs: message.firstByteMs,
    engineReportAgeMs: message.engineReportAgeMs,
    // An unknown status comes from a newer version; the safe interpretation is to send no work there.
    status: STATUSES.find(status => status === message.status) ?? 'down'
  }
}

export function loadToMessage (load: serverView.ServerLoad): controlPb.AgentLoad {
  return protobuf.create(controlPb.AgentLoadSchema, load)
}

export function changeFromMessage (message: controlPb.ConfigurationChange): configuration.Change {
  return {
    revision: Number(message.revision),
    entityKind: message.entityKind as configuration.EntityKind,
    entityName: message.entityName,
    replacedRevision: Number(message.replacedRevision),
    document: message.documentJson === '' ? undefined : JSON.parse(message.documentJson) as unknown,
    operator: message.operator,
    acceptedAtMs: Number(message.acceptedAtMs),
    operationId: message.operationId
  }
}

export function changeToMessage (change: configuration.Change): controlPb.ConfigurationChange {
  return protobuf.create(controlPb.ConfigurationChangeSchema, {
    revision: BigInt(change.revision),
    entityKind: change.entityKind,
    entityName: change.entityName,
    replacedRevision: BigInt(change.replacedRevision),
    documentJson: change.document === undefined ? '' : JSON.stringify(change.document),
    operator: change.operator,
    acceptedAtMs: BigInt(change.acceptedAtMs),
    operationId: change.operationId
  })
}

export function stopFromMessage (message: controlPb.PlannedStop): stops.PlannedStop {
  return {
    stopId: message.stopId,
    scope: message.scope === 'failure-domain' ? 'failure-domain' : 'host',
    name: message.name,
    operator: message.operator,
    reason: message.reason,
    changedAtMs: Number(message.changedAtMs),
    recorded: message.recorded,
    lifted: message.lifted
  }
}

export function stopToMessage (stop: stops.PlannedStop): controlPb.PlannedStop {
  return protobuf.create(controlPb.PlannedStopSchema, { ...stop, changedAtMs: BigInt(stop.changedAtMs) })
}
