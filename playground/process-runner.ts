/**
 * Starts the programs of this repository as child processes and waits for their ready lines.
 */

import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'

export interface RunningProcess {
  name: string
  pid: number
  /** Fields of the ready line. */
  ready: Record<string, unknown>
  /** Last MAX_LINES lines of output, parsed where they are JSON. */
  lines: Record<string, unknown>[]
  exited: Promise<number | null>
  hasExited: () => boolean
  kill: (signal: NodeJS.Signals) => void
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
 * @throws if the program ends or is not ready in time, with the end of its error output.
 */
export async function startProcess (
  name: string, program: string, args: string[], sourceAddress = '', nodeFlags: readonly string[] = []
): Promise<RunningProcess> {
  const flags = sourceAddress === '' ? [] : ['--import', url.pathToFileURL(path.join(PROGRAM_ROOT, SOURCE_MODULE)).href]
  const child = childProcess.spawn(process.execPath, [
    ...nodeFlags, ...flags, path.join(PROGRAM_ROOT, program), ...args
  ], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH: process.env['PATH'], SOURCE_ADDRESS: sourceAddress }
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
  const ready = await new Promise<Record<string, unknown>>((resolve, reject) => {
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
  }).catch((error: unknown) => {
    child.kill('SIGKILL')
    throw error
  })
  return {
    name,
    pid: child.pid!,
    ready,
    lines,
    exited,
    hasExited: () => hasExited,
    kill: signal => { if (!hasExited) child.kill(signal) }
  }
}

function parseLine (line: string): Record<string, unknown> {
  try {
    return JSON.parse(line) as Record<string, unknown>
  } catch {
    return { text: line }
  }
}
