/**
 * Catalogue of metrics, from which docs/metrics.md is generated.
 */

export interface Metric {
  kind: 'counter' | 'gauge' | 'timing'
  /** Help text: what the metric measures, with the unit. */
  text: string
}

export const metrics = {
  'process.resident_bytes': { kind: 'gauge', text: 'resident memory of the process, bytes' },
  'process.heap_bytes': { kind: 'gauge', text: 'used JavaScript heap, bytes' },
  'process.cpu_ms': { kind: 'counter', text: 'CPU time of the process, ms' },
  'process.loop_delay_ms': { kind: 'gauge', text: '99th percentile of the event loop\'s delay in the last period, ms' },
  'process.client_connections': { kind: 'gauge', text: 'connections of clients at all listeners' },
  'process.client_held_bytes': { kind: 'gauge', text: 'bytes held for clients: what they sent ahead, bodies, and responses that they have not taken' },
  'process.clients_given_up': {
    kind: 'counter', text: 'connections of clients that were closed, or whose request was refused, by `reason`: `memory`, `connections` or `stalled`'
  },
  'entry.requests': { kind: 'counter', text: 'callers\' requests that ended, by `outcome`' },
  'entry.refused': { kind: 'counter', text: 'callers\' requests refused, by `reason`' },
  'entry.request_ms': { kind: 'timing', text: 'time from the arrival of a request to the end of its response, ms' },
  'entry.in_flight': { kind: 'gauge', text: 'callers\' requests in flight' },
  'entry.servers': { kind: 'gauge', text: 'backend servers in view' },
  'entry.configuration_revision': { kind: 'gauge', text: 'revision of the configuration in force' },
  'entry.configuration_age_ms': { kind: 'gauge', text: 'time since the configuration was confirmed to be the newest, ms' },
  'entry.table_available': { kind: 'gauge', text: '1 when the table service answered last, else 0' },
  'entry.claims_unanswered': {
    kind: 'counter', text: 'claims that another entry did not write in time and this entry wrote itself'
  },
  'entry.table_throttled': { kind: 'counter', text: 'reads of the configuration that the table service refused because of its rate limit' },
  'agent.running': { kind: 'gauge', text: 'requests running on the backend server' },
  'agent.first_byte_ms': { kind: 'gauge', text: 'moving average of the backend server\'s time to first byte, ms' },
  'agent.backend_reachable': { kind: 'gauge', text: '1 when the backend server answers, else 0' },
  'agent.expert_skew': { kind: 'gauge', text: 'step-time skew of the group that the leader\'s planner predicts' },
  'agent.expert_switches': { kind: 'counter', text: 'switches of the expert map that the leader began, by `outcome`' }
} as const satisfies Record<string, Metric>

export type MetricName = keyof typeof metrics
