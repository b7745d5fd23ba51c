/**
 * Reads the whole body of a client's request, up to a maximum length, within a timeout and the memory for clients.
 */

import type * as http from 'node:http'
import * as heldBytes from './held-bytes.js'

export type BodyResult =
  | { kind: 'whole', body: heldBytes.HeldBytes }
  | { kind: 'too_large' }
  | { kind: 'too_slow' }
  /** The memory for clients is used up, and this request holds most of it. */
  | { kind: 'no_memory' }
  | { kind: 'aborted' }

export interface BodyOptions {
  maxBytes: number
  timeoutMs: number
  /** Aborted when the client leaves or the process is about to exit. */
  signal?: AbortSignal
}

/** Counts the memory that the body of one request takes. */
export interface BodyAccount {
  hold: (bytes: number) => void
  /** Called when the request has to be given up; undefined while nothing reads its body. */
  onGivenUp: (() => void) | undefined
}

const accounts = new WeakMap<http.IncomingMessage, BodyAccount>()

/** Has the memory for a request's body counted. */
export function countBody (request: http.IncomingMessage, account: BodyAccount): void {
  accounts.set(request, account)
}

/** Whether the length that a client states is over the limit. */
export function isDeclaredTooLarge (request: http.IncomingMessage, maxBytes: number): boolean {
  return Number(request.headers['content-length'] ?? 0) > maxBytes
}

export async function readBody (
  request: http.IncomingMessage, { maxBytes, timeoutMs, signal }: BodyOptions
): Promise<BodyResult> {
  if (isDeclaredTooLarge(request, maxBytes)) return { kind: 'too_large' }
  const account = accounts.get(request)
  const body = new heldBytes.HeldBytes()
  return await new Promise(resolve => {
    let isFinished = false
    const finish = (result: BodyResult): void => {
      if (isFinished) return
      isFinished = true
      clearTimeout(timer)
      signal?.removeEventListener('abort', abort)
      request.removeAllListeners('data')
      if (account !== undefined) account.onGivenUp = undefined
      if (result.kind !== 'whole') {
        body.clear()
        account?.hold(0)
        // The rest is discarded.
        request.resume()
      }
      resolve(result)
    }
    const abort = (): void => { finish({ kind: 'aborted' }) }
    const timer = setTimeout(() => { finish({ kind: 'too_slow' }) }, timeoutMs)
    if (account !== undefined) account.onGivenUp = () => { finish({ kind: 'no_memory' }) }
    request.on('data', (piece: Buffer) => {
      if (body.sizeBytes + piece.length > maxBytes) {
        finish({ kind: 'too_large' })
        return
      }
      body.append(piece)
      account?.hold(body.takenBytes)
    })
    request.on('end', () => { finish({ kind: 'whole', body }) })
    request.on('error', abort)
    request.on('close', abort)
    if (signal?.aborted === true) abort()
    else signal?.addEventListener('abort', abort, { once: true })
  })
}
