/**
 * Starts the programs of this repository as child processes and waits for their ready lines.
 */

import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'

export interface LaunchedProcess {
  name: string
  pid: number
  /** Last MAX_LINES lines of output, parsed where they are JSON. */
  lines: Record<string, unknown>[]
  /** Exit code; null if a signal ended the process. */
  exited: Promise<number | null>
  hasExited: () => boolean
  kill: (signal: NodeJS.Signals) => void
  /** Closes the pipes that the process writes its log to. */
  closeOutput: () => void
  /** Fields of the ready line. */
  whenReady: Promise<Record<string, unknown>>
}

export interface RunningProcess extends LaunchedProcess {
  /** Fields of the ready line. */
  ready: Record<string, unknown>
}

const DIST = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '..')
/** Folder of the built programs. Tests load this file from the sources, and then the programs are below `dist`. */
export const PROGRAM_ROOT = path.basename(DIST) === 'dist' ? DIST : path.join(DIST, 'dist')
const SOURCE_MODULE = 'playground/source-address.js'
const READY_TIMEOUT_MS = 30_000
/** Number of the log event by which entries and agents report that they are ready. */
const READY_EVENT = 1001
const MAX_LINES = 5_000

/**
 * Starts a program and waits until it is ready.
 * @param program path relative to the build output, such as `src/bin/bulrush-entry.js`.
 * @param sourceAddress loopback address that the process connects from; if empty, the system chooses it.
 * @param nodeFlags flags of the runtime, before the program.
 * @param maxDescriptors limit on open descriptors; undefined for that of this process.
 * @throws if the program ends or is not ready in time, with the end of its error output.
 */
export async function startProcess (
  name: string, program: string, args: string[], sourceAddress = '', nodeFlags: readonly string[] = [],
  env: Record<string, string> = {}, maxDescriptors?: number
): Promise<RunningProcess> {
  const flags = sourceAddress === '' ? [] : preloadFlags(SOURCE_MODULE)
  const allEnv = { SOURCE_ADDRESS: sourceAddress, ...env }
  const launched = launchProcess(name, program, args, [...nodeFlags, ...flags], allEnv, maxDescriptors)
  const ready = await launched.whenReady.catch((error: unknown) => {
    launched.kill('SIGKILL')
    throw error
  })
  return { ...launched, ready }
}

/** Flags of the runtime that load a module of the build output before the program. */
export function preloadFlags (module: string): string[] {
  return ['--import', url.pathToFileURL(path.join(PROGRAM_ROOT, module)).href]
}

/** Starts a program and doesn't wait for it; `whenReady` rejects if it ends first or is not ready in time. */
export function launchProcess (
  name: string, program: string, args: string[], nodeFlags: readonly string[] = [], env: Record<string, string> = {},
  maxDescriptors?: number
): LaunchedProcess {
  const command = [process.execPath, ...nodeFlags, path.join(PROGRAM_ROOT, program), ...args]
  // The shell is replaced by the program, which so has the limit as its own.
  const limit = maxDescriptors === undefined ? [] : ['/bin/sh', '-c', `ulimit -n ${maxDescriptors} && exec "$0" "$@"`]
  const [file, ...fileArgs] = [...limit, ...command]
  const child = childProcess.spawn(file!, fileArgs, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH: process.env['PATH'], ...env }
  })
  const lines: Record<string, unknown>[] = []
  let errorText = ''
  child.stderr.on('data', (chunk: Buffer) => { errorText = (errorText + chunk.toString('utf8')).slice(-4_000) })
  let hasExited = false
  const exited = new Promise<number | null>(resolve => {
    child.once('exit', code => {
      hasExited = true
      resolve(code)
    })
  })
  const whenReady = new Promise<Record<string, unknown>>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${name} is not ready after ${READY_TIMEOUT_MS} ms: ${errorText}`)), READY_TIMEOUT_MS)
    child.once('exit', code => {
      clearTimeout(timer)
      reject(new Error(`${name} ended with code ${code}: ${errorText} ${JSON.stringify(lines.at(-1))}`))
    })
    readline.createInterface({ input: child.stdout }).on('line', line => {
      const parsed = parseLine(line)
      lines.push(parsed)
      if (lines.length > MAX_LINES) lines.shift()
      if (parsed['ready'] === true || parsed['event'] === READY_EVENT) {
        clearTimeout(timer)
        resolve(parsed)
      }
    })
  })
  // A caller that waits only for the exit isn't interested in it.
  whenReady.catch(() => {})
  return {
    name,
    pid: child.pid!,
    lines,
    exited,
    hasExited: () => hasExited,
    kill: signal => { if (!hasExited) child.kill(signal) },
    closeOutput: () => {
      child.stdout.destroy()
      child.stderr.destroy()
    },
    whenReady
  }
}

function parseLine (line: string): Record<string, unknown> {
  try {
    return JSON.parse(line) as Record<string, unknown>
  } catch {
    return { text: line }
  }
}
