/**
 * Keeps what clients make a process hold within the resources of its host, and reports what that costs them.
 */

import * as clientLimits from '../state/client-limits.js'
import * as clientPool from '../transport/client-pool.js'
import * as descriptorLimit from '../transport/descriptor-limit.js'
import type * as logging from '../transport/logging.js'
import type * as environment from './environment.js'
import type * as runtime from './runtime.js'

export interface GuardReport {
  log: logging.EventLog
  /** Called for each connection that is given up or refused. */
  countGivenUp: (reason: clientPool.GiveUpReason) => void
  /** Called each second. */
  noteUsage: (connections: number, heldBytes: number) => void
}

/** @returns the pool of all connections that clients open to the process. */
export function createClientGuard (
  host: clientLimits.HostResources, { log, countGivenUp, noteUsage }: GuardReport, signal: AbortSignal
): clientPool.ClientPool {
  const limits = clientLimits.clientLimits({
    memoryMb: host.memoryMb, fileDescriptors: descriptorLimit.descriptorLimit(host.fileDescriptors)
  })
  /** Since the last line, so that a crowd brings one a second at most. */
  const counts = new Map<clientPool.GiveUpReason, number>()
  return new clientPool.ClientPool(limits, {
    onGivenUp: reason => {
      counts.set(reason, (counts.get(reason) ?? 0) + 1)
      countGivenUp(reason)
    },
    onUsage: (connections, heldBytes) => {
      noteUsage(connections, heldBytes)
      if (counts.size === 0) return
      log.emit('clientsGivenUp', { ...Object.fromEntries(counts), connections, heldBytes, ...limits })
      counts.clear()
    }
  }, signal)
}

/** Report of a program on a platform. */
export function textReport ({ log, metrics }: runtime.Runtime): GuardReport {
  return {
    log,
    countGivenUp: reason => { metrics.clientsGivenUp.inc({ reason }) },
    noteUsage: (connections, heldBytes) => {
      metrics.clientConnections.set(connections)
      metrics.clientHeldBytes.set(heldBytes)
    }
  }
}

export function statsdReport ({ log, metrics }: environment.Environment): GuardReport {
  return {
    log,
    countGivenUp: reason => { metrics.count('process.clients_given_up', 1, { reason }) },
    noteUsage: (connections, heldBytes) => {
      metrics.gauge('process.client_connections', connections)
      metrics.gauge('process.client_held_bytes', heldBytes)
    }
  }
}
