import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as stops from '../stops.js'

const stopArbitrary: fc.Arbitrary<stops.PlannedStop> = fc.record({
  stopId: fc.constantFrom('s1', 's2', 's3'),
  scope: fc.constant('host' as const),
  name: fc.constant('draft-0'),
  operator: fc.constant('anna'),
  reason: fc.constant(''),
  changedAtMs: fc.constant(0),
  recorded: fc.boolean(),
  lifted: fc.boolean()
})

function setOf (list: stops.PlannedStop[]): stops.StopSet {
  const set = stops.createStopSet()
  for (const stop of list) stops.mergeStop(set, stop)
  return set
}

function sorted (set: stops.StopSet): stops.PlannedStop[] {
  return [...set.values()].sort((a, b) => (a.stopId < b.stopId ? -1 : 1))
}

// Guards against processes that disagree because messages arrived in different order or more than once.
vitest.test('stops merge to the same set in any order', () => {
  fc.assert(fc.property(fc.array(stopArbitrary), fc.array(stopArbitrary), (a, b) => {
    vitest.expect(sorted(setOf([...a, ...b]))).toEqual(sorted(setOf([...b, ...a, ...b])))
  }))
})

// Guards against a late copy of a stop that puts it in force again after it was lifted.
vitest.test('a lifted stop stays lifted', () => {
  fc.assert(fc.property(fc.array(stopArbitrary), stopArbitrary, (list, stop) => {
    const set = setOf([{ ...stop, lifted: true }, ...list])
    vitest.expect(set.get(stop.stopId)?.lifted).toBe(true)
  }))
})

// Guards against an old recorded stop that outlives the one that replaced it in the log.
vitest.test('a recorded stop ends the previous one', () => {
  const first: stops.PlannedStop = {
    stopId: 's1', scope: 'host', name: 'draft-0', operator: 'anna', reason: '', changedAtMs: 0, recorded: true, lifted: false
  }
  const set = setOf([first])
  stops.mergeRecordedStop(set, { ...first, stopId: 's2', lifted: true })
  vitest.expect(stops.stopFor(set, { host: 'draft-0', failureDomain: 'kista' })).toBeUndefined()
})

// Guards against a stop that matches no host because its name was typed in another Unicode form.
vitest.test('names match in any Unicode form', () => {
  vitest.expect(stops.coversLocation({ scope: 'failure-domain', name: 'So\u0308dra' }, { host: 'a', failureDomain: 'S\u00f6dra' })).toBe(true)
})

// Guards against a group that gets requests although one of its ranks stops, and against one that never resumes.
vitest.test('the stop of one rank applies to its whole group', () => {
  const member = (host: string, group: string): stops.Location & { group: string } => ({ host, group, failureDomain: 'kista' })
  const stop: stops.PlannedStop = {
    stopId: 's1', scope: 'host', name: 'a', operator: '', reason: '', changedAtMs: 0, recorded: true, lifted: false
  }
  const members = [member('a', 'g'), member('b', 'g'), member('c', 'h'), member('d', '')]
  const set = setOf(stops.groupStops(setOf([stop]), members))
  vitest.expect([...set.values()].map(one => one.name)).toEqual(['b'])
  for (const one of stops.groupStops(setOf([{ ...stop, lifted: true }]), members)) stops.mergeStop(set, one)
  vitest.expect(stops.activeStops(set)).toEqual([])
})

// Guards against two stops that are harmless separately but together leave too little capacity.
vitest.test('the overload check counts all stops together', () => {
  const item = (host: string): stops.ServerCapacity =>
    ({ host, group: '', failureDomain: 'kista', targets: ['model/m'], isServing: true, load: 1, limit: 2 })
  const stop = (name: string): stops.PlannedStop => ({
    stopId: name, scope: 'host', name, operator: '', reason: '', changedAtMs: 0, recorded: false, lifted: false
  })
  const items = [item('a'), item('b'), item('c')]
  vitest.expect(stops.overloadedTargets(items, [stop('a')])).toEqual([])
  vitest.expect(stops.overloadedTargets(items, [stop('a'), stop('b')])).toHaveLength(1)
})
