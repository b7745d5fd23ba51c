/**
 * Dependencies of the operators' interface of an entry.
 */

import type * as configurationSync from './configuration-sync.js'
import type * as configurationTask from './configuration-task.js'
import type * as explainLog from './explain-log.js'
import type * as membershipTask from './membership-task.js'
import type * as plannedStops from './planned-stops.js'
import type * as serverTask from './server-task.js'
import type * as membership from '../state/membership.js'
import type * as backendClient from '../transport/backend-client.js'

export interface OperatorParts {
  /** SHA-256 digest of the operators' key. */
  operatorKeyDigest: Buffer
  configuration: configurationTask.ConfigurationTask
  sync: configurationSync.ConfigurationSync
  servers: serverTask.ServerTask
  members: membershipTask.MembershipTask
  stops: plannedStops.PlannedStops
  explain: explainLog.ExplainLog
  client: backendClient.BackendClient
  /** Number of homes that an agent reports to, by its incarnation. */
  countHomes: (incarnation: string) => number
  self: () => membership.EntryIdentity & { isDraining: boolean, isServing: boolean, inFlight: number }
}
