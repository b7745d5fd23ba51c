/**
 * Structured logs with numbered events, as JSON or as text.
 */

import winston from 'winston'
import * as logEvents from '../protocol/log-events.js'

export interface LogOptions {
  format: 'json' | 'text'
  level: logEvents.LogLevel
  /** Role and host, added to each line. */
  labels: Record<string, string>
}

export interface EventLog {
  emit (event: logEvents.LogEventName, fields?: Record<string, unknown>): void
}

export function createEventLog (options: LogOptions): EventLog {
  const logger = winston.createLogger({
    level: options.level,
    defaultMeta: options.labels,
    format: winston.format.combine(
      winston.format.timestamp(),
      options.format === 'json' ? winston.format.json() : winston.format.printf(formatText)
    ),
    transports: [new winston.transports.Console()]
  })
  return {
    emit (event, fields = {}) {
      const entry = logEvents.logEvents[event]
      logger.log({ level: entry.level, message: entry.text, event: entry.number, ...fields })
    }
  }
}

function formatText (info: winston.Logform.TransformableInfo): string {
  const { timestamp, level, message, event, ...fields } = info
  const details = Object.entries(fields).map(([name, value]) =>
    `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `${String(timestamp)} ${level} [${String(event)}] ${String(message)} ${details.join(' ')}`.trimEnd()
}
