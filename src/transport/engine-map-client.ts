/**
 * Client of the management port of an engine in a lock-step group: JSON over HTTP.
 */

import * as undici from 'undici'
import * as zod from 'zod'
import type * as platform from '../protocol/platform.js'
import type * as mapSwitch from '../state/map-switch.js'
import * as jsonBody from './json-body.js'

const armedSchema = zod.object({ version: zod.number(), step: zod.number() }).optional()
const snapshotSchema = zod.object({
  groupIncarnation: zod.string(),
  step: zod.number(),
  version: zod.number(),
  prepared: zod.number().optional(),
  hold: armedSchema,
  armed: armedSchema,
  fencingNumber: zod.number()
}).transform(value => ({ ...value, prepared: value.prepared, hold: value.hold, armed: value.armed }))
const mapSchema = zod.object({
  version: zod.number(), slotsPerRank: zod.number(), layers: zod.array(zod.array(zod.number()))
})
const refusalSchema = zod.object({
  reason: zod.enum(['fenced', 'other_group', 'not_prepared', 'step_passed', 'armed']), snapshot: snapshotSchema
})

export class HttpEngineManagement implements platform.EngineManagement {
  readonly #origin: string
  readonly #timeoutMs: number

  /** @param address IP address and port of the rank's management port. */
  constructor (address: string, timeoutMs: number) {
    this.#origin = `http://${address}`
    this.#timeoutMs = timeoutMs
  }

  async state (signal: AbortSignal): Promise<mapSwitch.EngineSnapshot | undefined> {
    return this.#read('/management/state', snapshotSchema, signal)
  }

  async maps (signal: AbortSignal): Promise<platform.EngineExpertMaps | undefined> {
    return this.#read('/management/maps', zod.object({ current: mapSchema, prepared: mapSchema.optional() }), signal)
  }

  async tokens (signal: AbortSignal): Promise<number[][] | undefined> {
    const answer = await this.#read('/management/tokens', zod.object({ tokens: zod.array(zod.array(zod.number())) }), signal)
    return answer?.tokens
  }

  async command (
    command: mapSwitch.EngineCommand, map: platform.ExpertMap | undefined, signal: AbortSignal
  ): Promise<mapSwitch.EngineResult> {
    const answer = await this.#call('POST', '/management/command', JSON.stringify({ command, map }), signal)
    if (answer?.status === 200) {
      const done = zod.object({ snapshot: snapshotSchema }).safeParse(answer.body)
      if (done.success) return { kind: 'done', snapshot: done.data.snapshot }
    }
    if (answer?.status === 409) {
      const refused = refusalSchema.safeParse(answer.body)
      if (refused.success) return { kind: 'refused', ...refused.data }
    }
    return { kind: 'unknown' }
  }

  async #read<T> (path: string, schema: zod.ZodType<T>, signal: AbortSignal): Promise<T | undefined> {
    const answer = await this.#call('GET', path, null, signal)
    if (answer?.status !== 200) return undefined
    const parsed = schema.safeParse(answer.body)
    return parsed.success ? parsed.data : undefined
  }

  async #call (
    method: 'GET' | 'POST', path: string, body: string | null, signal: AbortSignal
  ): Promise<{ status: number, body: unknown } | undefined> {
    try {
      const response = await undici.request(`${this.#origin}${path}`, {
        method, body, signal: AbortSignal.any([signal, AbortSignal.timeout(this.#timeoutMs)])
      })
      return { status: response.statusCode, body: await jsonBody.readJson(response.body) }
    } catch {
      return undefined
    }
  }
}
