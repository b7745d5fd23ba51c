import * as protobuf from '@bufbuild/protobuf'
import * as vitest from 'vitest'
import * as attemptPolicy from '../attempt-policy.js'
import * as crashDetector from '../crash-detector.js'
import * as environment from '../environment.js'
import * as isolationGate from '../isolation-gate.js'
import * as policyExchange from '../policy-exchange.js'
import type * as admissionGate from '../admission-gate.js'
import * as controlPb from '../../gen/bulrush/v1/control_pb.js'
import type * as call from '../../protocol/call.js'
import * as outcomes from '../../state/outcome.js'

let announcements: number

async function createPolicy (): Promise<attemptPolicy.AttemptPolicy> {
  announcements = 0
  const env = await environment.createEnvironment({ emit: () => {} }, {} as never)
  return attemptPolicy.createAttemptPolicy(env, () => { announcements += 1 })
}

function callOf (fingerprint: string): call.Call {
  return { requestId: 'r', fingerprint, deadlineAtMs: performance.now() + 5_000 } as unknown as call.Call
}

const crashed = outcomes.refuse('backend_crashed', 502, 'may_have_run', 'reset')

// Guards against unlimited retries, and against a planned stop that uses up the budget.
vitest.test('retries are limited by the budget, except where no server did work', async () => {
  const policy = await createPolicy()
  const draining = outcomes.refuse('draining', 503, 'not_run', 'stop')
  for (let count = 0; count < 50; count++) vitest.expect(policy.before(callOf('f'), draining).kind).toBe('go')
  const kinds = Array.from({ length: 50 }, () => policy.before(callOf('f'), crashed).kind)
  vitest.expect(kinds.filter(kind => kind === 'go').length).toBe(3)
  vitest.expect(policy.before(callOf('f'), crashed)).toMatchObject({ reason: 'backend_crashed', outcome: 'may_have_run' })
})

// Guards against an answer that says not_run although an attempt before the quarantine ran.
vitest.test('request that crashed two servers is quarantined with the outcome of its attempts', async () => {
  const policy = await createPolicy()
  policy.after(callOf('poison'), 's0', false, crashed)
  vitest.expect(policy.before(callOf('poison'), crashed)).toMatchObject({ kind: 'go', isAlone: true })
  policy.after(callOf('poison'), 's1', true, crashed)
  vitest.expect(policy.before(callOf('poison'), crashed)).toMatchObject({ reason: 'quarantined', outcome: 'may_have_run' })
  vitest.expect(policy.before(callOf('poison'), undefined)).toMatchObject({ reason: 'quarantined', outcome: 'not_run' })
  vitest.expect(policy.before(callOf('other'), undefined).kind).toBe('go')
  vitest.expect(announcements).toBe(2)
})

// Guards against a slow request that is treated as one that crashes servers.
vitest.test('failure at the deadline does not count as a crash', async () => {
  const policy = await createPolicy()
  const late = { ...callOf('slow'), deadlineAtMs: performance.now() - 1 }
  policy.after(late, 's0', false, crashed)
  vitest.expect(policy.before(callOf('slow'), undefined)).toMatchObject({ kind: 'go', isAlone: false })
})

// Guards against records that other entries do not understand.
vitest.test('quarantine is applied at another entry', async () => {
  const [first, second] = [await createPolicy(), await createPolicy()]
  const admission = {
    collectDemand: () => new Map(), notePeerAlive: () => {}
  } as unknown as admissionGate.AdmissionGate
  first.noteCrash(['poison', 'beside'], 's0')
  first.noteCrash(['poison'], 's1')
  const exchange = policyExchange.createPolicyExchange(admission, first)
  vitest.expect(exchange.fieldsForNear(false)).toEqual({})
  exchange.markChanged()
  const sent = protobuf.create(controlPb.PeerMessageSchema, exchange.fieldsForNear(false))
  policyExchange.createPolicyExchange(admission, second).receive({ peerAddress: 'e0', region: 'r' }, sent, false)
  vitest.expect(second.before(callOf('poison'), undefined)).toMatchObject({ reason: 'quarantined' })
  vitest.expect(second.before(callOf('beside'), undefined)).toMatchObject({ kind: 'go', isAlone: true })
})

// Guards against a lost connection that counts as a crash, and against a crash report that misses requests.
vitest.test('crash is a broken connection with a failed health check', () => {
  let nowMs = 0
  const crashes: crashDetector.Crash[] = []
  const detector = crashDetector.createCrashDetector(() => nowMs, crash => crashes.push(crash))
  detector.noteFailure(['a'])
  detector.noteHealth(true)
  nowMs = 5_000
  detector.noteHealth(false)
  vitest.expect(crashes).toEqual([])
  detector.noteFailure(['a', 'b'])
  detector.noteFailure(['b', 'c'])
  detector.noteHealth(false)
  detector.noteHealth(false)
  vitest.expect(crashes).toEqual([{ fingerprints: ['a', 'b', 'c'], number: 1 }])
})

// Guards against a suspect that runs beside other requests, and against copies that run after it crashed the server.
vitest.test('suspects wait for an idle server and for each other', async () => {
  let running = 1
  const gate = isolationGate.createIsolationGate({
    nowMs: () => performance.now(), running: () => running, isUsable: () => true
  })
  const entered: string[] = []
  const enter = (id: string, fingerprint: string, deadlineMs: number): Promise<void> =>
    gate.enter(id, fingerprint, deadlineMs).then(result => { entered.push(`${id} ${result}`) })
  const all = [enter('1', 'a', 5_000), enter('2', 'a', 5_000), enter('3', 'b', 5_000), enter('4', 'c', 30)]
  vitest.expect(gate.isClosed()).toBe(true)
  await all[3]
  vitest.expect(entered).toEqual(['4 refused'])
  running = 0
  await all[0]
  gate.leave('a', false)
  await Promise.all(all)
  vitest.expect(entered.slice(1).sort()).toEqual(['1 alone', '2 crashed', '3 alone'])
  gate.leave('b', true)
  vitest.expect(gate.isClosed()).toBe(false)
})
