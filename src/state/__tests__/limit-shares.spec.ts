import * as vitest from 'vitest'
import * as limitShares from '../limit-shares.js'

const { expect, test } = vitest

const instance = { id: 'b1', startedAtUnixMs: 1 }

/** Grants in ticks of 50 ms, by entry. */
function grantsIn (
  shares: limitShares.LimitShares, perSecond: number, fromMs: number, toMs: number, rateShare = 1
): Map<string, number> {
  const granted = new Map<string, number>()
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 50) {
    const due = limitShares.grantPermits(shares, [{ instance, perSecond }], rateShare, nowMs, Math.random)
    for (const { entry } of due) granted.set(entry, (granted.get(entry) ?? 0) + 1)
  }
  return granted
}

test('permits go to the entry at which calls wait', () => {
  const shares = limitShares.createShares()
  for (let nowMs = 0; nowMs < 8_000; nowMs += 400) {
    limitShares.noteDemand(shares, 'busy', { waiting: 9, perSecond: 1 }, nowMs)
    limitShares.noteDemand(shares, 'quiet', { waiting: 0, perSecond: 50 }, nowMs)
    expect(grantsIn(shares, 2, nowMs, nowMs + 400).get('quiet')).toBeUndefined()
  }
})

// Guards against a first window that ignores what was sent before the limit was known, and against a service that gets
// nothing for most of a window because all its servers have just stated limits.
test('requests sent before the limit was known fill half of its window at most', () => {
  const shares = limitShares.createShares()
  limitShares.noteSent(shares, instance, Array.from({ length: 30 }, (_, index) => 900 + index), 1_000)
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 1_000)
  const first = grantsIn(shares, 2, 1_000, 4_000).get('e1')
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 4_000)
  const second = grantsIn(shares, 2, 4_000, 4_900).get('e1') ?? 0
  expect(first! + second).toBe(4)
})

// Guards against a window that begins anew when a limit changes.
test('permits granted under a higher limit count in the window of a lower one', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 0)
  expect(grantsIn(shares, 8, 0, 2_500).get('e1')).toBeGreaterThan(16)
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 2_500)
  expect(grantsIn(shares, 1, 2_500, 4_000).size).toBe(0)
})

test('a coordinator in doubt grants its part only', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 0)
  expect(grantsIn(shares, 8, 0, 2_900, 0.25).get('e1')).toBeLessThanOrEqual(6)
})

test('an entry that is gone gets no permits', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'gone', { waiting: 0, perSecond: 9 }, 0)
  expect(grantsIn(shares, 8, 3_050, 5_000).size).toBe(0)
})

// Guards against a coordinator that grants each permit of a very high limit, and answers nobody meanwhile.
test('a limit far above the demand grants no more permits than entries can use', () => {
  const shares = limitShares.createShares()
  let granted = 0
  const startedAtMs = performance.now()
  for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
    for (const entry of ['e1', 'e2', 'e3']) limitShares.noteDemand(shares, entry, { waiting: 0, perSecond: 20 }, nowMs)
    for (const count of grantsIn(shares, 100_000, nowMs, nowMs + 500).values()) granted += count
  }
  expect(granted).toBeGreaterThan(3 * 20 * 10)
  expect(granted).toBeLessThan(10 * 3 * 20 * 10)
  expect(performance.now() - startedAtMs).toBeLessThan(1_000)
})

test('calls that wait get permits although their entry has had many', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 5 }, 0)
  grantsIn(shares, 1_000, 0, 200)
  expect(grantsIn(shares, 1_000, 200, 250).size).toBe(0)
  limitShares.noteDemand(shares, 'e1', { waiting: 30, perSecond: 5 }, 250)
  expect(grantsIn(shares, 1_000, 250, 300).get('e1')).toBe(30)
})

// Guards against a limit that stays unused because its permits end at entries that get no call.
test('permits that end unused are granted again', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'idle', { waiting: 0, perSecond: 1 }, 0)
  expect(grantsIn(shares, 2, 0, 1_900).get('idle')).toBe(3)
  limitShares.noteUnused(shares, 'idle', instance, 2, 1_900)
  limitShares.noteDemand(shares, 'idle', { waiting: 0, perSecond: 0 }, 1_900)
  limitShares.noteDemand(shares, 'busy', { waiting: 9, perSecond: 1 }, 1_900)
  // The two that are back; the next one of the limit is due at 2 s.
  expect(grantsIn(shares, 2, 1_900, 1_950).get('busy')).toBe(2)
})

test('an entry returns no more permits than it was granted, and none that may still be used', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 0)
  expect(grantsIn(shares, 2, 0, 1_700).get('e1')).toBe(3)
  limitShares.noteUnused(shares, 'other', instance, 1_000, 1_700)
  limitShares.noteUnused(shares, 'e1', instance, 1_000, 1_700)
  limitShares.noteDemand(shares, 'e1', { waiting: 99, perSecond: 9 }, 1_700)
  expect(grantsIn(shares, 2, 1_700, 1_750).get('e1')).toBe(2)
})

test('returned permits that nobody needs for a whole window are not granted at once later', () => {
  const shares = limitShares.createShares()
  limitShares.noteDemand(shares, 'e1', { waiting: 0, perSecond: 9 }, 0)
  grantsIn(shares, 2, 0, 3_000)
  limitShares.noteUnused(shares, 'e1', instance, 1_000, 3_500)
  expect(grantsIn(shares, 2, 3_500, 8_000).size).toBe(0)
  limitShares.noteDemand(shares, 'e1', { waiting: 99, perSecond: 9 }, 8_000)
  expect(grantsIn(shares, 2, 8_000, 8_050).get('e1')).toBe(1)
})
