/**
 * Reads the host list through Prometheus HTTP service discovery: a JSON array of `{ targets, labels }`.
 */

import * as util from 'node:util'
import * as undici from 'undici'
import * as zod from 'zod'
import type * as platform from '../protocol/platform.js'
import * as socketAddress from '../protocol/socket-address.js'
import * as jsonBody from './json-body.js'

const listSchema = zod.array(zod.unknown())
const address = zod.string().refine(socketAddress.isSocketAddress)
const groupSchema = zod.object({
  targets: zod.array(address),
  labels: zod.looseObject({
    host: zod.string().optional(),
    role: zod.string().optional(),
    peer_address: zod.union([address, zod.literal('')]).optional(),
    failure_domain: zod.string().optional(),
    region: zod.string().optional(),
    state: zod.string().optional(),
    group: zod.string().optional(),
    rank: zod.string().regex(/^\d{1,6}$/).optional()
  })
})
type Group = zod.infer<typeof groupSchema>

/** An odd entry in a log line is cut to this length. */
const MAX_IGNORED_LENGTH = 200

export class HttpHostList implements platform.HostList {
  readonly #url: string
  readonly #timeoutMs: number

  constructor (url: string, timeoutMs: number) {
    this.#url = url
    this.#timeoutMs = timeoutMs
  }

  /** Other writers may leave odd entries in the list; the rest of it is used. */
  async read (signal: AbortSignal): Promise<platform.HostListResult> {
    try {
      const response = await undici.request(this.#url, {
        signal: AbortSignal.any([signal, AbortSignal.timeout(this.#timeoutMs)])
      })
      const list = listSchema.safeParse(await jsonBody.readJson(response.body))
      if (response.statusCode !== 200 || !list.success) {
        return { kind: 'unavailable', detail: `host list: status ${response.statusCode}` }
      }
      const groups = list.data.map(group => groupSchema.safeParse(group).data)
      return {
        kind: 'ok',
        value: groups.flatMap(group => group?.targets.map(target => toHost(target, group.labels)) ?? []),
        ignored: list.data.filter((_, index) => groups[index] === undefined).map(describe)
      }
    } catch (error) {
      return { kind: 'unavailable', detail: `host list: ${(error as Error).message}` }
    }
  }
}

function describe (odd: unknown): string {
  return util.inspect(odd, { depth: 2, breakLength: Infinity }).slice(0, MAX_IGNORED_LENGTH)
}

function toHost (target: string, labels: Group['labels']): platform.ListedHost {
  return {
    host: labels.host ?? target,
    role: labels.role === 'entry' ? 'entry' : 'agent',
    address: target,
    peerAddress: labels.peer_address ?? '',
    failureDomain: labels.failure_domain ?? '',
    region: labels.region ?? 'default',
    state: labels.state === 'leaving' ? 'leaving' : 'live',
    group: labels.group ?? '',
    rank: Number(labels.rank ?? 0)
  }
}
