/**
 * Settings of the programs that run on a platform. The settings file has lines NAME=value with the names of the
 * environment variables; environment variables and flags take precedence over it.
 */

import * as settings from './settings.js'

const { schemas } = settings

/** Settings that entry and agent have in common. */
const sharedSettings = {
  fileDescriptors: settings.hostSettings.fileDescriptors,
  host: { flag: 'host', description: 'name of this host', schema: schemas.text },
  failureDomain: { flag: 'failure-domain', description: 'failure domain of this host', schema: schemas.text },
  peerAddress: { flag: 'peer-address', description: 'address for datagrams and calls from other processes of the system', schema: schemas.address },
  seedHosts: { flag: 'seed-hosts', description: 'addresses of entry hosts to contact first, separated by commas; only the IP address is used, with the port of --peer-address', fallback: '', schema: schemas.names },
  storeAddress: { flag: 'store-address', description: 'address of the platform\'s store', schema: schemas.address },
  storeTimeoutMs: { flag: 'store-timeout-ms', description: 'timeout of calls to the store, in ms, in addition to the wait for a change', fallback: '700', schema: schemas.integer(10, 60_000) },
  maxStoreAnswerBytes: { flag: 'max-store-answer-bytes', description: 'largest answer of the store, in bytes; a larger one fails its call', fallback: '2097152', schema: schemas.integer(65_536, 1_073_741_824) },
  shutdownMs: { flag: 'shutdown-ms', description: 'time from SIGTERM until the platform kills the process, in ms', fallback: '8000', schema: schemas.integer(0, 3_600_000) },
  logLevel: { flag: 'log-level', description: 'error, warn, info or debug', fallback: 'info', schema: schemas.choice('error', 'warn', 'info', 'debug') },
  logLinesPerSecond: { flag: 'log-lines-per-second', description: 'maximum log lines per second; further lines at level info are dropped and counted', fallback: '400', schema: schemas.integer(1, 100_000) },
  metricsAddress: { flag: 'metrics-address', description: 'address that serves /metrics as text; if empty, metrics are not served', fallback: '', schema: schemas.optionalText }
} satisfies settings.SettingTable

export const entrySettings = {
  ...sharedSettings,
  memoryMb: { ...settings.hostSettings.memoryMb, fallback: '250' },
  clientAddress: { flag: 'client-address', description: 'address for client requests', schema: schemas.address },
  readinessAddress: { flag: 'readiness-address', description: 'address for the platform\'s readiness checks', schema: schemas.address },
  directoryAddress: { flag: 'directory-address', description: 'address for clients that ask where to connect', schema: schemas.address },
  addressLifetimeS: { flag: 'address-lifetime-s', description: 'how long clients may cache an answer of the directory, in s', fallback: '1', schema: schemas.number(0.1, 60) },
  drainTimeoutMs: { flag: 'drain-timeout-ms', description: 'time for which a backend server still serves after it has announced that it leaves, in ms', fallback: '2000', schema: schemas.integer(0, 3_600_000) },
  maxBufferedResponseBytes: { flag: 'max-buffered-response-bytes', description: 'memory for whole responses of backend servers that are read at the same time, and for incomplete events of streams, in bytes; the largest one fails when they need more', fallback: '12582912', schema: schemas.integer(65_536, 1_073_741_824) },
  retryRatio: { flag: 'retry-ratio', description: 'retries per request that all entries together may make', fallback: '0.2', schema: schemas.number(0, 10) },
  retryExtra: { flag: 'retry-extra', description: 'retries per window in addition to the ratio, for all entries together', fallback: '10', schema: schemas.number(0, 1_000_000) },
  retryWindowS: { flag: 'retry-window-s', description: 'window of the retry budget, in s', fallback: '10', schema: schemas.number(0.1, 3_600) },
  expectedEntries: { flag: 'expected-entries', description: 'minimum number of entries that the retry budget is divided among', fallback: '10', schema: schemas.integer(1, 10_000) },
  systemStart: { flag: 'system-start', description: '`first` when the whole system starts for the first time, else `again`: retries of earlier processes are then unknown, and the extra of the retry budget is used only after a window', fallback: 'again', schema: schemas.choice('first', 'again') }
} satisfies settings.SettingTable

export const agentSettings = {
  ...sharedSettings,
  memoryMb: { ...settings.hostSettings.memoryMb, fallback: '128' },
  rankAddress: { flag: 'rank-address', description: 'address of the backend server beside this process', schema: schemas.address },
  rankTimeoutMs: { flag: 'rank-timeout-ms', description: 'timeout of calls to a rank, in ms', fallback: '150', schema: schemas.integer(10, 60_000) }
} satisfies settings.SettingTable

export type EntryOptions = settings.Resolved<typeof entrySettings>
export type AgentOptions = settings.Resolved<typeof agentSettings>
