/**
 * Common start-up of the long-running programs: settings, log and exit codes.
 */

import * as clipanion from 'clipanion'
import * as environment from '../coordination/environment.js'
import * as processMetrics from '../coordination/process-metrics.js'
import * as settings from '../protocol/settings.js'
import * as settingsOptions from '../protocol/settings-options.js'
import * as version from '../protocol/version.js'
import * as logging from '../transport/logging.js'
import * as metrics from '../transport/metrics.js'
import * as processLifecycle from './process-lifecycle.js'
import type * as earlySignals from './early-signals.js'

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

export interface StartedProgram extends processLifecycle.Drainable {
  /** Fields of the ready event. */
  fields: Record<string, unknown>
}

/** Runs a program until SIGTERM, which drains it within the drain timeout, or SIGINT, which stops it immediately. */
export async function runProgram<S extends typeof settings.commonSettings> (
  program: Program<S>, signals: earlySignals.HeldSignals
): Promise<void> {
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
      return runUntilStopped(program, resolved.values, signals)
    }
  }
  const cli = new clipanion.Cli({ binaryLabel: program.name, binaryName: program.name, binaryVersion: version.VERSION })
  cli.register(StartCommand)
  cli.register(clipanion.Builtins.HelpCommand)
  cli.register(clipanion.Builtins.VersionCommand)
  // Sockets of the HTTP client may still be closing; the exit doesn't wait for them.
  process.exit(await cli.run(process.argv.slice(2)))
}

async function runUntilStopped<S extends typeof settings.commonSettings> (
  program: Program<S>, options: settings.Resolved<S>, signals: earlySignals.HeldSignals
): Promise<number> {
  // Without a reader of the log, each line would be a fault, and each fault a further line.
  for (const output of [process.stdout, process.stderr]) output.on('error', () => {})
  const common = options as settings.Resolved<typeof settings.commonSettings>
  const labels = { role: program.name, host: common.host }
  const log = logging.createEventLog({ format: common.logFormat, level: common.logLevel, labels })
  const sink = metrics.createMetrics(common.statsdAddress, labels)
  const env = await environment.createEnvironment(log, sink)
  const lifecycle = new processLifecycle.ProcessLifecycle({
    log,
    drainLimitMs: common.drainTimeoutMs,
    drainFields: { drainTimeoutMs: common.drainTimeoutMs },
    // Settings are flags and environment variables, which can't change while the process runs.
    checkSettings: () => {}
  })
  processMetrics.startProcessMetrics(env, lifecycle.signal)
  await lifecycle.run(
    signals,
    async () => await program.start(options, env, lifecycle.signal, error => { lifecycle.noteFault(error) }),
    started => { log.emit('processReady', started.fields) }
  )
  log.emit('processStopped')
  await sink.close()
  return lifecycle.hasFault ? exitCodes.failed : exitCodes.ok
}
