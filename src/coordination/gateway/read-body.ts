/**
 * Reads the whole body of a client's request, up to a maximum length and within a timeout.
 */

import type * as http from 'node:http'

export type BodyResult =
  | { kind: 'body', body: Buffer }
  | { kind: 'too_large' }
  | { kind: 'too_slow' }
  | { kind: 'aborted' }

/** Whether the length that a client states is over the limit. */
export function isDeclaredTooLarge (request: http.IncomingMessage, maxBytes: number): boolean {
  return Number(request.headers['content-length'] ?? 0) > maxBytes
}

/** @param signal aborted when the client leaves or the process is about to exit. */
export async function readBody (
  request: http.IncomingMessage, maxBytes: number, timeoutMs: number, signal: AbortSignal
): Promise<BodyResult> {
  if (isDeclaredTooLarge(request, maxBytes)) return { kind: 'too_large' }
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    const finish = (result: BodyResult): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', abort)
      request.removeAllListeners('data')
      resolve(result)
    }
    const abort = (): void => { finish({ kind: 'aborted' }) }
    const timer = setTimeout(() => { finish({ kind: 'too_slow' }) }, timeoutMs)
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      if (sizeBytes > maxBytes) finish({ kind: 'too_large' })
      else chunks.push(chunk)
    })
    request.on('end', () => { finish({ kind: 'body', body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) }) })
    request.on('error', abort)
    request.on('close', abort)
    if (signal.aborted) abort()
    else signal.addEventListener('abort', abort, { once: true })
  })
}
