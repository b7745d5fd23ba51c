import type * as connect from '@connectrpc/connect'
import * as protobuf from '@bufbuild/protobuf'
import * as vitest from 'vitest'
import type * as agentTracker from '../agent-tracker.js'
import type * as environment from '../environment.js'
import * as reportHub from '../report-hub.js'
import * as controlPb from '../../gen/bulrush/v1/control_pb.js'
import * as peerClient from '../../transport/peer-client.js'

function openStream (hub: reportHub.ReportHub): { send: (body: object) => Promise<void>, end: () => Promise<void> } {
  const ended = new AbortController()
  const outbox = peerClient.createOutbox<controlPb.AgentMessage>(ended.signal)
  const responses = hub.serve(outbox.messages, { signal: new AbortController().signal } as connect.HandlerContext)
  const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 5))
  responses[Symbol.asyncIterator]().next().catch(() => {})
  return {
    async send (body) {
      outbox.push(protobuf.create(controlPb.AgentMessageSchema, { body } as never))
      await settle()
    },
    async end () {
      ended.abort()
      await settle()
    }
  }
}

// Guards against reports that are ignored permanently because the hello of an abandoned stream arrived last.
vitest.test('a live stream stays in use when an abandoned one of the same agent ends', async () => {
  const stopped = new AbortController()
  const env = { nowMs: () => performance.now(), log: { emit: () => {} } } as unknown as environment.Environment
  const sequences: number[] = []
  const hub = reportHub.startReportHub(env, {
    tracker: {
      noteHomeAlive: () => {},
      markAgentConnected: () => {},
      lose: () => {},
      report: (_home, _identity, { sequence }) => { sequences.push(sequence) }
    } as Partial<agentTracker.AgentTracker> as agentTracker.AgentTracker,
    selfIncarnation: () => 'self',
    greeting: async () => protobuf.create(controlPb.EntryMessageSchema),
    homeEntries: async () => [],
    onAgentChange: () => {},
    onCrash: () => {}
  }, stopped.signal)
  const hello = { case: 'hello', value: protobuf.create(controlPb.AgentIdentitySchema, { incarnation: 'a' }) }
  const load = (sequence: number): object =>
    ({ case: 'load', value: protobuf.create(controlPb.AgentLoadSchema, { sequence, status: 'serving' }) })
  const live = openStream(hub)
  const abandoned = openStream(hub)
  await live.send(hello)
  await live.send(load(1))
  await abandoned.send(hello)
  await abandoned.end()
  await live.send(load(2))
  vitest.expect(sequences).toEqual([1, 2])
  vitest.expect(hub.digests.slots.get('a')?.isGone).toBe(false)
  stopped.abort()
})
