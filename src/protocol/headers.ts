/**
 * Names of HTTP headers, in lower case as Node reports them.
 */

/** Headers that callers send or receive. */
export const callerHeaders = {
  idempotencyKey: 'idempotency-key',
  requestTimeoutMs: 'request-timeout-ms',
  lastEventId: 'last-event-id',
  requestId: 'bulrush-request-id',
  outcome: 'bulrush-outcome',
  reason: 'bulrush-reason'
} as const

/** Headers between an entry and an agent. Never forwarded to callers or backend servers. */
export const agentHeaders = {
  attempt: 'bulrush-attempt',
  oldestOpen: 'bulrush-oldest-open',
  agentIncarnation: 'bulrush-agent-incarnation',
  deadlineMs: 'bulrush-deadline-ms',
  priority: 'bulrush-priority',
  team: 'bulrush-team',
  repeatable: 'bulrush-repeatable',
  fingerprint: 'bulrush-fingerprint',
  isolated: 'bulrush-isolated',
  load: 'bulrush-load',
  /** State of an attempt, in an agent's response to a resolve request. */
  attemptState: 'bulrush-attempt-state',
  /** Set by an entry that forwards a call to the issuer of its key; such a call is not forwarded again. */
  forwarded: 'bulrush-forwarded'
} as const

/** Formats the load of a backend server for a header: running and waiting requests, separated by a comma. */
export function formatLoad (load: { running: number, waiting: number }): string {
  return `${load.running},${load.waiting}`
}

/** @returns undefined when the text is not a load. */
export function parseLoad (text: string | undefined): { running: number, waiting: number } | undefined {
  const match = /^(\d{1,6}),(\d{1,6})$/.exec(text ?? '')
  return match === null ? undefined : { running: Number(match[1]), waiting: Number(match[2]) }
}

/** Headers that apply to one connection only (RFC 9110, section 7.6.1), and `host`. */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'expect'
])

const INTERNAL = new Set<string>(Object.values(agentHeaders))

export type HeaderMap = Record<string, string | string[] | undefined>

/** Headers to forward to the next hop: all except hop-by-hop, internal and the given ones. */
export function forwardableHeaders (
  headers: HeaderMap, omitted: readonly string[] = []
): Record<string, string | string[]> {
  const result: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || INTERNAL.has(name) || omitted.includes(name)) continue
    result[name] = value
  }
  return result
}

/** The value of a header; the first one of a repeated header. */
export function headerValue (headers: HeaderMap, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}
