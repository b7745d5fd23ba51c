/**
 * Common start-up of the programs that run on a platform: settings, log, signals and exit codes. The library that
 * parses flags is loaded only when there are flags.
 */

import * as events from 'node:events'
import * as fs from 'node:fs'
import * as nodeUtil from 'node:util'
import * as settings from '../protocol/settings.js'
import * as lineLog from '../transport/line-log.js'
import * as textMetrics from '../transport/text-metrics.js'
import type * as logEvents from '../protocol/log-events.js'
import type * as runtime from '../coordination/runtime.js'

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
  start: (options: settings.Resolved<S>, env: runtime.Runtime, signal: AbortSignal) => Promise<RunningProgram>
}

export interface RunningProgram {
  /** Begins the graceful shutdown; settles when the process may exit. */
  drain: () => Promise<void>
}

/** The settings file is polled, because it may change without a SIGHUP. */
const SETTINGS_POLL_MS = 2_000

/** Runs a program until SIGTERM, which drains it first, or SIGINT, which stops it immediately. */
export async function runPlatformProgram<S extends settings.SettingTable> (program: PlatformProgram<S>): Promise<void> {
  const flags = await readFlags(program)
  const resolved = settings.resolveSettings(program.settings, readRawSettings(program, flags))
  if (resolved.kind === 'invalid') {
    for (const text of resolved.problems) process.stderr.write(`${program.name}: ${text}\n`)
    process.exit(exitCodes.invalidSettings)
  }
  await runUntilSignal(program, resolved.values, flags)
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

async function runUntilSignal<S extends settings.SettingTable> (
  program: PlatformProgram<S>, options: settings.Resolved<S>, flags: settings.RawSettings
): Promise<void> {
  const common = options as unknown as CommonOptions
  const controller = new AbortController()
  // Every task and connection of the process listens on this signal; there is no limit above which Node.js should warn.
  events.EventEmitter.setMaxListeners(0, controller.signal)
  const log = new lineLog.LineLog({
    level: common.logLevel,
    labels: { role: program.name, host: common.host },
    maxLinesPerSecond: common.logLinesPerSecond
  })
  const env: runtime.Runtime = {
    nowMs: () => performance.now(), random: Math.random, log, metrics: textMetrics.createTextMetrics()
  }
  const exit = (code: number): void => {
    controller.abort()
    log.emit('processStopped', { code })
    log.flushBeforeExit()
    process.exit(code)
  }
  const onFatalError = (error: unknown): void => {
    log.emit('invariantBroken', { detail: error instanceof Error ? error.stack : String(error) })
    exit(exitCodes.failed)
  }
  process.on('uncaughtException', onFatalError)
  process.on('unhandledRejection', onFatalError)
  const running = await program.start(options, env, controller.signal)
  process.once('SIGINT', () => { exit(exitCodes.ok) })
  process.once('SIGTERM', () => {
    log.emit('processStopping', { shutdownMs: common.shutdownMs })
    running.drain().then(() => { exit(exitCodes.ok) }, onFatalError)
  })
  watchSettings(program, options, flags, env, controller.signal)
  log.emit('processReady', { startedInMs: Math.round(env.nowMs()), ...optionFields(options) })
}

/**
 * Logs changed or invalid settings on SIGHUP and after the file has changed. Addresses can't change while the process
 * runs, and other changes apply at the next start.
 */
function watchSettings<S extends settings.SettingTable> (
  program: PlatformProgram<S>, options: settings.Resolved<S>, flags: settings.RawSettings, env: runtime.Runtime,
  signal: AbortSignal
): void {
  let last = JSON.stringify(options)
  const check = (cause: string): void => {
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
  process.on('SIGHUP', () => { check('SIGHUP') })
  if (program.settingsFile === undefined) return
  const timer = setInterval(() => { check('the file changed') }, SETTINGS_POLL_MS)
  signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
}

function optionFields (options: object): Record<string, unknown> {
  return { options }
}
