/**
 * Keeps the log events of recent requests in memory, by request id and within bounds. It records all events that name a
 * request, whatever the log level is.
 */

import type * as environment from './environment.js'
import * as logEvents from '../protocol/log-events.js'

export interface ExplainRecord {
  /** Milliseconds since 1970. */
  atMs: number
  event: logEvents.LogEventName
  text: string
  fields: Record<string, unknown>
}

export interface ExplainLog {
  /** Records of a request, oldest first; empty when none are kept. */
  recordsOf (requestId: string): ExplainRecord[]
}

/** 1 MB at about 500 bytes per request. */
const MAX_REQUESTS = 2_000
const MAX_RECORDS = 24

/** @returns the environment with a log that also records events for `explain`. */
export function withExplainLog (env: environment.Environment): { env: environment.Environment, explain: ExplainLog } {
  const byRequest = new Map<string, ExplainRecord[]>()
  return {
    env: {
      ...env,
      log: {
        emit (event, fields = {}) {
          env.log.emit(event, fields)
          if (typeof fields['requestId'] === 'string') record(fields['requestId'], event, fields)
        }
      }
    },
    explain: { recordsOf: requestId => byRequest.get(requestId) ?? [] }
  }

  function record (requestId: string, event: logEvents.LogEventName, fields: Record<string, unknown>): void {
    let records = byRequest.get(requestId)
    if (records === undefined) {
      if (byRequest.size >= MAX_REQUESTS) byRequest.delete(byRequest.keys().next().value!)
      records = []
      byRequest.set(requestId, records)
    }
    if (records.length >= MAX_RECORDS) return
    const { requestId: _, ...rest } = fields
    records.push({ atMs: env.wallClockMs(), event, text: logEvents.logEvents[event].text, fields: rest })
  }
}
