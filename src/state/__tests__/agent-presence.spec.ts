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

// Guards against a delayed report that replaces a newer one, whatever the times of arrival say.
vitest.test('a report is never taken over a newer one', () => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 1, max: 30 }), fc.nat(10_000))), reports => {
    const seen = agentPresence.createAgentPresence()
    agentPresence.markAgentConnected(seen, 'home', identity('a'))
    let newest = 0
    for (const [sequence, reportedAtMs] of reports) {
      const isTaken = agentPresence.acceptReport(
        seen, 'home', identity('a'), { sequence, load: load(sequence), reportedAtMs })
      vitest.expect(isTaken).toBe(sequence > newest)
      newest = Math.max(newest, sequence)
    }
    vitest.expect(seen.agents.get('a')!.load?.running ?? 0).toBe(newest)
  }))
})

type Event = { home: string, isHeard: boolean, afterMs: number }

const events = fc.array(fc.record<Event>({
  home: fc.constantFrom('h1', 'h2', 'h3'), isHeard: fc.boolean(), afterMs: fc.nat(4_000)
}), { minLength: 1 })

// Guards against removal of an agent that a home hears, and against an agent that is kept although none does.
vitest.test('an agent is lost exactly when no home that counts hears it', () => {
  fc.assert(fc.property(events, sequence => {
    const seen = agentPresence.createAgentPresence()
    const words = new Map<string, { isHeard: boolean, atMs: number }>()
    let nowMs = 0
    for (const { home, isHeard, afterMs } of sequence) {
      nowMs += afterMs
      agentPresence.noteHomeAlive(seen, home, nowMs)
      words.set(home, { isHeard, atMs: nowMs })
      if (isHeard) agentPresence.markAgentConnected(seen, home, identity('a'))
      else agentPresence.markAgentDisconnected(seen, home, 'a', nowMs)
      agentPresence.expireAgents(seen, nowMs)
      const isVouchedFor = [...words.values()].some(word =>
        word.isHeard && nowMs - word.atMs <= agentPresence.HOME_STATUS_LIFETIME_MS)
      const held = seen.agents.get('a')
      vitest.expect(held !== undefined && held.lostAtMs === undefined).toBe(isVouchedFor)
    }
  }))
})

type Step = { kind: 'report' | 'lose' | 'return' | 'beat' | 'connect', agent: number, running: number }

const steps = fc.array(fc.record<Step>({
  kind: fc.constantFrom('report', 'lose', 'return', 'beat', 'connect'),
  agent: fc.nat(4),
  running: fc.nat(60)
}))

/** Applies a message as a receiver does, over the wire form. */
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

// Guards against digests that leave a peer with a wrong agent, a lost agent or a load that is off by a material change.
vitest.test('compact digests bring a peer to the sender\'s state', () => {
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
        // A thirty-second part of the concurrency limit of 64 is the smallest change that is sent at once.
        vitest.expect(Math.abs(last.running - view.get(name)!.running), name).toBeLessThan(2)
      }
    }
  }), { numRuns: 500 })
})
