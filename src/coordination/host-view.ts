/**
 * State that an entry derives from all hosts together: known peers, which entries read the table service, hosts that
 * get no new work, and the capacity for the overload check.
 */

import type * as environment from './environment.js'
import type * as membershipTask from './membership-task.js'
import type * as plannedStops from './planned-stops.js'
import type * as serverTask from './server-task.js'
import type * as platform from '../protocol/platform.js'
import * as membership from '../state/membership.js'
import * as rendezvous from '../state/rendezvous.js'
import type * as serverView from '../state/server-view.js'
import * as stops from '../state/stops.js'

export interface HostViewParts {
  /** Called when the stops derived for lock-step groups or the leaving hosts have changed, to notify the agents. */
  onWithdrawal: () => void
  self: membership.EntryIdentity
  members: membershipTask.MembershipTask
  servers: serverTask.ServerTask
  stops: () => plannedStops.PlannedStops
}

export interface HostView {
  /** Peer addresses of the other entries, those of the own region first. */
  knownPeers (): readonly string[]
  /** Whether this entry is one of the two of its region that read the table service. */
  isTableReader (): Promise<boolean>
  /**
   * Like `isTableReader`, but among all entries in the host list, for the first read: before entries have exchanged
   * heartbeats, `isTableReader` holds for each of them.
   */
  isFirstReader (): Promise<boolean>
  capacity (): Promise<stops.ServerCapacity[]>
  /** All planned stops, and those derived from them for the lock-step groups of the hosts. */
  stopsForAgents (): stops.PlannedStop[]
  /** Names of the backend servers' hosts that are leaving. */
  leavingHosts (): string[]
  applyHostList (listed: readonly platform.ListedHost[]): void
  /** Recomputes everything after the stops, the members or the host list changed. */
  refresh (): Promise<void>
}

const TABLE_READERS = 2
/** Agents that were connected to any entry within this time have received a lift, so older lifts are not sent. */
const LIFT_RETENTION_MS = 3_600_000

export function createHostView (env: environment.Environment, parts: HostViewParts): HostView {
  let peers: string[] = []
  let leaving: ReadonlySet<string> = new Set()
  let knownServers: serverView.ServerIdentity[] = []
  let announcedKey = ''

  return {
    knownPeers: () => peers,
    async isTableReader () {
      return isAmongReaders(await parts.members.read(members => membership.usableEntries(members, env.nowMs())
        .filter(member => member.region === parts.self.region)))
    },
    async isFirstReader () {
      return isAmongReaders(await parts.members.read(members => [...members.entries.values()]
        .filter(member => member.region === parts.self.region && member.isListed && !member.isLeaving)))
    },
    async capacity () {
      const [servers, entries] = await Promise.all([
        parts.servers.list(),
        parts.members.read(members => membership.usableEntries(members, env.nowMs()).map(entry => ({
          host: entry.host, failureDomain: entry.failureDomain
        })))
      ])
      return [
        ...servers.map(server => ({
          host: server.identity.host,
          group: server.identity.group,
          failureDomain: server.identity.failureDomain,
          targets: server.identity.serves.map(served => `${served.kind}/${served.name}`),
          isServing: server.load.status === 'serving' && !leaving.has(server.identity.host),
          load: server.load.running + server.load.waiting,
          limit: server.load.concurrencyLimit
        })),
        // Entries report no limit: only the loss of the last entry counts as overload.
        ...[parts.self, ...entries].map(({ host, failureDomain }) => ({
          host, group: '', failureDomain, targets: ['entries'], isServing: true, load: 0, limit: 1
        }))
      ]
    },
    stopsForAgents () {
      const oldestMs = env.wallClockMs() - LIFT_RETENTION_MS
      return [...parts.stops().all(), ...derivedStops()].filter(stop => !stop.lifted || stop.changedAtMs > oldestMs)
    },
    leavingHosts: () => [...leaving],
    applyHostList (listed) {
      leaving = new Set(listed.filter(host => host.role === 'agent' && host.state === 'leaving').map(host => host.host))
    },
    async refresh () {
      peers = await parts.members.read(members => {
        const known = [...members.entries.values()]
        const isNear = (entry: membership.EntryMember): boolean => entry.region === parts.self.region
        return [...known.filter(isNear), ...known.filter(entry => !isNear(entry))].map(entry => entry.peerAddress)
      })
      await withdraw()
    }
  }

  function isAmongReaders (entries: { peerAddress: string }[]): boolean {
    const addresses = new Set([parts.self, ...entries].map(entry => entry.peerAddress))
    return rendezvous.rankMembers('table-reader', [...addresses].map(id => ({ id, weight: 1 })), env.hash64)
      .slice(0, TABLE_READERS).some(reader => reader.id === parts.self.peerAddress)
  }

  function derivedStops (): stops.PlannedStop[] {
    return stops.groupStops(new Map(parts.stops().all().map(stop => [stop.stopId, stop])), knownServers)
  }

  /**
   * A lock-step group cannot step without all its ranks, so the stop of one rank's host withdraws the whole group.
   */
  async function withdraw (): Promise<void> {
    const servers = (await parts.servers.list()).map(server => server.identity)
    knownServers = servers
    const key = [...derivedStops().map(stop => stop.stopId), ...leaving].sort().join()
    if (key !== announcedKey) {
      announcedKey = key
      parts.onWithdrawal()
    }
    const isStopped = (server: stops.Location): boolean =>
      leaving.has(server.host) || parts.stops().stopFor(server) !== undefined
    const stopped = servers.filter(isStopped)
    const groups = new Set(stopped.map(server => server.group).filter(group => group !== ''))
    parts.servers.post({
      type: 'withdraw',
      hosts: new Set([...stopped, ...servers.filter(server => groups.has(server.group))].map(server => server.host))
    })
  }
}
