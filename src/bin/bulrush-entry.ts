#!/usr/bin/env node
import * as run from './run.js'
import * as entry from '../coordination/entry.js'

await run.runProgram({
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
})
