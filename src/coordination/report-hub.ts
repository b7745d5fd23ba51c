/**
 * Report streams that agents open to this entry, their home.
 */

import { setMaxListeners } from 'node:events'
import type * as connect from '@connectrpc/connect'
import * as protobuf from '@bufbuild/protobuf'
import type * as agentTracker from './agent-tracker.js'
import * as environment from './environment.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as controlMessages from '../protocol/control-messages.js'
import * as digestTable from '../state/digest-table.js'
import type * as membership from '../state/membership.js'
import type * as serverView from '../state/server-view.js'
import * as peerClient from '../transport/peer-client.js'

export interface ReportHub {
  serve (
    requests: AsyncIterable<controlPb.AgentMessage>, context: connect.HandlerContext
  ): AsyncIterable<controlPb.EntryMessage>
  /** State of the agents that report here, for messages to peers. */
  digests: digestTable.DigestTable
  /** Sends a message to all agents that report here. */
  broadcast (message: controlPb.EntryMessage): void
}

interface HomeAgent {
  identity: serverView.ServerIdentity
  /** Whether this entry is the one of the agent's homes that forwards its loads to peers. */
  isForwardingLoads: boolean
  stream: AbortController
  /** When the last report was received, or the stream was opened. */
  receivedAtMs: number
  isSilent: boolean
}

export interface ReportHubParts {
  tracker: agentTracker.AgentTracker
  selfIncarnation: () => string
  /** First message to an agent that has connected. */
  greeting: () => Promise<controlPb.EntryMessage>
  /** Entries that agents may choose as homes. */
  homeEntries: () => Promise<membership.EntryIdentity[]>
  /**
   * Called when an agent connected, was lost or changed its status, which peers should know before the next heartbeat.
   */
  onAgentChange: () => void
  onCrash: (fingerprints: readonly string[], agentIncarnation: string) => void
}

/** Agents report once a second; two reports may be late before the agent counts as lost. */
const REPORT_TIMEOUT_MS = 2_500
const REPORT_CHECK_PERIOD_MS = 500
/** A stream without reports is closed after this long, so that a host that lost power occupies no resources here. */
const STREAM_IDLE_TIMEOUT_MS = 15_000
const ENTRY_LIST_PERIOD_MS = 5_000
/** Peers get every load at least once in this many heartbeats of 2 s, so that no view is older than 6 s. */
const REFRESH_HEARTBEATS = 3

export function startReportHub (
  env: environment.Environment, parts: ReportHubParts, signal: AbortSignal
): ReportHub {
  const agents = new Map<string, HomeAgent>()
  const digests = digestTable.createDigestTable(REFRESH_HEARTBEATS)
  const outboxes = new Set<peerClient.Outbox<controlPb.EntryMessage>>()
  let entryListKey = ''
  let checkedAtMs = env.nowMs()
  setMaxListeners(0, signal)
  environment.every(REPORT_CHECK_PERIOD_MS, signal, checkReportTimeouts)
  environment.every(ENTRY_LIST_PERIOD_MS, signal, () => { sendEntryListOnChange().catch(() => {}) })
  const hub: ReportHub = {
    async * serve (requests, context) {
      const stream = new AbortController()
      const streamSignal = AbortSignal.any([signal, context.signal, stream.signal])
      const outbox = peerClient.createOutbox<controlPb.EntryMessage>(streamSignal)
      outboxes.add(outbox)
      streamSignal.addEventListener('abort', () => outboxes.delete(outbox), { once: true })
      receiveAll(requests, stream).catch(() => {})
      const greeting = await parts.greeting()
      greeting.entries = (await parts.homeEntries()).map(entry => protobuf.create(controlPb.EntryIdentitySchema, entry))
      outbox.push(greeting)
      yield * outbox.messages
    },
    digests,
    broadcast (message) {
      for (const outbox of outboxes) outbox.push(message)
    }
  }
  return hub

  async function receiveAll (requests: AsyncIterable<controlPb.AgentMessage>, stream: AbortController): Promise<void> {
    let agent: HomeAgent | undefined
    try {
      for await (const { body } of requests) {
        if (body.case === 'hello') {
          const identity = controlMessages.identityFromMessage(body.value)
          agent = { identity, isForwardingLoads: false, stream, receivedAtMs: env.nowMs(), isSilent: false }
          env.log.emit('agentConnected', { agentAddress: identity.address, incarnation: identity.incarnation })
        }
        if (agent === undefined) continue
        // An older stream of the agent may deliver its hello late, or end late; the stream with the latest message
        // counts.
        if (agents.get(agent.identity.incarnation) !== agent) {
          agents.set(agent.identity.incarnation, agent)
          addAgent(agent)
        }
        if (body.case === 'firstHome') {
          agent.isForwardingLoads = body.value
          digestTable.setAgent(digests, agent.identity, agent.isForwardingLoads)
        }
        if (body.case === 'load') receiveLoad(agent, body.value)
        if (body.case === 'crash') parts.onCrash(body.value.fingerprints, body.value.agentIncarnation)
      }
    } finally {
      if (agent !== undefined && agents.get(agent.identity.incarnation) === agent) {
        const { incarnation, address } = agent.identity
        agents.delete(incarnation)
        removeAgent(incarnation)
        env.log.emit('agentDisconnected', { agentAddress: address, incarnation })
      }
      // Ends the response too when the agent only closed its half.
      stream.abort()
    }
  }

  function receiveLoad (agent: HomeAgent, message: controlPb.AgentLoad): void {
    const reportedAtMs = env.nowMs()
    const load = controlMessages.loadFromMessage(message)
    agent.receivedAtMs = reportedAtMs
    if (agent.isSilent) {
      agent.isSilent = false
      addAgent(agent)
    }
    parts.tracker.noteHomeAlive(parts.selfIncarnation())
    const isNewStatus = digests.slots.get(agent.identity.incarnation)?.report?.load.status !== load.status
    const report: digestTable.Report = { load, sequence: message.sequence, reportedAtMs }
    digestTable.setReport(digests, agent.identity.incarnation, report)
    parts.tracker.report(parts.selfIncarnation(), agent.identity, report)
    if (isNewStatus && agent.isForwardingLoads) parts.onAgentChange()
  }

  function addAgent (agent: HomeAgent): void {
    parts.tracker.noteHomeAlive(parts.selfIncarnation())
    parts.tracker.markAgentConnected(parts.selfIncarnation(), agent.identity)
    digestTable.setAgent(digests, agent.identity, agent.isForwardingLoads)
    parts.onAgentChange()
  }

  function removeAgent (incarnation: string): void {
    digestTable.setGone(digests, incarnation, env.nowMs())
    parts.tracker.lose(parts.selfIncarnation(), incarnation)
    parts.onAgentChange()
  }

  function checkReportTimeouts (): void {
    const nowMs = env.nowMs()
    // After a pause of this process the reports of that time are still unread, so their absence proves nothing yet.
    const wasPaused = nowMs - checkedAtMs > REPORT_TIMEOUT_MS
    checkedAtMs = nowMs
    parts.tracker.noteHomeAlive(parts.selfIncarnation())
    for (const [incarnation, agent] of agents) {
      if (wasPaused) agent.receivedAtMs = nowMs
      const silentMs = nowMs - agent.receivedAtMs
      if (silentMs > STREAM_IDLE_TIMEOUT_MS) agent.stream.abort()
      if (silentMs <= REPORT_TIMEOUT_MS || agent.isSilent) continue
      agent.isSilent = true
      removeAgent(incarnation)
    }
  }

  async function sendEntryListOnChange (): Promise<void> {
    const entries = await parts.homeEntries()
    const key = entries.map(entry => entry.incarnation + entry.peerAddress).sort().join()
    if (key === entryListKey) return
    entryListKey = key
    hub.broadcast(protobuf.create(controlPb.EntryMessageSchema, {
      entries: entries.map(entry => protobuf.create(controlPb.EntryIdentitySchema, entry))
    }))
  }
}
