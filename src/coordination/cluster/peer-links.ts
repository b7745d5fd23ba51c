/**
 * Exchanges datagrams with the other processes: sends this process's status and receives theirs.
 */

import * as dgram from 'node:dgram'
import * as peerMessage from '../../protocol/peer-message.js'
import * as clusterView from '../../state/cluster-view.js'
import * as peerSchedule from '../../state/peer-schedule.js'
import type * as runtime from '../runtime.js'

export interface PeerLinksOptions {
  runtime: runtime.Runtime
  /** IP address and port of this process for its peers. */
  address: string
  role: clusterView.ProcessRole
  /** Addresses of the first peers to contact. */
  seeds: string[]
  status: () => clusterView.PeerStatus
  onMessage: (message: peerMessage.PeerMessage) => void
  signal: AbortSignal
}

const IP_VERSION = 4

export class PeerLinks {
  readonly view: clusterView.ClusterView
  readonly #options: PeerLinksOptions
  // All peers are known by IP address, and the usual lookup takes a good part of the time of a send.
  readonly #socket = dgram.createSocket({
    type: 'udp4', lookup: (host, _options, callback) => { callback(null, host, IP_VERSION) }
  })

  #knownOffset = 0
  #statusRound = 0
  #loadRound = 0

  constructor (options: PeerLinksOptions) {
    this.#options = options
    this.view = clusterView.createView(options.address)
    clusterView.addAddresses(this.view, options.seeds, options.runtime.nowMs())
  }

  async open (): Promise<void> {
    const [host, port] = this.#options.address.split(':')
    const { signal, runtime: { log } } = this.#options
    this.#socket.on('message', (bytes, from) => { this.#receive(bytes, `${from.address}:${from.port}`) })
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(Number(port), host, () => {
        this.#socket.off('error', reject)
        resolve()
      })
    })
    // Sending to an unreachable host emits an error here; the peer is detected as silent anyway.
    this.#socket.on('error', error => { log.emit('peerSendFailed', { reason: error.message }) })
    const timer = setInterval(() => { this.#sendScheduledStatus() }, clusterView.STATUS_INTERVAL_MS)
    signal.addEventListener('abort', () => {
      clearInterval(timer)
      this.#socket.close()
    }, { once: true })
    this.sendStatus()
  }

  /** Peers of a role that are not silent. */
  alivePeers (role: clusterView.ProcessRole): clusterView.Peer[] {
    const { role: self, runtime: { nowMs } } = this.#options
    return clusterView.peersActiveSince(this.view, role, nowMs() - peerSchedule.peerTimeoutMs(this.view, self, role))
  }

  /** Sends this process's status at once: to the peers that are next in turn and, from an entry, to all entries. */
  sendStatus (): void {
    this.#sendScheduledStatus()
    if (this.#options.role === 'entry') {
      this.broadcast({ kind: 'status', status: this.#options.status(), known: [] }, 'entry')
    }
  }

  #sendScheduledStatus (): void {
    clusterView.removeExpired(this.view, this.#options.runtime.nowMs())
    const { statusOnly, gossip } = peerSchedule.statusTargets(this.view, this.#options.role, this.#statusRound++)
    const status = this.#options.status()
    this.#sendAll({ kind: 'status', status, known: [] }, statusOnly)
    this.#sendAll({ kind: 'status', status, known: this.#nextKnownAddresses() }, gossip)
  }

  /** Sends a load message to the entries that are next in turn. */
  sendLoad (message: peerMessage.PeerMessage): void {
    const entries = this.alivePeers('entry').map(peer => peer.status.address)
    this.#sendAll(message, peerSchedule.loadTargets(entries, this.#loadRound++))
  }

  /** Sends to the peers of a role that are not silent. */
  broadcast (message: peerMessage.PeerMessage, role: clusterView.ProcessRole): void {
    this.#sendAll(message, this.alivePeers(role).map(peer => peer.status.address))
  }

  #sendAll (message: peerMessage.PeerMessage, addresses: readonly string[]): void {
    if (addresses.length === 0) return
    const bytes = peerMessage.encodeMessage(message)
    for (const address of addresses) this.#send(bytes, address)
  }

  sendTo (address: string, message: peerMessage.PeerMessage): void {
    this.#send(peerMessage.encodeMessage(message), address)
  }

  #send (bytes: Buffer, address: string): void {
    if (this.#options.signal.aborted) return
    const [host, port] = address.split(':')
    // Lost datagrams are expected; the next status repeats the content.
    this.#socket.send(bytes, Number(port), host, () => {})
  }

  /** The next of the known addresses in rotation, so that all of them are sent over time. */
  #nextKnownAddresses (): string[] {
    const all = [...this.view.known.keys()]
    if (all.length <= peerMessage.MAX_KNOWN_ADDRESSES) return all
    this.#knownOffset = (this.#knownOffset + peerMessage.MAX_KNOWN_ADDRESSES) % all.length
    return [...all, ...all].slice(this.#knownOffset, this.#knownOffset + peerMessage.MAX_KNOWN_ADDRESSES)
  }

  #receive (bytes: Buffer, from: string): void {
    const message = peerMessage.decodeMessage(bytes)
    if (message === undefined) return
    clusterView.noteContact(this.view, from, this.#options.runtime.nowMs())
    if (message.kind === 'status') {
      const nowMs = this.#options.runtime.nowMs()
      const isNew = !this.view.peers.has(message.status.address)
      clusterView.noteStatus(this.view, message.status, nowMs)
      clusterView.addAddresses(this.view, message.known, nowMs)
      if (isNew) this.#options.runtime.log.emit('peerHeard', { peer: message.status.address, role: message.status.role })
    }
    try {
      this.#options.onMessage(message)
    } catch (error) {
      this.#options.runtime.log.emit('peerMessageFault', { peer: from, kind: message.kind, detail: (error as Error).stack })
    }
  }
}

/** Peers listen on the same port on all hosts, so only the IP address of a seed is used. */
export function seedAddresses (seedHosts: readonly string[], peerAddress: string): string[] {
  const port = peerAddress.split(':')[1]!
  return seedHosts.map(host => `${host.split(':')[0]!}:${port}`)
}
