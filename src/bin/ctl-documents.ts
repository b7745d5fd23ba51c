/**
 * Commands for templates and teams.
 */

import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as clipanion from 'clipanion'
import * as ctl from './ctl-command.js'
import * as run from './run.js'
import type * as wire from '../protocol/operator-api.js'
import * as documentDiff from '../state/document-diff.js'
import type * as operatorClient from '../transport/operator-client.js'

const POLL_PERIOD_MS = 200
const STANDARD_INPUT = 0
const DOCUMENT_KINDS = ['templates', 'teams'] as const

type DocumentKind = typeof DOCUMENT_KINDS[number]

function pathsOf (action: string): string[][] {
  return DOCUMENT_KINDS.map(kind => [kind, action])
}

abstract class DocumentCommand extends ctl.CtlCommand {
  protected get kind (): DocumentKind {
    return this.path[0] as DocumentKind
  }
}

interface NamedDocument {
  name: string
  document: unknown
}

abstract class FileCommand extends DocumentCommand {
  file = clipanion.Option.String({ name: 'FILE' })

  protected abstract handleDocument (client: operatorClient.OperatorClient, input: NamedDocument): Promise<ctl.Report>

  protected override async report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    const text = fs.readFileSync(this.file === '-' ? STANDARD_INPUT : this.file, 'utf8')
    let document: unknown
    try {
      document = JSON.parse(text)
    } catch (error) {
      return ctl.failure(run.exitCodes.invalidDocument, `${this.file}: ${(error as Error).message}`)
    }
    const name = (document as { name?: unknown } | null)?.name
    if (typeof name !== 'string' || name === '') {
      return ctl.failure(run.exitCodes.invalidDocument, `${this.file}: name: expected a non-empty string`)
    }
    return this.handleDocument(client, { name, document })
  }

  protected pathOf (name: string): string {
    return `${this.kind}/${encodeURIComponent(name)}`
  }
}

export class GetCommand extends DocumentCommand {
  static override paths = pathsOf('get')
  static override usage = clipanion.Command.Usage({ description: 'Print a template or team and its revision.' })
  name = clipanion.Option.String({ name: 'NAME' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    return ctl.requestReport<wire.EntityAnswer>(client, { method: 'GET', path: `${this.kind}/${encodeURIComponent(this.name)}` },
      answer => ctl.success(answer, [`revision ${answer.revision}`, JSON.stringify(answer.document, undefined, 2)]))
  }
}

export class ListCommand extends DocumentCommand {
  static override paths = pathsOf('list')
  static override usage = clipanion.Command.Usage({ description: 'List templates or teams with their revisions.' })

  protected override report (client: operatorClient.OperatorClient): Promise<ctl.Report> {
    return ctl.requestReport<wire.EntityListAnswer>(client, { method: 'GET', path: this.kind },
      answer => ctl.success(answer, answer.entities.map(entity => `${entity.name} revision ${entity.revision}`)))
  }
}

export class ValidateCommand extends FileCommand {
  static override paths = pathsOf('validate')
  static override usage = clipanion.Command.Usage({ description: 'Check a document without applying it.' })

  protected override handleDocument (client: operatorClient.OperatorClient, input: NamedDocument): Promise<ctl.Report> {
    return ctl.requestReport<wire.ValidationAnswer>(
      client, { method: 'POST', path: `${this.pathOf(input.name)}/validate`, body: input.document },
      answer => answer.valid
        ? ctl.success(answer, ['valid'])
        : { exitCode: run.exitCodes.invalidDocument, document: answer, lines: answer.problems })
  }
}

export class DiffCommand extends FileCommand {
  static override paths = pathsOf('diff')
  static override usage = clipanion.Command.Usage({
    description: 'Show what applying a document would change. Exit code 10 when there are differences.'
  })

  protected override async handleDocument (
    client: operatorClient.OperatorClient, input: NamedDocument
  ): Promise<ctl.Report> {
    const result = await client.request({ method: 'GET', path: this.pathOf(input.name) })
    if (result.kind !== 'answer' || ![200, 404].includes(result.status)) return ctl.failureFrom(result)
    const current = result.status === 200
      ? result.body as unknown as wire.EntityAnswer
      : { revision: 0, document: undefined }
    const differences = documentDiff.diffDocuments(current.document, input.document)
    return {
      exitCode: differences.length === 0 ? run.exitCodes.ok : run.exitCodes.different,
      document: { revision: current.revision, differences },
      lines: [
        `revision ${current.revision}`,
        ...differences.map(difference =>
          `${difference.path || 'document'}: ${formatValue(difference.before)} -> ${formatValue(difference.after)}`)
      ]
    }
  }
}

function formatValue (value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value)
}

export class ApplyCommand extends FileCommand {
  static override paths = pathsOf('apply')
  static override usage = clipanion.Command.Usage({
    description: 'Apply a document, wait, and list the entries at which the change is in force.'
  })

  expectedRevision = clipanion.Option.String('--expected-revision', {
    required: true, description: 'revision that the change replaces; 0 for a new template or team'
  })

  operationId = clipanion.Option.String('--operation-id', {
    description: 'id of an earlier attempt whose answer was lost; a new id by default'
  })

  waitMs = clipanion.Option.String('--wait-ms', '5000', {
    description: 'maximum wait for the change to be in force at all entries, in ms'
  })

  protected override async handleDocument (
    client: operatorClient.OperatorClient, input: NamedDocument
  ): Promise<ctl.Report> {
    if (!/^\d+$/.test(this.expectedRevision) || !/^\d+$/.test(this.waitMs)) {
      return ctl.failure(run.exitCodes.invalidSettings, '--expected-revision and --wait-ms: expected whole numbers')
    }
    const operationId = this.operationId ?? crypto.randomUUID()
    const result = await client.request({
      method: 'PUT',
      path: this.pathOf(input.name),
      body: input.document,
      operationId,
      isRepeat: this.operationId !== undefined,
      expectedRevision: Number(this.expectedRevision)
    })
    if (result.kind !== 'answer' || result.status !== 200) {
      const failed = ctl.failureFrom(result)
      if (failed.exitCode !== run.exitCodes.mayBeAccepted) return failed
      return ctl.failure(failed.exitCode, `${failed.lines.join('\n')}\nretry with --operation-id ${operationId}`, { operationId })
    }
    const { revision } = result.body as unknown as wire.AcceptedAnswer
    return this.waitUntilInForce(client, revision)
  }

  private async waitUntilInForce (client: operatorClient.OperatorClient, revision: number): Promise<ctl.Report> {
    const deadlineAtMs = performance.now() + Number(this.waitMs)
    for (;;) {
      const result = await client.request({ method: 'GET', path: `revisions?at=${revision}` })
      const answer = result.kind === 'answer' && result.status === 200
        ? result.body as unknown as wire.InForceAnswer
        : undefined
      const isDone = answer !== undefined && answer.notConfirmed.length === 0
      if (!isDone && performance.now() < deadlineAtMs) {
        await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MS))
        continue
      }
      return {
        exitCode: isDone ? run.exitCodes.ok : run.exitCodes.unconfirmed,
        document: answer ?? { revision, inForce: [], notConfirmed: [], error: 'no entry says where the change is in force' },
        lines: [
          `accepted as revision ${revision}`,
          ...(answer?.inForce ?? []).map(entry => `in force at ${entry.host} (${entry.address})`),
          ...(answer?.notConfirmed ?? []).map(entry => `not confirmed at ${entry.host} (${entry.address}): ${entry.detail}`)
        ]
      }
    }
  }
}

export const documentCommands = [GetCommand, ListCommand, ValidateCommand, DiffCommand, ApplyCommand]
