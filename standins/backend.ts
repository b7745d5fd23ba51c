/**
 * Runs one backend server stand-in as a process. Prints one line of JSON with its address once it is ready.
 * Usage: backend.js model|plain NAME [STEP_OR_DELAY_MS] [ADDRESS] [ENGINE_OPTIONS_AS_JSON]
 */

import * as engine from './engine.js'
import * as jsonServer from './json-server.js'
import * as plainService from './plain-service.js'

const [kind, name, timeMs, address, engineOptions] = process.argv.slice(2)
const standin = kind === 'plain'
  ? new plainService.PlainServiceStandin(name ?? 'service', Number(timeMs ?? 1))
  : new engine.EngineStandin({
    ...engine.DEFAULT_ENGINE,
    stepMs: Number(timeMs ?? engine.DEFAULT_ENGINE.stepMs),
    random: Math.random,
    ...JSON.parse(engineOptions ?? '{}') as Partial<engine.EngineOptions>
  })
const server = await jsonServer.serveJson((request, response) => standin.handle(request, response), address)

process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
console.log(JSON.stringify({ ready: true, address: server.address }))
