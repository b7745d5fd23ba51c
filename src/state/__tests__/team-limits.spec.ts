import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as teamLimits from '../team-limits.js'

/** Time from sending an announcement to its arrival. */
const ANNOUNCEMENT_DELAY_MS = 20
const STEP_MS = 10
const PERIOD_MS = 2_000
/** Minimum time between two announcements of an entry, when one is sent before the end of the period. */
const MIN_PERIOD_MS = 100

interface Run {
  /** Maximum in flight over all entries in any step. */
  highest: number
  /** In flight over all entries in the last step. */
  final: number
}

/**
 * Simulates the entries of one cell, with callers that retry at once, so that each entry has its demand in flight as
 * far as the limit allows.
 */
function runCell (options: {
  concurrentRequests: number
  /** Concurrent requests that callers want at each entry, for each second of the run. */
  wanted: number[][]
  /** The entries exchange no announcements before this time. */
  connectAtMs: number
}): Run {
  const { concurrentRequests, wanted, connectAtMs } = options
  const limit = { requestsPerSecond: 1e6, concurrentRequests }
  const names = wanted[0]!.map((_, index) => `e${index}`)
  const entries = names.map(name => teamLimits.createTeamLimits(name))
  const inFlight = names.map(() => 0)
  const announcedAtMs = names.map(() => -Infinity)
  const messages: { atMs: number, from: number, demand: Map<string, teamLimits.Demand> }[] = []
  const run: Run = { highest: 0, final: 0 }
  entries.forEach((entry, own) => {
    teamLimits.expectPeers(entry, new Set(names.filter((_, other) => other !== own)), 0)
  })
  for (let nowMs = 0; nowMs < wanted.length * 1_000; nowMs += STEP_MS) {
    while (messages.length > 0 && messages[0]!.atMs <= nowMs) deliver(messages.shift()!, nowMs)
    entries.forEach((entry, index) => step(entry, index, nowMs))
    run.final = inFlight.reduce((sum, count) => sum + count, 0)
    run.highest = Math.max(run.highest, run.final)
  }
  return run

  function deliver (message: { from: number, demand: Map<string, teamLimits.Demand> }, nowMs: number): void {
    entries.forEach((entry, other) => {
      if (other !== message.from) teamLimits.applyDemand(entry, names[message.from]!, message.demand, nowMs)
    })
  }

  function step (entry: teamLimits.TeamLimits, index: number, nowMs: number): void {
    const want = wanted[Math.floor(nowMs / 1_000)]![index]!
    // A tenth of the requests ends in each step, as if each took 100 ms.
    for (let ended = Math.ceil(inFlight[index]! / 10); ended > 0; ended--) {
      teamLimits.release(entry, 't')
      inFlight[index]! -= 1
    }
    let isRefused = false
    while (inFlight[index]! < want && !isRefused) {
      isRefused = teamLimits.admit(entry, 't', limit, nowMs) !== 'admitted'
      if (!isRefused) inFlight[index]! += 1
    }
    const isEarly = (isRefused && teamLimits.isUnannounced(entry, 't')) ||
      teamLimits.shouldAnnounceReservation(entry, 't', nowMs)
    const isDue = nowMs - announcedAtMs[index]! >= (isEarly ? MIN_PERIOD_MS : PERIOD_MS)
    if (nowMs < connectAtMs || !isDue) return
    announcedAtMs[index] = nowMs
    messages.push({ atMs: nowMs + ANNOUNCEMENT_DELAY_MS, from: index, demand: teamLimits.announceDemand(entry, nowMs) })
  }
}

// Guards against entries that together admit more than the limit while demand starts, ends and moves between them.
vitest.test('concurrency over all entries stays within the limit', () => {
  const second = fc.array(fc.constantFrom(0, 0, 5, 40, 400), { minLength: 4, maxLength: 4 })
  fc.assert(fc.property(
    fc.array(second, { minLength: 4, maxLength: 10 }), fc.integer({ min: 8, max: 200 }),
    fc.integer({ min: 0, max: 3_000 }),
    (wanted, concurrentRequests, connectAtMs) => {
      const run = runCell({ concurrentRequests, wanted, connectAtMs })
      vitest.expect(run.highest).toBeLessThanOrEqual(Math.ceil(1.1 * concurrentRequests))
    }), { numRuns: 60 })
})

// Guards against a part of the limit that no entry uses although callers want it.
vitest.test('constant demand can use the whole limit', () => {
  const demand = fc.array(fc.constantFrom(0, 400), { minLength: 1, maxLength: 8 })
  fc.assert(fc.property(demand, fc.integer({ min: 8, max: 200 }), (wanted, concurrentRequests) => {
    fc.pre(wanted.some(count => count > 0))
    const run = runCell({ concurrentRequests, wanted: Array.from({ length: 8 }, () => wanted), connectAtMs: 0 })
    vitest.expect(run.final).toBe(concurrentRequests)
  }), { numRuns: 60 })
})

// Guards against entries that each use the whole limit because they have received no announcements yet.
vitest.test('entries that are not connected yet share the limit', () => {
  const wanted = Array.from({ length: 3 }, () => [40, 40, 40])
  const run = runCell({ concurrentRequests: 12, wanted, connectAtMs: 3_000 })
  vitest.expect(run.highest).toBe(12)
})

// Guards against an entry that stays limited because it waits for listed peers that are gone.
vitest.test('the part of an expected entry is freed when nothing is received from it for 10 s', () => {
  const limits = teamLimits.createTeamLimits('e0')
  const limit = { requestsPerSecond: 1e6, concurrentRequests: 12 }
  const inFlightAfter = (nowMs: number): number => {
    // The first request only starts the measurement of the rate.
    teamLimits.admit(limits, 't', limit, nowMs - 1_000)
    while (teamLimits.admit(limits, 't', limit, nowMs) === 'admitted');
    return limits.teams.get('t')!.inFlight
  }
  teamLimits.expectPeers(limits, new Set(['dead']), 0)
  vitest.expect(inFlightAfter(1_000)).toBe(6)
  teamLimits.announceDemand(limits, 2_000)
  vitest.expect(inFlightAfter(9_000)).toBe(6)
  teamLimits.expirePeers(limits, 10_001)
  vitest.expect(inFlightAfter(10_001)).toBe(12)
})

/** An entry that has reserved and uses `inFlight` of 12 concurrent requests, while others have the same demand. */
function entryWithPeers (name: string, inFlight: number, others: Record<string, number>): teamLimits.TeamLimits {
  const entry = teamLimits.createTeamLimits(name)
  const limit = { requestsPerSecond: 100, concurrentRequests: 12 }
  teamLimits.admit(entry, 't', limit, 0)
  while (entry.teams.get('t')!.inFlight < inFlight) teamLimits.admit(entry, 't', limit, 1_000)
  teamLimits.announceDemand(entry, 2_000)
  entry.teams.get('t')!.announced = { requestsPerSecond: 100, reserved: inFlight }
  for (const [other, reserved] of Object.entries(others)) {
    teamLimits.applyDemand(entry, other, new Map([['t', { requestsPerSecond: 100, reserved }]]), 3_000)
  }
  while (teamLimits.admit(entry, 't', limit, 4_000) === 'admitted');
  return entry
}

// Guards against a last free request of the limit that two entries use at the same time, or that no entry uses.
vitest.test('the last free request of the limit is given to one entry', () => {
  // One entry still uses more than its third, so the others lack two requests and one is free.
  const first = entryWithPeers('a', 3, { m: 5, z: 3 })
  const last = entryWithPeers('z', 3, { m: 5, a: 3 })
  vitest.expect([first, last].map(entry => entry.teams.get('t')!.inFlight)).toEqual([4, 3])
})

// Guards against entries that permanently reserve too much after they announced at the same time.
vitest.test('what was reserved beyond the limit is given back', () => {
  const entry = entryWithPeers('a', 6, { m: 8 })
  const limit = { requestsPerSecond: 100, concurrentRequests: 12 }
  teamLimits.release(entry, 't')
  vitest.expect(teamLimits.admit(entry, 't', limit, 6_000)).toBe('concurrency')
  teamLimits.announceDemand(entry, 6_000)
  vitest.expect(entry.teams.get('t')!.announced.reserved).toBe(5)
})

// Guards against an announcement that gives up reservations which requests in flight still use.
vitest.test('requests in flight stay reserved', () => {
  const entry = entryWithPeers('a', 10, { m: 2 })
  teamLimits.announceDemand(entry, 6_000)
  vitest.expect(entry.teams.get('t')!.announced.reserved).toBe(10)
  teamLimits.release(entry, 't')
  vitest.expect(teamLimits.shouldAnnounceReservation(entry, 't', 6_000)).toBe(true)
  teamLimits.announceDemand(entry, 6_000)
  vitest.expect(entry.teams.get('t')!.announced.reserved).toBe(9)
})

// Guards against entries that together admit more than the rate limit.
vitest.test('the rate over all entries stays within the limit', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 2, maxLength: 8 }), rates => {
    const limit = { requestsPerSecond: 100, concurrentRequests: 1e6 }
    const entries = rates.map((_, index) => teamLimits.createTeamLimits(`e${index}`))
    let admitted = 0
    for (let nowMs = 0; nowMs < 12_000; nowMs += 10) {
      if (nowMs % 1_000 === 0) {
        const announced = entries.map(entry => teamLimits.announceDemand(entry, nowMs))
        entries.forEach((entry, own) => announced.forEach((demand, other) => {
          if (own !== other) teamLimits.applyDemand(entry, `e${other}`, demand, nowMs)
        }))
      }
      entries.forEach((entry, index) => {
        const due = Math.floor((nowMs + 10) * rates[index]! / 1_000) - Math.floor(nowMs * rates[index]! / 1_000)
        for (let count = 0; count < due; count++) {
          if (teamLimits.admit(entry, 't', limit, nowMs) === 'admitted' && nowMs >= 2_000) admitted += 1
        }
      })
    }
    vitest.expect(admitted).toBeLessThanOrEqual(1_100)
    const wanted = Math.min(1_000, 10 * rates.reduce((sum, rate) => sum + rate, 0))
    vitest.expect(admitted).toBeGreaterThanOrEqual(0.9 * wanted - rates.length)
  }), { numRuns: 30 })
})
