/**
 * What has to hold for a process beside clients that nobody controls, and after they have left: it lives, within the
 * memory of its host and the descriptors that clients leave to others, and an ordinary caller is served.
 */

import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as processUsage from './process-usage.js'
import type * as unrulyClients from './unruly-clients.js'

export interface CrowdedProcess {
  pid: number
  hasExited: () => boolean
  memoryMb: number
  /** Limit of the process on open descriptors. */
  maxDescriptors: number
  /** Whether one request of an ordinary caller is served. */
  serves: () => Promise<boolean>
}

/** Descriptors that clients leave for connections to backend servers, platform services and other processes. */
const RESERVED_DESCRIPTORS = 40
const MEBIBYTE = 1024 * 1024
/** An ordinary caller tries again for so long. */
const ORDINARY_TIMEOUT_MS = 30_000
const ATTEMPT_MS = 2_000
const RETRY_MS = 50

export async function expectOrdinaryAnswer (crowded: CrowdedProcess): Promise<void> {
  const endMs = performance.now() + ORDINARY_TIMEOUT_MS
  for (;;) {
    vitest.expect(crowded.hasExited(), 'the process has ended').toBe(false)
    const timeout = timers.setTimeout(ATTEMPT_MS, false)
    if (await Promise.race([crowded.serves(), timeout])) return
    vitest.expect(performance.now(), 'no ordinary request was served').toBeLessThan(endMs)
    await timers.setTimeout(RETRY_MS)
  }
}

export function expectWithinHost ({ pid, hasExited, memoryMb, maxDescriptors }: CrowdedProcess): void {
  vitest.expect(hasExited(), 'the process has ended').toBe(false)
  vitest.expect(processUsage.peakBytes(pid) / MEBIBYTE, 'peak memory in MiB').toBeLessThan(memoryMb)
  vitest.expect(processUsage.descriptorCount(pid), 'descriptors')
    .toBeLessThanOrEqual(maxDescriptors - RESERVED_DESCRIPTORS)
}

/** Checks a process beside a crowd, and after the crowd has left. */
export async function expectUnharmed (crowded: CrowdedProcess, crowd: unrulyClients.Crowd): Promise<void> {
  try {
    await crowd.whenStuck()
    expectWithinHost(crowded)
    await expectOrdinaryAnswer(crowded)
    expectWithinHost(crowded)
  } finally {
    crowd.leave()
  }
  await expectOrdinaryAnswer(crowded)
  expectWithinHost(crowded)
}
