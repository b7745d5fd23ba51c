/**
 * What clients may make a process hold, from the resources of its host.
 *
 * Load pattern: clients that nobody controls open connections, send bodies without their end and don't read responses,
 * few of them with much or many with little. Each connection keeps a part of the memory that no other one can take.
 * What connections hold beyond their parts comes out of memory that they share; when it is used up, the one that holds
 * most is given up.
 */

export interface HostResources {
  memoryMb: number
  /** Number of descriptors that the process may open. */
  fileDescriptors: number
}

export interface ClientLimits {
  /** Connections of clients at all listeners of a process. */
  maxConnections: number
  /** Bytes that each connection may hold whatever others do. */
  ownBytes: number
  /** Bytes that all connections together may hold beyond that. */
  sharedBytes: number
}

/** A request takes a descriptor for its client and one for a backend server; the rest is for files and other calls. */
const DESCRIPTOR_SHARE = 0.4
/** A connection with a request that is served takes about 60 kB of the heap. */
const CONNECTIONS_PER_MB = 4
/** The rest is for the program, its heap with garbage, and responses of backend servers. */
const MEMORY_SHARE = 0.2
const OWN_SHARE = 0.25
/** More than the requests of ordinary callers have. */
const MAX_OWN_BYTES = 64 * 1024
const MEBIBYTE = 1024 * 1024

export function clientLimits ({ memoryMb, fileDescriptors }: HostResources): ClientLimits {
  const maxConnections = Math.max(1, Math.floor(
    Math.min(fileDescriptors * DESCRIPTOR_SHARE, memoryMb * CONNECTIONS_PER_MB)
  ))
  const bytes = memoryMb * MEBIBYTE * MEMORY_SHARE
  const ownBytes = Math.floor(Math.min(MAX_OWN_BYTES, bytes * OWN_SHARE / maxConnections))
  return { maxConnections, ownBytes, sharedBytes: Math.floor(bytes - ownBytes * maxConnections) }
}

/** `idle`: no request is being read or served. `sending`: the response waits for its client to take it. */
export type Standing = 'idle' | 'reading' | 'served' | 'sending' | 'closing'

export interface Holder {
  standing: Standing
  /** IP address of the client. */
  address: string
  heldBytes: number
  /** Bytes of a response that its client has not taken. */
  unsentBytes: number
}

/**
 * Finds the connection to end so that another one can be accepted. Of those on which no request is served, it is one
 * of the address that has most of them, so that a crowd doesn't close the connections of others, and there the one that
 * has been without progress for longest.
 * @param holders in the order of their last progress.
 * @returns undefined if each is being served.
 */
export function mostDispensable<H extends Holder> (holders: Iterable<H>): H | undefined {
  const dispensable = [...holders].filter(({ standing }) => standing !== 'served')
  const waiting = dispensable.filter(({ standing }) => standing !== 'sending')
  const candidates = waiting.length > 0 ? waiting : dispensable
  const counts = new Map<string, number>()
  for (const { address } of candidates) counts.set(address, (counts.get(address) ?? 0) + 1)
  const most = Math.max(...counts.values())
  return candidates.find(({ address }) => counts.get(address) === most)
}

/** @returns the connection to end so that less is held: the one that holds most through its client's fault. */
export function largestHolder<H extends Holder> (holders: Iterable<H>, ownBytes: number): H | undefined {
  let largest: H | undefined
  let mostBytes = ownBytes
  for (const holder of holders) {
    const bytes = bytesAtFault(holder)
    if (bytes <= mostBytes) continue
    largest = holder
    mostBytes = bytes
  }
  return largest
}

/** A request that is served keeps its body, and only what its client doesn't take is held against it. */
function bytesAtFault ({ standing, heldBytes, unsentBytes }: Holder): number {
  return standing === 'served' ? unsentBytes : heldBytes
}
