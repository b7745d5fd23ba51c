/**
 * Handlers that stand from the first statement of a program. This file imports nothing: until it runs, a signal takes
 * its default action and ends the process. Signals are kept until the program takes them over.
 */

import type * as processStage from '../state/process-stage.js'

export type SignalReceiver = (signal: processStage.HandledSignal) => void

export interface HeldSignals {
  /** Passes on the signals that came so far, in their order, and from now on each one as it comes. */
  passTo: (receiver: SignalReceiver) => void
}

export function holdSignals (): HeldSignals {
  const held: processStage.HandledSignal[] = []
  let receive: SignalReceiver = signal => { held.push(signal) }
  const signals = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const satisfies typeof processStage.HANDLED_SIGNALS
  for (const signal of signals) process.on(signal, () => { receive(signal) })
  return {
    passTo: receiver => {
      receive = receiver
      for (const signal of held.splice(0)) receiver(signal)
    }
  }
}
