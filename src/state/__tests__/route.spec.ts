import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as prefixHints from '../prefix-hints.js'
import * as route from '../route.js'
import * as serverView from '../server-view.js'
import * as serverIdentity from '../../../standins/server-identity.js'

const target: serverView.Served = { kind: 'model', name: 'm' }

function viewOf (loads: { running: number, reportedAtMs: number, firstByteMs?: number }[]): serverView.ServerView {
  const view = serverView.createServerView()
  loads.forEach((load, index) => serverView.applyReport(view, serverIdentity.identityOf(index, target), {
    running: load.running,
    waiting: 0,
    concurrencyLimit: 64,
    firstByteMs: load.firstByteMs ?? 0,
    engineReportAgeMs: 0,
    status: 'serving'
  }, load.reportedAtMs))
  return view
}

function shareOfFirst (view: serverView.ServerView, query: Partial<route.RouteQuery>, options = {}): number {
  const policy = new route.LeastExpectedWork({ ...route.DEFAULT_ROUTE_OPTIONS, ...options })
  let seed = 1
  const random = (): number => (seed = (seed * 16807) % 2147483647) / 2147483647
  let first = 0
  for (let count = 0; count < 400; count++) {
    const choice = route.chooseServer(view, { target, excluded: new Set(), nowMs: 100_000, ...query }, policy, random)
    if (choice.kind === 'chosen' && choice.record.identity.incarnation === 's0') first += 1
  }
  return first / 400
}

// Guards against a delayed report that hides requests sent after it was made.
vitest.test('requests sent after a report was made stay counted', () => {
  const view = viewOf([{ running: 0, reportedAtMs: 99_000 }, { running: 3, reportedAtMs: 99_000 }])
  const record = view.servers.get('s0')!
  for (let sent = 0; sent < 8; sent++) serverView.changeInFlight(record, 1, 99_200)
  serverView.applyReport(view, record.identity, { ...record.load, running: 0 }, 99_100)
  vitest.expect(shareOfFirst(view, {})).toBeLessThan(0.3)
})

// Guards against counting the entry's own requests twice, as in flight and as reported.
vitest.test('own requests in a report do not count as those of other entries', () => {
  fc.assert(fc.property(
    fc.array(fc.record({ change: fc.constantFrom(1 as const, -1 as const), atMs: fc.integer({ min: 0, max: 1_000 }) })),
    fc.integer({ min: 0, max: 1_000 }), (changes, reportedAtMs) => {
      const view = viewOf([{ running: 0, reportedAtMs: 0 }])
      const record = view.servers.get('s0')!
      let inFlight = 0
      let atReport = 0
      for (const { change, atMs } of [...changes].sort((a, b) => a.atMs - b.atMs).slice(0, 60)) {
        serverView.changeInFlight(record, change, atMs)
        inFlight = Math.max(0, inFlight + change)
        if (atMs <= reportedAtMs) atReport = inFlight
      }
      serverView.applyReport(view, record.identity, record.load, reportedAtMs)
      vitest.expect(serverView.inFlightAtReport(record)).toBe(atReport)
    }))
})

// Guards against loads in answers that hide the report of a graceful shutdown because they are newer.
vitest.test('the load of an answer does not hide the status in a report', () => {
  const view = viewOf([{ running: 5, reportedAtMs: 1_000 }])
  const record = view.servers.get('s0')!
  serverView.applyAnswerLoad(view, 's0', { running: 9, waiting: 0 }, 3_000)
  serverView.applyReport(view, record.identity, { ...record.load, running: 4, status: 'draining' }, 2_000, 3_100)
  vitest.expect(record.load).toMatchObject({ status: 'draining', running: 9 })
  vitest.expect(serverView.applyReport(view, record.identity, record.load, 1_500)).toBe(false)
})

// Guards against a prefix hit that sends requests to a server regardless of its load.
vitest.test('the gain of a prefix hit is bounded', () => {
  const cachedShare = (incarnation: string): number => incarnation === 's0' ? 1 : 0
  const near = viewOf([{ running: 4, reportedAtMs: 100_000 }, ...Array(7).fill({ running: 3, reportedAtMs: 100_000 })])
  vitest.expect(shareOfFirst(near, { cachedShare })).toBe(1)
  const far = viewOf([{ running: 9, reportedAtMs: 100_000 }, ...Array(7).fill({ running: 3, reportedAtMs: 100_000 })])
  vitest.expect(shareOfFirst(far, { cachedShare })).toBe(0)
})

// Guards against entries that each fill another server's cache with a prefix, and against affinity that outweighs load.
vitest.test('the affinity of a prefix counts like a cache hint', () => {
  const affinity = { share: 1, weight: (host: string) => host === 'h0' ? 2 : 1 }
  const near = viewOf([{ running: 4, reportedAtMs: 100_000 }, ...Array(7).fill({ running: 3, reportedAtMs: 100_000 })])
  vitest.expect(shareOfFirst(near, { affinity })).toBe(1)
  const far = viewOf([{ running: 9, reportedAtMs: 100_000 }, ...Array(7).fill({ running: 3, reportedAtMs: 100_000 })])
  vitest.expect(shareOfFirst(far, { affinity })).toBe(0)
  vitest.expect(shareOfFirst(near, { affinity: { ...affinity, share: 0.25 } })).toBeLessThan(0.2)
})

// Guards against gaps and bursts of requests at a server, which reports would show too late.
vitest.test('servers with equal load are chosen in turn', () => {
  const view = viewOf(Array(8).fill({ running: 3, reportedAtMs: 100_000 }))
  const policy = new route.LeastExpectedWork()
  let seed = 1
  const random = (): number => (seed = (seed * 16807) % 2147483647) / 2147483647
  const rounds = Array.from({ length: 5 }, () => new Set(Array.from({ length: 8 }, () => {
    const choice = route.chooseServer(view, { target, excluded: new Set(), nowMs: 100_000 }, policy, random)
    return choice.kind === 'chosen' ? choice.record.identity.incarnation : ''
  })))
  vitest.expect(rounds.map(round => round.size)).toEqual([8, 8, 8, 8, 8])
})

// Guards against loaded servers that stay first in the order until a choice has no other candidates.
vitest.test('loaded servers go to the end of the order', () => {
  const loaded = { running: 9, reportedAtMs: 100_000 }
  const view = viewOf([loaded, loaded, loaded, ...Array(5).fill({ running: 3, reportedAtMs: 100_000 })])
  vitest.expect(shareOfFirst(view, {})).toBeLessThan(0.03)
})

// Guards against counting requests that have long ended, when requests are short compared with the delay of a report.
vitest.test('a reported load decays faster when requests are short', () => {
  const view = viewOf([{ running: 9, reportedAtMs: 99_000 }, { running: 3, reportedAtMs: 99_000 }])
  const memoryMs = (): number =>
    route.computeFleetStatistics([...view.servers.values()], route.DEFAULT_ROUTE_OPTIONS, () => 0).memoryMs
  vitest.expect(memoryMs()).toBe(2_000)
  for (const record of view.servers.values()) {
    for (let count = 0; count < 8; count++) {
      serverView.changeInFlight(record, 1, 99_000 + count * 100)
      serverView.changeInFlight(record, -1, 99_080 + count * 100)
    }
    // Refused at once, so its duration must not count.
    serverView.changeInFlight(record, 1, 99_900)
    serverView.changeInFlight(record, -1, 99_900, false)
  }
  vitest.expect(memoryMs()).toBe(40)
})

// Guards against a slow server that gets a full share, and against noise that reduces a share.
vitest.test('only a clearly slow server gets fewer requests', () => {
  const others = Array(7).fill({ running: 3, reportedAtMs: 100_000, firstByteMs: 100 }) as []
  const slow = viewOf([{ running: 3, reportedAtMs: 100_000, firstByteMs: 400 }, ...others])
  vitest.expect(shareOfFirst(slow, {})).toBeLessThan(0.02)
  const noisy = viewOf([{ running: 3, reportedAtMs: 100_000, firstByteMs: 150 }, ...others])
  vitest.expect(shareOfFirst(noisy, {})).toBeGreaterThan(0.08)
})

// Guards against entries that run the same suspect on different servers.
vitest.test('every entry sends a suspect to the same server', () => {
  const view = viewOf(Array(8).fill({ running: 3, reportedAtMs: 100_000 }))
  vitest.expect(shareOfFirst(view, { trialWeight: incarnation => incarnation === 's0' ? 9 : 1 })).toBe(1)
})

// Guards against a late eviction event that removes a newer hint, and against hints that never expire.
vitest.test('cache hints expire and are bounded', () => {
  const hints = prefixHints.createPrefixHints()
  prefixHints.notePrefix(hints, 'p', 's0', 1_000)
  prefixHints.removePrefix(hints, 'p', 's0', 500)
  const prefixes = [{ digest: 'p', share: 0.9 }, { digest: 'longer', share: 1 }]
  vitest.expect(prefixHints.cachedShare(hints, prefixes, 's0', 2_000)).toBe(0.9)
  vitest.expect(prefixHints.cachedShare(hints, prefixes, 's0', 400_000)).toBe(0)
  for (let index = 0; index < 10_000; index++) prefixHints.notePrefix(hints, `p${index}`, 's0', 2_000)
  vitest.expect(hints.holders.size).toBeLessThanOrEqual(4_096)
})

// Guards against a returning server that gets no requests while the others are idle, and against one that gets all.
vitest.test('a returning server gets its share among idle servers', () => {
  const view = viewOf([{ running: 0, reportedAtMs: 99_000 }, { running: 0, reportedAtMs: 99_000 }])
  view.servers.get('s1')!.returnedAtMs = 0
  view.servers.get('s0')!.returnedAtMs = 95_000
  const share = shareOfFirst(view, {})
  // A quarter of the slow start has passed, so the server competes with its full score for a quarter of the requests.
  vitest.expect(share).toBeGreaterThan(0.05)
  vitest.expect(share).toBeLessThan(0.35)
})

// Guards against a returning server that stays first in the order while it is held back, and so gets its share of every
// request instead of every turn.
vitest.test('a returning server that was held back goes to the end of the order', () => {
  const view = viewOf(Array(8).fill({ running: 3, reportedAtMs: 100_000 }))
  for (const record of view.servers.values()) record.returnedAtMs = 0
  view.servers.get('s0')!.returnedAtMs = 98_000
  vitest.expect(shareOfFirst(view, {})).toBeLessThan(0.04)
})
