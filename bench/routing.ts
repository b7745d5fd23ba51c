/**
 * Experiment: choice of a backend server when load reports arrive late or are lost.
 */

import * as crypto from 'node:crypto'
import * as backendModel from './backend-model.js'
import * as experiment from './experiment.js'
import * as variants from './routing-variants.js'
import * as virtualClock from './virtual-clock.js'
import * as prefixHints from '../src/state/prefix-hints.js'
import * as route from '../src/state/route.js'
import * as serverView from '../src/state/server-view.js'
import * as serverIdentity from '../standins/server-identity.js'

interface Scenario {
  name: string
  /** Offered load relative to the capacity of healthy servers. */
  load: number
  /** Share of reports that are lost. */
  lostReports?: number
  /** Number of servers whose reports are all lost at a time; other servers follow after each `OUTAGE_MS`. */
  silentServers?: number
  /** Number of servers that run at `SLOW_SPEED`. */
  slowServers?: number
  /** Whether a server is replaced every `RESTART_PERIOD_MS` by one that is cold at first. */
  hasRestarts?: boolean
  /** Number of prompt prefixes in use. */
  prefixes?: number
  /** Share of requests that all use one popular prefix; the others draw theirs from all prefixes. */
  hotPrefix?: number
  /** Mean work of a request: seconds for model requests, for calls of plain services less than the lag of a report. */
  meanWorkMs?: number
}

interface Figures {
  meanWaitMs: number
  p99WaitMs: number
  /** From arrival to the last byte. */
  p99Ms: number
  /** Load of the most loaded rank of a group, divided by the mean load of its ranks; a mean over all samples. */
  rankSkew: number
  /** Share of requests whose prefix the server had in its cache. */
  hitShare: number
  /** From arrival to the last byte, on servers that were cold. */
  replacedP99Ms: number
}

const ENTRIES = 16
const GROUPS = 8
const RANKS = 8
const SLOTS = 8
const MODEL_WORK_MS = 4_000
const PLAIN_WORK_MS = 400
const REPORT_PERIOD_MS = 500
const REPORT_LAG_MS = 100
/** Entries that are not a home of a server get its load in digests, which come with the heartbeat between entries. */
const DIGEST_PERIOD_MS = 1_000
const WARM_UP_MS = 20_000
const END_MS = 80_000
const SLOW_SPEED = 0.25
const SAMPLE_PERIOD_MS = 100
/** Time to first byte of an idle server relative to the work of a request. */
const PREFILL_SHARE = 0.1
const FIRST_BYTE_SMOOTHING = 0.2
const FIRST_BYTE_HALF_LIFE_MS = 10_000
/** Share of the work that a full prefix hit saves. */
const PREFIX_SAVING = 0.5
const CACHED_PREFIXES = 24
const CACHE_EVENT_LAG_MS = 2_000
const LOST_CACHE_EVENTS = 0.2
const RESTART_PERIOD_MS = 5_000
/** Shorter than the 10 s after which a view drops a report. */
const OUTAGE_MS = 8_000
/** Speed of a replaced server for the first `COLD_MS`. */
const COLD_SPEED = 0.3
const COLD_MS = 10_000

const target: serverView.Served = { kind: 'model', name: 'm' }

class ModelServer extends backendModel.BackendModel {
  firstByteMs = 0
  firstByteAtMs = 0
  warmAtMs = -Infinity
  readonly cache = new Set<string>()
  identity: serverView.ServerIdentity

  constructor (clock: virtualClock.VirtualClock, index: number) {
    super(clock, SLOTS)
    this.identity = serverIdentity.identityOf(
      index, target, { group: `g${Math.floor(index / RANKS)}`, rank: index % RANKS })
  }

  report (nowMs: number): serverView.ServerLoad {
    return {
      running: this.running,
      waiting: this.queue.length,
      concurrencyLimit: 64,
      firstByteMs: this.firstByteMs * 2 ** (-(nowMs - this.firstByteAtMs) / FIRST_BYTE_HALF_LIFE_MS),
      engineReportAgeMs: 0,
      status: 'serving'
    }
  }

  noteFirstByte (valueMs: number, nowMs: number): void {
    this.firstByteMs += FIRST_BYTE_SMOOTHING * (valueMs - this.firstByteMs)
    this.firstByteAtMs = nowMs
  }
}

/** Numbers of the server's two home entries. */
function homesOf (server: number): number[] {
  return [server % ENTRIES, (server * 7 + 3) % ENTRIES]
}

const hashes = new Map<string, number>()

function hash (text: string): number {
  let value = hashes.get(text)
  if (value === undefined) hashes.set(text, value = crypto.createHash('sha256').update(text).digest().readUIntLE(0, 6))
  return value
}

function runOnce (variant: variants.Variant, scenario: Scenario, seed: number): Figures {
  const clock = new virtualClock.VirtualClock()
  const meanWorkMs = scenario.meanWorkMs ?? MODEL_WORK_MS
  const random = virtualClock.seededRandom(seed)
  const servers = Array.from({ length: GROUPS * RANKS }, (_, index) => new ModelServer(clock, index))
  const byIncarnation = new Map(servers.map(server => [server.identity.incarnation, server]))
  const entries = Array.from({ length: ENTRIES }, (_, index) => ({
    view: serverView.createServerView(), policy: variant.policy(index), hints: prefixHints.createPrefixHints()
  }))
  const timesMs: number[] = []
  const waitsMs: number[] = []
  const replacedMs: number[] = []
  const skews: number[] = []
  let hits = 0
  let requests = 0
  const slow = scenario.slowServers ?? 0
  for (let index = 0; index < slow; index++) {
    servers[Math.floor((index + 0.5) * servers.length / slow)]!.speed = SLOW_SPEED
  }

  servers.forEach((server, index) => {
    const homes = homesOf(index)
    let last = { load: server.report(0), atMs: 0 }
    for (const entry of entries) serverView.applyReport(entry.view, server.identity, last.load, -60_000)
    clock.every(REPORT_PERIOD_MS, () => {
      if (random() < (scenario.lostReports ?? 0) || isSilent(index)) return
      const load = server.report(clock.nowMs)
      const atMs = clock.nowMs
      clock.after(REPORT_LAG_MS * (0.5 + random()), () => {
        last = { load, atMs }
        for (const home of homes) deliver(entries[home]!, server.identity, load, atMs)
      })
    }, random() * REPORT_PERIOD_MS)
    clock.every(DIGEST_PERIOD_MS, () => {
      for (const entry of entries) deliver(entry, server.identity, last.load, last.atMs)
    }, random() * DIGEST_PERIOD_MS)
  })
  if (scenario.hasRestarts === true) clock.every(RESTART_PERIOD_MS, restartOne)
  clock.every(SAMPLE_PERIOD_MS, sampleSkew, WARM_UP_MS)
  const perSecond = scenario.load * servers.length * SLOTS / meanWorkMs * 1000
  nextArrival()
  clock.runUntil(END_MS)
  return {
    meanWaitMs: waitsMs.reduce((sum, value) => sum + value, 0) / waitsMs.length,
    p99WaitMs: experiment.percentile(waitsMs, 0.99),
    p99Ms: experiment.percentile(timesMs, 0.99),
    rankSkew: skews.reduce((sum, value) => sum + value, 0) / skews.length,
    hitShare: hits / Math.max(1, requests),
    replacedP99Ms: experiment.percentile(replacedMs, 0.99)
  }

  function isSilent (index: number): boolean {
    const silent = scenario.silentServers ?? 0
    const first = Math.floor(clock.nowMs / OUTAGE_MS) * silent
    return (index * 5 + servers.length * 100 - first) % servers.length < silent
  }

  function deliver (
    entry: typeof entries[number], identity: serverView.ServerIdentity, load: serverView.ServerLoad, atMs: number
  ): void {
    if (byIncarnation.has(identity.incarnation)) {
      serverView.applyReport(entry.view, identity, load, atMs, clock.nowMs)
    }
  }

  function nextArrival (): void {
    clock.after(virtualClock.exponential(1000 / perSecond, random), () => {
      send()
      nextArrival()
    })
  }

  function send (): void {
    const entry = entries[Math.floor(random() * ENTRIES)]!
    const arrivedMs = clock.nowMs
    const prefix = scenario.prefixes === undefined ? undefined : drawPrefix(scenario.prefixes)
    const query: route.RouteQuery = { target, excluded: new Set(), nowMs: clock.nowMs }
    if (prefix !== undefined && (variant.hints ?? 'none') !== 'none') {
      query.cachedShare = incarnation =>
        prefixHints.cachedShare(entry.hints, [{ digest: prefix, share: 1 }], incarnation, clock.nowMs)
      if (variant.hints === 'own and place') {
        query.affinity = { share: 1, weight: host => hash(`${prefix}\u0000${host}`) }
      }
    }
    const choice = route.chooseServer(entry.view, query, entry.policy, random)
    if (choice.kind === 'none') throw new Error('no server')
    const { record } = choice
    const server = byIncarnation.get(record.identity.incarnation)
    // The server was replaced and the entry has not learned it yet. The retry is not part of this experiment.
    if (server === undefined) return serverView.removeServer(entry.view, record.identity.incarnation)
    const isHit = prefix !== undefined && server.cache.has(prefix)
    const workMs = virtualClock.exponential(meanWorkMs, random) * (isHit ? 1 - PREFIX_SAVING : 1)
    if (arrivedMs >= WARM_UP_MS) {
      requests += 1
      if (isHit) hits += 1
    }
    if (prefix !== undefined) usePrefix(server, prefix, entry)
    serverView.changeInFlight(record, 1, clock.nowMs)
    const isCold = server.warmAtMs > clock.nowMs
    let startedMs = arrivedMs
    server.submit({
      workMs,
      onStart: () => { startedMs = clock.nowMs },
      onDone: () => {
        serverView.changeInFlight(record, -1, clock.nowMs)
        if (variant.hasAnswerLoad === true) {
          serverView.applyAnswerLoad(entry.view, record.identity.incarnation,
            { running: server.running, waiting: server.queue.length }, clock.nowMs)
        }
        const tookMs = clock.nowMs - arrivedMs
        const prefillMs = PREFILL_SHARE * meanWorkMs * (0.5 + random()) / server.speed
        server.noteFirstByte(startedMs - arrivedMs + prefillMs, clock.nowMs)
        if (arrivedMs < WARM_UP_MS) return
        timesMs.push(tookMs)
        waitsMs.push(startedMs - arrivedMs)
        if (isCold) replacedMs.push(tookMs)
      }
    })
  }

  function drawPrefix (count: number): string {
    return random() < (scenario.hotPrefix ?? 0) ? 'p0' : `p${Math.floor(random() ** 2 * count)}`
  }

  /** Adds the prefix to the server's cache (least recently used is evicted) and to the hints of the entries. */
  function usePrefix (server: ModelServer, prefix: string, entry: typeof entries[number]): void {
    const isNew = !server.cache.delete(prefix)
    server.cache.add(prefix)
    const { incarnation } = server.identity
    if ((variant.hints ?? 'none') !== 'none') prefixHints.notePrefix(entry.hints, prefix, incarnation, clock.nowMs)
    const hasEvents = variant.hints === 'own and events' || variant.hints === 'own and events at homes'
    if (isNew && hasEvents) announce(server, (hints, atMs) => prefixHints.notePrefix(hints, prefix, incarnation, atMs))
    if (server.cache.size <= CACHED_PREFIXES) return
    const evicted = server.cache.values().next().value!
    server.cache.delete(evicted)
    if (hasEvents) announce(server, (hints, atMs) => prefixHints.removePrefix(hints, evicted, incarnation, atMs))
  }

  /** Sends a cache event, late and with losses, to the entries that receive them. */
  function announce (
    server: ModelServer, apply: (hints: prefixHints.PrefixHints, atMs: number) => void
  ): void {
    const atMs = clock.nowMs
    const index = servers.indexOf(server)
    const receivers = variant.hints === 'own and events' ? entries : homesOf(index).map(home => entries[home]!)
    for (const entry of receivers) {
      if (random() < LOST_CACHE_EVENTS) continue
      clock.after(CACHE_EVENT_LAG_MS * (0.5 + random()), () => apply(entry.hints, atMs))
    }
  }

  /** Replaces a server by one that is cold at first. */
  function restartOne (): void {
    const server = servers[Math.floor(random() * servers.length)]!
    byIncarnation.delete(server.identity.incarnation)
    server.identity = { ...server.identity, incarnation: `${server.identity.incarnation}'` }
    byIncarnation.set(server.identity.incarnation, server)
    server.speed = COLD_SPEED
    server.warmAtMs = clock.nowMs + COLD_MS
    server.cache.clear()
    clock.after(COLD_MS, () => { server.speed = 1 })
  }

  function sampleSkew (): void {
    for (let group = 0; group < GROUPS; group++) {
      const loads = servers.slice(group * RANKS, (group + 1) * RANKS).map(server => server.load)
      const mean = loads.reduce((sum, value) => sum + value, 0) / RANKS
      if (mean > 0) skews.push(Math.max(...loads) / mean)
    }
  }
}

function tableFor (
  scenario: Scenario, compared: variants.Variant[], seeds: number[], extra?: keyof Figures
): experiment.Table {
  const rows = compared.map(variant => {
    const runs = seeds.map(seed => runOnce(variant, scenario, seed))
    const figure = (name: keyof Figures, digits = 0): string => experiment.spread(runs.map(run => run[name]), digits)
    return [variant.name, figure('meanWaitMs'), figure('p99WaitMs'), figure('p99Ms'), figure('rankSkew', 3),
      ...(extra === undefined ? [] : [figure(extra, extra === 'hitShare' ? 3 : 0)])]
  })
  return {
    title: scenario.name,
    columns: ['policy', 'mean wait ms', 'p99 wait ms', 'p99 total ms', 'max over mean in a group',
      ...(extra === undefined ? [] : [extra === 'hitShare' ? 'prefix hits' : 'p99 total ms on replaced servers'])],
    rows
  }
}

function experimentFor (
  name: string, description: string, tables: (seeds: number[]) => experiment.Table[]
): experiment.Experiment {
  return { name, description, run: async ({ seeds }) => ({ tables: tables(seeds), conclusions: [] }) }
}

/** 16 entries, 64 servers of 8 slots in 8 groups of 8 ranks. */
export const routingExperiments: experiment.Experiment[] = [
  experimentFor('routing-load', 'reports with a lag, at several loads', seeds => [
    tableFor({ name: 'model requests of 4 s, load 0.7', load: 0.7 }, variants.loadVariants, seeds),
    tableFor({ name: 'model requests of 4 s, load 0.9', load: 0.9 }, variants.loadVariants, seeds),
    tableFor({ name: 'plain calls of 0.4 s, load 0.8', load: 0.8, meanWorkMs: PLAIN_WORK_MS },
      variants.loadVariants, seeds)
  ]),
  experimentFor('routing-lost', 'lost reports', seeds => [
    tableFor({ name: 'load 0.8, four in five reports lost', load: 0.8, lostReports: 0.8 },
      variants.loadVariants, seeds),
    tableFor({ name: 'load 0.8, a quarter of the servers silent for 8 s', load: 0.8, silentServers: 16 },
      variants.loadVariants, seeds)
  ]),
  experimentFor('routing-slow', 'servers that are slow but not dead', seeds => [
    tableFor({ name: 'load 0.7, 6 of 64 servers at a quarter of the speed', load: 0.7, slowServers: 6 },
      variants.slowVariants, seeds),
    tableFor({ name: 'load 0.9, no slow server', load: 0.9 }, variants.slowVariants, seeds)
  ]),
  experimentFor('routing-start', 'replaced servers that are cold at first', seeds => [
    tableFor({ name: 'load 0.7, a server replaced by a cold one every 5 s', load: 0.7, hasRestarts: true },
      variants.startVariants, seeds, 'replacedP99Ms')
  ]),
  experimentFor('routing-prefix', 'prompt prefixes and hints from late cache events', seeds => [
    tableFor({ name: 'load 0.9 without hits, 600 prompt prefixes', load: 0.9, prefixes: 600 },
      variants.prefixVariants, seeds, 'hitShare'),
    tableFor({ name: 'load 0.9 without hits, one prefix in 60 % of requests', load: 0.9, prefixes: 600, hotPrefix: 0.6 },
      variants.prefixVariants, seeds, 'hitShare')
  ])
]
