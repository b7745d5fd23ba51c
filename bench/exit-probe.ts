/**
 * Preloaded into a short-lived program (`node --import`): writes its resource usage to file descriptor 3 when it exits.
 */

import * as fs from 'node:fs'

export interface ExitUsage {
  cpuMs: number
  maxRssMb: number
}

const USAGE_FILE_DESCRIPTOR = 3
const MICROSECONDS_PER_MS = 1_000
const KILOBYTES_PER_MB = 1_024

process.on('exit', () => {
  const { userCPUTime, systemCPUTime, maxRSS } = process.resourceUsage()
  const usage: ExitUsage = {
    cpuMs: (userCPUTime + systemCPUTime) / MICROSECONDS_PER_MS,
    maxRssMb: maxRSS / KILOBYTES_PER_MB
  }
  fs.writeSync(USAGE_FILE_DESCRIPTOR, JSON.stringify(usage))
})
