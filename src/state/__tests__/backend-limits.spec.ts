import * as vitest from 'vitest'
import * as backendLimits from '../backend-limits.js'

const { expect, test } = vitest

const instance = { id: 'b1', startedAtUnixMs: 1 }
const limitOf = (perSecond: number): backendLimits.StatedLimit => ({ kind: 'limit', perSecond })
const NONE: backendLimits.StatedLimit = { kind: 'none' }

// Guards against a limit that is undone by a response which was sent before the one that stated it.
test('a response to an earlier request does not raise or end a limit', () => {
  const limits = backendLimits.createLimits()
  expect(backendLimits.noteStated(limits, instance, limitOf(2), 90, 100)?.perSecond).toBe(2)
  expect(backendLimits.noteStated(limits, instance, NONE, 95, 110)).toBeUndefined()
  expect(backendLimits.noteStated(limits, instance, limitOf(5), 95, 110)).toBeUndefined()
  expect(backendLimits.noteStated(limits, instance, limitOf(1), 95, 110)?.perSecond).toBe(1)
  expect(backendLimits.noteStated(limits, instance, NONE, 120, 130)).toMatchObject({ perSecond: undefined })
})

test('a value that is no limit changes and ends nothing', () => {
  const limits = backendLimits.createLimits()
  backendLimits.noteStated(limits, instance, limitOf(2), 90, 100)
  expect(backendLimits.noteStated(limits, instance, { kind: 'unreadable' }, 120, 130)).toBeUndefined()
  expect([...limits.records.values()]).toEqual([{ instance, perSecond: 2, notedAtMs: 100 }])
})

test('a limit holds for its instance only', () => {
  const limits = backendLimits.createLimits()
  backendLimits.noteStated(limits, instance, limitOf(2), 90, 100)
  expect(backendLimits.noteStated(limits, { id: 'b1', startedAtUnixMs: 2 }, NONE, 120, 130)).toBeUndefined()
  expect(limits.records.size).toBe(1)
})

// Guards against entries that end or raise each other's limits with what they knew earlier.
test('what another entry knows counts by the time of its response', () => {
  const limits = backendLimits.createLimits()
  const told = (perSecond: number | undefined, notedAtMs: number): number | undefined =>
    backendLimits.noteTold(limits, { instance, perSecond, notedAtMs })?.perSecond
  expect(told(undefined, 50)).toBeUndefined()
  expect(limits.records.size).toBe(0)
  expect(told(2, 100)).toBe(2)
  told(undefined, 90)
  expect(backendLimits.limitOf(limits, instance)).toBe(2)
  told(undefined, 110)
  expect(backendLimits.limitOf(limits, instance)).toBeUndefined()
  told(2, 105)
  expect(backendLimits.limitOf(limits, instance)).toBeUndefined()
})

test('a permit serves one request, before it ends', () => {
  const limits = backendLimits.createLimits()
  backendLimits.addPermit(limits, instance, 200)
  backendLimits.addPermit(limits, instance, 150)
  expect(backendLimits.hasPermit(limits, instance, 100)).toBe(true)
  backendLimits.takePermit(limits, instance, 100)
  expect(backendLimits.hasPermit(limits, instance, 160)).toBe(true)
  expect(backendLimits.expire(limits, () => true, 250)).toBe(1)
  expect(backendLimits.hasPermit(limits, instance, 250)).toBe(false)
})

// Guards against permits that are counted as used because they ended shortly before another one was used.
test('permits that end unused are counted once', () => {
  const limits = backendLimits.createLimits()
  backendLimits.noteStated(limits, instance, { kind: 'limit', perSecond: 2 }, 0, 0)
  for (const endMs of [100, 120, 300]) backendLimits.addPermit(limits, instance, endMs)
  backendLimits.takePermit(limits, instance, 150)
  expect(backendLimits.expire(limits, () => true, 400)).toBe(2)
  expect(backendLimits.takeUnused(limits, instance)).toBe(2)
  expect(backendLimits.takeUnused(limits, instance)).toBe(0)
})

// Guards against memory that is never given back for instances that are gone.
test('unused permits of instances that are forgotten are forgotten, too', () => {
  const limits = backendLimits.createLimits()
  backendLimits.noteStated(limits, instance, { kind: 'limit', perSecond: 2 }, 0, 0)
  backendLimits.addPermit(limits, instance, 100)
  backendLimits.expire(limits, () => false, 200)
  backendLimits.expire(limits, () => false, 700_000)
  backendLimits.addPermit(limits, instance, 700_100)
  backendLimits.expire(limits, () => false, 700_200)
  expect(limits.unused.size).toBe(0)
})
