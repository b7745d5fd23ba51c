import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as configuration from '../configuration.js'

/** A log in which each change replaces, adds or removes one of a few teams. */
const logArbitrary = fc.array(fc.record({ team: fc.constantFrom('a', 'b', 'c'), isRemoval: fc.boolean() }), { maxLength: 30 })
  .map(entries => entries.map(({ team, isRemoval }, index): configuration.Change => ({
    revision: index + 1,
    entityKind: 'team',
    entityName: team,
    replacedRevision: 0,
    document: isRemoval
      ? undefined
      : { name: team, template: 't', parameters: { priority: index % 10 }, keyDigests: [`${team}${index}`] },
    operator: 'anna',
    acceptedAtMs: 0,
    operationId: String(index)
  })))

function stateOf (copy: configuration.Configuration): unknown {
  return {
    revision: copy.revision,
    entities: [...copy.entities].sort(([a], [b]) => (a < b ? -1 : 1)),
    digests: [...copy.teamByDigest.keys()].sort()
  }
}

function copyOf (changes: configuration.Change[]): configuration.Configuration {
  const copy = configuration.createConfiguration()
  for (const change of changes) configuration.applyChange(copy, change)
  return copy
}

// Guards against copies that diverge or go back when changes and snapshots arrive late, twice or out of order.
vitest.test('a copy matches the log at its revision and never goes back, however updates are delivered', () => {
  const deliveryArbitrary = fc.array(fc.record({
    kind: fc.constantFrom('change', 'snapshot', 'delta'), at: fc.nat({ max: 30 })
  }), { maxLength: 60 })
  fc.assert(fc.property(logArbitrary, deliveryArbitrary, (log, deliveries) => {
    const copy = configuration.createConfiguration()
    for (const { kind, at } of deliveries) {
      const before = copy.revision
      const peer = copyOf(log.slice(0, at))
      if (kind === 'change' && log[at] !== undefined) configuration.applyChange(copy, log[at])
      if (kind === 'snapshot') {
        configuration.applySnapshot(copy, peer.revision, [...peer.entities.values()].map(entity => entity.change))
      }
      if (kind === 'delta') {
        const delta = configuration.changesAfter(peer, copy.revision) ?? []
        for (const change of delta) configuration.applyChange(copy, change)
      }
      vitest.expect(copy.revision).toBeGreaterThanOrEqual(before)
      vitest.expect(stateOf(copy)).toEqual(stateOf(copyOf(log.slice(0, copy.revision))))
    }
  }))
})

// Guards against changes with a gap in their revisions, which the receiver would refuse for ever.
vitest.test('the changes after a revision are complete or absent', () => {
  fc.assert(fc.property(logArbitrary, fc.nat({ max: 30 }), fc.nat({ max: 30 }), (log, start, after) => {
    const base = copyOf(log.slice(0, start))
    const copy = configuration.createConfiguration()
    configuration.applySnapshot(copy, base.revision, [...base.entities.values()].map(entity => entity.change))
    for (const change of log.slice(start)) configuration.applyChange(copy, change)
    const delta = configuration.changesAfter(copy, after)
    const expected = after >= copy.revision ? [] : log.slice(after)
    if (delta === undefined) vitest.expect(after).toBeLessThan(start)
    else vitest.expect(delta.map(change => change.revision)).toEqual(expected.map(change => change.revision))
  }))
})
