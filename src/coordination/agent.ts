/**
 * The agent process: admits attempts to one backend server, monitors the server and reports its load to entries.
 */

import type * as http from 'node:http'
import * as agentReporter from './agent-reporter.js'
import * as backendGate from './backend-gate.js'
import * as clientGuard from './client-guard.js'
import * as crashDetector from './crash-detector.js'
import * as drainModule from './drain.js'
import * as environment from './environment.js'
import * as expertMaps from './expert-maps.js'
import * as explainLog from './explain-log.js'
import * as streamForwarder from './stream-forwarder.js'
import * as controlMessages from '../protocol/control-messages.js'
import * as problem from '../protocol/problem.js'
import * as settings from '../protocol/settings.js'
import * as concurrencyLimit from '../state/concurrency-limit.js'
import * as outcomes from '../state/outcome.js'
import type * as serverView from '../state/server-view.js'
import * as stops from '../state/stops.js'
import * as arrivalsModule from '../transport/arrivals.js'
import * as backendClient from '../transport/backend-client.js'
import * as engineClient from '../transport/engine-client.js'
import * as hostListClient from '../transport/host-list-client.js'
import * as httpServer from '../transport/http-server.js'

export const agentSettings = {
  ...settings.commonSettings,
  ...expertMaps.expertMapSettings,
  backendAddress: {
    flag: 'backend-address', description: 'IP address and port of the backend server', schema: settings.schemas.address
  },
  models: {
    flag: 'models',
    description: 'models that the backend server offers, separated by commas',
    fallback: '',
    schema: settings.schemas.names
  },
  services: {
    flag: 'services',
    description: 'plain services that the backend server offers, separated by commas',
    fallback: '',
    schema: settings.schemas.names
  },
  concurrencyLimit: {
    flag: 'concurrency-limit',
    description: 'maximum number of requests that run at the same time on the backend server',
    fallback: '64',
    schema: settings.schemas.integer(1, 100_000)
  },
  latencyTargetMs: {
    flag: 'latency-target-ms',
    description: 'target time to the first byte, to which the concurrency limit is adapted, in ms; 0 keeps the limit fixed',
    fallback: '0',
    schema: settings.schemas.integer(0, 600_000)
  }
} satisfies settings.SettingTable

export type ResolvedAgentSettings = settings.Resolved<typeof agentSettings>

export interface RunningAgent {
  identity: serverView.ServerIdentity
  /** IP address and port of the listener. */
  listening: string
  /** IP address and port of the listener for the group's agents; empty without a group. */
  peerListening: string
  /** Starts to refuse new work; settles when nothing is in flight. */
  drain: () => Promise<void>
}

const DRAIN_POLL_MS = 50
/** Time for the last report to be sent before the process ends. */
const LAST_REPORT_DELAY_MS = 100
const METRICS_PERIOD_MS = 5_000
const PROBE_PERIOD_MS = 500
const PROBE_TIMEOUT_MS = 1_000
const ATTEMPT_RESOLVE_PATH = /^\/attempts\/([0-9a-f]{32}\.\d{1,15})\/resolve(\?|$)/
const EXPLAIN_PATH = /^\/explain\/([A-Za-z0-9-]{1,64})$/
const ATTEMPT_STREAM_PATH = /^\/attempts\/([0-9a-f]{32}\.\d{1,15})\/stream(\?|$)/

/** Starts an agent. Everything that it opens closes when the signal aborts. */
export async function startAgent (
  options: ResolvedAgentSettings,
  outerEnv: environment.Environment,
  signal: AbortSignal,
  onBroken: (error: Error) => void
): Promise<RunningAgent> {
  const { env, explain } = explainLog.withExplainLog(outerEnv)
  const incarnation = environment.newIncarnation()
  const stopSet = stops.createStopSet()
  let openResponses = 0
  const client = backendClient.createBackendClient(signal)
  const streams = streamForwarder.createStreamForwarder(env, {
    agentIncarnation: incarnation, engine: new engineClient.HttpEngine(client, options.backendAddress)
  }, signal)
  const gate = backendGate.createBackendGate(env, {
    agentIncarnation: incarnation,
    backendAddress: options.backendAddress,
    client,
    streams,
    concurrency: resolveConcurrency(options),
    onBackendFailure: fingerprints => {
      crashes.noteFailure(fingerprints)
      probe().catch(onBroken)
    }
  })
  const crashes = crashDetector.createCrashDetector(env.nowMs, crash => {
    env.log.emit('backendCrashed', { backendAddress: options.backendAddress, running: crash.fingerprints.length })
    reporter.reportCrash(crash)
  })
  const arrivals = new arrivalsModule.Arrivals()
  const clients = clientGuard.createClientGuard(options, clientGuard.statsdReport(env), signal)
  const server = await httpServer.listen({
    address: options.listen,
    signal,
    pool: clients,
    arrivals,
    handler: (request, response) => {
      openResponses += 1
      response.once('close', () => { openResponses -= 1 })
      handle(request, response).catch(onBroken)
    }
  })
  const identity: serverView.ServerIdentity = {
    incarnation,
    host: options.host,
    address: options.advertise || server.address,
    failureDomain: options.failureDomain,
    region: options.region,
    serves: [
      ...options.models.map(name => ({ kind: 'model' as const, name })),
      ...options.services.map(name => ({ kind: 'plain' as const, name }))
    ],
    group: options.group,
    rank: options.rank
  }
  let isReachable = false
  const reporter = agentReporter.startReporter(env, {
    identity,
    load: () => gate.load(),
    hostList: new hostListClient.HttpHostList(options.hostListUrl, options.platformTimeoutMs),
    onEntryMessage: message => {
      for (const stop of message.stops) stops.mergeStop(stopSet, controlMessages.stopFromMessage(stop))
      drain.set('planned_stop', stops.stopFor(stopSet, options) !== undefined)
      if (message.hostStates !== undefined) drain.set('host_leaving', message.hostStates.leaving.includes(options.host))
    }
  }, signal)
  const drain = drainModule.createDrain(env, isDraining => {
    gate.setDraining(isDraining)
    reporter.reportNow()
  })
  await probe()
  const peerListening = options.engineManagementAddress === ''
    ? ''
    : await expertMaps.startExpertMaps(options, env, { incarnation, clients }, signal, onBroken)
  environment.every(METRICS_PERIOD_MS, signal, () => {
    const load = gate.load()
    env.metrics.gauge('agent.running', load.running)
    env.metrics.gauge('agent.first_byte_ms', load.firstByteMs)
    env.metrics.gauge('agent.backend_reachable', isReachable ? 1 : 0)
  })
  environment.every(PROBE_PERIOD_MS, signal, () => { probe().catch(onBroken) })
  return { identity, listening: server.address, peerListening, drain: drainUntilEmpty }

  async function drainUntilEmpty (): Promise<void> {
    drain.set('terminated', true)
    // An answer that the backend server has completed may still be in transit to the entry.
    const isBusy = (): boolean => gate.load().running > 0 || openResponses > 0 || streams.isAwaited()
    while (!signal.aborted) {
      const arrived = arrivals.count
      await arrivals.untilQuiet(DRAIN_POLL_MS)
      if (!isBusy() && arrivals.count === arrived) break
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS))
    }
    reporter.reportNow()
    await new Promise(resolve => setTimeout(resolve, LAST_REPORT_DELAY_MS))
  }

  async function handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const path = request.url ?? '/'
    if (path.startsWith('/dispatch/')) return gate.dispatch(request, response)
    request.resume()
    const resolveMatch = ATTEMPT_RESOLVE_PATH.exec(path)
    if (resolveMatch !== null) return gate.resolve(request, response, resolveMatch[1]!)
    const streamMatch = ATTEMPT_STREAM_PATH.exec(path)
    if (streamMatch !== null) return streams.resume(streamMatch[1]!, request, response)
    const explainMatch = EXPLAIN_PATH.exec(path)
    if (explainMatch !== null) {
      const records = explain.recordsOf(explainMatch[1]!).map(record => ({ ...record, process: `agent ${options.host}` }))
      return problem.sendJson(response, 200, { records })
    }
    if (path === '/healthz') return problem.sendJson(response, 200, { status: 'ok' })
    if (path === '/readyz') return problem.sendJson(response, isReachable ? 200 : 503, { status: gate.load().status })
    problem.sendProblem(response, outcomes.refuse('not_found', 404, 'not_run', `path: there is no ${path}`), 'none')
  }

  async function probe (): Promise<void> {
    const result = await client.request({
      address: options.backendAddress,
      method: 'GET',
      path: '/health',
      headers: {},
      body: undefined,
      timeoutMs: PROBE_TIMEOUT_MS,
      signal
    })
    if (result.kind === 'answer') result.body.resume()
    const reachable = result.kind === 'answer' && result.status === 200
    if (!signal.aborted) crashes.noteHealth(reachable)
    if (reachable === isReachable || signal.aborted) return
    isReachable = reachable
    gate.setReachable(reachable)
    env.log.emit(reachable ? 'backendReachable' : 'backendUnreachable', { backendAddress: options.backendAddress })
    reporter.reportNow()
  }
}

function resolveConcurrency (options: ResolvedAgentSettings): concurrencyLimit.ConcurrencyLimit {
  const max = options.concurrencyLimit
  return options.latencyTargetMs === 0
    ? new concurrencyLimit.FixedLimit(max)
    : new concurrencyLimit.AdditiveIncreaseLimit({ targetMs: options.latencyTargetMs, min: 1, max, initial: max })
}
