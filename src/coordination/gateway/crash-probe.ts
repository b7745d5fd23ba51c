/**
 * Distinguishes a crashed backend server from one that only closed a connection.
 */

import * as net from 'node:net'
import * as timers from 'node:timers/promises'

/** Delay before the check, since an exiting process closes its connections before its listening socket. */
const LISTENER_CLOSE_MS = 40
const CONNECT_TIMEOUT_MS = 300

/** @param address IP address and port. @returns whether connections to it are refused. */
export async function hasCrashed (address: string, signal: AbortSignal): Promise<boolean> {
  await timers.setTimeout(LISTENER_CLOSE_MS)
  if (signal.aborted) return false
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const socket = net.connect({ host: host!, port: Number(port) })
    const finish = (isRefused: boolean): void => {
      socket.destroy()
      resolve(isRefused)
    }
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => { finish(false) })
    socket.once('connect', () => { finish(false) })
    socket.once('error', error => { finish((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') })
  })
}
