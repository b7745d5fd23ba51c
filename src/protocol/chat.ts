/**
 * Continuation of a chat completion on another engine: the text relayed so far becomes the beginning of the answer.
 */

import * as eventsourceParser from 'eventsource-parser'
import * as zod from 'zod'

const chunkSchema = zod.object({
  choices: zod.array(zod.object({
    delta: zod.object({ content: zod.string().nullish() }).nullish(),
    finish_reason: zod.string().nullish()
  }))
})

export interface RelayedText {
  text: string
  /** Number of events that contained text. */
  textEvents: number
  /** The engine has sent a finish reason; only the final `[DONE]` event may be missing. */
  isFinished: boolean
}

/** Extracts the text from whole events that were relayed. */
export function readRelayedText (events: readonly Buffer[]): RelayedText {
  const result: RelayedText = { text: '', textEvents: 0, isFinished: false }
  const parser = eventsourceParser.createParser({
    onEvent (event) {
      if (event.data === '[DONE]') return
      const parsed = chunkSchema.safeParse(JSON.parse(event.data))
      const choice = parsed.success ? parsed.data.choices[0] : undefined
      if (choice === undefined) return
      if (choice.delta?.content) {
        result.text += choice.delta.content
        result.textEvents += 1
      }
      if (choice.finish_reason) result.isFinished = true
    }
  })
  for (const event of events) parser.feed(event.toString('utf8'))
  return result
}

const requestSchema = zod.looseObject({
  messages: zod.array(zod.looseObject({ role: zod.string() })),
  max_tokens: zod.int().positive().nullish(),
  max_completion_tokens: zod.int().positive().nullish()
})

/**
 * Builds the body of a request that continues after the relayed text, with the fields `continue_final_message` and
 * `add_generation_prompt` that engines accept for this purpose.
 * @returns undefined when the request cannot be continued.
 */
export function continueRequest (body: Buffer, relayed: RelayedText): Buffer | undefined {
  const parsed = requestSchema.safeParse(JSON.parse(body.toString('utf8')))
  if (!parsed.success || relayed.isFinished) return undefined
  const { max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens, ...rest } = parsed.data
  const limits: Record<string, number> = {}
  if (maxTokens) limits['max_tokens'] = maxTokens - relayed.textEvents
  if (maxCompletionTokens) limits['max_completion_tokens'] = maxCompletionTokens - relayed.textEvents
  if (Object.values(limits).some(limit => limit <= 0)) return undefined
  if (relayed.textEvents === 0) return body
  return Buffer.from(JSON.stringify({
    ...rest,
    ...limits,
    messages: [...rest.messages, { role: 'assistant', content: relayed.text }],
    continue_final_message: true,
    add_generation_prompt: false
  }))
}
