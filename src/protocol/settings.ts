/**
 * Settings of a program. Each has a flag, an environment variable of the same name, a schema and possibly a default.
 */

import * as zod from 'zod'

export interface Setting<T> {
  /** Flag without the leading dashes, in kebab case. */
  flag: string
  /** What the setting controls, with the unit. */
  description: string
  /** Text form of the default; a setting without one is required. */
  fallback?: string
  schema: zod.ZodType<T, string>
}

export type SettingTable = Record<string, Setting<any>>

export type Resolved<S extends SettingTable> = { readonly [K in keyof S]: S[K] extends Setting<infer T> ? T : never }

export type SettingsResult<S extends SettingTable> =
  | { kind: 'ok', values: Resolved<S> }
  | { kind: 'invalid', problems: string[] }

export type RawSettings = Record<string, string | undefined>

/** Environment variable of a flag: `--table-url` reads `BULRUSH_TABLE_URL`. */
export function environmentName (flag: string): string {
  return `BULRUSH_${flag.toUpperCase().replaceAll('-', '_')}`
}

/** Validates all settings and reports all invalid values together. */
export function resolveSettings<S extends SettingTable> (settings: S, raw: RawSettings): SettingsResult<S> {
  const values: Record<string, unknown> = {}
  const problems: string[] = []
  for (const [name, setting] of Object.entries(settings)) {
    const text = raw[name] ?? setting.fallback
    if (text === undefined) {
      problems.push(`--${setting.flag} (${environmentName(setting.flag)}) is required: ${setting.description}`)
      continue
    }
    const parsed = setting.schema.safeParse(text)
    if (parsed.success) values[name] = parsed.data
    else {
      const expected = parsed.error.issues.map(issue => issue.message).join('; ')
      problems.push(`--${setting.flag} (${environmentName(setting.flag)}) has the value ${JSON.stringify(text)}: ${expected}`)
    }
  }
  if (problems.length > 0) return { kind: 'invalid', problems }
  return { kind: 'ok', values: Object.freeze(values) as Resolved<S> }
}

export const schemas = {
  text: zod.string().min(1, 'expected a non-empty text'),
  optionalText: zod.string(),
  address: zod.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IPv4 address and a port such as 127.0.0.1:8080'),
  httpUrl: zod.string().refine(isHttpUrl, 'expected a URL such as http://127.0.0.1:8000'),
  optionalHttpUrl: zod.string().refine(text => text === '' || isHttpUrl(text), 'expected a URL such as http://127.0.0.1:8000 or an empty text'),
  integer: (min: number, max: number) => zod.string()
    .refine(text => /^\d+$/.test(text) && Number(text) >= min && Number(text) <= max, `expected a whole number from ${min} to ${max}`)
    .transform(Number),
  number: (min: number, max: number) => zod.string()
    .refine(text => text.trim() !== '' && Number(text) >= min && Number(text) <= max, `expected a number from ${min} to ${max}`)
    .transform(Number),
  choice: <T extends string>(...choices: T[]) => zod.string()
    .refine(text => (choices as string[]).includes(text), `expected one of ${choices.join(', ')}`)
    .transform(text => text as T),
  names: zod.string().transform(text => text.split(',').map(name => name.trim()).filter(name => name !== ''))
}

function isHttpUrl (text: string): boolean {
  return URL.canParse(text) && ['http:', 'https:'].includes(new URL(text).protocol)
}

/** Resources of the host that a program runs on. */
export const hostSettings = {
  memoryMb: { flag: 'memory-mb', description: 'memory of the process\'s host, in MB; bounds the connections of clients and what these make the process hold', fallback: '512', schema: schemas.number(16, 10_000_000) },
  fileDescriptors: { flag: 'file-descriptors', description: 'number of descriptors that the process may open, 0 for the limit that the system states; bounds the connections of clients', fallback: '0', schema: schemas.number(0, 100_000_000) }
} satisfies SettingTable

/** Settings that every long-running program has. */
export const commonSettings = {
  ...hostSettings,
  listen: { flag: 'listen', description: 'address of the HTTP listener; port 0 selects a free port', fallback: '127.0.0.1:0', schema: schemas.address },
  advertise: {
    flag: 'advertise',
    description: 'address that other processes use to reach the HTTP listener; if empty, the listener\'s own address',
    fallback: '',
    schema: zod.union([zod.literal(''), schemas.address])
  },
  host: { flag: 'host', description: 'name of this host', schema: schemas.text },
  failureDomain: { flag: 'failure-domain', description: 'failure domain of this host', schema: schemas.text },
  region: { flag: 'region', description: 'region of this host', fallback: 'default', schema: schemas.text },
  drainTimeoutMs: {
    flag: 'drain-timeout-ms',
    description: 'maximum duration of a graceful shutdown after SIGTERM, in ms; 0 stops immediately',
    fallback: '60000',
    schema: schemas.integer(0, 3_600_000)
  },
  hostListUrl: { flag: 'host-list-url', description: 'URL of the platform\'s host list', schema: schemas.httpUrl },
  platformTimeoutMs: {
    flag: 'platform-timeout-ms',
    description: 'timeout of calls to a platform service, in ms',
    fallback: '1000',
    schema: schemas.integer(10, 60_000)
  },
  logFormat: { flag: 'log-format', description: 'json or text', fallback: 'json', schema: schemas.choice('json', 'text') },
  logLevel: { flag: 'log-level', description: 'error, warn, info or debug', fallback: 'info', schema: schemas.choice('error', 'warn', 'info', 'debug') },
  statsdAddress: { flag: 'statsd-address', description: 'IP address and UDP port of the StatsD collector; if empty, no metrics are sent', fallback: '', schema: zod.union([zod.literal(''), schemas.address]) }
} satisfies SettingTable
