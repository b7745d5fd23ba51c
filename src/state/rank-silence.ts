/**
 * Detects ranks whose host has stopped: neither their agent nor the rank itself sends anything.
 *
 * Load pattern: the host of one rank freezes for seconds while its group goes on. Its kernel still accepts connections,
 * and without reports the rank looks idle, so it attracts requests that nobody reads before the host wakes up. Clients
 * leave meanwhile, and the rank works for them afterwards.
 */

import type * as backendPool from './backend-pool.js'

/** Silence beyond the usual one of the group's ranks after which a rank counts as stopped. */
const SILENCE_MARGIN_MS = 450
/** Agents send to some entries at a time, so the usual silence depends on the number of entries. */
const USUAL_SILENCE_FACTOR = 3
const USUAL_SILENCE_LIFETIME_MS = 100

/**
 * Whether a rank is silent for much longer than the other ranks of its group. If most are silent, this process or its
 * network is the likelier cause, and no rank counts as silent.
 */
export function isSilent (pool: backendPool.BackendPool, backend: backendPool.Backend, nowMs: number): boolean {
  const { group } = backend.row
  if (group === undefined) return false
  return nowMs - backend.heardAtMs > SILENCE_MARGIN_MS + USUAL_SILENCE_FACTOR * usualSilenceMs(pool, group.name, nowMs)
}

/** Whether this gateway has sent a request since the last sign of life. */
export function wasTriedInSilence (backend: backendPool.Backend): boolean {
  return (backend.sentAtMs.at(-1) ?? -Infinity) > backend.heardAtMs
}

function usualSilenceMs (pool: backendPool.BackendPool, group: string, nowMs: number): number {
  const known = pool.usualSilence.get(group)
  if (known !== undefined && nowMs - known.computedAtMs < USUAL_SILENCE_LIFETIME_MS) return known.medianMs
  const silences = [...pool.backends.values()]
    .filter(backend => backend.row.group?.name === group)
    .map(backend => nowMs - backend.heardAtMs)
    .sort((a, b) => a - b)
  const medianMs = silences[Math.floor(silences.length / 2)] ?? 0
  pool.usualSilence.set(group, { computedAtMs: nowMs, medianMs })
  return medianMs
}
