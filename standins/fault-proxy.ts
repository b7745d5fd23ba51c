/**
 * Fault-injecting TCP proxy on loopback: delays, freezes, cuts, resets, or ends connections after a number of bytes.
 * It runs in the test's own process, so that a test changes faults without a control connection.
 */

import * as net from 'node:net'

export type Direction = 'toTarget' | 'toClient'

export interface ProxyFaults {
  /** Delay of each piece of data. */
  delayMs: number
  /** Data is held back until the freeze ends; nothing is lost. */
  frozen: Direction[]
  /** Source addresses of clients whose connections are frozen in both directions. */
  frozenClients: string[]
  /** New connections are refused by closing them at once. */
  refuse: boolean
  /** A connection is reset when this many bytes went in a direction; undefined never does. */
  resetAfterBytes: Partial<Record<Direction, number>>
  /** What clients send on new connections is kept for a replay, also where it is not passed on. */
  isCapturing: boolean
}

interface Link {
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
const REPLAY_PAUSE_MS = 500

export class FaultProxy {
  /** IP address and port that clients connect to. */
  address = ''
  connections = 0
  /** What the clients of captured connections sent, a list of pieces for each connection. */
  readonly captures: Buffer[][] = []
  #target: string
  #faults: ProxyFaults = NO_FAULTS
  readonly #links = new Set<Link>()
  readonly #server = net.createServer({ allowHalfOpen: true }, client => this.#accept(client))

  /** @param target IP address and port; may be set later with `setTarget`. */
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

  /** Replaces the faults; those not named are off. */
  setFaults (faults: Partial<ProxyFaults>): void {
    this.#faults = { ...NO_FAULTS, ...faults }
  }

  /** Resets all open connections; data on the way is lost. */
  resetAll (): void {
    for (const link of this.#links) reset(link)
  }

  /**
   * Sends captured bytes again on a new connection, as a late duplicate.
   * @returns the answer until its end or a pause.
   */
  async replay (bytes: Buffer): Promise<string> {
    const [host, port] = this.#target.split(':')
    const socket = net.connect({ host: host!, port: Number(port), noDelay: true })
    let answer = ''
    socket.on('data', (chunk: Buffer) => { answer += chunk.toString('utf8') })
    socket.write(bytes)
    await new Promise<void>(resolve => {
      socket.setTimeout(REPLAY_PAUSE_MS, resolve).once('close', resolve).once('error', () => {})
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
    const link: Link = { client, clientAddress, target, bytes: { toTarget: 0, toClient: 0 }, captured: undefined }
    if (this.#faults.isCapturing) this.captures.push(link.captured = [])
    this.#links.add(link)
    client.on('close', () => this.#links.delete(link))
    // An end in place of a reset would make a body without a length look whole.
    client.on('error', () => { resetSocket(target) })
    target.on('error', () => { resetSocket(client) })
    this.#pump(link, client, target, 'toTarget').catch(() => reset(link))
    this.#pump(link, target, client, 'toClient').catch(() => reset(link))
  }

  #isFrozen (link: Link, direction: Direction): boolean {
    return this.#faults.frozen.includes(direction) || this.#faults.frozenClients.includes(link.clientAddress)
  }

  async #pump (link: Link, from: net.Socket, to: net.Socket, direction: Direction): Promise<void> {
    for await (const chunk of from as AsyncIterable<Buffer>) {
      const faults = this.#faults
      if (direction === 'toTarget') link.captured?.push(chunk)
      if (faults.delayMs > 0) await sleep(faults.delayMs)
      while (this.#isFrozen(link, direction) && !to.destroyed) await sleep(FREEZE_POLL_MS)
      const limitBytes = faults.resetAfterBytes[direction]
      if (limitBytes !== undefined && link.bytes[direction] + chunk.length > limitBytes) {
        to.write(chunk.subarray(0, Math.max(0, limitBytes - link.bytes[direction])))
        reset(link)
        return
      }
      link.bytes[direction] += chunk.length
      if (!to.write(chunk)) await new Promise(resolve => { to.once('drain', resolve).once('close', resolve) })
    }
    to.end()
  }
}

function reset (link: Link): void {
  resetSocket(link.client)
  resetSocket(link.target)
}

/** Node does not close the descriptor of a socket that is reset after it has sent its end. */
function resetSocket (socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
