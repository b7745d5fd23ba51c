/**
 * How long the response to a request takes on a backend server, as far as it is known beforehand.
 */

import type * as callCodec from '../../protocol/call-codec.js'
import type * as routingTable from '../../state/routing-table.js'

/** What the expected and the longest time of a response depend on. */
export interface TimedCall {
  head: callCodec.CallHead
  engine: routingTable.EngineModel | undefined
  route: routingTable.Route
}

/** Estimated number of output tokens of a request. */
export function expectedOutputTokens (head: callCodec.CallHead, engine: routingTable.EngineModel): number {
  const usual = engine.usualOutputTokens
  const hint = head.estimatedOutputTokens
  // The client's estimate is right at the median but often far off, so it is averaged with the usual count.
  const expected = hint === undefined ? usual : (hint + usual) / 2
  return head.maxOutputTokens > 0 ? Math.min(head.maxOutputTokens, expected) : expected
}

/** Estimated time of the response on a backend server of usual load, in ms. */
export function expectedServiceMs (call: TimedCall): number {
  const { engine, head, route } = call
  if (engine === undefined) return route.targetLatencyMs / 3
  const stepMs = engine.stepMs + engine.perSequenceMs * engine.slots / 2
  return head.promptTokens / engine.prefillTokensPerMs + expectedOutputTokens(head, engine) * stepMs
}

/** The stated pace leaves out the context of each request and uneven load of the experts. */
const LONGEST_MARGIN = 1.1

/**
 * Time of the longest response that the head allows, in ms, on a backend server whose batch is full.
 *
 * @param pace time for each token as a multiple of the one that the engine states.
 * @param firstResponseMs time until a response begins.
 * @returns undefined if the head states no maximum or the service has no engine.
 */
export function longestServiceMs (call: TimedCall, pace: number, firstResponseMs: number): number | undefined {
  const { engine, head } = call
  if (engine === undefined || head.maxOutputTokens <= 0) return undefined
  const beginsMs = Math.max(firstResponseMs, head.promptTokens / engine.prefillTokensPerMs)
  return beginsMs + head.maxOutputTokens * fullBatchTokenMs(engine) * pace * LONGEST_MARGIN
}

/** Stated time between two events of a stream on a backend server whose batch is full, in ms. */
export function statedIntervalMs (engine: routingTable.EngineModel): number {
  return engine.stepsPerPass * fullBatchTokenMs(engine)
}

function fullBatchTokenMs (engine: routingTable.EngineModel): number {
  return engine.stepMs + engine.perSequenceMs * engine.slots
}
