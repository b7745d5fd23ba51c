import * as vitest from 'vitest'
import * as agentTracker from '../agent-tracker.js'
import type * as environment from '../environment.js'
import type * as serverTask from '../server-task.js'
import type * as serverView from '../../state/server-view.js'

const stopped = new AbortController()
vitest.afterAll(() => stopped.abort())

const identity = { incarnation: 'a', address: '10.0.0.1:8000' } as serverView.ServerIdentity
const load = { status: 'serving' } as serverView.ServerLoad

interface StartedTracker {
  tracker: agentTracker.AgentTracker
  posted: serverTask.ServerMessage[]
}

function startTracker (): StartedTracker {
  const posted: serverTask.ServerMessage[] = []
  const env = { nowMs: () => performance.now(), log: { emit: () => {} } } as unknown as environment.Environment
  const tracker = agentTracker.startAgentTracker(env, { post: message => { posted.push(message) } }, stopped.signal)
  return { tracker, posted }
}

// Guards against a lost server that is added again by an earlier report of the same digest.
vitest.test('reports are posted to the server task before a later loss', async () => {
  const { tracker, posted } = startTracker()
  tracker.noteHomeAlive('home')
  tracker.report('home', identity, { load, sequence: 1, reportedAtMs: 1 })
  tracker.lose('home', 'a')
  await Promise.resolve()
  vitest.expect(posted.map(message => message.type)).toEqual(['reports', 'gone'])
})

// Guards against a message to the server task for each load of a digest.
vitest.test('reports of one digest are posted together', async () => {
  const { tracker, posted } = startTracker()
  for (const sequence of [1, 2]) tracker.report('home', identity, { load, sequence, reportedAtMs: sequence })
  await Promise.resolve()
  const reports = posted.flatMap(message => message.type === 'reports' ? [message.reports.length] : [])
  vitest.expect(reports).toEqual([2])
})
