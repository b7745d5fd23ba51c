/**
 * What the tasks of the gateway share.
 */

import type * as callCodec from '../../protocol/call-codec.js'
import type * as backendPool from '../../state/backend-pool.js'
import type * as crashRecord from '../../state/crash-record.js'
import type * as routingTable from '../../state/routing-table.js'
import type * as sharedRetryBudget from '../../state/shared-retry-budget.js'
import type * as runtime from '../runtime.js'
import type * as serviceQueue from './service-queue.js'

export interface GatewayContext extends runtime.Runtime {
  codec: callCodec.CallCodec
  failureDomain: string
  pool: backendPool.BackendPool
  queue: serviceQueue.ServiceQueue
  crashes: crashRecord.CrashRecord
  budgets: Map<string, sharedRetryBudget.SharedRetryBudget>
  /** Limits of the retry budget that all gateways share. */
  budgetOptions: () => sharedRetryBudget.BudgetOptions
  /** Undefined until the first configuration is known. */
  routing: () => routingTable.RoutingTable | undefined
  /** New requests are refused because the process ends soon. */
  isRefusingRequests: () => boolean
  /** Clients are asked to close their connections. */
  isDraining: () => boolean
  /** A backend server broke off while it ran this request; it may have crashed. */
  onBrokenConnection: (fingerprint: string, row: backendPool.BackendRow) => void
}
