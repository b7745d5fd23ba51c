/**
 * Causes of a process's graceful shutdown. The process drains while at least one is present.
 */

import type * as environment from './environment.js'

export type DrainCause = 'planned_stop' | 'host_leaving' | 'terminated'

export interface Drain {
  set (cause: DrainCause, isPresent: boolean): void
  isDraining (): boolean
  causes (): DrainCause[]
  /** When the current drain began, by `nowMs` of the environment; undefined while the process does not drain. */
  startedAtMs (): number | undefined
}

/** @param onChange called when the process begins to drain and when a drain is lifted. */
export function createDrain (env: environment.Environment, onChange: (isDraining: boolean) => void): Drain {
  const causes = new Set<DrainCause>()
  let startedAtMs: number | undefined
  return {
    set (cause, isPresent) {
      if (isPresent) causes.add(cause)
      else causes.delete(cause)
      const isDraining = causes.size > 0
      if (isDraining === (startedAtMs !== undefined)) return
      startedAtMs = isDraining ? env.nowMs() : undefined
      env.log.emit(isDraining ? 'drainStarted' : 'drainLifted', { causes: [...causes] })
      onChange(isDraining)
    },
    isDraining: () => startedAtMs !== undefined,
    causes: () => [...causes],
    startedAtMs: () => startedAtMs
  }
}
