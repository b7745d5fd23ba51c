/**
 * Sends calls of a service that is not repeatable, and reads the outcomes that the entries stated and the runs that the
 * stand-ins recorded.
 */

import type * as cluster from './cluster.js'
import * as clusters from './cluster.js'

export interface StatedAnswer {
  status: number
  /** `lost` if no whole answer arrived. */
  outcome: string
  reason: string
  bodyDigest: string
  requestId: string
  durationMs: number
}

export interface CallOptions {
  key?: string
  body?: string
  /** Processing time of the service. */
  delayMs?: number
  timeoutMs?: number
  team?: string
  /** Length of a query parameter that the service echoes in its answer. */
  paddingBytes?: number
}

const LOST_ANSWER: Omit<StatedAnswer, 'durationMs'> = { status: 0, outcome: 'lost', reason: '', bodyDigest: '', requestId: '' }
/** Time that a caller still waits after the deadline that it sent. */
const CALLER_TIMEOUT_MARGIN_MS = 5_000

/** Calls `/services/voucher/issue` once at an entry, without a retry. */
export async function issueVoucher (address: string, options: CallOptions): Promise<StatedAnswer> {
  const startedAtMs = performance.now()
  const timeoutMs = options.timeoutMs ?? 8_000
  try {
    const query = `delayMs=${options.delayMs ?? 1}&pad=${'x'.repeat(options.paddingBytes ?? 0)}`
    const response = await fetch(`http://${address}/services/voucher/issue?${query}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${clusters.teamKey(options.team ?? 'support')}`,
        'request-timeout-ms': String(timeoutMs),
        ...(options.key === undefined ? {} : { 'idempotency-key': options.key })
      },
      body: options.body ?? 'one voucher',
      signal: AbortSignal.timeout(timeoutMs + CALLER_TIMEOUT_MARGIN_MS)
    })
    const document = await response.json() as { bodyDigest?: string, reason?: string }
    return {
      status: response.status,
      outcome: response.headers.get('bulrush-outcome') ?? '',
      reason: document.reason ?? '',
      bodyDigest: document.bodyDigest ?? '',
      requestId: response.headers.get('bulrush-request-id') ?? '',
      durationMs: performance.now() - startedAtMs
    }
  } catch {
    return { ...LOST_ANSWER, durationMs: performance.now() - startedAtMs }
  }
}

/** Runs by idempotency key and by request id, summed over the backend servers that are still running. */
export async function runsOf (deployment: cluster.Cluster): Promise<Map<string, number>> {
  const runs = new Map<string, number>()
  for (const backend of deployment.backends.filter(node => !node.server.hasExited())) {
    const response = await fetch(`http://${backend.serverAddress}/runs`)
    const answer = await response.json() as { runs: Record<string, number> }
    for (const [key, count] of Object.entries(answer.runs)) runs.set(key, (runs.get(key) ?? 0) + count)
  }
  return runs
}

/** Fetches keys issued by an entry. */
export async function fetchKeys (address: string, count: number, team = 'support'): Promise<string[]> {
  const response = await fetch(`http://${address}/v1/entries?team=${team}&keys=${count}`)
  return (await response.json() as { keys: string[] }).keys
}
