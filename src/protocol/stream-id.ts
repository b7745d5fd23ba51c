/**
 * Ids of server-sent events. An id contains all that an entry needs to resume the stream: the incarnation of the agent
 * that holds the stream, the attempt, and the byte offset after the event.
 */

export interface StreamPosition {
  agentIncarnation: string
  attemptId: string
  offsetBytes: number
}

const STREAM_ID = /^([0-9a-f]{32})~([0-9a-f]{32}\.\d{1,15})~(\d{1,15})$/

export function formatStreamId (position: StreamPosition): string {
  return `${position.agentIncarnation}~${position.attemptId}~${position.offsetBytes}`
}

/** @returns undefined when the text is not a stream id. */
export function parseStreamId (text: string): StreamPosition | undefined {
  const match = STREAM_ID.exec(text)
  if (match === null) return undefined
  return { agentIncarnation: match[1]!, attemptId: match[2]!, offsetBytes: Number(match[3]) }
}
