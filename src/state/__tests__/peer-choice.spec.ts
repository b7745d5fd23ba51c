import * as crypto from 'node:crypto'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as backOff from '../back-off.js'
import * as peerChoice from '../peer-choice.js'

function hash64 (text: string): bigint {
  return crypto.createHash('sha1').update(text).digest().readBigUInt64BE()
}

const fleet = fc.tuple(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 30 })).map(([size, regions]) =>
  Array.from({ length: size }, (_, index) => ({
    peerAddress: `10.0.${index >> 8}.${index & 255}:7000`,
    region: `region-${index % regions}`,
    failureDomain: `region-${index % regions}-domain-${Math.floor(index / regions) % 3}`
  })))

// Guards against a number of streams that grows with the size of the fleet.
vitest.test('the number of streams of an entry is bounded', () => {
  fc.assert(fc.property(fleet, entries => {
    const { near, far } = peerChoice.choosePeers(entries[0]!, entries, hash64)
    vitest.expect(near.length).toBeLessThan(peerChoice.MAX_CELL_ENTRIES)
    vitest.expect(far.length).toBeLessThanOrEqual(peerChoice.PEERS_PER_FAR_CELL * peerChoice.MAX_FAR_CELLS)
  }), { numRuns: 40 })
})

// Guards against entries that disagree on whether they are in the same cell, and against a pair in which both or none
// opens the stream.
vitest.test('members of a cell agree on it, and one entry of a pair opens the stream', () => {
  fc.assert(fc.property(fleet, fc.nat(), (entries, pick) => {
    const self = entries[pick % entries.length]!
    for (const peer of peerChoice.choosePeers(self, entries, hash64).near.slice(0, 5)) {
      vitest.expect(peer.region).toBe(self.region)
      vitest.expect(peerChoice.choosePeers(peer, entries, hash64).near).toContainEqual(self)
      const openers = [
        peerChoice.isOpener(self.peerAddress, peer.peerAddress, hash64),
        peerChoice.isOpener(peer.peerAddress, self.peerAddress, hash64)
      ]
      vitest.expect(openers.filter(Boolean).length).toBe(1)
    }
  }), { numRuns: 40 })
})

// Guards against an agent that loses both homes with one failure domain, or that chooses a home that has just failed.
vitest.test('homes lie in two failure domains', () => {
  fc.assert(fc.property(fleet, fc.nat(), (entries, pick) => {
    const region = entries[pick % entries.length]!.region
    const near = entries.filter(entry => entry.region === region)
    const avoided = near[pick % near.length]!.peerAddress
    const homes = peerChoice.chooseHomes('10.1.0.1:8000', region, entries, address => address === avoided, hash64)
    const usable = near.filter(entry => entry.peerAddress !== avoided)
    vitest.expect(homes.length).toBe(Math.min(peerChoice.HOMES_PER_AGENT, near.length))
    vitest.expect(homes.every(home => home.region === region)).toBe(true)
    if (usable.length >= 2) vitest.expect(homes.map(home => home.peerAddress)).not.toContain(avoided)
    if (new Set(usable.map(entry => entry.failureDomain)).size >= 2) {
      vitest.expect(new Set(homes.map(home => home.failureDomain)).size).toBe(2)
    }
  }))
})

// Guards against processes that lost the same peer and all reconnect at the same time.
vitest.test('back-off grows to its maximum and is spread evenly', () => {
  const times = { baseMs: 500, maxMs: 8_000 }
  const unit = fc.double({ min: 0, max: 0.999, noNaN: true })
  fc.assert(fc.property(fc.integer({ min: 1, max: 2_000 }), unit, (n, random) => {
    vitest.expect(backOff.backOffMs(times, n, random)).toBeCloseTo(random * Math.min(8_000, 500 * 2 ** (n - 1)))
  }))
})
