/**
 * Task that owns an entry's list of the other entries.
 */

import * as taskModule from './task.js'
import type * as environment from './environment.js'
import * as membership from '../state/membership.js'

type MembershipMessage =
  | { type: 'listed', entries: membership.ListedEntry[] }
  | { type: 'heartbeat', heartbeat: membership.HeartbeatInfo }
  | { type: 'lost', peerAddress: string }
  | { type: 'read', reply: (members: membership.Membership) => void }

export interface MembershipTask {
  post (message: MembershipMessage): void
  read<T> (reader: (members: membership.Membership) => T): Promise<T>
}

export function startMembershipTask (
  env: environment.Environment, signal: AbortSignal, onBroken: (error: Error) => void
): MembershipTask {
  const task = taskModule.startTask<membership.Membership, MembershipMessage, () => void>({
    initial: membership.createMembership(),
    transition: (members, message) => {
      const nowMs = env.nowMs()
      if (message.type === 'listed') membership.applyHostList(members, message.entries, nowMs)
      if (message.type === 'heartbeat') membership.applyHeartbeat(members, message.heartbeat, nowMs)
      if (message.type === 'lost') membership.markLost(members, message.peerAddress)
      return { state: members, effects: message.type === 'read' ? [() => message.reply(members)] : [] }
    },
    perform: effect => effect(),
    signal,
    onBroken
  })
  return {
    post: task.post,
    read: reader => new Promise(resolve => {
      task.post({ type: 'read', reply: members => resolve(reader(members)) })
    })
  }
}
