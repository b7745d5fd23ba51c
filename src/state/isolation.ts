/**
 * Runs suspected requests alone on a backend server, one after the other: while one waits or runs, new work is refused;
 * running requests continue, and the suspect starts when nothing else runs.
 */

export interface Isolation {
  waiting: { id: string, fingerprint: string }[]
  /** Suspected request that runs alone now. */
  runningId: string | undefined
}

export function createIsolation (): Isolation {
  return { waiting: [], runningId: undefined }
}

/** Whether other work must be sent to another backend server. */
export function isClosed (isolation: Isolation): boolean {
  return isolation.runningId !== undefined || isolation.waiting.length > 0
}

export function enqueue (isolation: Isolation, id: string, fingerprint: string): void {
  isolation.waiting.push({ id, fingerprint })
}

/**
 * Starts the next suspect when nothing else runs.
 *
 * @param running number of requests that run on the backend server.
 * @returns id of the request that runs alone now.
 */
export function startNext (isolation: Isolation, running: number): string | undefined {
  if (isolation.runningId === undefined && running === 0) isolation.runningId = isolation.waiting.shift()?.id
  return isolation.runningId
}

/**
 * Ends the run of a suspect.
 *
 * @returns ids of its waiting copies, which are removed: after a run without a crash they need not run alone, and after
 * a crash they must not run.
 */
export function finish (isolation: Isolation, fingerprint: string): string[] {
  isolation.runningId = undefined
  const released = isolation.waiting.filter(waiting => waiting.fingerprint === fingerprint)
  isolation.waiting = isolation.waiting.filter(waiting => waiting.fingerprint !== fingerprint)
  return released.map(waiting => waiting.id)
}

export function withdraw (isolation: Isolation, id: string): void {
  isolation.waiting = isolation.waiting.filter(waiting => waiting.id !== id)
}
