import * as vitest from 'vitest'
import * as processStage from '../process-stage.js'

const { expect, test } = vitest

const { advance, HANDLED_SIGNALS, INITIAL_STATE } = processStage

type NamedStage = 'loading' | 'opening' | 'ready' | 'draining' | 'draining after a fault' | 'closing'

const EVENTS_BEFORE: Record<NamedStage, processStage.ProcessEvent[]> = {
  loading: [],
  opening: [{ kind: 'opening' }],
  ready: [{ kind: 'opening' }, { kind: 'started' }],
  draining: [{ kind: 'opening' }, { kind: 'started' }, signal('SIGTERM')],
  'draining after a fault': [{ kind: 'opening' }, { kind: 'started' }, { kind: 'fault' }],
  closing: [{ kind: 'opening' }, { kind: 'started' }, signal('SIGTERM'), { kind: 'drained' }]
}
const STAGES = Object.keys(EVENTS_BEFORE) as NamedStage[]

function signal (name: processStage.HandledSignal, isInteractive = false): processStage.ProcessEvent {
  return { kind: 'signal', signal: name, isInteractive }
}

function play (events: processStage.ProcessEvent[], from: processStage.ProcessState = INITIAL_STATE): {
  state: processStage.ProcessState, actions: processStage.Action[], effects: (processStage.SignalEffect | undefined)[]
} {
  let state = from
  const actions: processStage.Action[] = []
  const effects: (processStage.SignalEffect | undefined)[] = []
  for (const event of events) {
    const step = advance(state, event)
    state = step.state
    actions.push(...step.actions)
    effects.push(step.effect)
  }
  return { state, actions, effects }
}

function at (stage: NamedStage): processStage.ProcessState {
  return play(EVENTS_BEFORE[stage]).state
}

type Expectation = Record<processStage.HandledSignal, [processStage.SignalEffect, processStage.Action[]]>

const EXPECTED: Record<NamedStage, Expectation> = {
  loading: {
    SIGTERM: ['start_abandoned', ['close']],
    SIGINT: ['stops_now', ['close']],
    SIGHUP: ['settings_checked_after_start', []],
    SIGUSR2: ['none', []]
  },
  opening: {
    SIGTERM: ['drain_follows_start', ['limit_start']],
    SIGINT: ['stops_now', ['close']],
    SIGHUP: ['settings_checked_after_start', []],
    SIGUSR2: ['none', []]
  },
  ready: {
    SIGTERM: ['drain_begins', ['limit_drain', 'drain']],
    SIGINT: ['stops_now', ['close']],
    SIGHUP: ['settings_checked', ['check_settings']],
    SIGUSR2: ['none', []]
  },
  draining: {
    SIGTERM: ['drain_goes_on', []],
    SIGINT: ['drain_goes_on', []],
    SIGHUP: ['settings_checked', ['check_settings']],
    SIGUSR2: ['none', []]
  },
  'draining after a fault': {
    SIGTERM: ['drain_goes_on', []],
    SIGINT: ['drain_goes_on', []],
    SIGHUP: ['settings_checked', ['check_settings']],
    SIGUSR2: ['none', []]
  },
  closing: { SIGTERM: ['none', []], SIGINT: ['none', []], SIGHUP: ['none', []], SIGUSR2: ['none', []] }
}

test.each(STAGES.flatMap(stage => HANDLED_SIGNALS.map(name => ({ stage, name }))))(
  '$name while $stage', ({ stage, name }) => {
    const step = advance(at(stage), signal(name))
    expect([step.effect, step.actions]).toEqual(EXPECTED[stage][name])
  })

// Guards against a signal that ends a drain: pairs and series of signals in each stage.
test.each(STAGES)('SIGTERM and any two signals after it never shorten the drain: %s', stage => {
  for (const second of HANDLED_SIGNALS) {
    for (const third of HANDLED_SIGNALS) {
      const began = play([signal('SIGTERM')], at(stage))
      const later = play([signal(second), signal(third), signal('SIGTERM'), signal('SIGTERM')], began.state)
      expect(later.actions.filter(action => action !== 'check_settings')).toEqual([])
      expect(later.state.stage).toBe(began.state.stage)
    }
  }
})

// Guards against a process that SIGHUP or SIGUSR2 ends or that they stop from starting.
test.each(STAGES)('SIGHUP and SIGUSR2 in series change no stage: %s', stage => {
  const before = at(stage)
  const { state, actions } = play([signal('SIGHUP'), signal('SIGUSR2'), signal('SIGHUP'), signal('SIGHUP')], before)
  expect(state.stage).toBe(before.stage)
  expect(actions.every(action => action === 'check_settings')).toBe(true)
})

test('SIGTERM while listeners open drains as soon as the start has ended', () => {
  const { state, actions } = play([signal('SIGTERM'), signal('SIGTERM'), signal('SIGHUP'), { kind: 'started' }], at('opening'))
  expect(state.stage).toBe('draining')
  expect(actions).toEqual(['limit_start', 'limit_drain', 'drain', 'check_settings'])
})

// Guards against a process that hangs because its start waits for a service that is down.
test('a start that takes too long after SIGTERM is abandoned without a fault', () => {
  const { state, actions } = play([signal('SIGTERM'), { kind: 'overdue' }, { kind: 'started' }], at('opening'))
  expect(state).toMatchObject({ stage: 'closing', hasFault: false })
  expect(actions).toEqual(['limit_start', 'close'])
})

test('SIGHUP during the start checks the settings once afterwards', () => {
  const { state, actions } = play([signal('SIGHUP'), signal('SIGHUP'), { kind: 'started' }], at('opening'))
  expect(state).toMatchObject({ stage: 'ready', mustCheckSettings: false })
  expect(actions).toEqual(['announce_ready', 'check_settings'])
})

// An operator who presses Ctrl-C during a drain expects the process to end.
test.each(['draining', 'draining after a fault'] as const)('SIGINT from a terminal ends the drain: %s', stage => {
  const step = advance(at(stage), signal('SIGINT', true))
  expect([step.effect, step.actions, step.state.stage]).toEqual(['drain_cut_short', ['close'], 'closing'])
})

test('SIGINT from a terminal ends a start that a drain is to follow', () => {
  const { actions, effects } = play([signal('SIGTERM'), signal('SIGINT', true)], at('opening'))
  expect([actions, effects]).toEqual([['limit_start', 'close'], ['drain_follows_start', 'drain_cut_short']])
})

// Guards against one fault that cuts all requests of a process, and against a drain that repeated faults extend.
test('a fault drains within its limit, and further ones change nothing', () => {
  const { state, actions } = play([{ kind: 'fault' }, { kind: 'fault' }, signal('SIGTERM'), { kind: 'fault' }], at('ready'))
  expect(state).toMatchObject({ stage: 'draining', hasFault: true })
  expect(actions).toEqual(['limit_fault_drain', 'drain'])
})

test('a fault during a drain limits it and begins no second one', () => {
  const { state, actions } = play([{ kind: 'fault' }, { kind: 'overdue' }], at('draining'))
  expect(state).toMatchObject({ stage: 'closing', hasFault: true })
  expect(actions).toEqual(['limit_fault_drain', 'close'])
})

test.each(['loading', 'opening'] as const)('a fault ends the start at once: %s', stage => {
  expect(advance(at(stage), { kind: 'fault' })).toMatchObject({ state: { stage: 'closing', hasFault: true }, actions: ['close'] })
})

test.each(STAGES)('a process closes once: %s', stage => {
  const ends: processStage.ProcessEvent[] = [{ kind: 'overdue' }, { kind: 'drained' }, { kind: 'failed' }, { kind: 'fault' }]
  const { actions } = play(ends, at(stage))
  expect(actions).toEqual(stage === 'closing' ? [] : ['close'])
})

test('a fault while the process closes still counts', () => {
  expect(advance(at('closing'), { kind: 'fault' }).state.hasFault).toBe(true)
})
