/**
 * Finds the part of prompts, or the request, that crashes backend servers at any point of their responses.
 *
 * Load pattern: some events of a response have arrived when its backend server crashes, so that a response that begins
 * proves nothing. Sound requests run on the same backend server and are interrupted with it. Backend servers also crash
 * for other reasons, one after the other or all at once, and then interrupt whatever runs.
 *
 * At each crash a feature is among the interrupted requests or not. By chance it is there with a probability that
 * follows from its share of the running time and the number of interrupted requests: near 1 for a part that nearly all
 * requests have, so that it explains nothing, and low for a rare one. The ratio of the two explanations, multiplied
 * over the crashes, is the evidence against a feature. A response that ends whole clears its features.
 */

import * as blamePeriod from './blame-period.js'
import * as crashHold from './crash-hold.js'
import * as featureUsage from './feature-usage.js'
import type * as crashSuspects from './crash-suspects.js'

/** A request that ran on a backend server when it crashed. */
export interface CrashedRequest extends crashSuspects.Features {
  /** Tells copies of a request apart. */
  call: string
  service: string
  server: string
  /** Incarnation of the backend server. */
  backend: string
}

/** A request is compared with requests, a part with parts. */
type FeatureKind = 'request' | 'part'

export interface CrashRecurrence {
  usage: Record<FeatureKind, featureUsage.FeatureUsage>
  /** In the order in which they were heard of. */
  crashes: Crash[]
  /** Since the first of the crashes. */
  wholes: WholeResponse[]
  blames: Map<string, Blame>
  /** By service. */
  held: Map<string, crashHold.HeldPart>
  /** Features that were blamed until a response showed them to be sound, with the time of that. */
  acquitted: Map<string, number>
}

interface Crash {
  atMs: number
  backend: string
  service: string
  server: string
  calls: Set<string>
  features: Map<string, FeatureKind>
  /** By feature; undefined while reports of the crash may still arrive. */
  evidence: Map<string, Evidence> | undefined
}

interface WholeResponse {
  atMs: number
  durationMs: number
  service: string
  server: string
}

interface Evidence {
  /** Logarithm of a ratio of probabilities. */
  weight: number
  isCommon: boolean
}

interface Blame {
  atMs: number
  /** Requests with the feature are refused until this time. */
  untilMs: number
  /** Number of times that the feature was blamed. */
  count: number
}

/** Time for the reports of all gateways whose requests a crash interrupted. */
export const REPORT_MS = 300
/** Later reports mean another crash, whose incarnation of the backend server is not known yet. */
const SAME_CRASH_MS = 1_000
/** A crash counts for this long. */
const CRASH_LIFETIME_MS = 60_000
const MAX_CRASHES = 200
const MAX_WHOLES = 1_000
/** Fewer crashes blame nothing, however rare a feature is. */
const MIN_CRASHES = 3
/** A gateway that has seen fewer requests of late can't tell rare features from common ones. Others can. */
const MIN_REQUESTS = 8
/** A small sample shows fewer features than there are. */
const MIN_FEATURES = 30
/** The same for common parts, few of which fit into the running time. */
const MIN_COMMON_FEATURES = 10
/** Share of the crashes that may have another cause than the feature that is looked for. */
const OTHER_CAUSES = 0.3
/** Accepted probability of blame for a feature that only chance brought to the crashes. */
const FALSE_BLAME = 0.1
/** The same for a common part, whose blame refuses many requests. */
const FALSE_BLAME_COMMON = 0.005
/** Share of the running time of a common part, which half of the crashes with six requests have by chance. */
const COMMON_SHARE = 0.1
/** Share of a part that is at nearly all crashes with ten requests by chance. */
const CERTAIN_SHARE = 0.2
/** Evidence by which a culprit has to lead a feature that was at other crashes. */
const MIN_LEAD = 1.5
/** Evidence of a crash by the trial of a part, while no other request had it. */
const TRIAL_EVIDENCE = 8
/** A response that is shorter than a part's usual ones by more than this may be of another kind. */
const COMPARABLE_DURATION = 0.75
/** Keeps a message to other gateways below the usual 1,400 bytes. */
const MAX_REPEATED = 10

export function createCrashRecurrence (): CrashRecurrence {
  return {
    usage: { request: featureUsage.createFeatureUsage(), part: featureUsage.createFeatureUsage() },
    crashes: [],
    wholes: [],
    blames: new Map(),
    held: new Map(),
    acquitted: new Map()
  }
}

export function isBlamed (state: CrashRecurrence, features: crashSuspects.Features, nowMs: number): boolean {
  if (state.blames.size === 0) return false
  return featureList(features).some(feature => (state.blames.get(feature)?.untilMs ?? 0) > nowMs)
}

/** Records that a request ran on a backend server, until whatever end. */
export function noteRun (
  state: CrashRecurrence, place: featureUsage.UsagePlace, features: crashSuspects.Features, durationMs: number,
  nowMs: number
): void {
  featureUsage.noteUsage(state.usage.request, place, [features.request], durationMs, nowMs)
  featureUsage.noteUsage(state.usage.part, place, features.parts, durationMs, nowMs)
}

/** Records a request that a crash interrupted, reported by whichever gateway. */
export function noteCrash (state: CrashRecurrence, crashed: CrashedRequest, nowMs: number): void {
  const { service, server, backend, call } = crashed
  const known = state.crashes.findLast(crash => crash.backend === backend && nowMs - crash.atMs < SAME_CRASH_MS)
  const crash: Crash = known ??
    { atMs: nowMs, backend, service, server, calls: new Set(), features: new Map(), evidence: undefined }
  if (known === undefined) state.crashes.push(crash)
  crash.calls.add(call)
  crash.features.set(crashed.request, 'request')
  for (const part of crashed.parts) crash.features.set(part, 'part')
}

/**
 * Weighs the crashes whose reports have arrived. Called regularly.
 * @param random uniform in [0, 1).
 * @returns the features that are blamed now and were not before.
 */
export function decide (state: CrashRecurrence, nowMs: number, random: () => number): string[] {
  if (state.crashes.length === 0 && state.blames.size === 0) return []
  prune(state, nowMs)
  const blamed: string[] = []
  for (const crash of state.crashes) {
    if (crash.evidence !== undefined || nowMs - crash.atMs < REPORT_MS) continue
    crash.evidence = evidenceOf(state, crash, nowMs)
    renewBlames(state, crash, nowMs, random)
    updateHeld(state, crash, nowMs, random)
    if (featureUsage.countRequests(state.usage.part, crash.service, nowMs) < MIN_REQUESTS) continue
    for (const culprit of findCulprits(state, crash.service, nowMs)) {
      if (state.blames.has(culprit)) continue
      blame(state, culprit, nowMs, random)
      blamed.push(culprit)
    }
  }
  return blamed
}

/** Whether a request has to wait for the trial of a part. */
export function isHeld (
  state: CrashRecurrence, service: string, features: crashSuspects.Features, nowMs: number
): boolean {
  const held = state.held.get(service)
  return held !== undefined && crashHold.isHeld(held, features.parts, nowMs)
}

/** Records that a request is sent. */
export function noteSent (
  state: CrashRecurrence, service: string, features: crashSuspects.Features, nowMs: number
): void {
  const held = state.held.get(service)
  if (held !== undefined) crashHold.noteSent(held, features.parts, nowMs)
}

/** Whether a crash waits for its reports. */
export function hasUndecided (state: CrashRecurrence): boolean {
  return state.crashes.some(crash => crash.evidence === undefined)
}

/** Records that a response ended whole. @returns those of its features that were held against it. */
export function noteWhole (
  state: CrashRecurrence, place: featureUsage.UsagePlace, features: crashSuspects.Features, durationMs: number,
  nowMs: number
): string[] {
  featureUsage.noteWhole(state.usage.part, place.service, features.parts, durationMs, nowMs)
  if (state.crashes.length > 0) state.wholes.push({ ...place, atMs: nowMs, durationMs })
  if (state.wholes.length > MAX_WHOLES) state.wholes.shift()
  if (state.crashes.length === 0 && state.blames.size === 0) return []
  return clear(state, featureList(features), nowMs)
}

/** Applies what a response at any gateway has cleared. @returns the features about which anything was known. */
export function clear (state: CrashRecurrence, features: readonly string[], nowMs: number): string[] {
  for (const [service, { part }] of state.held) if (features.includes(part)) state.held.delete(service)
  return features.filter(feature => {
    const wasBlamed = state.blames.delete(feature)
    if (wasBlamed) state.acquitted.set(feature, nowMs)
    const interrupted = state.crashes.filter(crash => crash.features.delete(feature))
    return wasBlamed || interrupted.length > 0
  })
}

/** Blamed features with the time for which they still are, for gateways that have started since. */
export function blamedFeatures (state: CrashRecurrence, nowMs: number): [feature: string, remainingMs: number][] {
  return [...state.blames].filter(([, { untilMs }]) => untilMs > nowMs)
    .map(([feature, { untilMs }]): [string, number] => [feature, Math.round(untilMs - nowMs)])
    .slice(-MAX_REPEATED)
}

/**
 * Applies what another gateway blames. What this one has blamed itself ends at its own time, and a gateway that has
 * missed that a feature is sound doesn't bring the blame back.
 */
export function applyBlamed (state: CrashRecurrence, feature: string, remainingMs: number, nowMs: number): void {
  if (state.blames.has(feature) || state.acquitted.has(feature)) return
  state.blames.set(feature, { atMs: nowMs, untilMs: nowMs + Math.min(remainingMs, blamePeriod.MAX_BLAME_MS), count: 1 })
}

/** Whether so many requests have a part that it is probably there whenever a backend server of theirs crashes. */
export function isCommon (state: CrashRecurrence, part: string, nowMs: number): boolean {
  const usage = state.usage.part
  return featureUsage.servicesWith(usage, part).some(service =>
    featureUsage.usageShare(usage, { service, server: '' }, part, false, nowMs) > CERTAIN_SHARE)
}

function featureList ({ request, parts }: crashSuspects.Features): string[] {
  return [request, ...parts]
}

/** Evidence that a crash brings against each interrupted feature. */
function evidenceOf (state: CrashRecurrence, crash: Crash, nowMs: number): Map<string, Evidence> {
  return new Map([...crash.features].map(([feature, kind]): [string, Evidence] => {
    const crashes = state.crashes.filter(({ features }) => features.has(feature))
    // Requests that are sent to one backend server on purpose are there whenever it crashes by itself.
    const isHome = crashes.some(other => other !== crash && other.server === crash.server)
    const share = featureUsage.usageShare(state.usage[kind], crash, feature, isHome, nowMs)
    const chance = 1 - (1 - share) ** crash.calls.size
    const weight = Math.log(OTHER_CAUSES + (1 - OTHER_CAUSES) / chance)
    return [feature, { weight, isCommon: share > COMMON_SHARE }]
  }))
}

/** Holds a part that may be the cause, and counts a crash by its trial. */
function updateHeld (state: CrashRecurrence, crash: Crash, nowMs: number, random: () => number): void {
  const { service, evidence } = crash
  const held = state.held.get(service)
  if (held !== undefined && crashHold.isConfirmed(held, crash)) {
    evidence?.set(held.part, { weight: TRIAL_EVIDENCE, isCommon: true })
  }
  const crashes = state.crashes.filter(other => other.service === service && other.evidence !== undefined)
  const shareOf = (part: string): number => featureUsage.usageShare(state.usage.part, crash, part, false, nowMs)
  const next = crashHold.chooseHeld(held, crashes, shareOf, random)
  if (next === undefined) state.held.delete(service)
  else state.held.set(service, next)
}

interface Score {
  kind: FeatureKind
  evidence: number
  crashes: Set<Crash>
  isCommon: boolean
}

/** @returns the features that explain the crashes, the best one first; each explains what the ones before do not. */
function findCulprits (state: CrashRecurrence, service: string, nowMs: number): string[] {
  const culprits: string[] = []
  let unexplained = state.crashes.filter(crash => crash.service === service && crash.evidence !== undefined)
  for (;;) {
    const scores = [...scoresOf(unexplained)].map(([feature, score]): [string, Score] => {
      return [feature, { ...score, evidence: score.evidence + absenceFromWhole(state, service, feature, score, nowMs) }]
    }).sort(([, a], [, b]) => compareScores(a, b))
    const [culprit, score] = scores[0] ?? []
    if (culprit === undefined || score === undefined || !isConvincing(state, service, scores, nowMs)) return culprits
    culprits.push(culprit)
    unexplained = unexplained.filter(crash => !score.crashes.has(crash))
  }
}

/**
 * Evidence from the whole responses since a common part's first crash, none of which has it: otherwise the crash would
 * no longer be held against the part. Only those count that ran where requests with the part ran too, and for as long.
 */
function absenceFromWhole (
  state: CrashRecurrence, service: string, feature: string, { kind, isCommon, crashes }: Score, nowMs: number
): number {
  if (kind === 'request' || !isCommon) return 0
  const usage = state.usage.part
  const sinceMs = Math.min(...[...crashes].map(({ atMs }) => atMs))
  const minDurationMs = COMPARABLE_DURATION * featureUsage.usualDurationMs(usage, service, feature)
  const share = featureUsage.usageShare(usage, { service, server: '' }, feature, false, nowMs)
  const servers = state.wholes.filter(whole =>
    whole.service === service && whole.atMs > sinceMs && whole.durationMs >= minDurationMs).map(({ server }) => server)
  return servers.reduce((sum, server) =>
    sum - Math.log(1 - Math.min(share, featureUsage.shareAtServer(usage, server, feature, share, nowMs))), 0)
}

/** Of two features that were always there together, a request says more than a part. */
function compareScores (a: Score, b: Score): number {
  return b.evidence - a.evidence || Number(a.kind === 'part') - Number(b.kind === 'part')
}

/** Whether the first feature has enough evidence against it, and clearly more than those that were elsewhere. */
function isConvincing (
  state: CrashRecurrence, service: string, scores: [string, Score][], nowMs: number
): boolean {
  const [best, ...others] = scores.map(([, score]) => score)
  if (best === undefined || best.crashes.size < MIN_CRASHES) return false
  if (best.evidence < requiredEvidence(state, service, best, nowMs)) return false
  return others.every(other => best.evidence - other.evidence >= MIN_LEAD || isSubset(other.crashes, best.crashes))
}

function isSubset (part: Set<Crash>, whole: Set<Crash>): boolean {
  return [...part].every(crash => whole.has(crash))
}

/** A crash without a feature counts against its guilt. */
function scoresOf (crashes: readonly Crash[]): Map<string, Score> {
  const scores = new Map<string, Score>()
  for (const crash of crashes) {
    for (const [feature, score] of scores) {
      if (!crash.features.has(feature)) score.evidence += Math.log(OTHER_CAUSES)
      if (score.evidence < 0) scores.delete(feature)
    }
    for (const [feature, kind] of crash.features) {
      const score = scores.get(feature) ?? { evidence: 0, crashes: new Set(), kind, isCommon: false }
      const evidence = crash.evidence?.get(feature)
      score.evidence += evidence?.weight ?? 0
      score.isCommon = evidence?.isCommon ?? score.isCommon
      score.crashes.add(crash)
      scores.set(feature, score)
    }
  }
  return scores
}

/** With more features, chance brings one of them to more crashes. */
function requiredEvidence (state: CrashRecurrence, service: string, { kind, isCommon }: Score, nowMs: number): number {
  const usage = state.usage[kind]
  if (!isCommon) return Math.log(Math.max(MIN_FEATURES, featureUsage.countFeatures(usage, service)) / FALSE_BLAME)
  const common = featureUsage.countLargeShares(usage, service, COMMON_SHARE, nowMs)
  return Math.log(Math.max(MIN_COMMON_FEATURES, common) / FALSE_BLAME_COMMON)
}

/** Renews the blame for features that were tried again, at whichever gateway. */
function renewBlames (state: CrashRecurrence, crash: Crash, nowMs: number, random: () => number): void {
  for (const feature of crash.features.keys()) {
    const known = state.blames.get(feature)
    const isTriedAgain = known !== undefined && crash.atMs - known.atMs >= blamePeriod.SAME_BLAME_MS
    if (isTriedAgain) blame(state, feature, nowMs, random)
  }
}

function blame (state: CrashRecurrence, feature: string, nowMs: number, random: () => number): void {
  const count = (state.blames.get(feature)?.count ?? 0) + 1
  state.blames.set(feature, { atMs: nowMs, untilMs: nowMs + blamePeriod.blamePeriodMs(count, random), count })
}

function prune (state: CrashRecurrence, nowMs: number): void {
  state.crashes = state.crashes.slice(-MAX_CRASHES).filter(({ atMs }) => atMs + CRASH_LIFETIME_MS >= nowMs)
  state.wholes = state.crashes.length === 0 ? [] : state.wholes.filter(({ atMs }) => atMs + CRASH_LIFETIME_MS >= nowMs)
  for (const [feature, { untilMs }] of state.blames) {
    if (untilMs + CRASH_LIFETIME_MS < nowMs) state.blames.delete(feature)
  }
  for (const [feature, atMs] of state.acquitted) {
    if (atMs + blamePeriod.MAX_BLAME_MS < nowMs) state.acquitted.delete(feature)
  }
}
