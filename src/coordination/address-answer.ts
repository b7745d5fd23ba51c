/**
 * Builds the answer to a caller that asks which entries to use.
 */

import type * as environment from './environment.js'
import * as issuedKeys from '../state/issued-keys.js'
import * as membership from '../state/membership.js'
import * as outcomes from '../state/outcome.js'
import * as rendezvous from '../state/rendezvous.js'

export interface AddressAnswer {
  entries: { url: string, failureDomain: string }[]
  timeToLiveSeconds: number
  /** Single-use idempotency keys; present when the caller asked for keys. */
  keys?: string[]
  /** Time after which the keys are refused. */
  keyTimeToLiveSeconds?: number
}

export interface AddressQuery {
  self: membership.EntryIdentity
  isSelfDraining: boolean
  members: membership.Membership
  /** Team of the caller: calls of one team are directed to the same few entries. */
  team: string
  issueKeys: () => string[]
}

/** How long a caller may use an address answer. */
export const TIME_TO_LIVE_SECONDS = 5
const MAX_ENTRIES = 4
const MAX_ISSUED_KEYS = 100

/**
 * Parses the number of keys that a caller asks for.
 * @returns a refusal when the number is invalid, or when keys are requested without a team.
 */
export function parseKeyCount (text: string | null, team: string): number | outcomes.Refusal {
  if (text === null) return 0
  if (team === '') return outcomes.refuse('invalid_request', 400, 'not_run', 'team: expected with keys, which are for one team')
  if (/^\d{1,3}$/.test(text) && Number(text) <= MAX_ISSUED_KEYS) return Number(text)
  return outcomes.refuse('invalid_request', 400, 'not_run', `keys: expected a whole number from 0 to ${MAX_ISSUED_KEYS}`)
}

/**
 * Chooses up to `MAX_ENTRIES` entries: the first of each failure domain ahead of the others, and among both those of
 * the own region first. A draining entry does not name itself.
 */
export function buildAddressAnswer (env: environment.Environment, query: AddressQuery): AddressAnswer {
  const others = membership.usableEntries(query.members, env.nowMs())
  const own = { address: query.self.address, failureDomain: query.self.failureDomain, region: query.self.region }
  const candidates = (query.isSelfDraining ? others : [own, ...others])
    .map(entry => ({ id: entry.address, weight: 1, entry }))
  const ranked = rendezvous.rankMembers(query.team, candidates, env.hash64).map(candidate => candidate.entry)
  const sameRegion = ranked.filter(entry => entry.region === query.self.region)
  const otherRegions = ranked.filter(entry => entry.region !== query.self.region)
  // Keys become invalid when the entry that issued them stops, so a draining entry issues none.
  const keys = query.isSelfDraining ? [] : query.issueKeys()
  return {
    entries: orderByFailureDomain([...sameRegion, ...otherRegions]).slice(0, MAX_ENTRIES)
      .map(entry => ({ url: `http://${entry.address}`, failureDomain: entry.failureDomain })),
    timeToLiveSeconds: TIME_TO_LIVE_SECONDS,
    ...(keys.length === 0 ? {} : { keys, keyTimeToLiveSeconds: issuedKeys.KEY_LIFETIME_MS / 1000 })
  }
}

/** Puts the first entry of each failure domain ahead of the rest: a caller keeps an address when a domain fails. */
function orderByFailureDomain<E extends { failureDomain: string }> (entries: E[]): E[] {
  const seen = new Set<string>()
  const first: E[] = []
  const rest: E[] = []
  for (const entry of entries) {
    if (seen.has(entry.failureDomain)) rest.push(entry)
    else first.push(entry)
    seen.add(entry.failureDomain)
  }
  return [...first, ...rest]
}
