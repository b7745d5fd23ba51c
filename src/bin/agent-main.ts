/**
 * The program bulrush-agent, loaded once its signal handlers stand.
 */

import * as programRun from './run.js'
import * as agent from '../coordination/agent.js'
import type * as earlySignals from './early-signals.js'

export async function run (signals: earlySignals.HeldSignals): Promise<void> {
  await programRun.runProgram({
    name: 'bulrush-agent',
    description: 'Admits requests to one backend server and reports its load.',
    settings: agent.agentSettings,
    start: async (options, env, signal, onFatalError) => {
      const running = await agent.startAgent(options, env, signal, onFatalError)
      const { identity, listening, peerListening, drain } = running
      return { fields: { ...identity, listening, peerListening }, drain }
    }
  }, signals)
}
