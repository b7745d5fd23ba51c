/**
 * Commands for planned stops, status, the audit trail and explanations.
 */

import * as crypto from 'node:crypto'
import * as clipanion from 'clipanion'
import * as ctl from './ctl-command.js'
import * as run from './run.js'
import type * as wire from '../protocol/operator-api.js'
import type * as configuration from '../state/configuration.js'
import type * as stops from '../state/stops.js'
import type * as operatorClient from '../transport/operator-client.js'

const SCOPES: stops.StopScope[] = ['host', 'failure-domain']

abstract class TargetCommand extends ctl.CtlCommand {
  name = clipanion.Option.String({ name: 'NAME' })

  protected get target (): string {
    return `stops/${this.path[1]!}/${encodeURIComponent(this.name)}`
  }
}

export class StopCommand extends TargetCommand {
  static override paths = SCOPES.map(scope => ['stop', scope])
  static override usage = clipanion.Command.Usage({
    description: 'Announce the planned stop of a host or failure domain: it drains and gets no new work.'
  })

  reason = clipanion.Option.String('--reason', '', { description: 'reason for the stop, for the audit trail' })
  confirmOverload = clipanion.Option.Boolean('--confirm-overload', false, {
    description: 'accept that the remaining capacity may not be enough for the load'
  })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    const body: wire.StopBody = { reason: this.reason, confirmOverload: this.confirmOverload }
    return ctl.requestReport<wire.StopAnswer>(
      client, { method: 'PUT', path: this.target, body, operationId: crypto.randomUUID() }, answer => {
        const { stop } = answer
        return ctl.success(answer, [
          answer.alreadyInForce
            ? `already in force, announced by ${stop.operator}`
            : `in force: planned stop of ${stop.scope} ${stop.name}`,
          recordLine(stop, answer.revision, answer.peers),
          answer.hosts.length > 0
            ? `hosts: ${answer.hosts.join(', ')}`
            : `warning: the entry knows no host that this concerns; is ${stop.name} the right name?`
        ])
      })
  }
}

function recordLine (stop: stops.PlannedStop, revision: number | undefined, peers: number): string {
  if (stop.recorded) return revision === undefined ? 'recorded' : `recorded as revision ${revision}`
  return `not recorded: the table service does not answer; sent to ${peers} connected entries and will be recorded later`
}

export class LiftCommand extends TargetCommand {
  static override paths = SCOPES.map(scope => ['lift', scope])
  static override usage = clipanion.Command.Usage({ description: 'Lift the planned stops of a host or failure domain.' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    return ctl.requestReport<wire.LiftAnswer>(client, { method: 'DELETE', path: this.target }, answer => ctl.success(answer,
      answer.stops.map(stop => `lifted ${stop.scope} ${stop.name}, ${stop.recorded ? 'recorded' : 'to be recorded later'}`)))
  }
}

export class StopsCommand extends ctl.CtlCommand {
  static override paths = [['stops']]
  static override usage = clipanion.Command.Usage({ description: 'List planned stops in force and the progress of each host.' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    return ctl.requestReport<wire.StopListAnswer>(client, { method: 'GET', path: 'stops' }, answer => ctl.success(answer,
      answer.stops.flatMap(stop => [
        `${stop.scope} ${stop.name}, by ${stop.operator}, ${stop.recorded ? 'recorded' : 'not recorded yet'}: ${stop.reason}`,
        ...stop.hosts.map(host => `  ${host.role} ${host.host}: ${host.status}, ${host.inFlight} in flight`)
      ])))
  }
}

interface StatusDocument {
  revision: number
  tableAvailable: boolean
  self: { host: string, isServing: boolean, isDraining: boolean }
  servers: { identity: { host: string, failureDomain: string }, load: { status: string, running: number } }[]
  entries: { host: string, revision: number, isDraining: boolean }[]
  stops: stops.PlannedStop[]
}

export class StatusCommand extends ctl.CtlCommand {
  static override paths = [['status']]
  static override usage = clipanion.Command.Usage({ description: 'Show entries and backend servers as one entry sees them.' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    return ctl.requestReport<StatusDocument>(client, { method: 'GET', path: 'status' }, status => ctl.success(status, [
      `revision ${status.revision}, table service ${status.tableAvailable ? 'available' : 'unavailable'}`,
      `entry ${status.self.host}: ${status.self.isServing ? 'serving' : 'refusing'}${status.self.isDraining ? ', draining' : ''}`,
      ...status.entries.map(entry =>
        `entry ${entry.host}: revision ${entry.revision}${entry.isDraining ? ', not offered to callers' : ''}`),
      ...status.servers.map(server =>
        `agent ${server.identity.host} (${server.identity.failureDomain}): ${server.load.status}, ${server.load.running} running`),
      ...status.stops.map(stop => `planned stop: ${stop.scope} ${stop.name}${stop.recorded ? '' : ', not recorded yet'}`)
    ]))
  }
}

export class AuditCommand extends ctl.CtlCommand {
  static override paths = [['audit']]
  static override usage = clipanion.Command.Usage({ description: 'Print one page of accepted changes, oldest first.' })
  after = clipanion.Option.String('--after', '0', { description: 'revision after which the page begins' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    if (!/^\d+$/.test(this.after)) {
      return Promise.resolve(ctl.failure(run.exitCodes.invalidSettings, '--after: expected a revision'))
    }
    return ctl.requestReport<wire.AuditAnswer>(client, { method: 'GET', path: `changes?after=${this.after}` }, answer =>
      ctl.success(answer, [
        ...(answer.source === 'table' ? [] : ['the table service does not answer: only changes that the entry holds']),
        ...answer.changes.map(auditLine)
      ]))
  }
}

function auditLine (change: configuration.Change): string {
  return `${change.revision} ${new Date(change.acceptedAtMs).toISOString()} ${change.operator} ` +
    `${change.entityKind}/${change.entityName} replaces ${change.replacedRevision}, operation ${change.operationId}`
}

export class ExplainCommand extends ctl.CtlCommand {
  static override paths = [['explain']]
  static override usage = clipanion.Command.Usage({
    description: 'Show the records that entries and agents still have of a request: chosen servers and the reasons, refusals.'
  })

  requestId = clipanion.Option.String({ name: 'REQUEST-ID' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    const path = `explain/${encodeURIComponent(this.requestId)}`
    return ctl.requestReport<wire.ExplainAnswer>(client, { method: 'GET', path }, answer => ctl.success(answer, [
      ...answer.records.map(record =>
        `${new Date(record.atMs).toISOString()} ${record.process}: ${record.text} ${JSON.stringify(record.fields)}`),
      ...answer.unanswered.map(name => `no answer from ${name}; its records are missing`)
    ]))
  }
}

export const operationCommands = [StopCommand, LiftCommand, StopsCommand, StatusCommand, AuditCommand, ExplainCommand]
