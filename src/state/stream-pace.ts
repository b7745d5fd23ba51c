/**
 * How fast the streams of each service advance, compared with the pace that its engine states for a full batch. A
 * process that stops uses it to bound the time of a stream whose length is not known beforehand.
 */

/** Events of one stream that have reached the client. */
export interface StreamEvents {
  events: number
  firstEventAtMs: number | undefined
  lastEventAtMs: number | undefined
}

export interface RunningStream {
  service: string
  /** Time between two events at the stated pace. */
  statedIntervalMs: number
  progress: StreamEvents
}

interface Sample {
  multiple: number
  atMs: number
}

export interface StreamPaces {
  ended: Map<string, Sample[]>
  running: Set<RunningStream>
}

/** Ended streams of a service that are remembered. */
const MAX_SAMPLES = 32
/** Services that are remembered; those whose streams ended first are forgotten. */
const MAX_SERVICES = 512
/** How long an ended stream tells something of the present pace. */
const MEMORY_MS = 10_000
/** The first events of a stream may come together, so that fewer intervals show no pace. */
const MIN_INTERVALS = 4
/** A share of the streams that tells a service that is slow from a few streams that paused. */
const QUANTILE = 0.9

export function createPaces (): StreamPaces {
  return { ended: new Map(), running: new Set() }
}

/** @param statedIntervalMs time between two events at the pace that the engine states. */
export function noteStarted (
  paces: StreamPaces, service: string, statedIntervalMs: number, progress: StreamEvents
): RunningStream {
  const stream = { service, statedIntervalMs, progress }
  paces.running.add(stream)
  return stream
}

export function noteEnded (paces: StreamPaces, stream: RunningStream, nowMs: number): void {
  paces.running.delete(stream)
  const { lastEventAtMs } = stream.progress
  const multiple = multipleOf(stream, lastEventAtMs)
  if (multiple === undefined) return
  const samples = paces.ended.get(stream.service) ?? []
  samples.push({ multiple, atMs: nowMs })
  if (samples.length > MAX_SAMPLES) samples.shift()
  // Moves the service to the end of the map's order.
  paces.ended.delete(stream.service)
  paces.ended.set(stream.service, samples)
  if (paces.ended.size > MAX_SERVICES) paces.ended.delete(paces.ended.keys().next().value!)
}

/**
 * Time that nearly all streams of a service lately took for each event, as a multiple of the stated one; at least 1.
 *
 * Load pattern: backend servers have just become slow. Streams that run count as far as they have come, with the pause
 * that they are in.
 */
export function paceOf (paces: StreamPaces, service: string, nowMs: number): number {
  const ended = (paces.ended.get(service) ?? []).filter(({ atMs }) => nowMs - atMs < MEMORY_MS)
  const running = [...paces.running]
    .filter(stream => stream.service === service)
    .map(stream => multipleOf(stream, nowMs))
    .filter(multiple => multiple !== undefined)
  const sorted = [...ended.map(({ multiple }) => multiple), ...running].sort((a, b) => a - b)
  return sorted.length === 0 ? 1 : Math.max(1, sorted[Math.ceil(QUANTILE * sorted.length) - 1]!)
}

function multipleOf ({ statedIntervalMs, progress }: RunningStream, untilMs: number | undefined): number | undefined {
  const { events, firstEventAtMs } = progress
  const intervals = events - 1
  if (intervals < MIN_INTERVALS || firstEventAtMs === undefined || untilMs === undefined) return undefined
  return (untilMs - firstEventAtMs) / intervals / Math.max(0.1, statedIntervalMs)
}
