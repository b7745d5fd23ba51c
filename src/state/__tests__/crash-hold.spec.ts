import * as vitest from 'vitest'
import * as crashHold from '../crash-hold.js'

const { expect, test } = vitest

const crashAt = (atMs: number, ...parts: string[]): crashHold.ServiceCrash =>
  ({ atMs, features: new Map(parts.map(part => [part, 'part'])) })
const SHARES = new Map([['all', 0.9], ['class', 0.3], ['rare', 0.01]])
const choose = (crashes: crashHold.ServiceCrash[], held?: crashHold.HeldPart): crashHold.HeldPart | undefined =>
  crashHold.chooseHeld(held, crashes, part => SHARES.get(part)!, () => 0)

const crashes = [0, 4_000, 8_000].map(atMs => crashAt(atMs, 'all', 'class', 'rare'))

test('a common part that was at all crashes waits until the service is calm, and one request is tried', () => {
  const held = choose(crashes)!
  expect(crashHold.isHeld(held, ['class'], 13_900)).toBe(true)
  expect(crashHold.isHeld(held, ['all'], 13_900)).toBe(false)
  expect(crashHold.isHeld(held, ['class'], 14_100)).toBe(false)
  crashHold.noteSent(held, ['class'], 14_100)
  expect(crashHold.isHeld(held, ['class'], 14_200)).toBe(true)
  expect(crashHold.isConfirmed(held, crashAt(15_000, 'class'))).toBe(true)
})

// Guards against blame for what crashes in their usual series.
test('a crash before the service is calm confirms nothing, and one without the part ends the hold', () => {
  const held = choose(crashes)!
  expect(crashHold.isConfirmed(held, crashAt(12_000, 'class'))).toBe(false)
  expect(choose([...crashes, crashAt(12_000, 'all')], held)).toBeUndefined()
})

// Guards against servers that crash together, which count as several crashes.
test('crashes at one moment hold nothing', () => {
  expect(choose([0, 10, 20, 4_000].map(atMs => crashAt(atMs, 'class')))).toBeUndefined()
})
