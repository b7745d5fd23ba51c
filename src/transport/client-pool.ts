/**
 * The connections of clients at all listeners of a process, and the memory that they make it hold. Memory that is too
 * much costs the one that holds most.
 */

import * as clientLimits from '../state/client-limits.js'

/** Why a connection was given up. */
export type GiveUpReason = 'memory'

export interface PooledConnection {
  readonly standing: clientLimits.Standing
  /** Refuses the request that is being read, or closes the connection. What it holds is released at once. */
  giveUp: (reason: GiveUpReason) => void
}

export interface PoolObserver {
  onGivenUp: (reason: GiveUpReason) => void
  /** Called each second. */
  onUsage: (connections: number, heldBytes: number) => void
}

export type HeldKind = 'input' | 'body'

const USAGE_INTERVAL_MS = 1_000

export class ClientPool {
  readonly #limits: clientLimits.ClientLimits
  readonly #observer: PoolObserver
  readonly #holdings = new Set<Holding>()
  /** Bytes beyond the own parts of connections. */
  #sharedBytes = 0
  #heldBytes = 0

  constructor (limits: clientLimits.ClientLimits, observer: PoolObserver, signal: AbortSignal) {
    this.#limits = limits
    this.#observer = observer
    const timer = setInterval(() => {
      observer.onUsage(this.#holdings.size, this.#heldBytes)
    }, USAGE_INTERVAL_MS).unref()
    signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  open (connection: PooledConnection): Holding {
    const holding = new Holding(connection, {
      onChange: (before, after) => { this.#noteChange(before, after) },
      onClose: () => { this.#holdings.delete(holding) }
    })
    this.#holdings.add(holding)
    return holding
  }

  #noteChange (beforeBytes: number, afterBytes: number): void {
    const { ownBytes, sharedBytes } = this.#limits
    this.#heldBytes += afterBytes - beforeBytes
    this.#sharedBytes += Math.max(0, afterBytes - ownBytes) - Math.max(0, beforeBytes - ownBytes)
    while (this.#sharedBytes > sharedBytes) {
      const largest = clientLimits.largestHolder(this.#holdings, ownBytes)
      // Requests that are served keep their bodies. They were read within the limit.
      if (largest === undefined) return
      this.#observer.onGivenUp('memory')
      this.#giveUp(largest, 'memory')
    }
  }

  #giveUp (holding: Holding, reason: GiveUpReason): void {
    holding.connection.giveUp(reason)
    holding.release()
  }
}

interface HoldingEvents {
  onChange: (beforeBytes: number, afterBytes: number) => void
  onClose: () => void
}

/** What one connection makes the process hold. */
export class Holding implements clientLimits.Holder {
  readonly connection: PooledConnection
  readonly #events: HoldingEvents
  readonly #bytes: Record<HeldKind, number> = { input: 0, body: 0 }
  heldBytes = 0
  #isClosed = false

  constructor (connection: PooledConnection, events: HoldingEvents) {
    this.connection = connection
    this.#events = events
  }

  get standing (): clientLimits.Standing {
    return this.connection.standing
  }

  hold (kind: HeldKind, bytes: number): void {
    if (this.#isClosed || bytes === this.#bytes[kind]) return
    const before = this.heldBytes
    this.heldBytes += bytes - this.#bytes[kind]
    this.#bytes[kind] = bytes
    this.#events.onChange(before, this.heldBytes)
  }

  release (): void {
    for (const kind of ['input', 'body'] as const) this.hold(kind, 0)
  }

  close (): void {
    this.release()
    this.#isClosed = true
    this.#events.onClose()
  }
}
