/**
 * An operator of a cluster: runs bulrushctl as a separate process and probes entries as a caller would.
 */

import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as undici from 'undici'
import * as cluster from './cluster.js'
import * as processRunner from './process-runner.js'
import * as engine from '../standins/engine.js'

export interface CtlResult {
  code: number
  /** Document printed by bulrushctl with --json; undefined if it printed nothing. */
  document: any
  durationMs: number
}

/** Runs bulrushctl against the entries, with `input` on its standard input. */
export async function ctl (entries: cluster.EntryNode[], args: string[], input = ''): Promise<CtlResult> {
  const startedAtMs = performance.now()
  const program = path.join(processRunner.PROGRAM_ROOT, 'src/bin/bulrushctl.js')
  const child = childProcess.spawn(process.execPath, [program, ...args, '--json'], {
    stdio: ['pipe', 'pipe', 'inherit'],
    env: {
      PATH: process.env['PATH'],
      BULRUSH_ENTRY_URLS: entries.map(entry => `http://${entry.address}`).join(','),
      BULRUSH_OPERATOR_KEY: cluster.OPERATOR_KEY,
      BULRUSH_OPERATOR: 'Åsa'
    }
  })
  child.stdin.end(input)
  let text = ''
  child.stdout.on('data', (chunk: Buffer) => { text += chunk.toString('utf8') })
  const code = await new Promise<number>(resolve => child.once('close', status => resolve(status ?? -1)))
  return { code, document: text === '' ? undefined : JSON.parse(text), durationMs: performance.now() - startedAtMs }
}

export function teamDocument (name: string, key: string, priority = 5): object {
  return { name, template: 'standard', parameters: { priority }, keyDigests: [cluster.digestOf(key)] }
}

export interface Probe {
  status: number
  reason: string
  outcome: string
  requestId: string
  sentAtMs: number
}

/** Sends one plain call to an entry. `status` is 0 if no answer arrived in time. */
export async function probe (
  address: string, service: string, key: string, timeoutMs = 1_500, extra: Record<string, string> = {}
): Promise<Probe> {
  const sentAtMs = performance.now()
  try {
    const response = await undici.request(`http://${address}/services/${service}/probe`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, ...extra },
      body: 'x',
      signal: AbortSignal.timeout(timeoutMs)
    })
    await response.body.dump()
    const header = (name: string): string => String(response.headers[name] ?? '')
    return {
      status: response.statusCode,
      reason: header('bulrush-reason'),
      outcome: header('bulrush-outcome'),
      requestId: header('bulrush-request-id'),
      sentAtMs
    }
  } catch {
    return { status: 0, reason: '', outcome: '', requestId: '', sentAtMs }
  }
}

/** Reads one stream from one entry, without a retry. @returns whether the whole expected text arrived. */
export async function readStream (address: string, team: string, model: string, tokens: number): Promise<boolean> {
  const messages = [{ role: 'user', content: `stream ${Math.random()}` }]
  try {
    const response = await undici.request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${cluster.teamKey(team)}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model, messages, stream: true, max_tokens: tokens })
    })
    const text = await response.body.text()
    const pieces = [...text.matchAll(/^data: (\{.*\})$/gm)].map(match =>
      (JSON.parse(match[1]!) as { choices: { delta: { content?: string } }[] }).choices[0]?.delta.content ?? '')
    return text.endsWith('data: [DONE]\n\n') && pieces.join('') === engine.expectedText(messages, tokens)
  } catch {
    return false
  }
}

/** Sum of the run counts that a backend server has recorded. */
export async function runsOf (backend: cluster.BackendNode): Promise<number> {
  const answer = await (await fetch(`http://${backend.serverAddress}/runs`)).json() as { runs: Record<string, number> }
  return Object.values(answer.runs).reduce((sum, runs) => sum + runs, 0)
}

/** Asks an entry, as a caller does, which entries to use. @returns their URLs. */
export async function fetchEntryUrls (entry: cluster.EntryNode): Promise<string[]> {
  const answer = await (await fetch(`http://${entry.address}/v1/entries?team=support`)).json() as { entries: { url: string }[] }
  return answer.entries.map(offered => offered.url)
}
