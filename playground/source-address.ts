/**
 * Loaded into an entry with `--import`: binds its connections to the loopback address in SOURCE_ADDRESS, so that a
 * fault-injecting proxy can distinguish the entries of one region from the others.
 */

import * as net from 'node:net'

const localAddress = process.env['SOURCE_ADDRESS']!
const connect = net.Socket.prototype.connect as (this: net.Socket, ...args: any[]) => net.Socket

net.Socket.prototype.connect = function (this: net.Socket, ...args: any[]) {
  // Node's own modules pass the arguments as one array with the options first.
  const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as object
  if (typeof options === 'object') Object.assign(options, { localAddress })
  return connect.apply(this, args)
}
