/**
 * A task owns its state: messages arrive in a mailbox, one at a time, and a pure transition gives the next state
 * and the effects to perform.
 */

import * as events from 'node:events'
import * as most from 'most'

export interface Step<S, E> {
  state: S
  effects: E[]
}

export interface TaskDefinition<S, M, E> {
  initial: S
  transition: (state: S, message: M) => Step<S, E>
  /** Performs an effect. May post further messages. */
  perform: (effect: E) => void
  /** Ends the task. */
  signal: AbortSignal
  /** Receives an exception from a transition or effect: a broken invariant. */
  onBroken: (error: Error) => void
}

export interface Task<M> {
  /** Delivers a message; ignored after the task has ended. */
  post (message: M): void
  /** Settles when the task has ended. */
  done: Promise<void>
}

export function startTask<S, M, E> (definition: TaskDefinition<S, M, E>): Task<M> {
  const mailbox = new events.EventEmitter()
  const ended = most.fromPromise(new Promise<void>(resolve => {
    if (definition.signal.aborted) resolve()
    else definition.signal.addEventListener('abort', () => resolve(), { once: true })
  }))
  const done = most.fromEvent<M>('message', mailbox)
    .until(ended)
    .loop((state: S, message: M) => {
      const step = definition.transition(state, message)
      return { seed: step.state, value: step.effects }
    }, definition.initial)
    .observe(effects => { effects.forEach(definition.perform) })
    .then(() => undefined, definition.onBroken)
  // `fromEvent` drops events that are emitted while it delivers others, so that a message posted by an effect would be
  // lost. A microtask runs after that delivery.
  return { post: message => { queueMicrotask(() => { mailbox.emit('message', message) }) }, done }
}
