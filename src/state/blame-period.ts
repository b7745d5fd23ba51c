/**
 * For how long requests are refused that are blamed for crashes of backend servers.
 */

/** A blamed feature is tried again after this time, since the fault may have been mended. It doubles each time. */
const BLAME_MS = 60_000
export const MAX_BLAME_MS = 600_000
/** Share by which gateways extend the time at random, so that they don't all try the feature at the same moment. */
const BLAME_SPREAD = 0.5
/** Crashes within this time of the blame come from trials at the same moment, or from requests under way. */
export const SAME_BLAME_MS = 3_000

/**
 * @param blames number of times that the feature was blamed, with this one.
 * @param random uniform in [0, 1).
 */
export function blamePeriodMs (blames: number, random: () => number): number {
  return Math.min(MAX_BLAME_MS, BLAME_MS * 2 ** (blames - 1)) * (1 + BLAME_SPREAD * random())
}
