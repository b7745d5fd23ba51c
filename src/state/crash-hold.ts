/**
 * Holds requests with a common part back when it has been at all of several crashes, and tries one of them when the
 * service has been up for longer than before.
 *
 * Load pattern: a lock-step group whose ranks nearly all run a request with the part. Its presence at a crash says
 * little then, and the group is open for too short a time for responses to end whole.
 */

export interface HeldPart {
  part: string
  /** From this time on the service has been up for longer than between the crashes before. */
  calmFromMs: number
  /** When this gateway sends the next request with the part. */
  trialAtMs: number
  untilMs: number
}

/** A crash of a service's backend server. */
export interface ServiceCrash {
  atMs: number
  features: ReadonlyMap<string, string>
}

/** Crashes with a part, one after the other, before it is held. */
const MIN_CRASHES = 3
/** Crashes within this time have one cause. */
const SAME_CAUSE_MS = 1_000
/** Parts with a smaller share of the running time are found by their presence. */
const MIN_SHARE = 0.05
/** A part with a larger share is not held, since most of the service would wait. */
const MAX_SHARE = 0.5
/** Longest time for which a service has to be up before the trial. */
const MAX_CALM_MS = 8_000
/** A service that stays up for this multiple of the longest interval between the crashes has left their series. */
const CALM_FACTOR = 1.5
/** Time within which the gateways try a request, so that the first crash is known before the next trial. */
const TRIAL_SPREAD_MS = 8_000
/** A trial without a result is repeated after this time. */
const TRIAL_TIMEOUT_MS = 5_000
const MAX_HOLD_MS = 30_000

/**
 * Decides after a crash which part is held.
 * @param crashes of one service, in their order, with the last one.
 * @param shareOf share of the service's running time that requests with a part have.
 * @param random uniform in [0, 1).
 */
export function chooseHeld (
  held: HeldPart | undefined, crashes: readonly ServiceCrash[], shareOf: (part: string) => number, random: () => number
): HeldPart | undefined {
  const last = crashes.at(-1)
  const intervals = crashes.slice(1).map(({ atMs }, index) => atMs - crashes[index]!.atMs)
    .filter(intervalMs => intervalMs > SAME_CAUSE_MS)
  if (last === undefined || intervals.length < MIN_CRASHES - 1) return undefined
  const candidates = [...last.features]
    .filter(([part, kind]) => kind === 'part' && crashes.every(({ features }) => features.has(part)))
    .map(([part]) => ({ part, share: shareOf(part) }))
    .filter(({ share }) => share > MIN_SHARE && share < MAX_SHARE)
    .sort((a, b) => a.share - b.share)
  const part = candidates[0]?.part
  if (part === undefined) return undefined
  if (held?.part === part && last.atMs >= held.calmFromMs) return held
  const calmFromMs = last.atMs + Math.min(MAX_CALM_MS, CALM_FACTOR * Math.max(...intervals))
  const trialAtMs = calmFromMs + TRIAL_SPREAD_MS * random()
  return { part, calmFromMs, trialAtMs, untilMs: calmFromMs + MAX_HOLD_MS }
}

export function isHeld (held: HeldPart, parts: readonly string[], nowMs: number): boolean {
  return parts.includes(held.part) && nowMs < held.trialAtMs && nowMs < held.untilMs
}

/** Records that a request is sent: others with the part wait for its result. */
export function noteSent (held: HeldPart, parts: readonly string[], nowMs: number): void {
  if (parts.includes(held.part)) held.trialAtMs = nowMs + TRIAL_TIMEOUT_MS
}

/** Whether a crash came when the service had been up for long without the part, and the part was tried. */
export function isConfirmed (held: HeldPart, crash: ServiceCrash): boolean {
  return crash.atMs >= held.calmFromMs && crash.atMs < held.untilMs && crash.features.has(held.part)
}
