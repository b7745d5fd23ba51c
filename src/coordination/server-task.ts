/**
 * Task that owns an entry's view of the backend servers.
 */

import * as taskModule from './task.js'
import * as environment from './environment.js'
import * as ejection from '../state/ejection.js'
import * as prefixHints from '../state/prefix-hints.js'
import * as route from '../state/route.js'
import * as serverView from '../state/server-view.js'

export type AttemptResult = ejection.AttemptResult

export interface KnownServer {
  identity: serverView.ServerIdentity
  load: serverView.ServerLoad
  reportAgeMs: number
}

export interface ServerReport {
  identity: serverView.ServerIdentity
  load: serverView.ServerLoad
  reportedAtMs: number
}

export type ServerMessage =
  | { type: 'reports', reports: readonly ServerReport[] }
  | { type: 'gone', incarnation: string }
  | {
    type: 'pick'
    query: route.RouteQuery
    prefixes: readonly prefixHints.PromptPrefix[]
    reply: (choice: route.RouteChoice) => void
  }
  | { type: 'sent', incarnation: string, prefixes?: readonly prefixHints.PromptPrefix[] }
  /** Load reported with an answer. */
  | { type: 'answerLoad', incarnation: string, load: Pick<serverView.ServerLoad, 'running' | 'waiting'> }
  | { type: 'capacity', target: serverView.Served, reply: (capacity: route.Capacity) => void }
  | { type: 'finished', incarnation: string, result: AttemptResult }
  | { type: 'list', reply: (servers: KnownServer[]) => void }
  | { type: 'find', incarnation: string, reply: (server: serverView.ServerIdentity | undefined) => void }
  | { type: 'withdraw', hosts: ReadonlySet<string> }
  | { type: 'find_on_host', host: string, reply: (servers: serverView.ServerIdentity[]) => void }
  | { type: 'expire' }

type ServerEffect = () => void

/**
 * Upper bound on the age of a record; agent-tracker.ts removes a backend server long before when no home receives
 * reports from its agent.
 */
const MAX_REPORT_AGE_MS = 30_000
const EXPIRY_PERIOD_MS = 1_000
/** A stream can be resumed on the host of an agent that has left, for as long as an engine holds it. */
const DEPARTED_RETENTION_MS = 60_000

export interface ServerTask {
  post (message: ServerMessage): void
  /**
   * @param prefixes of the prompt, shortest first.
   * @param trialKey fingerprint of a suspected request, which all entries send to the same server.
   */
  pick (
    query: Omit<route.RouteQuery, 'nowMs'>, prefixes?: readonly prefixHints.PromptPrefix[], trialKey?: string
  ): Promise<route.RouteChoice>
  /** Capacity for requests that this entry sees at the backend servers of a target. */
  capacity (target: serverView.Served): Promise<route.Capacity>
  list (): Promise<KnownServer[]>
  /** Also finds an agent process that has left not long ago. */
  find (incarnation: string): Promise<serverView.ServerIdentity | undefined>
  findOnHost (host: string): Promise<serverView.ServerIdentity[]>
}

export function startServerTask (
  env: environment.Environment, policy: route.RoutePolicy, signal: AbortSignal, onBroken: (error: Error) => void
): ServerTask {
  const task = taskModule.startTask<ServerState, ServerMessage, ServerEffect>({
    initial: { view: serverView.createServerView(), hints: prefixHints.createPrefixHints(), departed: new Map() },
    transition: (state, message) => ({ state, effects: applyMessage(state, message, policy, env) }),
    perform: effect => effect(),
    signal,
    onBroken
  })
  environment.every(EXPIRY_PERIOD_MS, signal, () => task.post({ type: 'expire' }))
  return {
    post: task.post,
    pick: (query, prefixes = [], trialKey = undefined) => new Promise(resolve => {
      const trial = trialKey === undefined
        ? {}
        : { trialWeight: (incarnation: string) => Number(env.hash64(`${trialKey}\u0000${incarnation}`)) }
      task.post({ type: 'pick', query: { ...query, ...trial, nowMs: env.nowMs() }, prefixes, reply: resolve })
    }),
    capacity: target => new Promise(resolve => { task.post({ type: 'capacity', target, reply: resolve }) }),
    list: () => new Promise(resolve => { task.post({ type: 'list', reply: resolve }) }),
    find: incarnation => new Promise(resolve => { task.post({ type: 'find', incarnation, reply: resolve }) }),
    findOnHost: host => new Promise(resolve => { task.post({ type: 'find_on_host', host, reply: resolve }) })
  }
}

interface ServerState {
  view: serverView.ServerView
  hints: prefixHints.PrefixHints
  /** Agent processes that have left, by incarnation, in the order in which they did. */
  departed: Map<string, { identity: serverView.ServerIdentity, leftAtMs: number }>
}

function applyMessage (
  { view, hints, departed }: ServerState,
  message: ServerMessage,
  policy: route.RoutePolicy,
  env: environment.Environment
): ServerEffect[] {
  switch (message.type) {
    case 'reports': {
      const nowMs = env.nowMs()
      for (const { identity, load, reportedAtMs } of message.reports) {
        const previous = view.servers.get(view.incarnationByAddress.get(identity.address) ?? '')
        serverView.applyReport(view, identity, load, reportedAtMs, nowMs)
        if (previous !== undefined && !view.servers.has(previous.identity.incarnation)) noteDeparted(previous)
      }
      return []
    }
    case 'gone': {
      const record = view.servers.get(message.incarnation)
      serverView.removeServer(view, message.incarnation)
      if (record !== undefined) noteDeparted(record)
      return []
    }
    case 'pick': {
      const { query, prefixes } = message
      const first = prefixes[0]
      if (first !== undefined) {
        query.cachedShare = incarnation => prefixHints.cachedShare(hints, prefixes, incarnation, query.nowMs)
        query.affinity = { share: first.share, weight: host => Number(env.hash64(`${first.digest}\u0000${host}`)) }
      }
      const choice = route.chooseServer(view, query, policy, env.random)
      return [() => message.reply(choice)]
    }
    case 'sent': {
      const record = view.servers.get(message.incarnation)
      if (record !== undefined) serverView.changeInFlight(record, 1, env.nowMs())
      for (const prefix of message.prefixes ?? []) {
        prefixHints.notePrefix(hints, prefix.digest, message.incarnation, env.nowMs())
      }
      return []
    }
    case 'answerLoad':
      serverView.applyAnswerLoad(view, message.incarnation, message.load, env.nowMs())
      return []
    case 'capacity': {
      const capacity = route.capacityOf(view, message.target, env.nowMs())
      return [() => message.reply(capacity)]
    }
    case 'finished': {
      const record = view.servers.get(message.incarnation)
      if (record !== undefined) {
        const hasRun = message.result === 'answered' || message.result === 'failed'
        serverView.changeInFlight(record, -1, env.nowMs(), hasRun)
        ejection.noteResult(view, record, message.result, env.nowMs())
      }
      return []
    }
    case 'list': {
      const nowMs = env.nowMs()
      const servers = [...view.servers.values()].map(record => ({
        identity: record.identity, load: record.load, reportAgeMs: nowMs - record.reportedAtMs
      }))
      return [() => message.reply(servers)]
    }
    case 'find': {
      const identity = (view.servers.get(message.incarnation) ?? departed.get(message.incarnation))?.identity
      return [() => message.reply(identity)]
    }
    case 'withdraw':
      view.withdrawnHosts = message.hosts
      return []
    case 'find_on_host': {
      const found = [...view.servers.values()].map(record => record.identity)
        .filter(identity => identity.host === message.host)
      return [() => message.reply(found)]
    }
    case 'expire': {
      const oldestMs = env.nowMs() - MAX_REPORT_AGE_MS
      for (const [incarnation, record] of view.servers) {
        if (record.reportedAtMs < oldestMs && record.inFlight === 0) serverView.removeServer(view, incarnation)
      }
      for (const [incarnation, { leftAtMs }] of departed) {
        if (leftAtMs < env.nowMs() - DEPARTED_RETENTION_MS) departed.delete(incarnation)
      }
      return []
    }
  }

  function noteDeparted ({ identity }: serverView.ServerRecord): void {
    departed.set(identity.incarnation, { identity, leftAtMs: env.nowMs() })
  }
}
