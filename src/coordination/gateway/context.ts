/**
 * Dependencies and state shared by all requests of a gateway.
 */

import type * as callCodec from '../../protocol/call-codec.js'
import type * as backendPool from '../../state/backend-pool.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as sharedRetryBudget from '../../state/shared-retry-budget.js'
import type * as runtime from '../runtime.js'
import type * as bufferBudget from '../../transport/buffer-budget.js'
import type * as limitGate from './limit-gate.js'
import type * as serviceQueue from './service-queue.js'
import type * as shutdown from './shutdown.js'
import type * as suspectGate from './suspect-gate.js'

export interface GatewayContext extends runtime.Runtime {
  codec: callCodec.CallCodec
  failureDomain: string
  pool: backendPool.BackendPool
  queue: serviceQueue.ServiceQueue
  suspects: suspectGate.SuspectGate
  budgets: Map<string, sharedRetryBudget.SharedRetryBudget>
  /** Limits of the retry budget that all gateways share. */
  budgetOptions: () => sharedRetryBudget.BudgetOptions
  /** Undefined until the first configuration is loaded. */
  routing: () => routingTable.RoutingTable | undefined
  /** What the process still accepts when it stops. */
  shutdown: shutdown.Shutdown
  /** Memory for whole responses of backend servers. */
  responseBuffers: bufferBudget.BufferBudget
  /** Called when a response announced that its backend server leaves. */
  onLeaving: (row: backendPool.BackendRow) => void
  /** Limits that backend servers state. */
  limits: limitGate.LimitGate
}
