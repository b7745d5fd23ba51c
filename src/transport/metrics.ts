/**
 * StatsD metrics. Without a collector address nothing is sent.
 */

import * as hotShots from 'hot-shots'
import type * as metricCatalogue from '../protocol/metric-catalogue.js'

export interface Metrics {
  count (name: metricCatalogue.MetricName, value?: number, tags?: Record<string, string>): void
  gauge (name: metricCatalogue.MetricName, value: number, tags?: Record<string, string>): void
  timingMs (name: metricCatalogue.MetricName, valueMs: number, tags?: Record<string, string>): void
  close (): Promise<void>
}

/** @param address IP address and UDP port of the collector, or an empty string. */
export function createMetrics (address: string, labels: Record<string, string>): Metrics {
  const [host, port] = address.split(':')
  const client = new hotShots.StatsD({
    prefix: 'bulrush.',
    globalTags: labels,
    maxBufferSize: 1400,
    ...(address === '' ? { mock: true } : { host: host!, port: Number(port) }),
    // A collector that is down must not affect requests.
    errorHandler: () => {}
  })
  return {
    count: (name, value = 1, tags = {}) => { client.increment(name, value, tags) },
    gauge: (name, value, tags = {}) => { client.gauge(name, value, tags) },
    timingMs: (name, valueMs, tags = {}) => { client.timing(name, valueMs, tags) },
    close: () => new Promise(resolve => { client.close(() => resolve()) })
  }
}
