/**
 * Keeps the agent's report streams to its home entries open. The homes send the list of the region's entries; the host
 * list is read only while no home is connected.
 */

import { setMaxListeners } from 'node:events'
import * as protobuf from '@bufbuild/protobuf'
import type * as crashDetector from './crash-detector.js'
import * as environment from './environment.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as controlMessages from '../protocol/control-messages.js'
import type * as platform from '../protocol/platform.js'
import * as backOff from '../state/back-off.js'
import * as peerChoice from '../state/peer-choice.js'
import type * as serverView from '../state/server-view.js'
import * as peerClient from '../transport/peer-client.js'

export interface ReporterParts {
  identity: serverView.ServerIdentity
  load: () => serverView.ServerLoad
  hostList: platform.HostList
  onEntryMessage: (message: controlPb.EntryMessage) => void
}

export interface Reporter {
  /** Sends the load at once, ahead of the next period. */
  reportNow (): void
  /** Reports a crash to all homes, and to later ones while it is among the last `MAX_KEPT_CRASHES`. */
  reportCrash (crash: crashDetector.Crash): void
}

interface HomeStream {
  controller: AbortController
  /** Undefined while the entry has not answered. */
  outbox: peerClient.Outbox<controlPb.AgentMessage> | undefined
  answeredAtMs: number
  /**
   * Value of the last `firstHome` message on the stream: whether this home forwards the loads to its peers. Undefined
   * before the first.
   */
  lastSentFirstHome: boolean | undefined
}

const REPORT_PERIOD_MS = 1_000
/** Number of recent crashes that are sent to a new home. */
const MAX_KEPT_CRASHES = 8
const HOME_SELECTION_PERIOD_MS = 1_000
/**
 * A replaced home stays connected for longer than a heartbeat period between entries. Otherwise a peer can learn that
 * the old home lost the agent before it learns of the new home, and then regards the agent as lost.
 */
const HOME_OVERLAP_MS = 3_000
/** Time for which an entry is not chosen after its stream failed, so that the next entry in order replaces it. */
const AVOID_BACK_OFF: backOff.BackOff = { baseMs: 4_000, maxMs: 60_000 }
const RECONNECT_BACK_OFF: backOff.BackOff = { baseMs: 500, maxMs: 8_000 }
const HOST_LIST_BACK_OFF: backOff.BackOff = { baseMs: 1_000, maxMs: 10_000 }

export function startReporter (env: environment.Environment, parts: ReporterParts, signal: AbortSignal): Reporter {
  const homes = new Map<string, HomeStream>()
  const failures = new Map<string, { count: number, avoidedUntilMs: number }>()
  const crashes: crashDetector.Crash[] = []
  let entries: peerChoice.PeerCandidate[] = []
  /** Addresses in order of preference. */
  let chosen: string[] = []
  let sequence = 0
  let hostListTries = 0
  let hostListDueAtMs = -Infinity
  setMaxListeners(0, signal)
  environment.every(REPORT_PERIOD_MS, signal, reportNow)
  environment.every(HOME_SELECTION_PERIOD_MS, signal, () => { refresh().catch(() => {}) })
  refresh().catch(() => {})
  return {
    reportNow,
    reportCrash (crash) {
      crashes.push(crash)
      if (crashes.length > MAX_KEPT_CRASHES) crashes.shift()
      for (const { outbox } of homes.values()) outbox?.push(crashMessage(crash))
    }
  }

  function reportNow (): void {
    const connected = [...homes.values()].filter(home => home.outbox !== undefined)
    if (connected.length === 0) return
    const message = loadMessage()
    for (const home of connected) home.outbox!.push(message)
  }

  async function refresh (): Promise<void> {
    const hasHome = [...homes.values()].some(home => home.outbox !== undefined)
    const nowMs = env.nowMs()
    if (!hasHome && nowMs >= hostListDueAtMs) {
      hostListTries += 1
      // The random delay keeps agents that lost their homes at the same time from reading the list at the same time.
      hostListDueAtMs = nowMs + HOST_LIST_BACK_OFF.baseMs / 2 +
        backOff.backOffMs(HOST_LIST_BACK_OFF, hostListTries, env.random())
      const listed = await parts.hostList.read(signal)
      if (listed.kind === 'ok') entries = listed.value.filter(host => host.role === 'entry' && host.peerAddress !== '')
    }
    chooseHomes()
  }

  function chooseHomes (): void {
    const nowMs = env.nowMs()
    const isAvoided = (address: string): boolean => nowMs < (failures.get(address)?.avoidedUntilMs ?? -Infinity)
    chosen = peerChoice.chooseHomes(parts.identity.address, parts.identity.region, entries, isAvoided, env.hash64)
      .map(entry => entry.peerAddress)
    for (const address of chosen) {
      if (homes.has(address)) continue
      const home: HomeStream = {
        controller: new AbortController(), outbox: undefined, answeredAtMs: Infinity, lastSentFirstHome: undefined
      }
      homes.set(address, home)
      reportUntilAborted(address, home, AbortSignal.any([signal, home.controller.signal])).catch(() => {})
    }
    closeReplaced()
    sendFirstHome()
  }

  /**
   * Closes homes that are no longer chosen. One that is still connected stays open until all chosen homes have been
   * connected long enough to report the agent to their peers, and as long as fewer homes are chosen than an agent
   * needs: an entry that has just started may list itself alone.
   */
  function closeReplaced (): void {
    const settledBeforeMs = env.nowMs() - HOME_OVERLAP_MS
    const answered = chosen.filter(address => {
      const home = homes.get(address)
      return home?.outbox !== undefined && home.answeredAtMs <= settledBeforeMs
    })
    for (const [address, home] of homes) {
      if (chosen.includes(address)) continue
      if (home.outbox !== undefined && answered.length < peerChoice.HOMES_PER_AGENT) continue
      home.controller.abort()
      homes.delete(address)
    }
  }

  /** Informs each connected home whether it is the one that forwards the agent's loads to its peers. */
  function sendFirstHome (): void {
    const preferred = [...chosen, ...homes.keys()].find(address => homes.get(address)?.outbox !== undefined)
    for (const [address, home] of homes) {
      if (home.outbox === undefined || home.lastSentFirstHome === (address === preferred)) continue
      home.lastSentFirstHome = address === preferred
      home.outbox.push(protobuf.create(controlPb.AgentMessageSchema, {
        body: { case: 'firstHome', value: home.lastSentFirstHome }
      }))
    }
  }

  async function reportUntilAborted (address: string, home: HomeStream, homeSignal: AbortSignal): Promise<void> {
    const connection = peerClient.openConnection(address, controlPb.AgentReport)
    homeSignal.addEventListener('abort', () => connection.close(), { once: true })
    while (!homeSignal.aborted) {
      const attempt = new AbortController()
      const attemptSignal = AbortSignal.any([homeSignal, attempt.signal])
      const outbox = peerClient.createOutbox<controlPb.AgentMessage>(attemptSignal)
      try {
        const responses = connection.openStream(controlPb.AgentReport.method.report, outbox.messages, attemptSignal)
        outbox.push(protobuf.create(controlPb.AgentMessageSchema, {
          body: { case: 'hello', value: controlMessages.identityToMessage(parts.identity) }
        }))
        outbox.push(loadMessage())
        for await (const message of responses) {
          if (home.outbox === undefined) onHomeAnswered(address, home, outbox)
          if (message.entries.length > 0) entries = message.entries
          parts.onEntryMessage(message)
        }
      } catch {
        // Any failure of the stream has the same effect: the entry is not chosen as a home for a while.
      }
      attempt.abort()
      home.outbox = undefined
      home.lastSentFirstHome = undefined
      if (homeSignal.aborted) return
      env.log.emit('homeLost', { peerAddress: address })
      const waitMs = noteFailure(address)
      chooseHomes()
      await new Promise(resolve => setTimeout(resolve, waitMs))
    }
  }

  function onHomeAnswered (address: string, home: HomeStream, outbox: peerClient.Outbox<controlPb.AgentMessage>): void {
    home.outbox = outbox
    home.answeredAtMs = env.nowMs()
    // The load may have changed since the stream was opened, for example at the first probe of the backend server.
    outbox.push(loadMessage())
    for (const crash of crashes) outbox.push(crashMessage(crash))
    failures.delete(address)
    hostListTries = 0
    env.log.emit('homeConnected', { peerAddress: address })
    closeReplaced()
    sendFirstHome()
  }

  /** @returns time to wait before the next connection attempt, in ms. */
  function noteFailure (address: string): number {
    const count = (failures.get(address)?.count ?? 0) + 1
    const avoidMs = Math.min(AVOID_BACK_OFF.maxMs, AVOID_BACK_OFF.baseMs * 2 ** (count - 1)) * (0.5 + env.random() / 2)
    failures.set(address, { count, avoidedUntilMs: env.nowMs() + avoidMs })
    return backOff.backOffMs(RECONNECT_BACK_OFF, count, env.random())
  }

  function crashMessage (crash: crashDetector.Crash): controlPb.AgentMessage {
    return protobuf.create(controlPb.AgentMessageSchema, {
      body: {
        case: 'crash',
        value: protobuf.create(controlPb.CrashReportSchema, {
          fingerprints: crash.fingerprints,
          agentIncarnation: parts.identity.incarnation,
          crashNumber: BigInt(crash.number)
        })
      }
    })
  }

  function loadMessage (): controlPb.AgentMessage {
    sequence += 1
    const load = controlMessages.loadToMessage(parts.load())
    load.sequence = sequence
    return protobuf.create(controlPb.AgentMessageSchema, { body: { case: 'load', value: load } })
  }
}
