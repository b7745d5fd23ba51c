/**
 * Stand-in for the policies of an entry that tells others nothing, for experiments with the exchange alone.
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
