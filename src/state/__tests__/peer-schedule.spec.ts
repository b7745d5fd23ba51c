import * as vitest from 'vitest'
import * as clusterView from '../cluster-view.js'
import * as peerSchedule from '../peer-schedule.js'

const { expect, test } = vitest

const TURNS_PER_SECOND = 1_000 / clusterView.STATUS_INTERVAL_MS
const READINGS_PER_SECOND = 10
/** Size of a datagram with a status, including headers. */
const STATUS_BYTES = 260
/** A tenth of the smallest host's link of 5.6 Mbit/s, which statuses and loads together may use. */
const BYTES_PER_SECOND = 0.1 * 5.6e6 / 8

function viewOf (entries: number, agents: number): clusterView.ClusterView {
  const view = clusterView.createView('self')
  for (let index = 0; index < entries + agents; index++) {
    const role = index < entries ? 'entry' : 'agent'
    clusterView.noteStatus(view, {
      address: `${role}-${index}`,
      role,
      failureDomain: 'd',
      state: 'ready',
      clientAddress: '',
      configurationVersion: 1,
      backendRevision: { era: 0, number: 1 },
      storeEra: 0,
      rank: undefined
    }, 0)
  }
  return view
}

// Guards against status traffic that saturates the link of a small host.
test('an agent among a hundred processes uses a small share of its host\'s link', () => {
  const view = viewOf(41, 62)
  const { statusOnly, gossip } = peerSchedule.statusTargets(view, 'agent', 0)
  const entries = Array.from({ length: 41 }, (_, index) => `entry-${index}`)
  const sendsPerSecond = (statusOnly.length + gossip.length) * TURNS_PER_SECOND +
    peerSchedule.loadTargets(entries, 0).length * READINGS_PER_SECOND
  expect(sendsPerSecond * STATUS_BYTES).toBeLessThan(BYTES_PER_SECOND)
})

// Guards against a failed entry that clients still get as an address.
test('an entry sends its status to all entries in each interval, so that a silent one is soon detected', () => {
  const view = viewOf(40, 63)
  for (let turn = 0; turn < 5; turn++) {
    const { statusOnly, gossip } = peerSchedule.statusTargets(view, 'entry', turn)
    expect([...statusOnly, ...gossip].filter(address => address.startsWith('entry'))).toHaveLength(40)
  }
  expect(peerSchedule.peerTimeoutMs(view, 'entry', 'entry')).toBe(1_200)
})

// Guards against processes that count each other as silent because they rarely send to each other.
test('each peer receives a status before it counts this process as silent', () => {
  const view = viewOf(40, 63)
  const lastTurns = new Map<string, number>()
  for (let turn = 0; turn < 40; turn++) {
    const { statusOnly, gossip } = peerSchedule.statusTargets(view, 'agent', turn)
    for (const address of [...statusOnly, ...gossip]) {
      const gapMs = (turn - (lastTurns.get(address) ?? 0)) * clusterView.STATUS_INTERVAL_MS
      expect(gapMs).toBeLessThan(peerSchedule.peerTimeoutMs(view, 'agent', 'agent') / 3)
      lastTurns.set(address, turn)
    }
  }
  expect(lastTurns.size).toBe(103)
})

// Guards against rotation where it is not needed, which would delay the spread of addresses.
test('in a small deployment each process sends its status and known addresses to all others', () => {
  const view = viewOf(7, 12)
  expect(peerSchedule.statusTargets(view, 'agent', 3)).toEqual({ statusOnly: [], gossip: [...view.known.keys()] })
  expect(peerSchedule.peerTimeoutMs(view, 'agent', 'entry')).toBe(1_200)
})

// Guards against an entry that clients still get as an address more than 2 s after it has died.
test('a dead entry among a hundred counts as silent within 2 s', () => {
  const view = viewOf(98, 129)
  expect(peerSchedule.peerTimeoutMs(view, 'entry', 'entry')).toBeLessThan(2_000)
  const lastTurns = new Map<string, number>()
  for (let turn = 0; turn < 20; turn++) {
    const { statusOnly, gossip } = peerSchedule.statusTargets(view, 'entry', turn)
    for (const address of [...statusOnly, ...gossip].filter(target => target.startsWith('entry'))) {
      const gapMs = (turn - (lastTurns.get(address) ?? 0)) * clusterView.STATUS_INTERVAL_MS
      expect(gapMs).toBeLessThanOrEqual(peerSchedule.peerTimeoutMs(view, 'entry', 'entry') / 3)
      lastTurns.set(address, turn)
    }
  }
  expect(lastTurns.size).toBe(98)
})

/** 5 in 100 of the smallest entry's 0.65 of a core, at 40 µs for a message. */
const MAX_ENTRY_MESSAGES_PER_SECOND = 0.05 * 0.65 / 40e-6
/** Ranks of a large group are read at every second tick. */
const LARGE_READINGS_PER_SECOND = 5

// Guards against control messages that take more processor time than requests: they grew with the square of the size.
test('an entry among 228 processes sends and receives few messages', () => {
  const [entries, agents] = [99, 129]
  const targetsOf = (view: clusterView.ClusterView, role: clusterView.ProcessRole): string[] => {
    const { statusOnly, gossip } = peerSchedule.statusTargets(view, role, 0)
    return [...statusOnly, ...gossip]
  }
  const fromEntry = targetsOf(viewOf(entries - 1, agents), 'entry')
  const fromAgent = targetsOf(viewOf(entries, agents - 1), 'agent').length
  const toOtherEntries = fromEntry.filter(address => address.startsWith('entry')).length
  const loads = peerSchedule.loadTargets(Array.from({ length: entries }, (_, index) => `e${index}`), 0).length
  const sent = fromEntry.length * TURNS_PER_SECOND
  const received = toOtherEntries * TURNS_PER_SECOND + agents * fromAgent / (entries + agents - 1) * TURNS_PER_SECOND +
    agents * loads / entries * LARGE_READINGS_PER_SECOND
  expect(sent + received).toBeLessThan(MAX_ENTRY_MESSAGES_PER_SECOND)
})
