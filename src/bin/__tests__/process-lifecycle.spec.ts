import * as vitest from 'vitest'
import * as processLifecycle from '../process-lifecycle.js'
import type * as earlySignals from '../early-signals.js'
import type * as logging from '../../transport/logging.js'

const { expect, test } = vitest

// Guards against a log whose last event is not that the process has stopped: a signal can come while it is flushed.
test('a signal after the end of the drain is not logged', async () => {
  const events: string[] = []
  let receive: earlySignals.SignalReceiver = () => {}
  const lifecycle = new processLifecycle.ProcessLifecycle({
    log: { emit: (event: string) => { events.push(event) } } as unknown as logging.EventLog,
    drainLimitMs: Infinity,
    drainFields: {},
    checkSettings: () => {}
  })
  let hasDrained = false
  const drain = async (): Promise<void> => { hasDrained = true }
  const ended = lifecycle.run(
    { passTo: receiver => { receive = receiver } }, async () => ({ drain }), () => { receive('SIGTERM') })
  await ended
  receive('SIGTERM')
  expect(hasDrained).toBe(true)
  expect(events.filter(event => event === 'signalReceived').length).toBe(1)
})
