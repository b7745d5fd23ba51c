/**
 * Fault-injecting TCP proxy on loopback. It delays, freezes, refuses or resets connections, also after a number of
 * bytes. It runs in the test's own process, so that a test can change faults without a control connection.
 */

import * as net from 'node:net'
import * as answerEnd from '../src/transport/answer-end.js'
import * as cutAnswers from './cut-answers.js'

export type Direction = 'toTarget' | 'toClient'

export interface ProxyFaults {
  /** Delay of each chunk of data. */
  delayMs: number
  /** Directions whose data is held back until the freeze ends; no data is lost. */
  frozen: Direction[]
  /** Source addresses of clients whose connections are frozen in both directions. */
  frozenClients: string[]
  /** New connections are closed as soon as they are accepted. */
  refuse: boolean
  /** A connection is reset once this many bytes were relayed in a direction; undefined disables the reset. */
  resetAfterBytes: Partial<Record<Direction, number>>
  /** Data that clients send on new connections is kept for `replay`, including data that is not relayed. */
  isCapturing: boolean
}

interface ProxiedConnection {
  client: net.Socket
  clientAddress: string
  target: net.Socket
  bytes: Record<Direction, number>
  captured: Buffer[] | undefined
}

const NO_FAULTS: ProxyFaults = {
  delayMs: 0, frozen: [], frozenClients: [], refuse: false, resetAfterBytes: {}, isCapturing: false
}
const FREEZE_POLL_MS = 5
const REPLAY_IDLE_TIMEOUT_MS = 500

export class FaultProxy {
  /** IP address and port that clients connect to. */
  address = ''
  connections = 0
  /** Data sent by the clients of captured connections, as a list of chunks for each connection. */
  readonly captures: Buffer[][] = []
  #target: string
  #faults: ProxyFaults = NO_FAULTS
  readonly #openConnections = new Set<ProxiedConnection>()
  readonly #server = net.createServer({ allowHalfOpen: true }, client => this.#accept(client))

  /** @param target IP address and port; can be set later with `setTarget`. */
  constructor (target = '') {
    this.#target = target
  }

  async listen (): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(0, '127.0.0.1', resolve)
    })
    const bound = this.#server.address() as net.AddressInfo
    this.address = `${bound.address}:${bound.port}`
    return this.address
  }

  setTarget (target: string): void {
    this.#target = target
  }

  /** Replaces all faults; those not given are off. */
  setFaults (faults: Partial<ProxyFaults>): void {
    this.#faults = { ...NO_FAULTS, ...faults }
  }

  /** Resets all open connections; data in transit is lost. */
  resetAll (): void {
    for (const connection of this.#openConnections) reset(connection)
  }

  /**
   * Sends captured bytes again on a new connection, as a late duplicate of the original request.
   * @returns the answer received until the connection closes or is idle for REPLAY_IDLE_TIMEOUT_MS.
   */
  async replay (bytes: Buffer): Promise<string> {
    const [host, port] = this.#target.split(':')
    const socket = net.connect({ host: host!, port: Number(port), noDelay: true })
    let answer = ''
    socket.on('data', (chunk: Buffer) => { answer += chunk.toString('utf8') })
    socket.write(bytes)
    await new Promise<void>(resolve => {
      socket.setTimeout(REPLAY_IDLE_TIMEOUT_MS, resolve).once('close', resolve).once('error', () => {})
    })
    socket.destroy()
    return answer
  }

  async close (): Promise<void> {
    this.resetAll()
    await new Promise<void>(resolve => { this.#server.close(() => resolve()) })
  }

  #accept (client: net.Socket): void {
    this.connections += 1
    if (this.#faults.refuse || this.#target === '') {
      client.destroy()
      return
    }
    const [host, port] = this.#target.split(':')
    const target = net.connect({ host: host!, port: Number(port), allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
    const clientAddress = client.remoteAddress ?? ''
    const connection: ProxiedConnection = {
      client, clientAddress, target, bytes: { toTarget: 0, toClient: 0 }, captured: undefined
    }
    if (this.#faults.isCapturing) this.captures.push(connection.captured = [])
    this.#openConnections.add(connection)
    client.on('close', () => this.#openConnections.delete(connection))
    // Relayed as a reset: with a normal end, a body without a length would seem complete.
    client.on('error', () => { resetSocket(target) })
    target.on('error', () => { resetSocket(client) })
    // Node reports a reset that arrives with the last bytes as an orderly end.
    target.prependOnceListener('end', () => { if (answerEnd.isReset(target)) resetSocket(client) })
    this.#relay(connection, client, target, 'toTarget').catch(() => reset(connection))
    this.#relay(connection, target, client, 'toClient').catch(() => reset(connection))
  }

  #isFrozen (connection: ProxiedConnection, direction: Direction): boolean {
    return this.#faults.frozen.includes(direction) || this.#faults.frozenClients.includes(connection.clientAddress)
  }

  async #relay (connection: ProxiedConnection, from: net.Socket, to: net.Socket, direction: Direction): Promise<void> {
    for await (const chunk of from as AsyncIterable<Buffer>) {
      const faults = this.#faults
      if (direction === 'toTarget') connection.captured?.push(chunk)
      if (faults.delayMs > 0) await sleep(faults.delayMs)
      while (this.#isFrozen(connection, direction) && !to.destroyed) await sleep(FREEZE_POLL_MS)
      const limitBytes = faults.resetAfterBytes[direction]
      if (limitBytes !== undefined && connection.bytes[direction] + chunk.length > limitBytes) {
        to.write(chunk.subarray(0, Math.max(0, limitBytes - connection.bytes[direction])))
        reset(connection)
        return
      }
      connection.bytes[direction] += chunk.length
      if (!to.write(chunk)) await new Promise(resolve => { to.once('drain', resolve).once('close', resolve) })
    }
    to.end()
  }
}

function reset (connection: ProxiedConnection): void {
  resetSocket(connection.client)
  resetSocket(connection.target)
}

/** Destroys a socket whose end was sent, since Node does not close its descriptor on a reset. */
function resetSocket (socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy()
  else if (socket.connecting) socket.resetAndDestroy()
  else cutAnswers.resetOnly(socket)
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
