#!/usr/bin/env node
import * as run from './run.js'
import * as agent from '../coordination/agent.js'

await run.runProgram({
  name: 'bulrush-agent',
  description: 'Admits requests to one backend server and reports its load.',
  settings: agent.agentSettings,
  start: async (options, env, signal, onFatalError) => {
    const running = await agent.startAgent(options, env, signal, onFatalError)
    const { identity, listening, peerListening, drain } = running
    return { fields: { ...identity, listening, peerListening }, drain }
  }
})
