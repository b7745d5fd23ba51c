/**
 * Policy exchange that sends and applies nothing, for experiments that need only the exchange streams between entries.
 */

import type * as policyExchange from '../src/coordination/policy-exchange.js'

export const inactivePolicyExchange: policyExchange.PolicyExchange = {
  markChanged: () => {},
  fieldsForNear: () => ({}),
  fieldsForOpening: () => ({}),
  expect: () => {},
  fieldsForFar: () => ({}),
  receive: () => {},
  lose: () => {}
}
