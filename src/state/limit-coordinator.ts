/**
 * Which entry grants the permits for the limited backend servers of a service. Each entry works this out alone from the
 * entries that it hears; no agreement is needed, since permits are few and a change leaves no time to both.
 */

import * as crypto from 'node:crypto'

/** @param entries addresses of the ready entries. @returns undefined when there is none. */
export function chooseCoordinator (service: string, entries: readonly string[]): string | undefined {
  let best: { entry: string, rank: string } | undefined
  for (const entry of entries) {
    const rank = crypto.createHash('sha1').update(`${service}\u0000${entry}`).digest('hex')
    if (best === undefined || rank < best.rank) best = { entry, rank }
  }
  return best?.entry
}

/** Share of the limits for the part of the entries that may be the smaller one of two. */
const MINORITY_SHARE = 0.5

/**
 * Share of the limits that a coordinator grants. Without most of the entries it may be cut off from another one, which
 * has the full limit. It then grants half of the part of those that it hears.
 *
 * @param heard entries that are not silent, with the process itself.
 * @param known all that were heard within the last while, including those.
 */
export function rateShare (heard: number, known: number): number {
  return 2 * heard > known ? 1 : MINORITY_SHARE * heard / known
}
