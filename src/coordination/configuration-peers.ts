/**
 * Fetches the configuration from other entries and serves it to them: deltas where possible, else a snapshot.
 */

import * as protobuf from '@bufbuild/protobuf'
import type * as configurationGuard from './configuration-guard.js'
import type * as configurationTask from './configuration-task.js'
import type * as environment from './environment.js'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import * as controlMessages from '../protocol/control-messages.js'
import * as configuration from '../state/configuration.js'
import * as freshness from '../state/freshness.js'
import * as peerClient from '../transport/peer-client.js'

export interface ConfigurationPeersParts {
  task: configurationTask.ConfigurationTask
  guard: configurationGuard.ConfigurationGuard
  /** Peer addresses of the other entries that this entry knows, nearest first. */
  knownPeers: () => readonly string[]
}

export interface ConfigurationPeers {
  /** Fetches the changes that a peer has beyond this copy. After a failure the next heartbeat shows the gap again. */
  fillGap (peerAddress: string): Promise<void>
  /** Fetches the newest configuration of several peers, and confirms the copy when their answers allow it. */
  confirmWithPeers (): Promise<void>
  /** Answers a FetchConfiguration call. */
  serve (afterRevision: number): AsyncIterable<controlPb.ConfigurationBatch>
}

interface FetchedAnswer extends freshness.PeerAnswer {
  /** Whether the peer has a copy that was confirmed at least once. */
  hasCopy: boolean
}

const FETCH_TIMEOUT_MS = 2_000
/** A peer that has sent no complete answer for this long does not delay the question to the next one. */
const NEXT_PEER_DELAY_MS = 250
/** Enough peers for a meaningful majority, and few enough that every entry can ask as many when it starts. */
const MAX_ASKED_PEERS = 8
/** With documents of a few KB, keeps a batch far below the message limit of 4 MB. */
const MAX_BATCH_CHANGES = 200

export function createConfigurationPeers (
  env: environment.Environment, parts: ConfigurationPeersParts, signal: AbortSignal
): ConfigurationPeers {
  let isFilling = false
  return { fillGap, confirmWithPeers, serve }

  async function fillGap (peerAddress: string): Promise<void> {
    // All peers report the same gap at about the same time, and one fetch fills it.
    if (isFilling) return
    isFilling = true
    const startedAtMs = env.nowMs()
    const answer = await fetchFrom(peerAddress).finally(() => { isFilling = false })
    if (answer?.hasCopy === true && answer.isConfirmed) parts.guard.confirm(startedAtMs)
  }

  async function fetchFrom (peerAddress: string): Promise<FetchedAnswer | undefined> {
    const afterRevision = await parts.task.read(copy => copy.revision)
    const snapshot: configuration.Change[] = []
    let last: controlPb.ConfigurationBatch | undefined
    const connection = peerClient.openConnection(peerAddress, controlPb.EntryPeer)
    try {
      const batches = connection.client.fetchConfiguration(
        { afterRevision: BigInt(afterRevision) }, { signal, timeoutMs: FETCH_TIMEOUT_MS })
      for await (const batch of batches) {
        last = batch
        const changes = batch.changes.map(controlMessages.changeFromMessage)
        if (batch.snapshot) snapshot.push(...changes)
        else await parts.task.apply(changes)
      }
    } catch {
      // After any failure the caller asks another peer or asks again.
      return undefined
    } finally {
      connection.close()
    }
    if (last === undefined) return undefined
    if (last.snapshot) await parts.task.replace(Number(last.revision), snapshot)
    return { isConfirmed: last.confirmed, hasCopy: last.held }
  }

  /**
   * The copy is confirmed as soon as the answers so far allow it: an unreachable peer delays its own answer until the
   * timeout, and an entry without a confirmed copy refuses callers meanwhile.
   */
  async function confirmWithPeers (): Promise<void> {
    const startedAtMs = env.nowMs()
    const asked = parts.knownPeers().slice(0, MAX_ASKED_PEERS)
    const withCopy: FetchedAnswer[] = []
    const pending: Promise<void>[] = []
    const ask = async (peerAddress: string): Promise<void> => {
      const answer = await fetchFrom(peerAddress)
      if (answer?.hasCopy !== true) return
      withCopy.push(answer)
      if (freshness.isConfirmedByPeers(asked.length, withCopy)) parts.guard.confirm(startedAtMs)
    }
    // One peer after the other until there is a snapshot: the others then send only newer changes.
    for (const peerAddress of asked) {
      const answered = ask(peerAddress)
      pending.push(answered)
      if (withCopy.length === 0) await Promise.race([answered, sleep(NEXT_PEER_DELAY_MS)])
    }
    await Promise.all(pending)
    if (!parts.guard.hasCopy() && withCopy.length === 0) return
    if (freshness.isConfirmedByPeers(asked.length, withCopy)) parts.guard.confirm(startedAtMs)
  }

  async function * serve (afterRevision: number): AsyncGenerator<controlPb.ConfigurationBatch> {
    const confirmed = parts.guard.mayServe()
    const { revision, deltas, entities } = await parts.task.read(copy => {
      const changes = configuration.changesAfter(copy, afterRevision)
      return {
        revision: BigInt(copy.revision),
        deltas: changes,
        entities: changes === undefined ? [...copy.entities.values()].map(entity => entity.change) : []
      }
    })
    const changes = (deltas ?? entities).map(controlMessages.changeToMessage)
    for (let start = 0; start === 0 || start < changes.length; start += MAX_BATCH_CHANGES) {
      yield protobuf.create(controlPb.ConfigurationBatchSchema, {
        snapshot: deltas === undefined,
        revision,
        changes: changes.slice(start, start + MAX_BATCH_CHANGES),
        confirmed,
        held: parts.guard.hasCopy()
      })
    }
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms).unref() })
}
