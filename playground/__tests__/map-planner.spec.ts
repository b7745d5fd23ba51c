import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as lockstep from '../lockstep.js'

let group: lockstep.LockstepGroup | undefined

vitest.afterEach(async () => { await group?.stop() })

// Guards against plans that do not reach the engines, and against a step in which the ranks use different maps.
vitest.test('load skew falls after a change in expert popularity', async () => {
  group = new lockstep.LockstepGroup()
  await group.start()
  const { experts, layers, ranks } = group.options
  const hotExpert = experts - 1
  const layerPopularity = Array.from({ length: experts }, (_, expert) =>
    expert === hotExpert ? 0.5 : 0.5 / (experts - 1))
  const firstStep = (await group.read()).skews.length
  await group.control({ popularity: Array.from({ length: layers }, () => layerPopularity) })
  // The last step can still be one from before the change, when the skew was low too.
  const hasSkewRisen = async (): Promise<boolean> => Math.max(...(await group!.read()).skews.slice(firstStep)) > 2
  await cluster.waitFor('a step with the changed popularity', 5_000, hasSkewRisen)
  await cluster.waitFor('the skew to fall', 20_000, async () => (await group!.read()).skews.at(-1)! < 1.3)
  const groupRecord = await group.read()
  vitest.expect(lockstep.countSwitches(groupRecord)).toBeGreaterThan(0)
  vitest.expect(lockstep.findInconsistentSteps(groupRecord, ranks)).toEqual([])
})
