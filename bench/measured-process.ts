/**
 * Starts programs of this repository with a probe and reads their resource usage, over a window or for a whole run.
 */

import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'
import type * as exitProbe from './exit-probe.js'
import type * as usageProbe from './usage-probe.js'

export interface MeasuredProcess {
  /** The program's ready line. */
  ready: Record<string, unknown>
  /** Usage since the start. The heap figure includes garbage unless `isCollected`, which collects it first. */
  usage (isCollected: boolean): Promise<usageProbe.Usage>
  stop (): Promise<void>
}

/** Rates over a window, and memory at its end. */
export interface WindowUsage {
  /** CPU time as a share of one core, in percent. */
  cpuPercent: number
  inBytesPerSecond: number
  outBytesPerSecond: number
  heapMb: number
  rssMb: number
  sockets: number
}

const DIST = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '..')
/** Number of the log event that a program of the project writes when it is ready. */
const READY_EVENT = 1001
const MEGABYTE = 1024 * 1024

/**
 * Starts a program and waits for its ready line.
 *
 * @param program path below the build output, such as `src/bin/bulrush-entry.js`.
 * @throws when the program exits before it is ready.
 */
export async function startMeasured (
  program: string, args: string[], nodeFlags: string[] = []
): Promise<MeasuredProcess> {
  const child = childProcess.fork(path.join(DIST, program), args, {
    execArgv: [...nodeFlags, '--import', url.pathToFileURL(path.join(DIST, 'bench/usage-probe.js')).href],
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    env: { PATH: process.env['PATH'] }
  })
  const exited = new Promise<void>(resolve => child.once('exit', () => resolve()))
  const ready = await new Promise<Record<string, unknown>>((resolve, reject) => {
    child.once('exit', code => reject(new Error(`${program} exited with code ${code} before it was ready`)))
    readline.createInterface({ input: child.stdout! }).on('line', line => {
      const parsed = JSON.parse(line) as Record<string, unknown>
      if (parsed['ready'] === true || parsed['event'] === READY_EVENT) resolve(parsed)
    })
  })
  return {
    ready,
    usage: isCollected => new Promise(resolve => {
      child.once('message', message => resolve(message as usageProbe.Usage))
      child.send(isCollected ? 'usage' : 'rates')
    }),
    async stop () {
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), 5_000)
      await exited
      clearTimeout(timer)
    }
  }
}

export interface CommandUsage extends exitProbe.ExitUsage {
  exitCode: number | null
  wallMs: number
  outputBytes: number
}

/** Runs a program until it exits, with its usage over the whole run. */
export async function measureCommand (program: string, args: string[]): Promise<CommandUsage> {
  const startedAtMs = performance.now()
  const child = childProcess.spawn(process.execPath, [
    '--import', url.pathToFileURL(path.join(DIST, 'bench/exit-probe.js')).href, path.join(DIST, program), ...args
  ], { stdio: ['ignore', 'pipe', 'inherit', 'pipe'], env: { PATH: process.env['PATH'] } })
  let outputBytes = 0
  let usage = ''
  child.stdout!.on('data', (chunk: Buffer) => { outputBytes += chunk.length })
  child.stdio[3]!.on('data', (chunk: Buffer) => { usage += chunk.toString() })
  const exitCode = await new Promise<number | null>(resolve => child.once('close', resolve))
  const wallMs = performance.now() - startedAtMs
  return { ...JSON.parse(usage) as exitProbe.ExitUsage, exitCode, wallMs, outputBytes }
}

/** Usage of a running program over the next `windowMs`. */
export async function measureWindow (measured: MeasuredProcess, windowMs: number): Promise<WindowUsage> {
  const before = await measured.usage(false)
  await sleep(windowMs)
  const after = await measured.usage(true)
  const seconds = (after.atMs - before.atMs) / 1_000
  return {
    cpuPercent: (after.cpuMs - before.cpuMs) / seconds / 10,
    inBytesPerSecond: (after.bytesIn - before.bytesIn) / seconds,
    outBytesPerSecond: (after.bytesOut - before.bytesOut) / seconds,
    heapMb: after.heapBytes / MEGABYTE,
    rssMb: after.rssBytes / MEGABYTE,
    sockets: after.sockets
  }
}

/** Least-squares line through points (x, y). */
export function fitLine (points: readonly (readonly [number, number])[]): { intercept: number, slope: number } {
  const n = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { intercept: meanY - slope * meanX, slope }
}

export function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
