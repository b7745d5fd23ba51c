import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as engineMaps from '../../../standins/engine-maps.js'
import * as mapSwitch from '../map-switch.js'
import * as mapSwitchSimulation from './map-switch-simulation.js'

const RUNS = Number(process.env['MAP_SWITCH_RUNS'] ?? 5_000)
const CHOICES = 300
/** A run takes about 10 s on an idle core, and several times as long in parallel with other tests. */
const TIMEOUT_MS = 300_000

const rate = fc.constantFrom(0, 0, 1, 5, 20)
const rates = fc.record({
  crash: rate,
  loss: rate,
  duplicate: rate,
  late: fc.constantFrom(1, 10, 60),
  propose: rate,
  resolve: rate,
  restart: fc.constantFrom(0, 0, 0, 3)
})

// Guards against a step in which two ranks use different maps, under crashes and pauses of agents and under loss, delay
// and duplication of messages.
for (const fencing of ['enforced', 'ignored'] as engineMaps.Fencing[]) {
  vitest.test(`ranks agree in every step when fencing is ${fencing}`, () => {
    const seed = Number(process.env['MAP_SWITCH_SEED'] ?? 20_261)
    const reached = { switches: 0, aborts: 0 }
    const choiceLists = fc.array(fc.noBias(fc.nat()), { minLength: CHOICES, maxLength: CHOICES })
    fc.assert(fc.property(rates, choiceLists, (chosen, choices) => {
      const simulation = new mapSwitchSimulation.MapSwitchSimulation(3, fencing, chosen)
      for (const choice of choices) {
        simulation.act(choice)
        if (simulation.violation !== undefined) throw new Error(simulation.violation)
      }
      reached.switches += simulation.switches
      reached.aborts += simulation.aborts
    }), { seed, numRuns: RUNS })
    console.log(`map switch, fencing ${fencing}: seed ${seed}, ${RUNS} interleavings, ${reached.switches} switches, ${reached.aborts} aborts`)
    // Without switches and aborts, the property would hold trivially.
    vitest.expect(reached.switches).toBeGreaterThan(RUNS / 100)
    vitest.expect(reached.aborts).toBeGreaterThan(RUNS / 100)
  }, TIMEOUT_MS)
}

const group = { groupIncarnation: 'g' }
const [first, abortBallot, second] = [10, 20, 30]

/** Handles a message at an agent, including all commands to its engine that follow. */
function run (
  agent: mapSwitch.SwitchAgent, engine: engineMaps.EngineMaps, message: mapSwitch.SwitchMessage
): mapSwitch.SwitchTransition {
  let step = mapSwitch.receive(agent, engine.snapshot, message)
  while (step.command !== undefined) {
    step = mapSwitch.complete(step.agent, message, step.command, engine.apply(step.command))
  }
  return step
}

function prepare (agentIncarnation: string, version: number, hold: boolean): mapSwitch.SwitchMessage {
  return { type: 'prepare', ...group, agentIncarnation, ballot: version, version, hold }
}

interface HeldEngine {
  engine: engineMaps.EngineMaps
  agent: mapSwitch.SwitchAgent
  lateArm: mapSwitch.EngineCommand
}

/** An engine that ignores fencing numbers, held for the first version, and an arm command that is not delivered yet. */
function heldEngine (): HeldEngine {
  const engine = new engineMaps.EngineMaps('g', 'ignored', 2)
  const loaded = run(mapSwitch.createSwitchAgent('one', engine.snapshot), engine, prepare('one', first, false))
  const held = run(loaded.agent, engine, prepare('one', first, true))
  vitest.expect(held.answer?.result).toBe('prepared')
  const decide: mapSwitch.SwitchMessage = { type: 'commit', ...group, ballot: first, version: first, step: 3, decides: true }
  return { engine, agent: held.agent, lateArm: mapSwitch.receive(held.agent, engine.snapshot, decide).command! }
}

const resolveFirst: mapSwitch.SwitchMessage = { type: 'resolve', ...group, ballot: abortBallot, version: first }

// Guards against a duplicate prepare that restores a version after its agent answered that it saw no commit.
vitest.test('an agent refuses a duplicate prepare below its promise', () => {
  const { engine, agent, lateArm } = heldEngine()
  const sealed = run(agent, engine, resolveFirst)
  vitest.expect(sealed.answer?.result).toBe('not_seen')
  vitest.expect(run(sealed.agent, engine, prepare('one', first, false)).answer?.result).toBe('refused')
  vitest.expect(engine.apply(lateArm)).toMatchObject({ kind: 'refused', reason: 'not_prepared' })
})

// Guards against a duplicate prepare that restores a version after its agent restarted twice, when no process has the
// promise any more.
vitest.test('a restarted agent refuses a prepare for its predecessor', () => {
  const { engine, lateArm } = heldEngine()
  run(mapSwitch.createSwitchAgent('two', engine.snapshot), engine, resolveFirst)
  const third = mapSwitch.createSwitchAgent('three', engine.snapshot)
  vitest.expect(run(third, engine, prepare('one', first, false)).answer?.result).toBe('refused')
  vitest.expect(engine.apply(lateArm)).toMatchObject({ kind: 'refused', reason: 'not_prepared' })
})

// Guards against a version that takes the hold of another version for its own.
vitest.test('an agent refuses to prepare a version while another is undecided', () => {
  const { engine, agent } = heldEngine()
  const loading = run(agent, engine, prepare('one', second, false))
  const holding = run(loading.agent, engine, prepare('one', second, true))
  vitest.expect([loading.answer?.result, holding.answer?.result]).toEqual(['refused', 'refused'])
})

// Guards against a group that stays held although one rank has the commit, and against a late commit of an old map.
vitest.test('an armed rank answers committed and refuses older maps', () => {
  const { engine, agent, lateArm } = heldEngine()
  const resolving = mapSwitch.receive(agent, engine.snapshot, resolveFirst)
  engine.apply(lateArm)
  const result = engine.apply(resolving.command!)
  vitest.expect(mapSwitch.complete(resolving.agent, resolveFirst, resolving.command!, result).answer)
    .toMatchObject({ result: 'committed', step: 3 })
  for (let step = 0; step < 3; step++) engine.advance()
  const old: mapSwitch.SwitchMessage = { type: 'commit', ...group, ballot: 5, version: 5, step: 9, decides: false }
  vitest.expect(mapSwitch.receive(agent, engine.snapshot, old)).toMatchObject({ answer: { result: 'refused' } })
})

function answer (result: mapSwitch.AnswerResult, step: number): mapSwitch.SwitchAnswer {
  return { result, reason: '', promised: 1, agentIncarnation: 'a', groupIncarnation: 'g', mapVersion: 0, step }
}

// Guards against an abort that is decided without the answer of every rank.
vitest.test('without the answer of one rank the decision stays open', () => {
  const notSeen = new Map([[0, answer('not_seen', 0)], [1, answer('not_seen', 0)]])
  vitest.expect(mapSwitch.resolve(notSeen, 3)).toEqual({ kind: 'open' })
  vitest.expect(mapSwitch.resolve(notSeen, 2)).toEqual({ kind: 'abort' })
  vitest.expect(mapSwitch.resolve(notSeen.set(2, answer('committed', 9)), 4)).toEqual({ kind: 'commit', step: 9 })
})

// Guards against a new lead that proposes under a ballot that was already used.
vitest.test('the next ballot is above all ballots seen', () => {
  const unit = fc.float({ min: 0, max: Math.fround(0.99), noNaN: true })
  fc.assert(fc.property(fc.array(fc.nat(2 ** 40)), unit, (seen, random) => {
    vitest.expect(mapSwitch.nextBallot(seen, random)).toBeGreaterThan(Math.max(0, ...seen))
  }), { seed: 5 })
})
