/**
 * The entry program with another routing policy, which `POST /` on its control address replaces while it runs:
 * `{"policy": NAME, "silentHost": HOST}`. Reports of the silent host are hidden from the policy; answers are not.
 * Usage: as bulrush-entry.
 */

import * as baselines from './routing-baselines.js'
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

/** Without places for prefixes, as before. */
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

class SwitchedPolicy implements route.RoutePolicy {
  #policy: route.RoutePolicy = new route.LeastExpectedWork()
  #silentHost = ''
  /** What the policy sees of a record whose reports are hidden. */
  #hidden: { record: serverView.ServerRecord, seen: serverView.ServerRecord } | undefined

  switch (choice: PolicySelection): void {
    const create = POLICIES[choice.policy]
    if (create === undefined) throw new Error(`no policy ${choice.policy}`)
    this.#policy = create()
    this.#silentHost = choice.silentHost
    this.#hidden = undefined
  }

  pick (
    candidates: serverView.ServerRecord[], query: route.RouteQuery, random: () => number
  ): serverView.ServerRecord {
    const index = candidates.findIndex(record => record.identity.host === this.#silentHost)
    if (index < 0) return this.#policy.pick(candidates, query, random)
    const { record, seen } = this.#hide(candidates[index]!)
    const chosen = this.#policy.pick(candidates.with(index, seen), query, random)
    return chosen === seen ? record : chosen
  }

  #hide (record: serverView.ServerRecord): { record: serverView.ServerRecord, seen: serverView.ServerRecord } {
    if (this.#hidden?.record !== record) {
      // All that is no report is read through to the record. Its changes in flight reach back to the last real report
      // only, so the own part of a hidden one is approximate.
      const seen = Object.assign(Object.create(record) as serverView.ServerRecord, {
        load: record.load, loadAtMs: record.loadAtMs, reportedAtMs: record.reportedAtMs
      })
      this.#hidden = { record, seen }
    }
    const { seen } = this.#hidden
    if (record.loadAtMs > record.reportedAtMs && record.loadAtMs > seen.loadAtMs) {
      seen.load = { ...seen.load, running: record.load.running, waiting: record.load.waiting }
      seen.loadAtMs = record.loadAtMs
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
})
