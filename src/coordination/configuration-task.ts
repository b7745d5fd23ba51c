/**
 * Task that owns an entry's copy of the configuration.
 */

import * as taskModule from './task.js'
import type * as environment from './environment.js'
import * as configuration from '../state/configuration.js'

/** Where changes came from: this process, a peer of the own cell (`near`) or of another one (`far`), a snapshot. */
export type ChangeOrigin = 'here' | 'near' | 'far' | 'snapshot'

export type AppliedHandler = (changes: configuration.Change[], origin: ChangeOrigin) => void

export type ConfigurationMessage =
  | {
    type: 'changes',
    changes: configuration.Change[],
    origin: ChangeOrigin,
    reply: (result: configuration.ApplyResult) => void
  }
  | {
    type: 'snapshot',
    revision: number,
    changes: configuration.Change[],
    reply: (result: configuration.ApplyResult) => void
  }
  | { type: 'read', reply: (copy: configuration.Configuration) => void }

export interface ConfigurationTask {
  /** Applies changes in order; stops at a gap. */
  apply (changes: configuration.Change[], origin?: ChangeOrigin): Promise<configuration.ApplyResult>
  /** Replaces the copy by a snapshot. */
  replace (revision: number, changes: configuration.Change[]): Promise<configuration.ApplyResult>
  /** Reads from the copy. The reader must not keep references to mutable parts of it. */
  read<T> (reader: (copy: configuration.Configuration) => T): Promise<T>
}

type ConfigurationEffect = () => void

/** @param onApplied receives every change that has taken effect in this process. */
export function startConfigurationTask (
  env: environment.Environment,
  onApplied: AppliedHandler,
  signal: AbortSignal,
  onBroken: (error: Error) => void
): ConfigurationTask {
  const task = taskModule.startTask<configuration.Configuration, ConfigurationMessage, ConfigurationEffect>({
    initial: configuration.createConfiguration(),
    transition: (copy, message) => ({ state: copy, effects: applyMessage(copy, message, env, onApplied) }),
    perform: effect => effect(),
    signal,
    onBroken
  })
  return {
    apply: (changes, origin = 'here') => new Promise(resolve => {
      task.post({ type: 'changes', changes, origin, reply: resolve })
    }),
    replace: (revision, changes) => new Promise(resolve => {
      task.post({ type: 'snapshot', revision, changes, reply: resolve })
    }),
    read: reader => new Promise(resolve => {
      task.post({ type: 'read', reply: copy => resolve(reader(copy)) })
    })
  }
}

function applyMessage (
  copy: configuration.Configuration,
  message: ConfigurationMessage,
  env: environment.Environment,
  onApplied: AppliedHandler
): ConfigurationEffect[] {
  if (message.type === 'read') return [() => message.reply(copy)]
  if (message.type === 'snapshot') {
    const result = configuration.applySnapshot(copy, message.revision, message.changes)
    return finish(result, result === 'applied' ? message.changes : [], 'snapshot', message.reply)
  }
  const applied: configuration.Change[] = []
  let result: configuration.ApplyResult = 'old'
  for (const change of [...message.changes].sort((a, b) => a.revision - b.revision)) {
    const one = configuration.applyChange(copy, change)
    if (one === 'applied') applied.push(change)
    if (one !== 'old') result = one
    if (one === 'gap') break
  }
  return finish(result, applied, message.origin, message.reply)

  function finish (
    outcome: configuration.ApplyResult,
    changes: configuration.Change[],
    origin: ChangeOrigin,
    reply: (result: configuration.ApplyResult) => void
  ): ConfigurationEffect[] {
    return [
      () => {
        if (changes.length > 0) {
          env.log.emit('configurationApplied', { revision: copy.revision, changes: changes.length, origin })
          onApplied(changes, origin)
        }
      },
      () => reply(outcome)
    ]
  }
}
