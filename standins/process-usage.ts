/**
 * What a process uses of its host, as the kernel counts it.
 */

import * as fs from 'node:fs'

/** Highest resident memory of a process so far, in bytes. */
export function peakBytes (pid: number): number {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) * 1_024
}

/** Number of descriptors that a process has open. */
export function descriptorCount (pid: number): number {
  return fs.readdirSync(`/proc/${pid}/fd`).length
}
