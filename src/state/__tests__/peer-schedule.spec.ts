import * as vitest from 'vitest'
import * as clusterView from '../cluster-view.js'
import * as peerSchedule from '../peer-schedule.js'

const { expect, test } = vitest

const TURNS_PER_SECOND = 1_000 / clusterView.STATUS_INTERVAL_MS
const READINGS_PER_SECOND = 10
/** A datagram with a status, with its headers. */
const STATUS_BYTES = 260
/** Part of the smallest host's link, 5.6 Mbit/s, that statuses and loads may take together. */
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
      backendRevision: 1,
      rank: undefined
    }, 0)
  }
  return view
}

test('an agent among a hundred processes leaves its host\'s link free', () => {
  const view = viewOf(41, 62)
  const { statusOnly: brief, gossip } = peerSchedule.statusTargets(view, 'agent', 0)
  const entries = Array.from({ length: 41 }, (_, index) => `entry-${index}`)
  const sendsPerSecond = (brief.length + gossip.length) * TURNS_PER_SECOND +
    peerSchedule.loadTargets(entries, 0).length * READINGS_PER_SECOND
  expect(sendsPerSecond * STATUS_BYTES).toBeLessThan(BYTES_PER_SECOND)
})

test('an entry tells all entries each time, so that a silent one soon leaves the addresses of clients', () => {
  const view = viewOf(40, 63)
  for (let turn = 0; turn < 5; turn++) {
    const { statusOnly: brief, gossip } = peerSchedule.statusTargets(view, 'entry', turn)
    expect([...brief, ...gossip].filter(address => address.startsWith('entry'))).toHaveLength(40)
  }
  expect(peerSchedule.peerTimeoutMs(view, 'entry', 'entry')).toBe(1_200)
})

test('each peer has its turn before it counts this process as silent', () => {
  const view = viewOf(40, 63)
  const heard = new Map<string, number>()
  for (let turn = 0; turn < 40; turn++) {
    const { statusOnly: brief, gossip } = peerSchedule.statusTargets(view, 'agent', turn)
    for (const address of [...brief, ...gossip]) {
      const gapMs = (turn - (heard.get(address) ?? 0)) * clusterView.STATUS_INTERVAL_MS
      expect(gapMs).toBeLessThan(peerSchedule.peerTimeoutMs(view, 'agent', 'agent') / 3)
      heard.set(address, turn)
    }
  }
  expect(heard.size).toBe(103)
})

test('in a small deployment everyone tells everyone all they know', () => {
  const view = viewOf(7, 12)
  expect(peerSchedule.statusTargets(view, 'agent', 3)).toEqual({ statusOnly: [], gossip: [...view.known.keys()] })
  expect(peerSchedule.peerTimeoutMs(view, 'agent', 'entry')).toBe(1_200)
})
