/**
 * The answer to a caller that asks which entries to use.
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
  /** The keys are refused after this time. */
  keyTimeToLiveSeconds?: number
}

export interface AddressQuery {
  self: membership.EntryIdentity
  isSelfDraining: boolean
  members: membership.Membership
  /** Keeps one team on few entries. */
  team: string
  issueKeys: () => string[]
}

export const TIME_TO_LIVE_SECONDS = 5
const MAX_ENTRIES = 4
const MAX_ISSUED_KEYS = 100

/** The number of keys that a caller asks for, or a refusal. */
export function parseKeyCount (text: string | null, team: string): number | outcomes.Refusal {
  if (text === null) return 0
  if (team === '') return outcomes.refuse('invalid_request', 400, 'not_run', 'team: expected with keys, which are for one team')
  if (/^\d{1,3}$/.test(text) && Number(text) <= MAX_ISSUED_KEYS) return Number(text)
  return outcomes.refuse('invalid_request', 400, 'not_run', `keys: expected a whole number from 0 to ${MAX_ISSUED_KEYS}`)
}

export function buildAddressAnswer (env: environment.Environment, query: AddressQuery): AddressAnswer {
  const others = membership.usableEntries(query.members, env.nowMs())
  const own = { address: query.self.address, failureDomain: query.self.failureDomain, region: query.self.region }
  const candidates = (query.isSelfDraining ? others : [own, ...others])
    .map(entry => ({ id: entry.address, weight: 1, entry }))
  const ranked = rendezvous.rankMembers(query.team, candidates, env.hash64).map(candidate => candidate.entry)
  const near = ranked.filter(entry => entry.region === query.self.region)
  const far = ranked.filter(entry => entry.region !== query.self.region)
  // Keys of an entry that drains would soon become invalid.
  const keys = query.isSelfDraining ? [] : query.issueKeys()
  return {
    entries: spreadOverDomains([...near, ...far]).slice(0, MAX_ENTRIES)
      .map(entry => ({ url: `http://${entry.address}`, failureDomain: entry.failureDomain })),
    timeToLiveSeconds: TIME_TO_LIVE_SECONDS,
    ...(keys.length === 0 ? {} : { keys, keyTimeToLiveSeconds: issuedKeys.KEY_LIFETIME_MS / 1000 })
  }
}

/** Moves one entry of each further failure domain ahead, so that a lost domain leaves the caller an address. */
function spreadOverDomains<E extends { failureDomain: string }> (entries: E[]): E[] {
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
