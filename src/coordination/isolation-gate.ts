/**
 * Holds requests that are suspected of crashing backend servers at the agent until they may run alone.
 */

import * as isolation from '../state/isolation.js'

/**
 * `released`: a request with the same fingerprint completed alone, so this one may run beside others. `crashed`: a
 * request with the same fingerprint crashed the backend server.
 */
export type EnterResult = 'alone' | 'released' | 'crashed' | 'refused'

export interface IsolationGate {
  /** Whether other requests have to be sent to another backend server. */
  isClosed (): boolean
  /** Waits until the request may run, up to the timeout. A refused request must not run. */
  enter (id: string, fingerprint: string, timeoutMs: number): Promise<EnterResult>
  /** Ends a run for which `enter` returned `alone`. */
  leave (fingerprint: string, isCompleted: boolean): void
}

export interface IsolationGateParts {
  nowMs: () => number
  /** Number of requests that run on the backend server. */
  running: () => number
  /** False while the backend server accepts no requests. */
  isUsable: () => boolean
}

const POLL_PERIOD_MS = 10

export function createIsolationGate (parts: IsolationGateParts): IsolationGate {
  const state = isolation.createIsolation()
  /** Results of waiting requests, by id, after a request with the same fingerprint has ended. */
  const settled = new Map<string, 'released' | 'crashed'>()
  return {
    isClosed: () => isolation.isClosed(state),
    async enter (id, fingerprint, timeoutMs) {
      const endMs = parts.nowMs() + timeoutMs
      isolation.enqueue(state, id, fingerprint)
      for (;;) {
        const result = settled.get(id)
        if (result !== undefined) {
          settled.delete(id)
          return result
        }
        if (!parts.isUsable() || parts.nowMs() >= endMs) {
          isolation.withdraw(state, id)
          return 'refused'
        }
        if (isolation.startNext(state, parts.running()) === id) return 'alone'
        await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MS))
      }
    },
    leave (fingerprint, isCompleted) {
      for (const id of isolation.finish(state, fingerprint)) settled.set(id, isCompleted ? 'released' : 'crashed')
    }
  }
}
