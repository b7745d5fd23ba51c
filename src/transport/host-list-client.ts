/**
 * Reads the host list through Prometheus HTTP service discovery: a JSON array of `{ targets, labels }`.
 */

import * as undici from 'undici'
import * as zod from 'zod'
import type * as platform from '../protocol/platform.js'

const groupSchema = zod.array(zod.object({
  targets: zod.array(zod.string()),
  labels: zod.record(zod.string(), zod.string())
}))

export class HttpHostList implements platform.HostList {
  readonly #url: string
  readonly #timeoutMs: number

  constructor (url: string, timeoutMs: number) {
    this.#url = url
    this.#timeoutMs = timeoutMs
  }

  async read (signal: AbortSignal): Promise<platform.TableResult<platform.ListedHost[]>> {
    try {
      const response = await undici.request(this.#url, {
        signal: AbortSignal.any([signal, AbortSignal.timeout(this.#timeoutMs)])
      })
      const parsed = groupSchema.safeParse(await response.body.json())
      if (response.statusCode !== 200 || !parsed.success) {
        return { kind: 'unavailable', detail: `host list: status ${response.statusCode}` }
      }
      return { kind: 'ok', value: parsed.data.flatMap(group => group.targets.map(target => toHost(target, group.labels))) }
    } catch (error) {
      return { kind: 'unavailable', detail: `host list: ${(error as Error).message}` }
    }
  }
}

function toHost (target: string, labels: Record<string, string>): platform.ListedHost {
  return {
    host: labels['host'] ?? target,
    role: labels['role'] === 'entry' ? 'entry' : 'agent',
    address: target,
    peerAddress: labels['peer_address'] ?? '',
    failureDomain: labels['failure_domain'] ?? '',
    region: labels['region'] ?? 'default',
    state: labels['state'] === 'leaving' ? 'leaving' : 'live',
    group: labels['group'] ?? '',
    rank: Number(labels['rank'] ?? 0)
  }
}
