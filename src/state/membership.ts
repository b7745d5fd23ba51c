/**
 * Entries that this process knows of, from the host list and from their heartbeats.
 */

export interface EntryIdentity {
  incarnation: string
  host: string
  /** IP address and port for callers. */
  address: string
  /** IP address and port for entries and agents. */
  peerAddress: string
  failureDomain: string
  region: string
}

export interface EntryMember {
  /** Undefined until the first heartbeat of the entry. */
  identity: EntryIdentity | undefined
  peerAddress: string
  host: string
  address: string
  failureDomain: string
  region: string
  isListed: boolean
  isLeaving: boolean
  isDraining: boolean
  /** Time of the last heartbeat; -Infinity before the first. */
  heardAtMs: number
  /** The entry counts as alive for this long after a heartbeat. */
  timeoutMs: number
  inFlight: number
  revision: number
}

export interface Membership {
  /** By peer address. */
  entries: Map<string, EntryMember>
}

export interface ListedEntry {
  host: string
  address: string
  peerAddress: string
  failureDomain: string
  region: string
  isLeaving: boolean
}

/**
 * A member without a heartbeat for this long is not offered to callers. Within a cell, the timeout allows for two late
 * heartbeats. Entries of other cells send heartbeats at half the rate, so their timeout is twice as long.
 */
export const HEARTBEAT_TIMEOUT_MS = 5_000
export const FAR_HEARTBEAT_TIMEOUT_MS = 10_000

export function createMembership (): Membership {
  return { entries: new Map() }
}

/** Applies a new host list. An unlisted entry that still sends heartbeats is kept, because the list lags behind. */
export function applyHostList (membership: Membership, listed: readonly ListedEntry[], nowMs: number): void {
  for (const member of membership.entries.values()) member.isListed = false
  for (const entry of listed) {
    const member = membership.entries.get(entry.peerAddress)
    if (member === undefined) {
      membership.entries.set(entry.peerAddress, {
        ...entry,
        identity: undefined,
        isListed: true,
        isDraining: false,
        heardAtMs: -Infinity,
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
        inFlight: 0,
        revision: 0
      })
    } else {
      member.isListed = true
      member.isLeaving = entry.isLeaving
    }
  }
  for (const [peerAddress, member] of membership.entries) {
    if (!member.isListed && !isAlive(member, nowMs)) membership.entries.delete(peerAddress)
  }
}

export interface HeartbeatInfo {
  identity: EntryIdentity
  isDraining: boolean
  /** The sender belongs to another cell. */
  isFar: boolean
  inFlight: number
  revision: number
}

export function applyHeartbeat (membership: Membership, heartbeat: HeartbeatInfo, nowMs: number): void {
  const { identity } = heartbeat
  const member = membership.entries.get(identity.peerAddress)
  membership.entries.set(identity.peerAddress, {
    identity,
    peerAddress: identity.peerAddress,
    host: identity.host,
    address: identity.address,
    failureDomain: identity.failureDomain,
    region: identity.region,
    isListed: member?.isListed ?? false,
    isLeaving: member?.isLeaving ?? false,
    isDraining: heartbeat.isDraining,
    heardAtMs: nowMs,
    timeoutMs: heartbeat.isFar ? FAR_HEARTBEAT_TIMEOUT_MS : HEARTBEAT_TIMEOUT_MS,
    inFlight: heartbeat.inFlight,
    revision: heartbeat.revision
  })
}

/** Called when the stream to the entry ended: the entry does not count as alive until its next heartbeat. */
export function markLost (membership: Membership, peerAddress: string): void {
  const member = membership.entries.get(peerAddress)
  if (member !== undefined) member.heardAtMs = -Infinity
}

export function isAlive (member: EntryMember, nowMs: number): boolean {
  return nowMs - member.heardAtMs <= member.timeoutMs
}

/** Other entries that may be offered to callers. */
export function usableEntries (membership: Membership, nowMs: number): EntryMember[] {
  return [...membership.entries.values()].filter(member =>
    isAlive(member, nowMs) && !member.isDraining && !member.isLeaving)
}

/**
 * Entries of the region that agents may choose as homes, including this entry. A listed entry is included before its
 * first heartbeat: after the loss of a failure domain, homes are chosen before all entries have connected.
 */
export function homeEntries (membership: Membership, self: EntryIdentity, nowMs: number): EntryIdentity[] {
  const others = [...membership.entries.values()].filter(member =>
    member.region === self.region && !member.isDraining && !member.isLeaving &&
    (isAlive(member, nowMs) || (member.isListed && member.identity === undefined)))
  return [self, ...others.map(member => member.identity ?? {
    incarnation: '',
    host: member.host,
    address: member.address,
    peerAddress: member.peerAddress,
    failureDomain: member.failureDomain,
    region: member.region
  })]
}

/** Whether any entry that satisfies the condition is alive. */
export function hasLiveEntry (
  membership: Membership, nowMs: number, isMatch: (member: EntryMember) => boolean
): boolean {
  for (const member of membership.entries.values()) if (isAlive(member, nowMs) && isMatch(member)) return true
  return false
}
