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
 *
 * What crashes occur with one after the other, at any point of the response, is blamed without a trial
 * (`crash-recurrence.ts`); only a response that ends whole clears it.
 */

import * as crashCauses from './crash-causes.js'
import * as crashRecurrence from './crash-recurrence.js'

export type Features = crashCauses.Features
export type InterruptedRequest = crashCauses.InterruptedRequest
export type CrashSuspects = crashCauses.CrashSuspects
export const { createCrashSuspects } = crashCauses

/**
 * `run`: nothing is suspected. `try`: the request may be sent, as the only one with its suspected features.
 * `wait`: the result of another request is awaited. `blamed`: the request would crash a backend server.
 */
export type Verdict = 'run' | 'try' | 'wait' | 'blamed'

/** Time for which a request with several suspected parts lets others clear some of them, once it could be sent. */
const CLEARING_TIME_MS = 500
/** A trial without a result ends after this time, and another request is tried. */
const TRIAL_TIMEOUT_MS = 1_500
/** Time in which gateways tell each other what a crash interrupted. */
const SETTLING_MS = 150
/** Keeps a message to other gateways below the usual 1,400 bytes. */
const MAX_REPEATED = 20

/** Features of a request that are suspected and not blamed. */
export function suspectedFeatures (state: CrashSuspects, features: Features, nowMs: number): string[] {
  if (state.suspects.size === 0) return []
  return crashCauses.featureList(features).filter(feature => {
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
  if (crashCauses.isUndecided(state, features)) return 'wait'
  if (state.suspects.size === 0) return 'run'
  if (crashCauses.hasBlamed(state, features, nowMs)) return 'blamed'
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

/**
 * Records a request that a crash interrupted.
 * @param random uniform in [0, 1).
 * @returns the features that are blamed now and were not before.
 */
export function noteCrash (
  state: CrashSuspects, interrupted: InterruptedRequest, nowMs: number, random: () => number
): string[] {
  crashCauses.prune(state, nowMs)
  const known = state.crashes.get(interrupted.backend)
  const crash = known ?? { atMs: nowMs, isExplained: false, isRecurring: false, requests: [] }
  state.crashes.set(interrupted.backend, crash)
  const call = interrupted.call ?? interrupted.request
  const events = interrupted.events ?? 0
  if (crash.requests.some(other => (other.call ?? other.request) === call)) return []
  crash.requests.push(interrupted)
  const blamed = interrupted.parts.filter(part => crashCauses.isBlamed(state.suspects.get(part), nowMs))
  const blamedAgain = blamed.filter(part => interrupted.tried.includes(part))
  for (const part of blamedAgain) crashCauses.blame(state.suspects.get(part)!, nowMs, random)
  const features = crashCauses.featureList(interrupted)
  if (blamed.some(part => state.suspects.get(part)!.clearedBy !== 'begun')) crash.isRecurring = true
  for (const part of blamed) crashCauses.explain(state, crash, part)
  if (crash.isRecurring) return []
  crashRecurrence.noteCrash(state.recurrences, { features, call, events, backend: interrupted.backend }, nowMs)
  if (events > 0) crashCauses.withdrawDoubtful(state, crash, nowMs)
  if (known === undefined) state.decideAtMs = nowMs + SETTLING_MS
  state.decideAtMs ??= nowMs + SETTLING_MS
  if (crash.isExplained) return []
  // What had begun is not held back: it may be any of the requests that the backend server ran.
  if (events === 0) for (const feature of features) crashCauses.suspect(state, feature, interrupted.backend, nowMs)
  return crashCauses.blameRemaining(state, nowMs, random)
}

/**
 * Records that a response began: its request's features crash nothing before that.
 * @returns the features that were suspected.
 */
export function noteBegun (state: CrashSuspects, features: Features): string[] {
  if (state.suspects.size === 0) return []
  return crashCauses.clear(state, crashCauses.featureList(features), 'begun')
}

/** Records how far a response has gone. @returns the features with which it has passed the point of crashes. */
export function noteEvents (state: CrashSuspects, features: Features, call: string, events: number): string[] {
  if (state.recurrences.byFeature.size === 0) return []
  return crashRecurrence.noteEvents(state.recurrences, crashCauses.featureList(features), call, events)
}

/** Records that a response broke off without a crash of its backend server. @returns whether that matters. */
export function noteCut (state: CrashSuspects, features: Features, call: string): boolean {
  return crashRecurrence.noteCut(state.recurrences, crashCauses.featureList(features), call)
}

export function applyCut (state: CrashSuspects, features: readonly string[], call: string): void {
  crashRecurrence.noteCut(state.recurrences, features, call)
}

/** @returns the features that are blamed because no other one remains. */
export function applyPassed (
  state: CrashSuspects, passed: readonly string[], call: string, nowMs: number, random: () => number
): string[] {
  crashRecurrence.applyPassed(state.recurrences, passed, call)
  if (crashCauses.clear(state, passed, 'passed').length === 0) return []
  state.decideAtMs ??= nowMs
  return crashCauses.blameRemaining(state, nowMs, random)
}

/** Records that a response ended whole: its request's features crash nothing. @returns what was cleared. */
export function noteWhole (state: CrashSuspects, features: Features, nowMs: number): string[] {
  if (state.suspects.size === 0 && state.recurrences.byFeature.size === 0) return []
  return applyWhole(state, crashCauses.featureList(features), nowMs)
}

export function applyWhole (state: CrashSuspects, features: readonly string[], nowMs: number): string[] {
  const cleared = new Set([...crashCauses.clear(state, features, 'whole'), ...crashRecurrence.clear(state.recurrences, features)])
  if (cleared.size > 0) state.decideAtMs ??= nowMs
  return [...cleared]
}

/** Blames what recurs once all gateways have told what the last crash interrupted. @returns what is blamed now. */
export function decide (state: CrashSuspects, nowMs: number, random: () => number): string[] {
  if (state.decideAtMs === undefined || state.decideAtMs > nowMs) return []
  state.decideAtMs = undefined
  return crashCauses.blameRecurring(state, nowMs, random)
}

/** @returns the features that are blamed because no other one remains. */
export function applyCleared (
  state: CrashSuspects, cleared: readonly string[], nowMs: number, random: () => number
): string[] {
  crashCauses.clear(state, cleared, 'begun')
  return crashCauses.blameRemaining(state, nowMs, random)
}

/** A feature, the time for which it is still blamed, and what clears it, if not a response that begins. */
export type BlamedFeature = readonly [feature: string, remainingMs: number, clearedBy?: string]

/** Features that are blamed now, for gateways that have started since. */
export function blamedFeatures (state: CrashSuspects, nowMs: number): BlamedFeature[] {
  return [...state.suspects].filter(([, suspect]) => crashCauses.isBlamed(suspect, nowMs))
    .map(([feature, { blamedUntilMs, clearedBy }]): BlamedFeature => {
      const remainingMs = Math.round(blamedUntilMs - nowMs)
      return clearedBy === 'begun' ? [feature, remainingMs] : [feature, remainingMs, clearedBy]
    })
    .slice(-MAX_REPEATED)
}

/** Applies what another gateway blames. What this one has blamed itself ends at its own time. */
export function applyBlamed (
  state: CrashSuspects, blamed: readonly BlamedFeature[], nowMs: number
): void {
  crashCauses.prune(state, nowMs)
  for (const [feature, remainingMs, clearedBy = 'begun'] of blamed) {
    const known = state.suspects.get(feature) ?? crashCauses.newSuspect(nowMs)
    crashCauses.raiseClearance(known, clearedBy as crashCauses.Clearance)
    if (known.blames > 0) continue
    known.blames = 1
    known.blamedUntilMs = nowMs + Math.min(remainingMs, crashCauses.MAX_BLAME_MS)
    known.blamedAtMs = nowMs
    state.suspects.set(feature, known)
    crashCauses.explainBy(state, feature)
  }
}
