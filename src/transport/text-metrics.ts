/**
 * Counters and latency histograms as text, in the Prometheus exposition format.
 */

import * as prometheus from 'prom-client'

/** Bucket bounds in ms, from a fast call without a stream to the longest deadline of the deployments. */
const LATENCY_BOUNDS_MS = [5, 10, 20, 50, 100, 200, 400, 800, 1_500, 3_000, 8_000]

export interface TextMetrics {
  requests: prometheus.Counter<'outcome'>
  attempts: prometheus.Counter<'outcome'>
  repeats: prometheus.Counter<'service'>
  waiting: prometheus.Gauge
  latencyMs: prometheus.Histogram<'kind'>
  longestPauseMs: prometheus.Histogram
  passMs: prometheus.Gauge
  expertSkew: prometheus.Gauge
  mapSwitches: prometheus.Counter<'outcome'>
  backendLimit: prometheus.Gauge<'backend'>
  limitPermits: prometheus.Counter<'outcome'>
  heldBack: prometheus.Counter<'service'>
  clientConnections: prometheus.Gauge
  clientHeldBytes: prometheus.Gauge
  clientsGivenUp: prometheus.Counter<'reason'>
  /** All metrics as text. */
  render: () => Promise<string>
}

export function createTextMetrics (): TextMetrics {
  const registry = new prometheus.Registry()
  const registers = [registry]
  return {
    requests: new prometheus.Counter({ name: 'bulrush_requests_total', help: 'Requests by how they ended', labelNames: ['outcome'], registers }),
    attempts: new prometheus.Counter({ name: 'bulrush_attempts_total', help: 'Attempts at backend servers by how they ended', labelNames: ['outcome'], registers }),
    repeats: new prometheus.Counter({ name: 'bulrush_repeats_total', help: 'Attempts beyond the first of a request', labelNames: ['service'], registers }),
    waiting: new prometheus.Gauge({ name: 'bulrush_waiting_requests', help: 'Requests that wait for a free slot', registers }),
    latencyMs: new prometheus.Histogram({ name: 'bulrush_latency_ms', help: 'Time to the whole response, or to the first event of a stream', labelNames: ['kind'], buckets: LATENCY_BOUNDS_MS, registers }),
    longestPauseMs: new prometheus.Histogram({ name: 'bulrush_longest_pause_ms', help: 'Longest time between two events of a stream that was delivered', buckets: LATENCY_BOUNDS_MS, registers }),
    passMs: new prometheus.Gauge({ name: 'bulrush_pass_ms', help: 'Mean duration of the last passes of the group that this agent leads', registers }),
    expertSkew: new prometheus.Gauge({ name: 'bulrush_expert_skew', help: 'Load of the most loaded rank over the mean load, in the group that this agent leads', registers }),
    mapSwitches: new prometheus.Counter({ name: 'bulrush_map_switches_total', help: 'Expert map switches by how they ended', labelNames: ['outcome'], registers }),
    backendLimit: new prometheus.Gauge({ name: 'bulrush_backend_limit_per_second', help: 'Limit that a backend server states, in requests a second', labelNames: ['backend'], registers }),
    limitPermits: new prometheus.Counter({ name: 'bulrush_limit_permits_total', help: 'Permits for requests to backend servers with a limit: granted to all entries by this one, used and expired here', labelNames: ['outcome'], registers }),
    heldBack: new prometheus.Counter({ name: 'bulrush_held_back_total', help: 'Requests that were not sent at once because all backend servers of the service have stated limits', labelNames: ['service'], registers }),
    clientConnections: new prometheus.Gauge({ name: 'bulrush_client_connections', help: 'Connections of clients at all listeners', registers }),
    clientHeldBytes: new prometheus.Gauge({ name: 'bulrush_client_held_bytes', help: 'Bytes that are held for clients: what they sent ahead, bodies, and responses that they have not taken', registers }),
    clientsGivenUp: new prometheus.Counter({ name: 'bulrush_clients_given_up_total', help: 'Connections of clients that were closed, or whose request was refused, by the limit: memory, connections, or stalled for a response that was not taken', labelNames: ['reason'], registers }),
    render: async () => await registry.metrics()
  }
}
