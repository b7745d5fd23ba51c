import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as scenarios from './map-switch-scenarios.js'

vitest.afterEach(scenarios.stopGroups)

// Guards against a switch that leaves out a rank which makes no steps.
vitest.test('a stalled rank delays the switch', async () => {
  const group = await scenarios.startGroup({})
  await group.waitForCommand(1, 'hold')
  await group.control({ rank: 1, isStalled: true })
  await timers.setTimeout(1_000)
  await group.control({ rank: 1, isStalled: false })
  await scenarios.checkRecord(group)
})

// Guards against a decision that takes effect after the incarnation of the group has ended.
vitest.test('switch decision does not outlive a restart of the engines', async () => {
  const group = await scenarios.startGroup({})
  await group.control({ rank: 1, delaysMs: { arm: 300 } })
  await group.waitForCommand(1, 'arm')
  await group.restartEngines()
  await scenarios.checkRecord(group)
})

// Guards against a weight store limit that makes a switch fail, and against refused reads that stop the group.
vitest.test('weight store limit delays switches without stalling steps', async () => {
  const group = await scenarios.startGroup({ weightsPerSecond: 5 })
  const groupRecord = await scenarios.checkRecord(group)
  vitest.expect((await group.weightCounts()).refused).toBeGreaterThan(0)
  const longestMs = Math.max(...groupRecord.endedAtMs.slice(1).map((endedAtMs, index) =>
    endedAtMs - groupRecord.endedAtMs[index]!))
  console.log(`longest step interval with a limited weight store: ${longestMs.toFixed(0)} ms`)
  vitest.expect(longestMs).toBeLessThan(1_000)
})

// Guards against a group whose agents find each other only through settings.
vitest.test('agents find each other through the host list', async () => {
  const group = await scenarios.startGroup({ discovery: 'hostList' })
  await scenarios.checkRecord(group)
})
