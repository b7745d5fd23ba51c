/**
 * The connections of clients at all listeners of a process, and the memory that they make it hold. One that is too many
 * costs the connection that has been without progress for longest; memory that is too much costs the one that holds
 * most.
 */

import * as clientLimits from '../state/client-limits.js'

/** Why a connection was given up or refused. `stalled`: its client took nothing of a response for the idle time. */
export type GiveUpReason = 'memory' | 'connections' | 'stalled'

export interface PooledConnection {
  /** IP address of the client; empty if it is unknown. */
  readonly address: string
  readonly standing: clientLimits.Standing
  /** Refuses the request that is being read, or closes the connection. What it holds is released at once. */
  giveUp: (reason: GiveUpReason) => void
}

export interface PoolObserver {
  onGivenUp: (reason: GiveUpReason) => void
  /** Called each second. */
  onUsage: (connections: number, heldBytes: number) => void
}

export type HeldKind = 'input' | 'body' | 'unsent'

const SWEEP_INTERVAL_MS = 1_000

export class ClientPool {
  readonly #limits: clientLimits.ClientLimits
  readonly #observer: PoolObserver
  /** In the order of their last progress. */
  readonly #holdings = new Set<Holding>()
  /** Bytes beyond the own parts of connections. */
  #sharedBytes = 0
  #heldBytes = 0

  constructor (limits: clientLimits.ClientLimits, observer: PoolObserver, signal: AbortSignal) {
    this.#limits = limits
    this.#observer = observer
    const timer = setInterval(() => { this.#sweep() }, SWEEP_INTERVAL_MS).unref()
    signal.addEventListener('abort', () => { clearInterval(timer) }, { once: true })
  }

  /**
   * Adds a connection.
   * @param stallMs time after which a response that its client doesn't take is given up.
   * @returns undefined if it can't be accepted.
   */
  open (connection: PooledConnection, stallMs: () => number): Holding | undefined {
    while (this.#holdings.size >= this.#limits.maxConnections) {
      const given = clientLimits.mostDispensable(this.#holdings)
      this.#observer.onGivenUp('connections')
      if (given === undefined) return undefined
      this.#giveUp(given, 'connections')
      given.close()
    }
    const holding = new Holding(connection, stallMs, {
      onProgress: () => { this.#moveToEnd(holding) },
      onChange: (before, after) => { this.#noteChange(before, after) },
      onClose: () => { this.#holdings.delete(holding) }
    })
    this.#holdings.add(holding)
    return holding
  }

  #moveToEnd (holding: Holding): void {
    if (this.#holdings.delete(holding)) this.#holdings.add(holding)
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

  #sweep (): void {
    const nowMs = performance.now()
    for (const holding of this.#holdings) {
      if (holding.standing !== 'sending' || nowMs - holding.progressAtMs < holding.stallMs()) continue
      this.#observer.onGivenUp('stalled')
      this.#giveUp(holding, 'stalled')
    }
    this.#observer.onUsage(this.#holdings.size, this.#heldBytes)
  }
}

interface HoldingEvents {
  onProgress: () => void
  onChange: (beforeBytes: number, afterBytes: number) => void
  onClose: () => void
}

/** What one connection makes the process hold. */
export class Holding implements clientLimits.Holder {
  readonly connection: PooledConnection
  readonly stallMs: () => number
  readonly #events: HoldingEvents
  readonly #bytes: Record<HeldKind, number> = { input: 0, body: 0, unsent: 0 }
  heldBytes = 0
  progressAtMs = performance.now()
  #isClosed = false

  constructor (connection: PooledConnection, stallMs: () => number, events: HoldingEvents) {
    this.connection = connection
    this.stallMs = stallMs
    this.#events = events
  }

  get address (): string {
    return this.connection.address
  }

  get standing (): clientLimits.Standing {
    return this.connection.standing
  }

  get unsentBytes (): number {
    return this.#bytes.unsent
  }

  /** Called when the client has sent or taken bytes. */
  noteProgress (): void {
    this.progressAtMs = performance.now()
    this.#events.onProgress()
  }

  hold (kind: HeldKind, bytes: number): void {
    if (this.#isClosed || bytes === this.#bytes[kind]) return
    const before = this.heldBytes
    this.heldBytes += bytes - this.#bytes[kind]
    this.#bytes[kind] = bytes
    this.#events.onChange(before, this.heldBytes)
  }

  release (): void {
    for (const kind of ['input', 'body', 'unsent'] as const) this.hold(kind, 0)
  }

  close (): void {
    this.release()
    this.#isClosed = true
    this.#events.onClose()
  }
}
