/**
 * Membership table in the store, through which the processes discover one another: each writes one row and periodically
 * reads those of the others.
 */

import * as timers from 'node:timers/promises'
import * as socketAddress from '../../protocol/socket-address.js'
import type * as controlStore from '../../protocol/control-store.js'
import type * as clusterView from '../../state/cluster-view.js'
import type * as runtime from '../runtime.js'

export interface MembershipOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  /** IP address and port for peers. */
  address: string
  role: clusterView.ProcessRole
  /** Highest era of the store that this process knows of. */
  storeEra: () => number
  onMembers: (addresses: string[]) => void
  signal: AbortSignal
}

const MEMBERS_TABLE = 'bulrush-members'
const RETRY_MS = 500
/** Datagrams spread new addresses within a second; the table is for processes that no peer knows yet. */
const READ_INTERVAL_MS = 20_000
/** Interval at which a higher era of the store is noticed. */
const ERA_CHECK_INTERVAL_MS = 500

/** Writes this process's row, retrying until the store has it, and reads the table until the signal aborts. */
export async function keepMembership (options: MembershipOptions): Promise<void> {
  const { signal, store, address, runtime: { log, nowMs, random } } = options
  let isWritten = false
  while (!signal.aborted) {
    const listed = await store.list(MEMBERS_TABLE, '', signal)
    if (listed.kind === 'ok') {
      // Rows may come from another writer.
      options.onMembers(listed.value.rows.map(row => row.key).filter(socketAddress.isSocketAddress))
      // A store that came back from an older copy may have lost the row.
      isWritten = listed.value.rows.some(row => row.key === address)
    }
    if (listed.kind === 'ok' && !isWritten) {
      const value = Buffer.from(JSON.stringify({ role: options.role }))
      const written = await store.write([{ table: MEMBERS_TABLE, partition: '', key: address, value }], [], signal)
      isWritten = written.kind === 'ok'
      if (isWritten) log.emit('membershipWritten', { address })
    }
    const pauseMs = (isWritten ? READ_INTERVAL_MS : RETRY_MS) * (0.75 + random() / 2)
    const endMs = nowMs() + pauseMs
    const era = options.storeEra()
    try {
      while (nowMs() < endMs && options.storeEra() === era) {
        await timers.setTimeout(Math.min(ERA_CHECK_INTERVAL_MS, endMs - nowMs()), undefined, { signal })
      }
    } catch {
      return
    }
  }
}
