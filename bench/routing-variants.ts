/**
 * Variants that the routing experiments compare: routing policies, and sources of hints about cached prefixes.
 */

import * as baselines from './routing-baselines.js'
import * as route from '../src/state/route.js'

export interface Variant {
  name: string
  /** Creates the policy of an entry. */
  policy: (entry: number) => route.RoutePolicy
  /** Whether answers carry the load of the backend server. */
  hasAnswerLoad?: boolean
  /**
   * Sources of prefix hints. `own`: the entry's own requests. `events`: cache events of the servers, which reach all
   * entries, or with `homes` only the two home entries of a server. `place`: a server for each prefix by hashing.
   */
  hints?: 'none' | 'own' | 'own and events' | 'own and events at homes' | 'own and place'
}

/** The project's policy with some options changed. */
const withOptions = (changes: Partial<route.RouteOptions> = {}) =>
  () => new route.LeastExpectedWork({ ...route.DEFAULT_ROUTE_OPTIONS, ...changes })

const baselineVariants: Variant[] = [
  { name: 'random', policy: () => new baselines.RandomPolicy() },
  { name: 'round robin', policy: entry => new baselines.RoundRobinPolicy(entry * 4) },
  { name: 'least reported load', policy: () => new baselines.LeastReportedPolicy() },
  { name: 'plain power of two', policy: () => new baselines.PlainPowerOfTwoPolicy() },
  { name: 'age penalty (earlier version)', policy: () => new baselines.AgePenaltyPolicy() }
]

/** Options of an earlier version. */
const earlierOptions: Partial<route.RouteOptions> = { draw: 'deck', choices: 2, memoryPerWork: Infinity }

const policyVariants: Variant[] = [
  { name: 'expected work, pairs of a deck (earlier version)', policy: withOptions(earlierOptions), hasAnswerLoad: true },
  { name: 'expected work, pairs of a deck, memory by work', policy: withOptions({ draw: 'deck', choices: 2 }), hasAnswerLoad: true },
  { name: 'expected work, memory not by work', policy: withOptions({ memoryPerWork: Infinity }), hasAnswerLoad: true },
  { name: 'expected work, no load on answers', policy: withOptions() },
  { name: 'expected work, 2 choices', policy: withOptions({ choices: 2 }), hasAnswerLoad: true },
  { name: 'expected work, 4 choices', policy: withOptions({ choices: 4 }), hasAnswerLoad: true },
  { name: 'expected work, all keep their turns', policy: withOptions({ turnMargin: Infinity }), hasAnswerLoad: true },
  { name: 'expected work', policy: withOptions(), hasAnswerLoad: true }
]

export const loadVariants = [...baselineVariants, ...policyVariants]

export const slowVariants: Variant[] = [
  ...baselineVariants,
  { name: 'expected work, slowness ignored', policy: withOptions({ maxSlowness: 1 }), hasAnswerLoad: true },
  { name: 'expected work, slowness from 1 up to 4', policy: withOptions({ normalSlowness: 1 }), hasAnswerLoad: true },
  { name: 'expected work, slowness from 2 up to 8', policy: withOptions({ maxSlowness: 8 }), hasAnswerLoad: true },
  { name: 'expected work, slowness from 2 up to 4', policy: withOptions(), hasAnswerLoad: true }
]

export const startVariants: Variant[] = [
  ...baselineVariants,
  { name: 'expected work, no slow start', policy: withOptions({ slowStartMs: 0 }), hasAnswerLoad: true },
  { name: 'expected work, slow start 5 s', policy: withOptions({ slowStartMs: 5_000 }), hasAnswerLoad: true },
  { name: 'expected work, slow start 10 s', policy: withOptions({ slowStartMs: 10_000 }), hasAnswerLoad: true },
  { name: 'expected work, slow start 20 s', policy: withOptions(), hasAnswerLoad: true }
]

const HINT_SOURCES = ['own', 'own and place', 'own and events at homes', 'own and events'] as const

export const prefixVariants: Variant[] = [
  { name: 'plain power of two', policy: () => new baselines.PlainPowerOfTwoPolicy() },
  { name: 'expected work, no hints', policy: withOptions(), hasAnswerLoad: true },
  ...[1, 2, 4].flatMap(gain => HINT_SOURCES.map(hints => ({
    name: `expected work, gain ${gain}, hints: ${hints}`,
    policy: withOptions({ maxPrefixGain: gain }),
    hasAnswerLoad: true,
    hints
  })))
]
