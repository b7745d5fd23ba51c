/**
 * The program bulrush-entry, loaded once its signal handlers stand.
 */

import * as programRun from './run.js'
import * as entry from '../coordination/entry.js'
import type * as earlySignals from './early-signals.js'

export async function run (signals: earlySignals.HeldSignals): Promise<void> {
  await programRun.runProgram({
    name: 'bulrush-entry',
    description: 'Accepts requests from callers and routes them to backend servers.',
    settings: entry.entrySettings,
    start: async (options, env, signal, onFatalError) => {
      const running = await entry.startEntry(options, env, signal, onFatalError)
      return {
        fields: { ...running.identity, listening: running.listening, peerListening: running.peerListening },
        drain: running.drain
      }
    }
  }, signals)
}
