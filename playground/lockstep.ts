/**
 * A lock-step group on loopback: the group's stand-in, the weight store, and one agent for each rank behind a
 * fault-injecting proxy.
 */

import * as cluster from './cluster.js'
import * as processRunner from './process-runner.js'
import type * as engineMaps from '../standins/engine-maps.js'
import * as expertPlanner from '../src/state/expert-planner.js'
import * as faultProxy from '../standins/fault-proxy.js'

export interface LockstepOptions {
  fencing: engineMaps.Fencing
  ranks: number
  stepMs: number
  /** Number of steps that a rank still runs after a hold. */
  holdSteps: number
  weightsPerSecond: number
  planPeriodMs: number
  experts: number
  slotsPerRank: number
  layers: number
  /** Settings of the planner. The objects in the weight store stay small, whatever `expertBytes` is. */
  expertCostWeight: number
  expertBytes: number
  /** Whether agents find their peers by their settings or by the host list. */
  discovery: 'settings' | 'hostList'
}

export interface GroupRecord {
  /** One row for each step and rank: step, rank, map version. */
  record: [number, number, number][]
  /** Skew of each step: the sum over layers of the highest rank load, divided by the mean load of a rank. */
  skews: number[]
  /** Monotonic time at which each step ended, in ms. */
  endedAtMs: number[]
  /** Commands in order of arrival; `result` is empty until the command has taken effect. */
  commands: { rank: number, type: string, version: number, result: string }[]
  states: { groupIncarnation: string, step: number, version: number, hold?: object, armed?: object }[]
}

export const DEFAULT_LOCKSTEP: LockstepOptions = {
  fencing: 'enforced',
  ranks: 4,
  stepMs: 5,
  holdSteps: 10,
  weightsPerSecond: 2_000,
  planPeriodMs: 250,
  experts: 8,
  slotsPerRank: 3,
  layers: 2,
  expertCostWeight: expertPlanner.DEFAULT_PLANNER_OPTIONS.costWeight,
  expertBytes: 1_000,
  discovery: 'settings'
}

const DECISION_TIMEOUT_MS = 200

export class LockstepGroup {
  readonly options: LockstepOptions
  readonly agents: processRunner.RunningProcess[] = []
  readonly proxies: faultProxy.FaultProxy[] = []
  readonly #processes: processRunner.RunningProcess[] = []
  readonly #timers: NodeJS.Timeout[] = []
  #group!: processRunner.RunningProcess
  #weightStore!: processRunner.RunningProcess
  #platform!: processRunner.RunningProcess

  constructor (options: Partial<LockstepOptions> = {}) {
    this.options = { ...DEFAULT_LOCKSTEP, ...options }
  }

  async start (): Promise<void> {
    const { fencing, ranks, stepMs, holdSteps, experts, slotsPerRank, layers, weightsPerSecond } = this.options
    const groupArguments = [ranks, stepMs, holdSteps, experts, slotsPerRank, layers].map(String)
    this.#group = await this.#startProcess('group', 'standins/lockstep-group.js', [fencing, ...groupArguments])
    this.#weightStore = await this.#startProcess('weights', 'standins/weight-store.js', [String(weightsPerSecond), '1000'])
    this.#platform = await this.#startProcess('platform', 'standins/platform.js', [])
    for (let rank = 0; rank < ranks; rank++) {
      const proxy = new faultProxy.FaultProxy()
      await proxy.listen()
      this.proxies.push(proxy)
    }
    await this.#publishHosts()
    await Promise.all(this.proxies.map((_, rank) => this.startAgent(rank)))
  }

  /** Starts an agent for the rank and points the rank's proxy to it, so that the group's other agents can reach it. */
  async startAgent (rank: number): Promise<void> {
    const address = (this.#group.ready['ranks'] as string[])[rank]!
    const agent = await this.#startProcess(`agent-${rank}`, 'src/bin/bulrush-agent.js', [
      '--host', `rank-${rank}`, '--failure-domain', 'kista', '--models', 'draft-model',
      '--host-list-url', `http://${this.#platform.ready['hosts'] as string}/`, '--backend-address', address,
      '--engine-management-address', address, '--group', 'g', '--rank', String(rank),
      '--group-size', String(this.options.ranks), '--group-peers', this.options.discovery === 'settings' ? this.proxies.map(proxy => proxy.address).join(',') : '',
      '--weight-store-url', `http://${this.#weightStore.ready['address'] as string}`, '--platform-timeout-ms', '5000',
      '--plan-period-ms', String(this.options.planPeriodMs), '--map-decision-timeout-ms', String(DECISION_TIMEOUT_MS),
      '--map-prepare-timeout-ms', '5000', '--expert-bytes', String(this.options.expertBytes),
      '--expert-cost-weight', String(this.options.expertCostWeight)
    ])
    this.agents[rank] = agent
    this.proxies[rank]!.resetAll()
    this.proxies[rank]!.setTarget(agent.ready['peerListening'] as string)
  }

  /** Moves the load to another expert periodically, so that the planner always has a reason to switch maps. */
  shiftLoadPeriodically (periodMs = 600): void {
    const { experts, layers } = this.options
    let hotExpert = 0
    const shift = (): void => {
      hotExpert = (hotExpert + 3) % experts
      const layer = Array.from({ length: experts }, (_, expert) => expert === hotExpert ? 0.5 : 0.5 / (experts - 1))
      this.control({ popularity: Array.from({ length: layers }, () => layer) }).catch(() => {})
    }
    shift()
    this.#timers.push(setInterval(shift, periodMs))
  }

  async control (input: object): Promise<void> {
    await this.#post('control', input)
  }

  /** Restarts the engines, which starts a new group incarnation. */
  async restartEngines (): Promise<void> {
    await this.#post('restart', {})
  }

  async read (): Promise<GroupRecord> {
    const response = await fetch(`http://${this.#group.ready['control'] as string}/record`)
    return await response.json() as GroupRecord
  }

  async weightCounts (): Promise<{ served: number, refused: number }> {
    const response = await fetch(`http://${this.#weightStore.ready['address'] as string}/counts`)
    return await response.json() as { served: number, refused: number }
  }

  /** Waits until `count` more map switches have taken place. */
  async waitForSwitches (count: number, timeoutMs = 20_000): Promise<void> {
    const before = countSwitches(await this.read())
    await cluster.waitFor(`${count} switches`, timeoutMs, async () => countSwitches(await this.read()) >= before + count)
  }

  /** Waits until another command of the type has arrived at the rank. @returns the command's map version. */
  async waitForCommand (rank: number, type: string, timeoutMs = 20_000): Promise<number> {
    const from = (await this.read()).commands.length
    let version = 0
    await cluster.waitFor(`${type} at rank ${rank}`, timeoutMs, async () => {
      const found = (await this.read()).commands.slice(from)
        .find(command => command.rank === rank && command.type === type)
      version = found?.version ?? 0
      return found !== undefined
    })
    return version
  }

  async stop (): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer)
    for (const running of this.#processes) {
      running.kill('SIGCONT')
      running.kill('SIGKILL')
    }
    await Promise.all(this.#processes.map(running => running.exited))
    await Promise.all(this.proxies.map(proxy => proxy.close()))
  }

  async #startProcess (name: string, program: string, flags: string[]): Promise<processRunner.RunningProcess> {
    const started = await processRunner.startProcess(name, program, flags)
    this.#processes.push(started)
    return started
  }

  async #publishHosts (): Promise<void> {
    const groups = this.proxies.map((proxy, rank) => ({
      targets: [proxy.address], labels: { role: 'agent', group: 'g', rank: String(rank), peer_address: proxy.address }
    }))
    await fetch(`http://${this.#platform.ready['hosts'] as string}/`, { method: 'PUT', body: JSON.stringify(groups) })
  }

  async #post (path: string, input: object): Promise<void> {
    await fetch(`http://${this.#group.ready['control'] as string}/${path}`, { method: 'POST', body: JSON.stringify(input) })
  }
}

/** Counts the map switches of rank 0. Every rank of the group makes the same switches. */
export function countSwitches (groupRecord: GroupRecord): number {
  return groupRecord.record.filter(([, rank, version], row) =>
    rank === 0 && row > 0 && groupRecord.record[row - 1]![2] !== version).length
}

/** @returns the steps that some rank did not run, or that the ranks ran with different maps. */
export function findInconsistentSteps (groupRecord: GroupRecord, ranks: number): number[] {
  const inconsistent: number[] = []
  for (let row = 0; row < groupRecord.record.length; row += ranks) {
    const rows = groupRecord.record.slice(row, row + ranks)
    const isUniform = rows.length === ranks && rows.every(([step, rank, version], index) =>
      step === rows[0]![0] && rank === index && version === rows[0]![2])
    if (!isUniform) inconsistent.push(rows[0]![0])
  }
  return inconsistent
}

/**
 * Delay that each map switch caused, in steps: the sum over the first step with the new map and the `window` steps
 * before it. A step adds its excess over the median duration, but only if it takes more than twice the median, so that
 * timer noise is ignored.
 */
export function switchDelaysInSteps (groupRecord: GroupRecord, ranks: number, window: number): number[] {
  const intervals = groupRecord.endedAtMs.map((endedAtMs, index) =>
    index === 0 ? 0 : endedAtMs - groupRecord.endedAtMs[index - 1]!)
  const medianMs = [...intervals].sort((a, b) => a - b)[Math.floor(intervals.length / 2)]!
  const firstSteps = intervals.map((_, index) => index)
    .filter(index => index > 0 && groupRecord.record[index * ranks]![2] !== groupRecord.record[(index - 1) * ranks]![2])
  return firstSteps.map(index => intervals.slice(Math.max(0, index - window), index + 1)
    .reduce((sum, intervalMs) => sum + (intervalMs > medianMs * 2 ? intervalMs / medianMs - 1 : 0), 0))
}
