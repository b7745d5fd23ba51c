/**
 * The entry program with a routing policy that `POST /` on its control address replaces at run time:
 * `{"policy": NAME, "silentHost": HOST}`. Load reports of the silent host are hidden from the policy; loads that its
 * answers carry are not. Takes the arguments of bulrush-entry.
 */

import * as baselines from './routing-baselines.js'
import * as earlySignals from '../src/bin/early-signals.js'
import * as run from '../src/bin/run.js'
import * as entry from '../src/coordination/entry.js'
import * as route from '../src/state/route.js'
import type * as serverView from '../src/state/server-view.js'
import * as jsonServer from '../standins/json-server.js'

interface PolicySelection {
  policy: string
  silentHost: string
}

const POLICIES: Record<string, () => route.RoutePolicy> = {
  random: () => new baselines.RandomPolicy(),
  'round robin': () => new baselines.RoundRobinPolicy(Math.floor(Math.random() * 1_000)),
  'least reported load': () => new baselines.LeastReportedPolicy(),
  'plain power of two': () => new baselines.PlainPowerOfTwoPolicy(),
  'expected work, pairs of a deck, own hints (earlier version)': () => new OwnHintsOnly(new route.LeastExpectedWork({
    ...route.DEFAULT_ROUTE_OPTIONS, draw: 'deck', choices: 2, memoryPerWork: Infinity
  })),
  'expected work, own hints': () => new OwnHintsOnly(new route.LeastExpectedWork()),
  'expected work': () => new route.LeastExpectedWork()
}

/** Omits the query's affinity, as an earlier version did: prefix hints come only from the entry's own requests. */
class OwnHintsOnly implements route.RoutePolicy {
  readonly #inner: route.RoutePolicy

  constructor (inner: route.RoutePolicy) {
    this.#inner = inner
  }

  pick (
    candidates: serverView.ServerRecord[], query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const { affinity: _, ...rest } = query
    return this.#inner.pick(candidates, rest, random)
  }
}

/** Delegates to a policy that can be replaced at run time. */
class SwitchedPolicy implements route.RoutePolicy {
  #policy: route.RoutePolicy = new route.LeastExpectedWork()
  #silentHost = ''
  /** Record of the silent host, and the copy without later reports that the policy sees in its place. */
  #hidden: { record: serverView.ServerRecord, visible: serverView.ServerRecord } | undefined

  switch (selection: PolicySelection): void {
    const create = POLICIES[selection.policy]
    if (create === undefined) throw new Error(`unknown routing policy ${selection.policy}`)
    this.#policy = create()
    this.#silentHost = selection.silentHost
    this.#hidden = undefined
  }

  pick (
    candidates: serverView.ServerRecord[], query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const index = candidates.findIndex(record => record.identity.host === this.#silentHost)
    if (index < 0) return this.#policy.pick(candidates, query, random)
    const { record, visible } = this.#hideReports(candidates[index]!)
    const chosen = this.#policy.pick(candidates.with(index, visible), query, random)
    return chosen === visible ? record : chosen
  }

  #hideReports (
    record: serverView.ServerRecord
  ): { record: serverView.ServerRecord, visible: serverView.ServerRecord } {
    if (this.#hidden?.record !== record) {
      // Everything except reports is read from the record by its prototype. The record's in-flight changes reach back
      // only to its last real report, so the entry's own share of a load with a hidden report is approximate.
      const visible = Object.assign(Object.create(record) as serverView.ServerRecord, {
        load: record.load, loadAtMs: record.loadAtMs, reportedAtMs: record.reportedAtMs
      })
      this.#hidden = { record, visible }
    }
    const { visible } = this.#hidden
    if (record.loadAtMs > record.reportedAtMs && record.loadAtMs > visible.loadAtMs) {
      visible.load = { ...visible.load, running: record.load.running, waiting: record.load.waiting }
      visible.loadAtMs = record.loadAtMs
    }
    return this.#hidden
  }
}

const policy = new SwitchedPolicy()
const control = await jsonServer.serveJson((request, response) => {
  policy.switch(JSON.parse(request.body.toString('utf8')) as PolicySelection)
  jsonServer.sendJson(response, 200, {})
})

await run.runProgram({
  name: 'bulrush-entry',
  description: 'Entry whose routing policy can be replaced.',
  settings: entry.entrySettings,
  start: async (options, env, signal, onBroken) => {
    const running = await entry.startEntry(options, env, signal, onBroken, policy)
    return {
      fields: {
        ...running.identity,
        listening: running.listening,
        peerListening: running.peerListening,
        control: control.address
      },
      drain: running.drain
    }
  }
}, earlySignals.holdSignals())
