/**
 * Base of all commands of bulrushctl: settings, output and the mapping of responses to exit codes.
 */

import * as clipanion from 'clipanion'
import * as run from './run.js'
import * as settings from '../protocol/settings.js'
import * as settingsOptions from '../protocol/settings-options.js'
import * as operatorClient from '../transport/operator-client.js'

export const ctlSettings = {
  entryUrls: {
    flag: 'entry-urls',
    description: 'comma-separated URLs of entries; the next one is tried when one does not answer',
    schema: settings.schemas.names.refine(
      urls => urls.length > 0 && urls.every(url => URL.canParse(url)), 'expected URLs such as http://127.0.0.1:8080')
  },
  operatorKey: { flag: 'operator-key', description: 'key of the operators', schema: settings.schemas.text },
  operator: { flag: 'operator', description: 'name for the audit trail', schema: settings.schemas.text },
  timeoutMs: {
    flag: 'timeout-ms',
    description: 'maximum wait for an answer over all entries, in ms',
    fallback: '10000',
    schema: settings.schemas.integer(100, 600_000)
  }
} satisfies settings.SettingTable

/** Result of a command: an exit code, the document that --json prints, and the lines that are printed otherwise. */
export interface Report {
  exitCode: number
  document: unknown
  lines: string[]
}

export abstract class CtlCommand extends clipanion.Command {
  json = clipanion.Option.Boolean('--json', false, { description: 'print one JSON document' })

  constructor () {
    super()
    settingsOptions.declareOptions(this, ctlSettings)
  }

  /** Runs the command. @throws Error, whose message is printed with the exit code `failed`. */
  protected abstract report (client: operatorClient.OperatorClient): Promise<Report>

  override async execute (): Promise<number> {
    const resolved = settings.resolveSettings(ctlSettings, this as unknown as settings.RawSettings)
    const report = resolved.kind === 'invalid'
      ? failure(run.exitCodes.invalidSettings, resolved.problems.join('\n'))
      : await this.report(new operatorClient.OperatorClient(resolved.values))
        .catch((error: unknown) => failure(run.exitCodes.failed, (error as Error).message))
    const isFailure = report.exitCode !== run.exitCodes.ok && report.exitCode !== run.exitCodes.different
    if (this.json) this.context.stdout.write(`${JSON.stringify(report.document)}\n`)
    else (isFailure ? this.context.stderr : this.context.stdout).write(report.lines.map(line => `${line}\n`).join(''))
    return report.exitCode
  }
}

export function success (document: unknown, lines: string[]): Report {
  return { exitCode: run.exitCodes.ok, document, lines }
}

export function failure (exitCode: number, detail: string, document: object = {}): Report {
  return { exitCode, document: { error: detail, exitCode, ...document }, lines: [detail] }
}

/** Report for a response with a status other than 200, or for a request without a response. */
export function failureFrom (result: operatorClient.OperatorResult): Report {
  if (result.kind === 'unavailable') {
    return result.mayHaveApplied
      ? failure(run.exitCodes.mayBeAccepted, `the change may have been accepted: ${result.detail}`)
      : failure(run.exitCodes.unavailable, `no entry could answer: ${result.detail}`)
  }
  const { status, body } = result
  const detail = String(body['detail'] ?? `status ${status}`)
  if (status === 404) return failure(run.exitCodes.notFound, detail)
  if (status === 412) {
    return failure(run.exitCodes.conflict, `conflict: expected revision ${String(body['expectedRevision'])}, the ` +
      `current one is ${String(body['currentRevision'])}\ncurrent: ${JSON.stringify(body['current'])}\n` +
      `yours: ${JSON.stringify(body['yours'])}`, body)
  }
  if (status === 409 && body['reason'] === 'overloaded') return failure(run.exitCodes.overload, detail, body)
  if (status === 422) return failure(run.exitCodes.invalidDocument, detail, body)
  return failure(run.exitCodes.failed, detail, body)
}

/** Sends a request and turns the response into a report: by `toReport` for status 200, else as a failure. */
export async function requestReport<A> (
  client: operatorClient.OperatorClient, request: operatorClient.OperatorRequest, toReport: (answer: A) => Report
): Promise<Report> {
  const result = await client.request(request)
  return result.kind === 'answer' && result.status === 200 ? toReport(result.body as A) : failureFrom(result)
}
