/**
 * Experiment: retry budget and ejection while a third of the servers fails or is slow, five in six fail half of their
 * requests, or all fail.
 */

import * as backendModel from './backend-model.js'
import * as experiment from './experiment.js'
import * as virtualClock from './virtual-clock.js'
import * as ejection from '../src/state/ejection.js'
import * as retryBudget from '../src/state/retry-budget.js'
import * as route from '../src/state/route.js'
import * as serverView from '../src/state/server-view.js'
import * as serverIdentity from '../standins/server-identity.js'

type Fault = 'refuses connections' | 'fails after 50 ms' | 'eight times slower' | 'all fail after 50 ms' |
'five in six fail half of their requests'

interface Variant {
  name: string
  hasBudget: boolean
  ejection: ejection.EjectionOptions | undefined
}

interface Figures {
  /** Share of requests that are answered within the timeout, during the fault. */
  answered: number
  /** Number of attempts per request that reached a server, during the fault. */
  amplification: number
  /** Largest number of attempts per request in a second, in the 20 s after the fault. */
  afterwards: number
  /** Time from the start of the fault until its servers get less than a tenth of their former share of requests. */
  ejectMs: number
  /** Time from the end of the fault until these servers get four fifths of that share again. */
  returnMs: number
  /** Largest share of all servers that one entry had ejected at the same time. */
  largestShare: number
}

const ENTRIES = 8
const SERVERS = 24
const SLOTS = 8
const MEAN_WORK_MS = 200
/** Offered load relative to the capacity. */
const LOAD = 0.55
const TIMEOUT_MS = 3_000
const MAX_ATTEMPTS = 4
/** Time after which a failing attempt fails. */
const FAIL_MS = 50
const SLOW_SPEED = 0.125
const REPORT_PERIOD_MS = 1_000
const FAULT_FROM_MS = 20_000
const FAULT_UNTIL_MS = 50_000
const END_MS = 110_000
const SAMPLE_MS = 1_000

const target: serverView.Served = { kind: 'model', name: 'm' }

function runOnce (variant: Variant, fault: Fault, seed: number): Figures {
  const clock = new virtualClock.VirtualClock()
  const random = virtualClock.seededRandom(seed)
  const servers = Array.from({ length: SERVERS }, (_, index) => ({
    model: new backendModel.BackendModel(clock, SLOTS),
    isAffected: isAffected(fault, index),
    firstByteMs: 0,
    identity: serverIdentity.identityOf(index, target)
  }))
  const entries = Array.from({ length: ENTRIES }, () => ({
    view: serverView.createServerView(),
    policy: new route.LeastExpectedWork(),
    budget: retryBudget.createRetryBudget(0)
  }))
  const windows = Array.from({ length: END_MS / SAMPLE_MS }, () =>
    ({ requests: 0, attempts: 0, affected: 0, answered: 0 }))
  let largestShare = 0
  let isFaulty = false

  clock.every(REPORT_PERIOD_MS, () => { for (const entry of entries) report(entry.view) }, 0)
  clock.every(100, () => {
    for (const entry of entries) {
      const ejected = [...entry.view.servers.values()].filter(record => record.ejectedUntilMs > clock.nowMs).length
      largestShare = Math.max(largestShare, ejected / SERVERS)
    }
  })
  clock.after(FAULT_FROM_MS, () => setFault(true))
  clock.after(FAULT_UNTIL_MS, () => setFault(false))
  nextArrival()
  clock.runUntil(END_MS)
  return summarise()

  function report (view: serverView.ServerView): void {
    for (const server of servers) {
      serverView.applyReport(view, server.identity, {
        running: server.model.running,
        waiting: server.model.queue.length,
        concurrencyLimit: 64,
        firstByteMs: server.firstByteMs,
        engineReportAgeMs: 0,
        status: 'serving'
      }, clock.nowMs)
    }
  }

  function setFault (isOn: boolean): void {
    isFaulty = isOn
    for (const server of servers) {
      if (server.isAffected && fault === 'eight times slower') server.model.speed = isOn ? SLOW_SPEED : 1
    }
  }

  function nextArrival (): void {
    clock.after(virtualClock.exponential(MEAN_WORK_MS / (LOAD * SERVERS * SLOTS), random), () => {
      const window = windows[Math.floor(clock.nowMs / SAMPLE_MS)]
      if (window !== undefined) window.requests += 1
      const entry = entries[Math.floor(random() * ENTRIES)]!
      retryBudget.noteRequest(entry.budget, clock.nowMs)
      attempt(entry, new Set(), clock.nowMs)
      nextArrival()
    })
  }

  function attempt (entry: typeof entries[number], excluded: Set<string>, arrivedMs: number): void {
    const choice = route.chooseServer(entry.view, { target, excluded, nowMs: clock.nowMs }, entry.policy, random)
    if (choice.kind === 'none') return
    const { record } = choice
    const server = servers[Number(record.identity.incarnation.slice(1))]!
    const hasFault = isFaulty && server.isAffected &&
      (fault !== 'five in six fail half of their requests' || random() < 0.5)
    const window = windows[Math.floor(clock.nowMs / SAMPLE_MS)]
    if (window !== undefined && excluded.size === 0 && server.isAffected) window.affected += 1
    serverView.changeInFlight(record, 1, clock.nowMs)
    if (hasFault && fault === 'refuses connections') return end('unreachable')
    if (window !== undefined) window.attempts += 1
    if (hasFault && fault !== 'eight times slower') {
      clock.after(FAIL_MS, () => end('failed'))
      return
    }
    const sentMs = clock.nowMs
    let hasEnded = false
    server.model.submit({
      workMs: virtualClock.exponential(MEAN_WORK_MS, random),
      onDone: () => {
        server.firstByteMs += 0.2 * (clock.nowMs - sentMs - server.firstByteMs)
        if (hasEnded) return
        hasEnded = true
        const arrivalWindow = windows[Math.floor(arrivedMs / SAMPLE_MS)]
        if (arrivalWindow !== undefined) arrivalWindow.answered += 1
        end('answered')
      }
    })
    clock.after(arrivedMs + TIMEOUT_MS - clock.nowMs, () => {
      if (hasEnded) return
      hasEnded = true
      end('failed')
    })

    function end (result: ejection.AttemptResult): void {
      serverView.changeInFlight(record, -1, clock.nowMs)
      if (variant.ejection !== undefined) {
        ejection.noteResult(entry.view, record, result, clock.nowMs, variant.ejection)
      }
      excluded.add(record.identity.incarnation)
      if (result === 'answered' || excluded.size >= MAX_ATTEMPTS || clock.nowMs >= arrivedMs + TIMEOUT_MS) return
      // A refused connection causes no work on a server, so its retry does not count against the budget.
      if (variant.hasBudget && result !== 'unreachable' && !retryBudget.takeRetry(entry.budget)) return
      attempt(entry, excluded, arrivedMs)
    }
  }

  function summarise (): Figures {
    const from = FAULT_FROM_MS / SAMPLE_MS
    const until = FAULT_UNTIL_MS / SAMPLE_MS
    const during = windows.slice(from, until)
    const after = windows.slice(until, until + 20)
    const sum = (rows: typeof windows, name: keyof typeof windows[number]): number =>
      rows.reduce((total, row) => total + row[name], 0)
    const usualShare = sum(windows.slice(5, from), 'affected') / sum(windows.slice(5, from), 'requests')
    const ejected = during.findIndex(row => row.affected < 0.1 * usualShare * row.requests)
    const returned = windows.slice(until).findIndex(row => row.affected >= 0.8 * usualShare * row.requests)
    return {
      answered: sum(during, 'answered') / sum(during, 'requests'),
      amplification: sum(during, 'attempts') / sum(during, 'requests'),
      afterwards: Math.max(...after.map(row => row.attempts / row.requests)),
      ejectMs: ejected < 0 ? Infinity : ejected * SAMPLE_MS,
      returnMs: returned < 0 ? Infinity : returned * SAMPLE_MS,
      largestShare
    }
  }
}

const capped = ejection.DEFAULT_EJECTION_OPTIONS
const variants: Variant[] = [
  { name: 'retries without a budget', hasBudget: false, ejection: undefined },
  { name: 'budget, no ejection', hasBudget: true, ejection: undefined },
  { name: 'ejection without a cap, no budget (earlier version)', hasBudget: false, ejection: { ...capped, maxShare: 1 } },
  { name: 'ejection without a cap, budget', hasBudget: true, ejection: { ...capped, maxShare: 1 } },
  { name: 'ejection up to a fifth, budget', hasBudget: true, ejection: { ...capped, maxShare: 0.2 } },
  { name: 'ejection up to a half, budget', hasBudget: true, ejection: capped }
]

function isAffected (fault: Fault, index: number): boolean {
  if (fault === 'all fail after 50 ms') return true
  return fault === 'five in six fail half of their requests' ? index % 6 !== 0 : index % 3 === 0
}

const faults: Fault[] = ['refuses connections', 'fails after 50 ms', 'eight times slower', 'all fail after 50 ms',
  'five in six fail half of their requests']

export const ejectionExperiment: experiment.Experiment = {
  name: 'ejection',
  description: '8 entries, 24 servers, load 0.55; eight servers have a fault for 30 s, or all have one',
  async run ({ seeds }) {
    return {
      tables: faults.map(fault => ({
        title: fault,
        columns: ['policy', 'answered', 'attempts per request', 'most in a second after the fault', 'time to eject ms',
          'time to return ms', 'largest share ejected'],
        rows: variants.map(variant => {
          const runs = seeds.map(seed => runOnce(variant, fault, seed))
          const figure = (name: keyof Figures, digits: number): string =>
            experiment.spread(runs.map(run => run[name]), digits)
          return [variant.name, figure('answered', 3), figure('amplification', 3), figure('afterwards', 3),
            figure('ejectMs', 0), figure('returnMs', 0), figure('largestShare', 2)]
        })
      })),
      conclusions: []
    }
  }
}
