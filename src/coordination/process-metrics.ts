/**
 * Metrics of the process itself: memory, CPU and event loop delay.
 */

import * as perfHooks from 'node:perf_hooks'
import * as environment from './environment.js'

const REPORT_PERIOD_MS = 5_000
/** Each sample wakes the process; the default of 10 ms would wake it 100 times a second. */
const LOOP_DELAY_SAMPLE_MS = 100
const NS_PER_MS = 1e6
const US_PER_MS = 1e3

export function startProcessMetrics (env: environment.Environment, signal: AbortSignal): void {
  const loopDelay = perfHooks.monitorEventLoopDelay({ resolution: LOOP_DELAY_SAMPLE_MS })
  loopDelay.enable()
  signal.addEventListener('abort', () => loopDelay.disable(), { once: true })
  let previousUsage = process.cpuUsage()
  environment.every(REPORT_PERIOD_MS, signal, () => {
    const used = process.cpuUsage(previousUsage)
    previousUsage = process.cpuUsage()
    const memory = process.memoryUsage()
    env.metrics.count('process.cpu_ms', (used.user + used.system) / US_PER_MS)
    env.metrics.gauge('process.resident_bytes', memory.rss)
    env.metrics.gauge('process.heap_bytes', memory.heapUsed)
    // A sample is the whole time since the previous one, so the interval is subtracted.
    const delayMs = Math.max(0, loopDelay.percentile(99) / NS_PER_MS - LOOP_DELAY_SAMPLE_MS)
    env.metrics.gauge('process.loop_delay_ms', delayMs)
    loopDelay.reset()
  })
}
