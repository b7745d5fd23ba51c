/**
 * Common start-up of the long-running programs: settings, log, signals and exit codes.
 */

import * as events from 'node:events'
import * as clipanion from 'clipanion'
import * as environment from '../coordination/environment.js'
import * as processMetrics from '../coordination/process-metrics.js'
import * as settings from '../protocol/settings.js'
import * as settingsOptions from '../protocol/settings-options.js'
import * as version from '../protocol/version.js'
import * as logging from '../transport/logging.js'
import * as metrics from '../transport/metrics.js'

/** Exit codes of all programs. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  invalidSettings: 2,
  /** The current revision is not the expected one; the current document and the new one are printed. */
  conflict: 3,
  invalidDocument: 4,
  /** No entry could accept the request, and nothing was changed. */
  unavailable: 5,
  /** The response was lost, and the change may have been accepted. */
  mayBeAccepted: 6,
  /** The change is accepted, but at least one entry has not confirmed that it is in force. */
  unconfirmed: 7,
  /** The remaining capacity would not be enough for the load; --confirm-overload overrides this check. */
  overload: 8,
  notFound: 9,
  /** The compared documents differ. */
  different: 10
} as const

export interface Program<S extends settings.SettingTable> {
  name: string
  description: string
  settings: S
  start: (
    options: settings.Resolved<S>,
    env: environment.Environment,
    signal: AbortSignal,
    onFatalError: (error: Error) => void
  ) => Promise<StartedProgram>
}

export interface StartedProgram {
  /** Fields of the ready event. */
  fields: Record<string, unknown>
  /** Begins the graceful shutdown; settles when no request is in flight any more. */
  drain: () => Promise<void>
}

/** Runs a program until SIGTERM, which drains it within the drain timeout, or SIGINT, which stops it immediately. */
export async function runProgram<S extends typeof settings.commonSettings> (program: Program<S>): Promise<void> {
  class StartCommand extends clipanion.Command {
    static override paths = [clipanion.Command.Default]
    static override usage = clipanion.Command.Usage({ description: program.description })

    constructor () {
      super()
      settingsOptions.declareOptions(this, program.settings)
    }

    override async execute (): Promise<number> {
      const resolved = settings.resolveSettings(program.settings, this as unknown as settings.RawSettings)
      if (resolved.kind === 'invalid') {
        for (const text of resolved.problems) this.context.stderr.write(`${program.name}: ${text}\n`)
        return exitCodes.invalidSettings
      }
      return runUntilSignal(program, resolved.values)
    }
  }
  const cli = new clipanion.Cli({ binaryLabel: program.name, binaryName: program.name, binaryVersion: version.VERSION })
  cli.register(StartCommand)
  cli.register(clipanion.Builtins.HelpCommand)
  cli.register(clipanion.Builtins.VersionCommand)
  // Sockets of the HTTP client may still be closing; the exit doesn't wait for them.
  process.exit(await cli.run(process.argv.slice(2)))
}

async function runUntilSignal<S extends typeof settings.commonSettings> (
  program: Program<S>, options: settings.Resolved<S>
): Promise<number> {
  const common = options as settings.Resolved<typeof settings.commonSettings>
  const labels = { role: program.name, host: common.host }
  const log = logging.createEventLog({ format: common.logFormat, level: common.logLevel, labels })
  const sink = metrics.createMetrics(common.statsdAddress, labels)
  const env = await environment.createEnvironment(log, sink)
  const controller = new AbortController()
  // Every stream and task of the process listens on this signal; there is no limit above which Node.js should warn.
  events.EventEmitter.setMaxListeners(0, controller.signal)
  processMetrics.startProcessMetrics(env, controller.signal)
  let exitCode: number = exitCodes.ok
  const stopped = new Promise<void>(resolve => {
    controller.signal.addEventListener('abort', () => resolve(), { once: true })
  })
  const onFatalError = (error: Error): void => {
    log.emit('invariantBroken', { detail: error.stack ?? error.message })
    exitCode = exitCodes.failed
    controller.abort()
  }
  process.once('SIGINT', () => controller.abort())
  let drain = async (): Promise<void> => {}
  process.once('SIGTERM', () => {
    log.emit('processStopping', { drainTimeoutMs: common.drainTimeoutMs })
    const timer = setTimeout(() => {
      if (common.drainTimeoutMs > 0) log.emit('drainOverdue')
      controller.abort()
    }, common.drainTimeoutMs)
    drain().catch(onFatalError).finally(() => {
      clearTimeout(timer)
      controller.abort()
    })
  })
  process.on('uncaughtException', onFatalError)
  process.on('unhandledRejection', reason => onFatalError(reason as Error))
  try {
    const started = await program.start(options, env, controller.signal, onFatalError)
    drain = started.drain
    log.emit('processReady', started.fields)
    await stopped
  } catch (error) {
    onFatalError(error as Error)
  }
  log.emit('processStopped')
  await sink.close()
  return exitCode
}
