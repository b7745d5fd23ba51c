/**
 * Identities of simulated backend servers for tests and experiments.
 */

import type * as serverView from '../src/state/server-view.js'

/** Backend server `s<index>` on host `h<index>`. */
export function identityOf (
  index: number, target: serverView.Served, changes: Partial<serverView.ServerIdentity> = {}
): serverView.ServerIdentity {
  return {
    incarnation: `s${index}`,
    host: `h${index}`,
    address: `a${index}`,
    failureDomain: 'd',
    region: 'r',
    serves: [target],
    group: '',
    rank: 0,
    ...changes
  }
}
