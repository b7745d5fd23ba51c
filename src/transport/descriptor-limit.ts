/**
 * Number of descriptors that this process may open.
 */

import * as fs from 'node:fs'

/** Where the system states no limit. */
const USUAL_LIMIT = 1_024

/** @param statedLimit limit of the host by its settings; 0 if they state none. */
export function descriptorLimit (statedLimit: number): number {
  const own = readOwnLimit()
  return statedLimit === 0 ? own ?? USUAL_LIMIT : Math.min(statedLimit, own ?? Infinity)
}

/** Runtimes that simulate their host may have no such file. */
function readOwnLimit (): number | undefined {
  try {
    const [, limit] = /^Max open files\s+(\d+)/m.exec(fs.readFileSync('/proc/self/limits', 'utf8')) ?? []
    return limit === undefined ? undefined : Number(limit)
  } catch {
    return undefined
  }
}
