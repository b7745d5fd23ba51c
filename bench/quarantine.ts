/**
 * Experiment: servers that are lost, and innocent requests that are quarantined, when a request that crashes every
 * server that runs it is sent repeatedly.
 */

import * as experiment from './experiment.js'
import * as virtualClock from './virtual-clock.js'
import * as isolation from '../src/state/isolation.js'
import * as quarantine from '../src/state/quarantine.js'

/**
 * When a fingerprint is quarantined. `alone`: a suspect runs alone on its server, so that a crash shows which request
 * caused it. `places`: requests prefer a server by the hash of their fingerprint.
 */
type Rule = 'none' | 'two crashes' | 'two crashes, alone' | 'two crashes, alone, places'

interface Scenario {
  name: string
  /** Time between two copies; 0 sends all at the same moment. */
  resendMs: number
  copies: number
}

interface Figures {
  serversLost: number
  /** Distinct innocent requests that were quarantined. */
  innocentQuarantined: number
  /** Innocent requests that got no answer, relative to all. */
  innocentUnanswered: number
  /** Innocent requests that ran alone. */
  innocentAlone: number
}

interface Request {
  fingerprint: string
  isPoison: boolean
  attempts: number
  excluded: Set<number>
}

interface Server {
  active: Set<{ request: Request, isAlone: boolean, fail: () => void }>
  isolation: isolation.Isolation
  /** Suspects that wait to run alone, by id. */
  waiting: Map<string, { request: Request, entry: number }>
  isUp: boolean
  /** Incarnation of the agent, which stays the same because agents outlive their servers. */
  incarnation: string
}

interface Candidate {
  server: Server
  index: number
}

const ENTRIES = 8
const SERVERS = 48
const MEAN_WORK_MS = 2_000
const REQUESTS_PER_SECOND = 120
/** Number of distinct innocent requests that many callers send with identical text, such as a greeting. */
const POPULAR_REQUESTS = 5
/** Share of these among the innocent requests. */
const POPULAR_SHARE = 0.3
const CRASH_AFTER_MS = 30
const RESTART_MS = 20_000
/** Delay of a crash report from the agent to its home entries, and of a record from one entry to another. */
const REPORT_LAG_MS = 20
const EXCHANGE_LAG_MS = 10
const MAX_ATTEMPTS = 4
/** The preferred server is used if it runs at most this many requests more than another, as in the routing score. */
const PREFERRED_SERVER_MARGIN = 2
const FIRST_POISON_MS = 10_000
const END_MS = 60_000

function runOnce (rule: Rule, scenario: Scenario, seed: number): Figures {
  const clock = new virtualClock.VirtualClock()
  const random = virtualClock.seededRandom(seed)
  const entries = Array.from({ length: ENTRIES }, () => quarantine.createQuarantine())
  const servers: Server[] = Array.from({ length: SERVERS }, (_, index) => ({
    active: new Set(), isolation: isolation.createIsolation(), waiting: new Map(), isUp: true, incarnation: `s${index}`
  }))
  const hasIsolation = rule === 'two crashes, alone' || rule === 'two crashes, alone, places'
  const quarantinedInnocents = new Set<string>()
  let serversLost = 0
  let innocent = 0
  let unanswered = 0
  let innocentAlone = 0
  let nextFingerprint = 0
  let nextId = 0

  nextInnocent()
  for (let copy = 0; copy < scenario.copies; copy++) {
    clock.after(FIRST_POISON_MS + copy * scenario.resendMs, () =>
      start(Math.floor(random() * ENTRIES), { fingerprint: 'poison', isPoison: true, attempts: 0, excluded: new Set() }))
  }
  clock.runUntil(END_MS)
  return {
    serversLost,
    innocentQuarantined: quarantinedInnocents.size,
    innocentUnanswered: unanswered / innocent,
    innocentAlone
  }

  function nextInnocent (): void {
    clock.after(virtualClock.exponential(1000 / REQUESTS_PER_SECOND, random), () => {
      innocent += 1
      const fingerprint = random() < POPULAR_SHARE
        ? `popular ${Math.floor(random() * POPULAR_REQUESTS)}`
        : `f${++nextFingerprint}`
      start(Math.floor(random() * ENTRIES), { fingerprint, isPoison: false, attempts: 0, excluded: new Set() })
      nextInnocent()
    })
  }

  function start (entry: number, request: Request): void {
    const decision = rule === 'none' ? 'normal' : quarantine.decideRunMode(entries[entry]!, request.fingerprint, clock.nowMs)
    const isAlone = decision === 'alone' && hasIsolation
    if (decision === 'quarantined' || request.attempts >= MAX_ATTEMPTS) {
      if (decision === 'quarantined' && !request.isPoison) quarantinedInnocents.add(request.fingerprint)
      return failRequest(request)
    }
    const available = servers.map((server, index) => ({ server, index }))
      .filter(({ server, index }) => server.isUp && !request.excluded.has(index) &&
        (isAlone || !isolation.isClosed(server.isolation)))
    if (available.length === 0) return failRequest(request)
    const chosen = choose(request, available)
    request.attempts += 1
    if (!isAlone) {
      request.excluded.add(chosen.index)
      return run(entry, request, chosen.server, false)
    }
    if (!request.isPoison) innocentAlone += 1
    const knownCrashed = quarantine.crashedIncarnations(entries[entry]!, request.fingerprint)
    const trial = preferredServerFor(request, available.filter(({ server }) => !knownCrashed.has(server.incarnation)))
    if (trial === undefined) return failRequest(request)
    request.excluded.add(trial.index)
    const id = String(++nextId)
    trial.server.waiting.set(id, { request, entry })
    isolation.enqueue(trial.server.isolation, id, request.fingerprint)
    startNext(trial.server)
  }

  function choose (request: Request, available: Candidate[]): Candidate {
    const [first, second] =
      [available[Math.floor(random() * available.length)]!, available[Math.floor(random() * available.length)]!]
    const chosen = first.server.active.size <= second.server.active.size ? first : second
    if (rule !== 'two crashes, alone, places') return chosen
    const preferred = preferredServerFor(request, available)!
    return preferred.server.active.size <= chosen.server.active.size + PREFERRED_SERVER_MARGIN ? preferred : chosen
  }

  /** Starts the next suspect that waits to run alone, if the server allows it now. */
  function startNext (server: Server): void {
    const id = isolation.startNext(server.isolation, server.active.size)
    const next = id === undefined ? undefined : server.waiting.get(id)
    if (id === undefined || next === undefined) return
    server.waiting.delete(id)
    run(next.entry, next.request, server, true)
  }

  function run (entry: number, request: Request, server: Server, isAlone: boolean): void {
    const running = {
      request,
      isAlone,
      fail: () => {
        // The entry that sent the request sees the failure immediately.
        if (rule !== 'none') {
          recordCrash(entry, isAlone ? [request.fingerprint] : [request.fingerprint, ''], server.incarnation)
        }
        start(entry, request)
      }
    }
    server.active.add(running)
    clock.after(request.isPoison ? CRASH_AFTER_MS : virtualClock.exponential(MEAN_WORK_MS, random), () => {
      if (!server.active.has(running)) return
      if (request.isPoison) return crash(server)
      server.active.delete(running)
      if (isAlone) {
        for (const id of isolation.finish(server.isolation, request.fingerprint)) {
          const released = server.waiting.get(id)!
          server.waiting.delete(id)
          run(released.entry, released.request, server, false)
        }
      }
      if (hasIsolation &&
        quarantine.noteCompleted(entries[entry]!, request.fingerprint, isAlone)) sendRecordsToOthers(entry)
      startNext(server)
    })
  }

  function crash (server: Server): void {
    serversLost += 1
    server.isUp = false
    const lost = [...server.active]
    const refused = [...server.waiting.values()]
    server.active.clear()
    server.waiting.clear()
    server.isolation = isolation.createIsolation()
    const fingerprints = lost.map(running => running.request.fingerprint)
    if (rule !== 'none') {
      const home = Math.floor(random() * ENTRIES)
      clock.after(REPORT_LAG_MS, () => {
        recordCrash(home, fingerprints, server.incarnation)
        recordCrash((home + 1) % ENTRIES, fingerprints, server.incarnation)
      })
    }
    for (const running of lost) running.fail()
    // The agent refuses the waiting suspects, and their entries try another server.
    for (const { entry, request } of refused) {
      const isCopy = lost.some(running => running.isAlone && running.request.fingerprint === request.fingerprint)
      if (isCopy) recordCrash(entry, [request.fingerprint], server.incarnation)
      start(entry, request)
    }
    clock.after(RESTART_MS, () => { server.isUp = true })
  }

  function recordCrash (entry: number, fingerprints: string[], incarnation: string): void {
    // Without isolation every crash counts against each request that ran on the server.
    const groups = rule === 'two crashes' ? fingerprints.filter(name => name !== '').map(name => [name]) : [fingerprints]
    for (const group of groups) {
      if (quarantine.applyCrash(entries[entry]!, group, incarnation, clock.nowMs)) sendRecordsToOthers(entry)
    }
  }

  function sendRecordsToOthers (entry: number): void {
    const records = quarantine.activeRecords(entries[entry]!, clock.nowMs).map(suspicion => ({
      fingerprint: suspicion.fingerprint,
      state: suspicion.state,
      crashedIncarnations: [...suspicion.crashedIncarnations],
      timeToLiveMs: suspicion.expiresAtMs - clock.nowMs
    }))
    clock.after(EXCHANGE_LAG_MS, () => entries.forEach((other, index) => {
      if (index !== entry) for (const record of records) quarantine.applyRecord(other, record, clock.nowMs)
    }))
  }

  function failRequest (request: Request): void {
    if (!request.isPoison) unanswered += 1
  }
}

/** Candidate with the largest rendezvous weight. */
function preferredServerFor (request: Request, candidates: readonly Candidate[]): Candidate | undefined {
  return [...candidates].sort((a, b) => weightOf(request, b.server) - weightOf(request, a.server))[0]
}

/** Rendezvous weight by FNV-1a, which is the same at all entries. */
function weightOf (request: Request, server: Server): number {
  let hash = 2166136261
  for (const character of `${request.fingerprint}/${server.incarnation}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 16777619)
  }
  return Math.imul(hash ^ (hash >>> 15), 2246822519) >>> 0
}

const scenarios: Scenario[] = [
  { name: 'sent again every second, 40 times', resendMs: 1_000, copies: 40 },
  { name: 'sent again every 100 ms, 100 times', resendMs: 100, copies: 100 },
  { name: 'sent again every 10 ms, 100 times', resendMs: 10, copies: 100 },
  { name: 'ten copies at the same moment', resendMs: 0, copies: 10 }
]

export const quarantineExperiment: experiment.Experiment = {
  name: 'quarantine',
  description: '8 entries, 48 servers, 120 innocent requests/s, and a request that crashes every server that runs it',
  async run ({ seeds }) {
    const rules: Rule[] = ['none', 'two crashes', 'two crashes, alone', 'two crashes, alone, places']
    return {
      tables: scenarios.map(scenario => ({
        title: scenario.name,
        columns: ['quarantine', 'servers lost', 'innocent requests blamed', 'innocent share unanswered',
          'innocent requests run alone'],
        rows: rules.map(rule => {
          const runs = seeds.map(seed => runOnce(rule, scenario, seed))
          const figure = (name: keyof Figures, digits: number): string =>
            experiment.spread(runs.map(run => run[name]), digits)
          return [rule, figure('serversLost', 0), figure('innocentQuarantined', 0), figure('innocentUnanswered', 4),
            figure('innocentAlone', 0)]
        })
      })),
      conclusions: []
    }
  }
}
