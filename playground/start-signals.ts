/**
 * Loaded into a program with `--import`: sends signals to its own process while the program starts. START_SIGNALS is a
 * list such as `SIGHUP@30,SIGTERM@listen`: 30 ms of processor time after the handler of SIGHUP stands, or when the
 * program first listens. Ends the program with exit code 9 if that handler stands only after the program has loaded the
 * HTTP library. FAULT_SIGNAL names a signal that raises an exception outside of any request.
 */

import * as net from 'node:net'

const HANDLER_IS_LATE = 9

const planned = (process.env['START_SIGNALS'] ?? '').split(',').filter(text => text !== '').map(text => {
  const [signal, moment] = text.split('@') as [NodeJS.Signals, string]
  return { signal, moment }
})
const timed = planned.filter(({ moment }) => moment !== 'listen')

process.on('newListener', function startTimes (event) {
  if (event !== 'SIGHUP') return
  process.off('newListener', startTimes)
  const { moduleLoadList } = process as unknown as { moduleLoadList: string[] }
  if (planned.length > 0 && moduleLoadList.includes('NativeModule http')) process.exit(HANDLER_IS_LATE)
  const startUsage = process.cpuUsage()
  const sendTimed = (): void => {
    const { user, system } = process.cpuUsage(startUsage)
    while (timed[0] !== undefined && (user + system) / 1_000 >= Number(timed[0].moment)) {
      process.kill(process.pid, timed.shift()!.signal)
    }
    if (timed.length > 0) setImmediate(sendTimed)
  }
  setImmediate(sendTimed)
})

const listen = net.Server.prototype.listen as (this: net.Server, ...args: any[]) => net.Server
net.Server.prototype.listen = function (this: net.Server, ...args: any[]) {
  net.Server.prototype.listen = listen
  for (const { signal, moment } of planned) if (moment === 'listen') process.kill(process.pid, signal)
  return listen.apply(this, args)
}

const faultSignal = process.env['FAULT_SIGNAL']
if (faultSignal !== undefined) process.on(faultSignal, () => { throw new Error('injected fault') })
