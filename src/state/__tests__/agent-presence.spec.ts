import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as digestTable from '../digest-table.js'
import type * as serverView from '../server-view.js'
import * as agentPresence from '../agent-presence.js'
import * as digestMessages from '../../protocol/digest-messages.js'

function identity (incarnation: string): serverView.ServerIdentity {
  return {
    incarnation, host: incarnation, address: incarnation, failureDomain: '', region: '', serves: [], group: '', rank: 0
  }
}

function load (running: number): serverView.ServerLoad {
  return { running, waiting: 0, concurrencyLimit: 64, firstByteMs: 100, engineReportAgeMs: 0, status: 'serving' }
}

// Guards against a delayed report that replaces a newer one, in whatever order they arrive.
vitest.test('an older report never replaces a newer one', () => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 1, max: 30 }), fc.nat(10_000))), reports => {
    const presence = agentPresence.createAgentPresence()
    agentPresence.markAgentConnected(presence, 'home', identity('a'))
    let newest = 0
    for (const [sequence, reportedAtMs] of reports) {
      const isAccepted = agentPresence.acceptReport(
        presence, 'home', identity('a'), { sequence, load: load(sequence), reportedAtMs })
      vitest.expect(isAccepted).toBe(sequence > newest)
      newest = Math.max(newest, sequence)
    }
    vitest.expect(presence.agents.get('a')!.load?.running ?? 0).toBe(newest)
  }))
})

type Event = { home: string, isHeard: boolean, afterMs: number }

const events = fc.array(fc.record<Event>({
  home: fc.constantFrom('h1', 'h2', 'h3'), isHeard: fc.boolean(), afterMs: fc.nat(4_000)
}), { minLength: 1 })

// Guards against removal of an agent that is connected to a home, and against keeping one that is connected to none.
vitest.test('an agent is lost exactly when no live home is connected to it', () => {
  fc.assert(fc.property(events, sequence => {
    const presence = agentPresence.createAgentPresence()
    const statuses = new Map<string, { isHeard: boolean, atMs: number }>()
    let nowMs = 0
    for (const { home, isHeard, afterMs } of sequence) {
      nowMs += afterMs
      agentPresence.noteHomeAlive(presence, home, nowMs)
      statuses.set(home, { isHeard, atMs: nowMs })
      if (isHeard) agentPresence.markAgentConnected(presence, home, identity('a'))
      else agentPresence.markAgentDisconnected(presence, home, 'a', nowMs)
      agentPresence.expireAgents(presence, nowMs)
      const isConnected = [...statuses.values()].some(status =>
        status.isHeard && nowMs - status.atMs <= agentPresence.HOME_STATUS_LIFETIME_MS)
      const held = presence.agents.get('a')
      vitest.expect(held !== undefined && held.lostAtMs === undefined).toBe(isConnected)
    }
  }))
})

type Step = { kind: 'report' | 'lose' | 'return' | 'beat' | 'connect', agent: number, running: number }

const steps = fc.array(fc.record<Step>({
  kind: fc.constantFrom('report', 'lose', 'return', 'beat', 'connect'),
  agent: fc.nat(4),
  running: fc.nat(60)
}))

/** Applies a message in its wire form, as a receiver does. */
function receive (
  view: Map<string, { isHeard: boolean, running: number }>,
  names: Map<number, string>,
  message: digestTable.DigestMessage
): void {
  const fields = digestMessages.digestToFields(message, 0)
  for (const agent of fields.agents) {
    names.set(agent.index, agent.identity!.incarnation)
    view.set(agent.identity!.incarnation, { isHeard: true, running: -1 })
  }
  for (const index of fields.returned) view.get(names.get(index)!)!.isHeard = true
  for (const index of fields.gone) view.get(names.get(index)!)!.isHeard = false
  for (const sent of digestMessages.loadsFromColumns(fields.loads!, 0)) {
    view.get(names.get(sent.index)!)!.running = sent.load.running
  }
}

// Guards against compact digests after which a peer has a wrong or lost agent, or a load that differs materially.
vitest.test('compact digests give a peer the sender\'s state', () => {
  fc.assert(fc.property(steps, sequence => {
    const table = digestTable.createDigestTable(3)
    const actual = new Map<string, { isHeard: boolean, load: serverView.ServerLoad | undefined }>()
    let view = new Map<string, { isHeard: boolean, running: number }>()
    let names = new Map<number, string>()
    let reports = 0
    receive(view, names, digestTable.fullState(table))
    for (const { kind, agent, running } of sequence) {
      const name = `agent-${agent}`
      const held = actual.get(name)
      if (kind === 'return' || (kind === 'report' && held?.isHeard !== true)) {
        digestTable.setAgent(table, identity(name), true)
        actual.set(name, { isHeard: true, load: held?.load })
      }
      if (kind === 'report') {
        reports += 1
        digestTable.setReport(table, name, { load: load(running), sequence: reports, reportedAtMs: 0 })
        actual.get(name)!.load = load(running)
      }
      if (kind === 'lose' && held !== undefined) {
        digestTable.setGone(table, name, 0)
        held.isHeard = false
      }
      if (kind === 'connect') {
        view = new Map()
        names = new Map()
        receive(view, names, digestTable.fullState(table))
      }
      if (kind === 'beat') receive(view, names, digestTable.takeChanges(table, 0))
    }
    receive(view, names, digestTable.takeChanges(table, 0))
    for (const [name, { isHeard, load: last }] of actual) {
      vitest.expect(view.get(name)?.isHeard, name).toBe(isHeard)
      if (isHeard && last !== undefined) {
        // The smallest change that is sent at once is 1/32 of the concurrency limit of 64.
        vitest.expect(Math.abs(last.running - view.get(name)!.running), name).toBeLessThan(2)
      }
    }
  }), { numRuns: 500 })
})
