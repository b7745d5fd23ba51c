/**
 * Finds out what crashes backend servers: a whole request, or a part of prompts that many requests share.
 *
 * Load pattern: requests with one part in common, otherwise all different, arrive at every gateway. Each crashes the
 * backend server that begins its response, and with it a lock-step group for seconds. Sound requests share their
 * caller, route and other parts, and some of them are interrupted by the same crashes.
 *
 * What a crash interrupted before its response began is suspected. A response that begins afterwards clears whatever
 * its request consists of. Until then a gateway tries one request with a suspected feature at a time. If that one
 * crashes its backend server too and only one suspected part remains in it, that part is blamed. While several remain,
 * only requests with all of them are refused, so that others can still clear some.
 */

import * as blamePeriod from './blame-period.js'

/** What a request consists of, as far as other requests may have it too. */
export interface Features {
  /** Equal for all copies of a request. */
  request: string
  /** Parts of its prompt, without the last one, which belongs to the request alone. */
  parts: readonly string[]
}

/** A request whose response had not begun when its backend server crashed. */
export interface InterruptedRequest extends Features {
  /** Incarnation of the backend server. */
  backend: string
  /** Features that were suspected when the request was sent. */
  tried: readonly string[]
}

export interface CrashSuspects {
  /** By feature, or by a combination of parts. */
  suspects: Map<string, Suspect>
  /** Crashes whose cause isn't known yet, by incarnation of the backend server. */
  crashes: Map<string, Crash>
}

interface Suspect {
  /** Incarnations that crashed while they ran a request with the feature. */
  crashes: Set<string>
  /** When it was blamed last; -Infinity if it never was. */
  blamedAtMs: number
  /** Requests with the feature are refused until this time; 0 if it was never blamed. */
  blamedUntilMs: number
  /** Number of times that the feature was blamed. */
  blames: number
  /** One request with the feature is being tried until this time at most. */
  trialUntilMs: number
  changedAtMs: number
}

interface Crash {
  atMs: number
  /** Whether a blamed feature explains the crash. */
  isExplained: boolean
  requests: InterruptedRequest[]
}

/**
 * `run`: nothing is suspected. `try`: the request may be sent, as the only one with its suspected features.
 * `wait`: the result of another request is awaited. `blamed`: the request would crash a backend server.
 */
export type Verdict = 'run' | 'try' | 'wait' | 'blamed'

/** A feature that isn't tried again for this long is no longer suspected. */
const SUSPICION_LIFETIME_MS = 60_000
/** Time for which a request with several suspected parts lets others clear some of them, once it could be sent. */
const CLEARING_TIME_MS = 500
/** A trial without a result ends after this time, and another request is tried. */
const TRIAL_TIMEOUT_MS = 1_500
/** Trials of common parts that have to end in a crash before these are blamed. */
const COMMON_PART_TRIALS = 3
const MAX_SUSPECTS = 2_000
const MAX_CRASHES = 200
/** Keeps a message to other gateways below the usual 1,400 bytes. */
const MAX_REPEATED = 20

export function createCrashSuspects (): CrashSuspects {
  return { suspects: new Map(), crashes: new Map() }
}

/** Features of a request that are suspected and not blamed. */
export function suspectedFeatures (state: CrashSuspects, features: Features, nowMs: number): string[] {
  if (state.suspects.size === 0) return []
  return featureList(features).filter(feature => {
    const suspect = state.suspects.get(feature)
    return suspect !== undefined && suspect.blamedUntilMs <= nowMs
  })
}

/** What a verdict depends on besides the request itself. */
export interface WaitingState {
  /**
   * Lowest number of suspected features among the waiting requests. The request with the fewest is tried first: it
   * clears the features that it shares with the others.
   */
  fewestSuspected: number
  /** Time since the request could have been sent for the first time. */
  offeredForMs: number
}

export function judge (state: CrashSuspects, features: Features, waiting: WaitingState, nowMs: number): Verdict {
  if (state.suspects.size === 0) return 'run'
  if (hasBlamed(state, features, nowMs)) return 'blamed'
  const suspected = suspectedFeatures(state, features, nowMs)
  if (suspected.length === 0) return 'run'
  if (suspected.length > waiting.fewestSuspected) return 'wait'
  const suspectedParts = features.parts.filter(part => suspected.includes(part))
  if (suspectedParts.length > 1 && waiting.offeredForMs < CLEARING_TIME_MS) return 'wait'
  return suspected.some(feature => state.suspects.get(feature)!.trialUntilMs > nowMs) ? 'wait' : 'try'
}

/** Records that a request with these suspected features is sent. */
export function startTrial (state: CrashSuspects, suspected: readonly string[], nowMs: number): void {
  for (const feature of suspected) {
    const suspect = state.suspects.get(feature)
    if (suspect !== undefined) suspect.trialUntilMs = nowMs + TRIAL_TIMEOUT_MS
  }
}

export function endTrial (state: CrashSuspects, tried: readonly string[]): void {
  for (const feature of tried) {
    const suspect = state.suspects.get(feature)
    if (suspect !== undefined) suspect.trialUntilMs = 0
  }
}

/** What blame depends on besides the crashes. */
export interface BlameOptions {
  /** Whether so many requests have a part that it is probably there whenever a backend server crashes. */
  isCommon: (part: string) => boolean
  /** Uniform in [0, 1). */
  random: () => number
}

/**
 * Records a request that a crash interrupted before its response began.
 * @returns the features that are blamed now and were not before.
 */
export function noteCrash (
  state: CrashSuspects, interrupted: InterruptedRequest, nowMs: number, options: BlameOptions
): string[] {
  prune(state, nowMs)
  const crash = state.crashes.get(interrupted.backend) ?? { atMs: nowMs, isExplained: false, requests: [] }
  state.crashes.set(interrupted.backend, crash)
  if (crash.requests.some(known => known.request === interrupted.request)) return []
  crash.requests.push(interrupted)
  const blamed = interrupted.parts.filter(part => isBlamed(state.suspects.get(part), nowMs))
  if (blamed.length > 0) explain(state, crash)
  for (const part of blamed.filter(blamedPart => interrupted.tried.includes(blamedPart))) {
    blame(state.suspects.get(part)!, nowMs, options.random)
  }
  if (crash.isExplained) return []
  for (const feature of featureList(interrupted)) suspect(state, feature, interrupted.backend, nowMs)
  return blameRemaining(state, nowMs, options)
}

/** Records that a response began: its request's features crash nothing. @returns the features that were suspected. */
export function noteBegun (state: CrashSuspects, features: Features): string[] {
  if (state.suspects.size === 0) return []
  return clear(state, featureList(features))
}

/** @returns the features that are blamed because no other one remains. */
export function applyCleared (
  state: CrashSuspects, cleared: readonly string[], nowMs: number, options: BlameOptions
): string[] {
  clear(state, cleared)
  return blameRemaining(state, nowMs, options)
}

/** Blamed features with the time for which they still are, for gateways that have started since. */
export function blamedFeatures (state: CrashSuspects, nowMs: number): [feature: string, remainingMs: number][] {
  return [...state.suspects].filter(([, suspect]) => isBlamed(suspect, nowMs))
    .map(([feature, suspect]): [string, number] => [feature, Math.round(suspect.blamedUntilMs - nowMs)])
    .slice(-MAX_REPEATED)
}

/** Applies what another gateway blames. What this one has blamed itself ends at its own time. */
export function applyBlamed (
  state: CrashSuspects, blamed: readonly (readonly [feature: string, remainingMs: number])[], nowMs: number
): void {
  prune(state, nowMs)
  for (const [feature, remainingMs] of blamed) {
    const known = state.suspects.get(feature) ?? newSuspect(nowMs)
    if (known.blames > 0) continue
    known.blames = 1
    known.blamedUntilMs = nowMs + Math.min(remainingMs, blamePeriod.MAX_BLAME_MS)
    known.blamedAtMs = nowMs
    state.suspects.set(feature, known)
    explainBy(state, feature)
  }
}

/** Separates the parts of a combination, which is the key of its own suspect. */
const COMBINATION_SEPARATOR = '\n'

function hasBlamed (state: CrashSuspects, features: Features, nowMs: number): boolean {
  const own = featureList(features)
  if (own.some(feature => isBlamed(state.suspects.get(feature), nowMs))) return true
  for (const [key, suspect] of state.suspects) {
    const isCombination = key.includes(COMBINATION_SEPARATOR) && isBlamed(suspect, nowMs)
    if (isCombination && key.split(COMBINATION_SEPARATOR).every(part => own.includes(part))) return true
  }
  return false
}

function featureList (features: Features): string[] {
  return [features.request, ...features.parts]
}

function isBlamed (suspect: Suspect | undefined, nowMs: number): boolean {
  return suspect !== undefined && suspect.blamedUntilMs > nowMs
}

function newSuspect (nowMs: number): Suspect {
  return { crashes: new Set(), blamedAtMs: -Infinity, blamedUntilMs: 0, blames: 0, trialUntilMs: 0, changedAtMs: nowMs }
}

function suspect (state: CrashSuspects, feature: string, backend: string, nowMs: number): void {
  const known = state.suspects.get(feature) ?? newSuspect(nowMs)
  known.crashes.add(backend)
  known.changedAtMs = nowMs
  state.suspects.set(feature, known)
}

function clear (state: CrashSuspects, features: readonly string[]): string[] {
  for (const key of state.suspects.keys()) {
    if (key.includes(COMBINATION_SEPARATOR) && key.split(COMBINATION_SEPARATOR).some(part => features.includes(part))) {
      state.suspects.delete(key)
    }
  }
  return features.filter(feature => state.suspects.delete(feature))
}

/**
 * Blames the suspected parts that remain of a request that was tried: one by itself, several only in combination. If
 * none remains, the request as a whole is to blame. Requests with a common part are also interrupted by crashes of
 * another cause, so one trial is no proof against it.
 */
function blameRemaining (state: CrashSuspects, nowMs: number, { isCommon, random }: BlameOptions): string[] {
  const blamed: string[] = []
  for (const crash of state.crashes.values()) {
    for (const { request, parts, tried } of crash.isExplained ? [] : crash.requests) {
      const remaining = parts.filter(part => tried.includes(part) && state.suspects.has(part))
      if (remaining.length === 0 && !tried.includes(request)) continue
      if (remaining.length > 0 && remaining.every(isCommon) && trialsOf(state, remaining) < COMMON_PART_TRIALS) continue
      const culprit = remaining.length === 0 ? request : remaining.sort().join(COMBINATION_SEPARATOR)
      const known = state.suspects.get(culprit) ?? (remaining.length > 1 ? newSuspect(nowMs) : undefined)
      if (known === undefined || isBlamed(known, nowMs)) continue
      state.suspects.set(culprit, known)
      blame(known, nowMs, random)
      blamed.push(culprit)
    }
  }
  for (const feature of blamed) explainBy(state, feature)
  return blamed
}

/** Number of crashes that interrupted a trial of the parts. */
function trialsOf (state: CrashSuspects, parts: readonly string[]): number {
  return [...state.crashes.values()].filter(crash => !crash.isExplained &&
    crash.requests.some(({ tried }) => parts.every(part => tried.includes(part)))).length
}

/** Blames a feature, or renews its blame after a trial at another gateway. */
function blame (suspect: Suspect, nowMs: number, random: () => number): void {
  if (nowMs - suspect.blamedAtMs < blamePeriod.SAME_BLAME_MS) return
  suspect.blames += 1
  suspect.blamedUntilMs = nowMs + blamePeriod.blamePeriodMs(suspect.blames, random)
  suspect.blamedAtMs = nowMs
}

/** A blamed feature explains all crashes that interrupted a request with it. */
function explainBy (state: CrashSuspects, feature: string): void {
  for (const crash of state.crashes.values()) {
    if (crash.requests.some(request => featureList(request).includes(feature))) explain(state, crash)
  }
}

/** Other features are no longer suspected because of a crash that is explained. */
function explain (state: CrashSuspects, crash: Crash): void {
  crash.isExplained = true
  for (const request of crash.requests) {
    for (const feature of featureList(request)) {
      const known = state.suspects.get(feature)
      known?.crashes.delete(request.backend)
      if (known !== undefined && known.crashes.size === 0 && known.blames === 0) state.suspects.delete(feature)
    }
  }
}

function prune (state: CrashSuspects, nowMs: number): void {
  for (const [feature, known] of state.suspects) {
    const endMs = Math.max(known.blamedUntilMs, known.changedAtMs) + SUSPICION_LIFETIME_MS
    if (endMs < nowMs || state.suspects.size > MAX_SUSPECTS) state.suspects.delete(feature)
  }
  for (const [backend, crash] of state.crashes) {
    if (crash.atMs + SUSPICION_LIFETIME_MS < nowMs || state.crashes.size > MAX_CRASHES) state.crashes.delete(backend)
  }
}
