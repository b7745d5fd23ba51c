/**
 * Membership table in the store, through which the processes discover one another: each writes one row and periodically
 * reads those of the others.
 */

import * as timers from 'node:timers/promises'
import type * as controlStore from '../../protocol/control-store.js'
import type * as clusterView from '../../state/cluster-view.js'
import type * as runtime from '../runtime.js'

export interface MembershipOptions {
  runtime: runtime.Runtime
  store: controlStore.ControlStore
  /** IP address and port for peers. */
  address: string
  role: clusterView.ProcessRole
  onMembers: (addresses: string[]) => void
  signal: AbortSignal
}

const MEMBERS_TABLE = 'bulrush-members'
const RETRY_MS = 500
/** Datagrams spread new addresses within a second; the table is for processes that no peer knows yet. */
const READ_INTERVAL_MS = 20_000

/** Writes this process's row, retrying until the store has it, and reads the table until the signal aborts. */
export async function keepMembership (options: MembershipOptions): Promise<void> {
  const { signal, store, address, runtime: { log, random } } = options
  let isWritten = false
  while (!signal.aborted) {
    const listed = await store.list(MEMBERS_TABLE, '', signal)
    if (listed.kind === 'ok') {
      options.onMembers(listed.value.rows.map(row => row.key))
      isWritten ||= listed.value.rows.some(row => row.key === address)
    }
    if (listed.kind === 'ok' && !isWritten) {
      const value = Buffer.from(JSON.stringify({ role: options.role }))
      const written = await store.write([{ table: MEMBERS_TABLE, partition: '', key: address, value }], [], signal)
      isWritten = written.kind === 'ok'
      if (isWritten) log.emit('membershipWritten', { address })
    }
    try {
      const pauseMs = isWritten ? READ_INTERVAL_MS : RETRY_MS
      await timers.setTimeout(pauseMs * (0.75 + random() / 2), undefined, { signal })
    } catch {
      return
    }
  }
}
