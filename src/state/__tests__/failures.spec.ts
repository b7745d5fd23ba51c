import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as ejection from '../ejection.js'
import * as isolation from '../isolation.js'
import * as quarantine from '../quarantine.js'
import * as retryBudget from '../retry-budget.js'
import * as serverView from '../server-view.js'

function viewOf (count: number): serverView.ServerView {
  const view = serverView.createServerView()
  for (let index = 0; index < count; index++) {
    serverView.applyReport(view, {
      incarnation: `s${index}`,
      host: `h${index}`,
      address: `a${index}`,
      failureDomain: 'd',
      region: 'r',
      serves: [{ kind: 'model', name: 'm' }],
      group: '',
      rank: 0
    }, { running: 0, waiting: 0, concurrencyLimit: 8, firstByteMs: 0, engineReportAgeMs: 0, status: 'serving' }, 0)
  }
  return view
}

// Guards against retries that multiply the load of an outage, and against a saved-up budget that is spent after it.
vitest.test('retries are limited to a tenth of the requests', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 500, maxLength: 2_000 }), failures => {
    const budget = retryBudget.createRetryBudget(0)
    let retries = 0
    failures.forEach((wanted, index) => {
      retryBudget.noteRequest(budget, index * 85)
      for (let count = 0; count < wanted; count++) if (retryBudget.takeRetry(budget)) retries += 1
    })
    // The budget starts with three retries.
    vitest.expect(retries).toBeLessThanOrEqual(3 + 0.1 * failures.length)
    vitest.expect(budget.tokens).toBeLessThanOrEqual(10)
  }))
})

// Guards against ejecting so many servers that the others are overloaded.
vitest.test('ejected share does not exceed its maximum', () => {
  const results = fc.constantFrom<ejection.AttemptResult>('answered', 'refused', 'failed', 'unreachable')
  fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), fc.array(fc.tuple(fc.nat(8), results)), (count, steps) => {
    const view = viewOf(count)
    steps.forEach(([index, result], step) => {
      const record = view.servers.get(`s${index % count}`)!
      ejection.noteResult(view, record, result, step)
      const ejected = [...view.servers.values()].filter(other => other.ejectedUntilMs > step).length
      vitest.expect(ejected).toBeLessThanOrEqual(count * 0.5)
    })
  }))
})

// Guards against a server that is never tried again, and one that fails three requests each time it is tried.
vitest.test('ejected server returns after a growing time and is ejected again at its first failure', () => {
  const view = viewOf(4)
  const record = view.servers.get('s0')!
  for (let count = 0; count < 3; count++) ejection.noteResult(view, record, 'failed', 100)
  vitest.expect(record.ejectedUntilMs).toBe(2_100)
  vitest.expect(record.returnedAtMs).toBe(2_100)
  ejection.noteResult(view, record, 'failed', 2_200)
  vitest.expect(record.ejectedUntilMs).toBe(6_200)
  ejection.noteResult(view, record, 'answered', 6_300)
  ejection.noteResult(view, record, 'failed', 6_400)
  vitest.expect(record.ejectedUntilMs).toBe(6_200)
})

// Guards against quarantining requests that only ran at the same time as the one that crashes servers.
vitest.test('request is quarantined only when it crashed a server alone', () => {
  fc.assert(fc.property(fc.array(fc.tuple(
    fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { minLength: 2 }), fc.constantFrom('s0', 's1', 's2')
  )), crashes => {
    const state = quarantine.createQuarantine()
    for (const [running, server] of crashes) quarantine.applyCrash(state, running, server, 0)
    for (const fingerprint of ['a', 'b', 'c', 'd']) {
      vitest.expect(quarantine.decideRunMode(state, fingerprint, 1)).not.toBe('quarantined')
    }
    const suspect = crashes[0]?.[0][0]
    if (suspect === undefined) return
    vitest.expect(quarantine.decideRunMode(state, suspect, 1)).toBe('alone')
    quarantine.applyCrash(state, [suspect], 's9', 1)
    vitest.expect(quarantine.decideRunMode(state, suspect, 2)).toBe('quarantined')
    vitest.expect(quarantine.decideRunMode(state, suspect, 700_000)).toBe('normal')
  }))
})

// Guards against two crashes of one server that are counted as crashes of two servers.
vitest.test('crashes of a single server do not quarantine a request', () => {
  const state = quarantine.createQuarantine()
  quarantine.applyCrash(state, ['a', 'b'], 's0', 0)
  quarantine.applyCrash(state, ['a'], 's0', 1)
  vitest.expect(quarantine.decideRunMode(state, 'a', 2)).toBe('alone')
})

// Guards against entries that restore a cleared suspect from each other's records, and against records without expiry.
vitest.test('cleared suspects stay cleared and records expire', () => {
  const [first, second] = [quarantine.createQuarantine(), quarantine.createQuarantine()]
  quarantine.applyCrash(first, ['a', 'b'], 's0', 0)
  const [old] = records(first, 10)
  quarantine.applyRecord(second, old!, 10)
  vitest.expect(quarantine.decideRunMode(second, 'a', 11)).toBe('alone')
  quarantine.noteCompleted(first, 'a', true)
  for (const record of records(first, 20)) quarantine.applyRecord(second, record, 20)
  vitest.expect(quarantine.decideRunMode(second, 'a', 21)).toBe('normal')
  quarantine.applyRecord(first, old!, 22)
  vitest.expect(quarantine.decideRunMode(first, 'a', 23)).toBe('normal')
  for (let nowMs = 1_000; nowMs < 59_000; nowMs += 1_000) {
    for (const record of records(second, nowMs)) quarantine.applyRecord(first, record, nowMs)
    for (const record of records(first, nowMs)) quarantine.applyRecord(second, record, nowMs)
  }
  vitest.expect(quarantine.decideRunMode(first, 'b', 60_100)).toBe('normal')
})

function records (state: quarantine.Quarantine, nowMs: number): Parameters<typeof quarantine.applyRecord>[1][] {
  return quarantine.activeRecords(state, nowMs).map(suspect => ({
    ...suspect,
    crashedIncarnations: [...suspect.crashedIncarnations],
    timeToLiveMs: suspect.expiresAtMs - nowMs
  }))
}

// Guards against an unbounded number of quarantine records.
vitest.test('the number of suspects is bounded and quarantined ones are kept', () => {
  const state = quarantine.createQuarantine()
  quarantine.applyCrash(state, ['poison'], 's0', 0)
  quarantine.applyCrash(state, ['poison'], 's1', 0)
  for (let index = 0; index < 6_000; index++) quarantine.applyCrash(state, [`f${index}`, 'other'], 's2', 0)
  vitest.expect(state.suspects.size).toBeLessThanOrEqual(4_096)
  vitest.expect(quarantine.decideRunMode(state, 'poison', 1)).toBe('quarantined')
  const announced = quarantine.activeRecords(state, 1)
  vitest.expect(announced.length).toBe(64)
  vitest.expect(announced[0]!.fingerprint).toBe('poison')
})

// Guards against suspects that run at the same time, and copies that run after the first one has crashed the server.
vitest.test('suspects run one after the other', () => {
  const state = isolation.createIsolation()
  isolation.enqueue(state, '1', 'a')
  isolation.enqueue(state, '2', 'b')
  isolation.enqueue(state, '3', 'a')
  vitest.expect(isolation.startNext(state, 1)).toBe(undefined)
  vitest.expect(isolation.startNext(state, 0)).toBe('1')
  vitest.expect(isolation.startNext(state, 0)).toBe('1')
  vitest.expect(isolation.finish(state, 'a')).toEqual(['3'])
  vitest.expect(isolation.startNext(state, 0)).toBe('2')
  vitest.expect(isolation.isClosed(state)).toBe(true)
  isolation.finish(state, 'b')
  vitest.expect(isolation.isClosed(state)).toBe(false)
})
