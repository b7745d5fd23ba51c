/**
 * Reads the platform's host list: at every check while this entry has no live peer, and rarely once heartbeats show
 * which entries are live.
 */

import * as environment from './environment.js'
import type * as membershipTask from './membership-task.js'
import type * as platform from '../protocol/platform.js'
import * as membership from '../state/membership.js'

export interface HostListReaderParts {
  hostList: platform.HostList
  members: membershipTask.MembershipTask
  self: membership.EntryIdentity
  /** Receives each list that was read. */
  onList: (listed: readonly platform.ListedHost[]) => void
  /** Receives the other entries at each check; the array is the same object until the list is read again. */
  onEntries: (entries: readonly platform.ListedHost[]) => void
}

export interface HostListReader {
  /** Reads at once. */
  read (): Promise<void>
}

const CHECK_PERIOD_MS = 1_000
/**
 * The read period grows with the list, which keeps the bandwidth constant: an entry takes some 220 bytes in the list,
 * so a read each second would take 90 KB/s for 400 entries.
 */
const READ_PERIOD_PER_ENTRY_MS = 75
const MIN_READ_PERIOD_MS = 1_000
/** While a live entry is missing from the list, the list lags behind and is read more often. */
const LAG_READ_PERIOD_MS = 5_000

export function startHostListReader (
  env: environment.Environment, parts: HostListReaderParts, signal: AbortSignal, onBroken: (error: Error) => void
): HostListReader {
  let entries: readonly platform.ListedHost[] = []
  let dueAtMs = -Infinity
  let readAtMs = -Infinity
  let wasAvailable = true
  let lastIgnored = ''
  environment.every(CHECK_PERIOD_MS, signal, () => { check().catch(onBroken) })
  return { read }

  async function check (): Promise<void> {
    const nowMs = env.nowMs()
    const { hasPeer, isLagging } = await parts.members.read(known => ({
      hasPeer: membership.hasLiveEntry(known, nowMs, () => true),
      isLagging: membership.hasLiveEntry(known, nowMs, member => !member.isListed)
    }))
    const isDue = nowMs >= dueAtMs || (isLagging && nowMs - readAtMs >= LAG_READ_PERIOD_MS)
    if (!hasPeer || isDue) await read()
    else parts.onEntries(entries)
  }

  async function read (): Promise<void> {
    readAtMs = env.nowMs()
    // The random part keeps entries that started together from reading at the same times.
    const periodMs = Math.max(MIN_READ_PERIOD_MS, entries.length * READ_PERIOD_PER_ENTRY_MS)
    dueAtMs = readAtMs + periodMs * (0.5 + env.random())
    const listed = await parts.hostList.read(signal)
    if (signal.aborted) return
    const isAvailable = listed.kind === 'ok'
    if (isAvailable !== wasAvailable) env.log.emit(isAvailable ? 'hostListAvailable' : 'hostListUnavailable')
    wasAvailable = isAvailable
    if (listed.kind === 'ok') {
      const ignored = listed.ignored?.join(' ') ?? ''
      if (ignored !== lastIgnored && ignored !== '') env.log.emit('hostListEntriesIgnored', { entries: listed.ignored })
      lastIgnored = ignored
      parts.onList(listed.value)
      entries = listed.value.filter(host => host.role === 'entry' && host.peerAddress !== parts.self.peerAddress)
      parts.members.post({
        type: 'listed', entries: entries.map(entry => ({ ...entry, isLeaving: entry.state === 'leaving' }))
      })
    }
    parts.onEntries(entries)
  }
}
