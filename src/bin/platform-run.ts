/**
 * Common start-up of the programs that run on a platform: settings, log and exit codes. The library that parses flags
 * is loaded only when there are flags.
 */

import * as fs from 'node:fs'
import * as nodeUtil from 'node:util'
import * as settings from '../protocol/settings.js'
import * as lineLog from '../transport/line-log.js'
import * as textMetrics from '../transport/text-metrics.js'
import * as processLifecycle from './process-lifecycle.js'
import type * as logEvents from '../protocol/log-events.js'
import type * as runtime from '../coordination/runtime.js'
import type * as earlySignals from './early-signals.js'

export const exitCodes = { ok: 0, failed: 1, invalidSettings: 2 } as const

interface CommonOptions {
  host: string
  logLevel: logEvents.LogLevel
  logLinesPerSecond: number
  shutdownMs: number
}

export interface PlatformProgram<S extends settings.SettingTable> {
  name: string
  description: string
  settings: S
  /** Path of a file with lines NAME=value, which may change while the program runs. */
  settingsFile: string | undefined
  start: (
    options: settings.Resolved<S>, env: runtime.Runtime, signal: AbortSignal
  ) => Promise<processLifecycle.Drainable>
}

/** The settings file is polled, because it may change without a SIGHUP. */
const SETTINGS_POLL_MS = 2_000

/** Runs a program until SIGTERM, which drains it first, or SIGINT, which stops it immediately. */
export async function runPlatformProgram<S extends settings.SettingTable> (
  program: PlatformProgram<S>, signals: earlySignals.HeldSignals
): Promise<void> {
  const flags = await readFlags(program)
  const resolved = settings.resolveSettings(program.settings, readRawSettings(program, flags))
  if (resolved.kind === 'invalid') {
    for (const text of resolved.problems) process.stderr.write(`${program.name}: ${text}\n`)
    process.exit(exitCodes.invalidSettings)
  }
  await runUntilStopped(program, resolved.values, flags, signals)
}

async function readFlags<S extends settings.SettingTable> (program: PlatformProgram<S>): Promise<settings.RawSettings> {
  const args = process.argv.slice(2)
  if (args.length === 0) return {}
  const { parseFlags } = await import('./platform-flags.js')
  return await parseFlags(program.name, program.description, program.settings, args)
}

/** Flags take precedence over environment variables, and these over the settings file. */
function readRawSettings<S extends settings.SettingTable> (
  program: PlatformProgram<S>, flags: settings.RawSettings
): settings.RawSettings {
  const file = program.settingsFile === undefined ? {} : nodeUtil.parseEnv(fs.readFileSync(program.settingsFile, 'utf8'))
  const raw: settings.RawSettings = {}
  for (const [name, setting] of Object.entries(program.settings)) {
    const variable = settings.environmentName(setting.flag)
    raw[name] = flags[name] ?? process.env[variable] ?? file[variable]
  }
  return raw
}

async function runUntilStopped<S extends settings.SettingTable> (
  program: PlatformProgram<S>, options: settings.Resolved<S>, flags: settings.RawSettings,
  signals: earlySignals.HeldSignals
): Promise<void> {
  const common = options as unknown as CommonOptions
  const log = new lineLog.LineLog({
    level: common.logLevel,
    labels: { role: program.name, host: common.host },
    maxLinesPerSecond: common.logLinesPerSecond
  })
  const env: runtime.Runtime = {
    nowMs: () => performance.now(), random: Math.random, log, metrics: textMetrics.createTextMetrics()
  }
  const checkSettings = createSettingsCheck(program, options, flags, env)
  const lifecycle = new processLifecycle.ProcessLifecycle({
    log,
    drainLimitMs: Infinity,
    drainFields: { shutdownMs: common.shutdownMs },
    checkSettings: () => { checkSettings('SIGHUP') }
  })
  if (program.settingsFile !== undefined) {
    const timer = setInterval(() => { checkSettings('the file changed') }, SETTINGS_POLL_MS)
    lifecycle.signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }
  await lifecycle.run(signals, async () => await program.start(options, env, lifecycle.signal), () => {
    log.emit('processReady', { startedInMs: Math.round(env.nowMs()), ...optionFields(options) })
  })
  const code = lifecycle.hasFault ? exitCodes.failed : exitCodes.ok
  log.emit('processStopped', { code })
  await log.flush()
  process.exit(code)
}

/**
 * Creates a check that logs changed or invalid settings, for SIGHUP and for changes of the file. Addresses can't change
 * while the process runs, and other changes apply at the next start.
 */
function createSettingsCheck<S extends settings.SettingTable> (
  program: PlatformProgram<S>, options: settings.Resolved<S>, flags: settings.RawSettings, env: runtime.Runtime
): (cause: string) => void {
  let last = JSON.stringify(options)
  return cause => {
    try {
      const resolved = settings.resolveSettings(program.settings, readRawSettings(program, flags))
      if (resolved.kind === 'invalid') {
        env.log.emit('settingsInvalid', { cause, problems: resolved.problems })
        return
      }
      const text = JSON.stringify(resolved.values)
      if (text === last) return
      last = text
      env.log.emit('settingsReloaded', { cause, ...optionFields(resolved.values) })
    } catch (error) {
      env.log.emit('settingsInvalid', { cause, problems: [(error as Error).message] })
    }
  }
}

function optionFields (options: object): Record<string, unknown> {
  return { options }
}
