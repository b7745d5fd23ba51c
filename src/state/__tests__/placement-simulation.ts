/**
 * Simulates several gateways that place requests on the ranks of one group, with reports that are as old as those of
 * agents on other hosts.
 */

import * as backendPool from '../backend-pool.js'
import * as placement from '../placement.js'

export interface PlacementLoad {
  gateways: number
  ranks: number
  slots: number
  requestsPerS: number
  /** Mean time for which a request occupies its slot. */
  holdMs: number
  reportIntervalMs: number
  /** Time from reading the load to the arrival of the report at the gateways. */
  reportDelayMs: number
  durationMs: number
  /** The host of this rank is frozen for a time: it sends no reports and finishes no requests. */
  frozen?: { rank: number, fromMs: number, untilMs: number }
  /** Uniform in [0, 1). */
  random: () => number
}

export interface PlacementResult {
  /** Share of the requests that reached a rank without a free slot. */
  shareQueued: number
  /** Times at which requests were sent to the frozen rank while it was frozen, since the freeze began. */
  sentToFrozenMs: number[]
}

interface Job {
  backend?: backendPool.Backend
  holdMs: number
}

const DOMAINS = ['a', 'b', 'c']

export function simulatePlacement (load: PlacementLoad): PlacementResult {
  const { random, ranks, frozen } = load
  const sentToFrozenMs: number[] = []
  const pools = Array.from({ length: load.gateways }, () => poolOf(load))
  const running = new Array<number>(ranks).fill(0)
  const queues: Job[][] = Array.from({ length: ranks }, () => [])
  const events: { atMs: number, act: () => void }[] = []
  let [nowMs, placed, queued] = [0, 0, 0]
  at(0, arrive)
  for (let rank = 0; rank < ranks; rank++) at(random() * load.reportIntervalMs, () => { report(rank) })
  while (nowMs < load.durationMs) {
    const next = events.shift()!
    nowMs = next.atMs
    next.act()
  }
  return { shareQueued: queued / placed, sentToFrozenMs }

  function at (atMs: number, act: () => void): void {
    let index = events.length
    while (index > 0 && events[index - 1]!.atMs > atMs) index -= 1
    events.splice(index, 0, { atMs, act })
  }

  function isFrozen (rank: number): boolean {
    return frozen !== undefined && rank === frozen.rank && nowMs >= frozen.fromMs && nowMs < frozen.untilMs
  }

  function arrive (): void {
    at(nowMs - Math.log(1 - random()) * 1_000 / load.requestsPerS, arrive)
    const gateway = Math.floor(random() * load.gateways)
    const found = placement.place(pools[gateway]!, {
      service: 's', failureDomain: DOMAINS[gateway % DOMAINS.length]!, excluded: new Set(), nowMs, random
    })
    if (found.kind !== 'backend') return
    // Durations vary by a factor of several around their median, as response lengths do.
    const spread = Array.from({ length: 6 }, random).reduce((sum, one) => sum + one, -3) * 0.85
    const job = { backend: found.backend, holdMs: load.holdMs * Math.exp(spread) / 1.2 }
    backendPool.noteSent(found.backend, 1, nowMs)
    placed += 1
    const rank = found.backend.row.group!.rank
    if (isFrozen(rank)) sentToFrozenMs.push(nowMs - frozen!.fromMs)
    if (running[rank]! < load.slots) start(rank, job)
    else {
      queued += 1
      queues[rank]!.push(job)
    }
  }

  function start (rank: number, job: Job): void {
    running[rank]! += 1
    const finish = (): void => {
      if (isFrozen(rank)) {
        at(frozen!.untilMs, finish)
        return
      }
      running[rank]! -= 1
      backendPool.noteFinished(job.backend!, 1)
      const next = queues[rank]!.shift()
      if (next !== undefined) start(rank, next)
    }
    at(nowMs + job.holdMs, finish)
  }

  function report (rank: number): void {
    const readAtMs = nowMs
    const state = { running: running[rank]!, waiting: queues[rank]!.length, slots: 0, slowdown: 1, cacheTokensUsed: 0 }
    if (!isFrozen(rank)) {
      at(nowMs + load.reportDelayMs, () => {
        for (const pool of pools) backendPool.noteLoad(pool.backends.get(`r${rank}`)!, state, readAtMs)
      })
    }
    at(nowMs + load.reportIntervalMs, () => { report(rank) })
  }
}

function poolOf (load: PlacementLoad): backendPool.BackendPool {
  const pool = backendPool.createPool()
  backendPool.setRows(pool, Array.from({ length: load.ranks }, (_, rank) => ({
    id: `r${rank}`,
    service: 's',
    address: `10.0.0.${rank}:80`,
    failureDomain: DOMAINS[rank % DOMAINS.length]!,
    slots: load.slots,
    state: 'ready' as const,
    startedAtUnixMs: 1,
    group: { name: 'g', epoch: 1, rank, isOpen: true, size: load.ranks }
  })), 0)
  return pool
}
