/**
 * Tests of expert map switches by real agents under faults, for engines that enforce fencing numbers and for engines
 * that ignore them.
 */

import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as lockstep from '../lockstep.js'
import * as peerClient from '../../src/transport/peer-client.js'
import type * as engineMaps from '../../standins/engine-maps.js'

const groups: lockstep.LockstepGroup[] = []

export async function stopGroups (): Promise<void> {
  await Promise.all(groups.splice(0).map(group => group.stop()))
}

export async function startGroup (options: Partial<lockstep.LockstepOptions>): Promise<lockstep.LockstepGroup> {
  const group = new lockstep.LockstepGroup(options)
  groups.push(group)
  await group.start()
  group.shiftLoadPeriodically()
  await group.waitForSwitches(1)
  return group
}

/** Waits for another switch and checks that no step ran with two maps. @returns the whole record of the group. */
export async function checkRecord (group: lockstep.LockstepGroup): Promise<lockstep.GroupRecord> {
  await group.waitForSwitches(1)
  const groupRecord = await group.read()
  vitest.expect(lockstep.findInconsistentSteps(groupRecord, group.options.ranks)).toEqual([])
  return groupRecord
}

/** Defines the tests for one kind of engine. */
export function defineSwitchTests (fencing: engineMaps.Fencing): void {
  vitest.afterEach(stopGroups)

  // Guards against a group that does not switch, and prints the stall that each switch causes.
  vitest.test(`group keeps switching maps, fencing ${fencing}`, async () => {
    const group = await startGroup({ fencing })
    await group.waitForSwitches(5)
    const groupRecord = await checkRecord(group)
    const stalls = lockstep.switchDelaysInSteps(groupRecord, group.options.ranks, group.options.holdSteps * 2)
    console.log(`stall of ${stalls.length} switches in steps, fencing ${fencing}: ${stalls.map(stall => stall.toFixed(1)).join(' ')}`)
    vitest.expect(stalls.length).toBeGreaterThanOrEqual(6)
  })

  // Guards against a switch that only a part of the group performs because its leader died.
  for (const [type, rank] of [['prepare', 1], ['hold', 1], ['arm', 0], ['arm', 1]] as const) {
    vitest.test(`no step runs with two maps when the leader is killed at ${type} of rank ${rank}, fencing ${fencing}`, async () => {
      const group = await startGroup({ fencing })
      await group.control({ rank, delaysMs: { [type]: 600 } })
      await group.waitForCommand(rank, type)
      group.agents[0]!.kill('SIGKILL')
      await group.control({ rank, delaysMs: {} })
      await timers.setTimeout(400)
      await group.startAgent(0)
      await checkRecord(group)
    })
  }

  // Guards against an agent that loses its state of a switch when its process ends.
  for (const type of ['hold', 'arm']) {
    vitest.test(`no step runs with two maps when an agent is killed at ${type}, fencing ${fencing}`, async () => {
      const group = await startGroup({ fencing })
      await group.control({ rank: 2, delaysMs: { [type]: 300 } })
      await group.waitForCommand(2, type)
      group.agents[2]!.kill('SIGKILL')
      await group.control({ rank: 2, delaysMs: {} })
      await timers.setTimeout(300)
      await group.startAgent(2)
      await checkRecord(group)
    })
  }

  // Guards against a command of a paused agent that takes effect after its replacement has agreed to the abort.
  vitest.test(`late command of a paused agent is refused, fencing ${fencing}`, async () => {
    const group = await startGroup({ fencing })
    await group.control({ rank: 0, delaysMs: { hold: 500 } })
    const version = await group.waitForCommand(0, 'hold')
    // All other ranks have answered by now; the leader decides as soon as its own engine answers too.
    await timers.setTimeout(200)
    const paused = group.agents[0]!
    paused.kill('SIGSTOP')
    // The release arrives after the late command, so that only the `seal` command can cause its refusal.
    await group.control({ rank: 0, delaysMs: { release: 3_000 } })
    await group.startAgent(0)
    await cluster.waitFor('all ranks agree to the abort', 15_000, async () => {
      const released = (await group.read()).commands.filter(command => command.type === 'release' && command.version === version)
      return new Set(released.map(command => command.rank)).size === group.options.ranks
    })
    paused.kill('SIGCONT')
    await cluster.waitFor('the late command arrives', 10_000, async () =>
      findLateArm(await group.read()) !== undefined)
    await group.control({ rank: 0, delaysMs: {} })
    const groupRecord = await checkRecord(group)
    vitest.expect(findLateArm(groupRecord)!.result).toBe(fencing === 'enforced' ? 'fenced' : 'not_prepared')

    function findLateArm (recorded: lockstep.GroupRecord): { result: string } | undefined {
      return recorded.commands.find(command =>
        command.type === 'arm' && command.rank === 0 && command.version === version)
    }
  })

  // Guards against an agreement that depends on when, or how many times, a message arrives.
  vitest.test(`agreement holds with delayed and duplicate messages, fencing ${fencing}`, async () => {
    const group = await startGroup({ fencing })
    // A round trip exceeds the decision timeout: callers time out and resend, and both copies arrive.
    for (let round = 0; round < 4; round++) {
      for (const proxy of group.proxies) proxy.setFaults({ delayMs: 120 })
      await timers.setTimeout(700)
      for (const proxy of group.proxies) proxy.setFaults({})
      group.proxies[round]!.setFaults({ frozen: ['toClient'] })
      await timers.setTimeout(500)
      group.proxies[round]!.setFaults({})
      group.proxies[(round + 1) % 4]!.resetAll()
      await timers.setTimeout(500)
    }
    const groupRecord = await checkRecord(group)
    await replayEarlierSwitch(group, groupRecord)
  })
}

/** Resends messages of an earlier switch directly to the agents and expects refusals. */
async function replayEarlierSwitch (group: lockstep.LockstepGroup, groupRecord: lockstep.GroupRecord): Promise<void> {
  const version = BigInt(groupRecord.record.find(row => row[2] !== 0)![2])
  const state = groupRecord.states[0]!
  for (const agent of group.agents) {
    const client = peerClient.expertMapClient(agent.ready['peerListening'] as string)
    const earlierSwitch = { groupIncarnation: state.groupIncarnation, ballot: version, version }
    const commit = await client.commit({ ...earlierSwitch, decision: 'commit', step: BigInt(state.step + 100_000) })
    const prepare = await client.prepare({
      ...earlierSwitch,
      map: { version, slotsPerRank: 1, layers: [] },
      agentIncarnation: agent.ready['incarnation'] as string,
      hold: true
    })
    vitest.expect([commit.result, prepare.result]).toEqual(['refused', 'refused'])
  }
}
