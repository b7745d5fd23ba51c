/**
 * What is known of the causes of crashes, and when a feature of requests is blamed for them.
 */

import * as crashRecurrence from './crash-recurrence.js'

/** What a request consists of, as far as other requests may have it too. */
export interface Features {
  /** Equal for all copies of a request. */
  request: string
  /** Parts of its prompt, without the last one, which belongs to the request alone. */
  parts: readonly string[]
}

/** A request whose response was not complete when its backend server crashed. */
export interface InterruptedRequest extends Features {
  /** Tells the copies of a request apart; absent if there are none. */
  call?: string
  /** Number of events of the response that had arrived; 0 if absent. */
  events?: number
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
  recurrences: crashRecurrence.Recurrences
  /** When to decide what recurs; undefined if nothing has changed. */
  decideAtMs: number | undefined
}

/** `passed`: the response has passed the point at which backend servers crashed. */
export type Clearance = 'begun' | 'passed' | 'whole'
const CLEARANCES: readonly Clearance[] = ['begun', 'passed', 'whole']

export interface Suspect {
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
  /** How far a response has to go to clear the feature. */
  clearedBy: Clearance
}

export interface Crash {
  atMs: number
  /** Whether a blamed feature explains the crash. */
  isExplained: boolean
  /** Whether that feature was blamed because it recurs, which is surer than the result of a trial. */
  isRecurring: boolean
  requests: InterruptedRequest[]
}

/** A feature that isn't tried again for this long is no longer suspected. */
const SUSPICION_LIFETIME_MS = 60_000
/** A blamed feature is tried again after this time, since the fault may have been mended. It doubles each time. */
const BLAME_MS = 60_000
export const MAX_BLAME_MS = 600_000
/** Share by which gateways extend the time at random, so that they don't all try the feature at the same moment. */
const BLAME_SPREAD = 0.5
/** Crashes within this time are taken for the result of trials at the same moment. */
const SAME_TRIAL_MS = 3_000
const MAX_SUSPECTS = 2_000
const MAX_CRASHES = 200

export function createCrashSuspects (): CrashSuspects {
  return {
    suspects: new Map(), crashes: new Map(), recurrences: crashRecurrence.createRecurrences(), decideAtMs: undefined
  }
}

/** Separates the parts of a combination, which is the key of its own suspect. */
const COMBINATION_SEPARATOR = '\n'

export function hasBlamed (state: CrashSuspects, features: Features, nowMs: number): boolean {
  const own = featureList(features)
  if (own.some(feature => isBlamed(state.suspects.get(feature), nowMs))) return true
  for (const [key, suspect] of state.suspects) {
    const isCombination = key.includes(COMBINATION_SEPARATOR) && isBlamed(suspect, nowMs)
    if (isCombination && key.split(COMBINATION_SEPARATOR).every(part => own.includes(part))) return true
  }
  return false
}

export function featureList (features: Features): string[] {
  return [features.request, ...features.parts]
}

export function isBlamed (suspect: Suspect | undefined, nowMs: number): boolean {
  return suspect !== undefined && suspect.blamedUntilMs > nowMs
}

export function newSuspect (nowMs: number): Suspect {
  return { crashes: new Set(), blamedAtMs: -Infinity, blamedUntilMs: 0, blames: 0, trialUntilMs: 0, changedAtMs: nowMs, clearedBy: 'begun' }
}

export function suspect (state: CrashSuspects, feature: string, backend: string, nowMs: number): void {
  const known = state.suspects.get(feature) ?? newSuspect(nowMs)
  known.crashes.add(backend)
  known.changedAtMs = nowMs
  state.suspects.set(feature, known)
}

export function clear (state: CrashSuspects, features: readonly string[], by: Clearance): string[] {
  const isClearable = (suspect: Suspect | undefined): boolean => suspect !== undefined &&
    CLEARANCES.indexOf(suspect.clearedBy) <= CLEARANCES.indexOf(by)
  for (const [key, suspect] of state.suspects) {
    const isCombination = key.includes(COMBINATION_SEPARATOR) && isClearable(suspect)
    if (!isCombination) continue
    if (key.split(COMBINATION_SEPARATOR).some(part => features.includes(part))) state.suspects.delete(key)
  }
  return features.filter(feature => isClearable(state.suspects.get(feature)) && state.suspects.delete(feature))
}

export function raiseClearance (suspect: Suspect, to: Clearance): void {
  if (CLEARANCES.indexOf(to) > CLEARANCES.indexOf(suspect.clearedBy)) suspect.clearedBy = to
}

/** Whether the crash that interrupted the request itself may be the one that shows its cause. */
export function isUndecided (state: CrashSuspects, features: Features): boolean {
  if (state.decideAtMs === undefined || !features.parts.some(part => crashRecurrence.recurs(state.recurrences, part))) {
    return false
  }
  const last = [...state.crashes.values()].at(-1)
  return last?.requests.some(({ request }) => request === features.request) ?? false
}

/**
 * Blames the parts that explain the crashes so far; without any, a request that was interrupted as often. Parts of
 * different requests that could all explain them are suspected, so that trials tell them apart.
 */
export function blameRecurring (state: CrashSuspects, nowMs: number, random: () => number): string[] {
  const blamed: string[] = []
  const { recurrences } = state
  const open = [...state.crashes.values()].filter(crash => !crash.isRecurring).flatMap(crash => crash.requests)
  const allParts = new Set(open.flatMap(({ parts }) => parts))
  for (const { request, parts, backend } of open) {
    const { own, rivals } = crashRecurrence.culprits(recurrences, parts, allParts)
    const isRequest = own.length === 0 && crashRecurrence.recurs(recurrences, request) &&
      !parts.some(part => crashRecurrence.recurs(recurrences, part))
    if (own.length === 0 && !isRequest) continue
    if (rivals.length > 0) {
      for (const part of [...own, ...rivals]) {
        suspect(state, part, backend, nowMs)
        raiseClearance(state.suspects.get(part)!, 'passed')
      }
      continue
    }
    const culprit = isRequest ? request : own.sort().join(COMBINATION_SEPARATOR)
    const known = state.suspects.get(culprit) ?? newSuspect(nowMs)
    const clearance = own.length > 1 ? 'passed' : 'whole'
    if (isBlamed(known, nowMs) && known.clearedBy === clearance) continue
    state.suspects.set(culprit, known)
    raiseClearance(known, clearance)
    blame(known, nowMs, random)
    blamed.push(culprit)
  }
  for (const feature of blamed) explainBy(state, feature)
  return blamed
}

/**
 * Blames the suspected parts that remain of a request that was tried: one by itself, several only in combination. If
 * none remains, the request as a whole is to blame.
 */
export function blameRemaining (state: CrashSuspects, nowMs: number, random: () => number): string[] {
  const blamed: string[] = []
  for (const crash of state.crashes.values()) {
    for (const { request, parts, tried, events = 0 } of crash.isExplained ? [] : crash.requests) {
      // What recurs needs more than one trial, unless it has been blamed before.
      const isTried = (feature: string): boolean => {
        const known = state.suspects.get(feature)
        return known !== undefined && tried.includes(feature) &&
          (known.clearedBy === 'begun' ? events === 0 : known.blames > 0)
      }
      const remaining = parts.filter(isTried)
      if (remaining.length === 0 && !isTried(request)) continue
      const culprit = remaining.length === 0 ? request : remaining.sort().join(COMBINATION_SEPARATOR)
      const known = state.suspects.get(culprit) ?? (remaining.length > 1 ? newSuspect(nowMs) : undefined)
      if (known === undefined || isBlamed(known, nowMs) || isDoubtful(state, crash, remaining)) continue
      state.suspects.set(culprit, known)
      blame(known, nowMs, random)
      blamed.push(culprit)
    }
  }
  for (const feature of blamed) explainBy(state, feature)
  return blamed
}

/**
 * Whether the same crash interrupted a response that had begun, to a request with these parts and another one that has
 * been in more than one crash: that one may be the cause, and the parts only shared with it.
 */
function isDoubtful (state: CrashSuspects, crash: Crash, culprit: readonly string[]): boolean {
  return culprit.length > 0 && crash.requests.some(({ parts, events = 0 }) => events > 0 &&
    culprit.every(part => parts.includes(part)) &&
    parts.some(part => !culprit.includes(part) && crashRecurrence.crashesOf(state.recurrences, part) > 1))
}

/** Takes back what a trial has just shown if the report of another request in the same crash makes it doubtful. */
export function withdrawDoubtful (state: CrashSuspects, crash: Crash, nowMs: number): void {
  for (const [key, known] of state.suspects) {
    const isRecent = isBlamed(known, nowMs) && known.blamedAtMs >= crash.atMs && known.clearedBy === 'begun'
    if (!isRecent || !isDoubtful(state, crash, key.split(COMBINATION_SEPARATOR))) continue
    known.blamedUntilMs = 0
    known.blames = 0
    known.blamedAtMs = -Infinity
    crash.isExplained = false
  }
}

/** Blames a feature, or renews its blame after a trial at another gateway. */
export function blame (suspect: Suspect, nowMs: number, random: () => number): void {
  if (nowMs - suspect.blamedAtMs < SAME_TRIAL_MS) return
  suspect.blames += 1
  const periodMs = Math.min(MAX_BLAME_MS, BLAME_MS * 2 ** (suspect.blames - 1))
  suspect.blamedUntilMs = nowMs + periodMs * (1 + BLAME_SPREAD * random())
  suspect.blamedAtMs = nowMs
}

/** A blamed feature explains all crashes that interrupted a request with it. */
export function explainBy (state: CrashSuspects, feature: string): void {
  for (const crash of state.crashes.values()) {
    if (!crash.requests.some(request => featureList(request).includes(feature))) continue
    if (state.suspects.get(feature)!.clearedBy !== 'begun') crash.isRecurring = true
    explain(state, crash, feature)
  }
}

/** Other features are no longer suspected because of a crash that is explained, nor blamed after a trial of them. */
export function explain (state: CrashSuspects, crash: Crash, cause: string): void {
  crash.isExplained = true
  for (const request of crash.requests) {
    if (crash.isRecurring) crashRecurrence.explain(state.recurrences, request.backend, cause)
    for (const feature of featureList(request)) {
      const known = state.suspects.get(feature)
      known?.crashes.delete(request.backend)
      const isOver = known !== undefined && known.crashes.size === 0 && feature !== cause &&
        (known.blames === 0 || (crash.isRecurring && known.clearedBy !== 'whole'))
      if (isOver) state.suspects.delete(feature)
    }
  }
}

export function prune (state: CrashSuspects, nowMs: number): void {
  for (const [feature, known] of state.suspects) {
    const endMs = Math.max(known.blamedUntilMs, known.changedAtMs) + SUSPICION_LIFETIME_MS
    if (endMs < nowMs || state.suspects.size > MAX_SUSPECTS) state.suspects.delete(feature)
  }
  for (const [backend, crash] of state.crashes) {
    if (crash.atMs + SUSPICION_LIFETIME_MS < nowMs || state.crashes.size > MAX_CRASHES) state.crashes.delete(backend)
  }
}
