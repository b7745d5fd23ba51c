/**
 * Addresses of other processes, as rows of the store and datagrams state them. Either may come from another writer.
 */

const IP_AND_PORT = /^(?:\d{1,3}\.){3}\d{1,3}:(\d{1,5})$/
const MAX_PORT = 65_535

/** Whether a text is an IPv4 address and a port. Sockets throw for a port outside the range. */
export function isPeerAddress (text: unknown): text is string {
  const port = typeof text === 'string' ? IP_AND_PORT.exec(text)?.[1] : undefined
  return port !== undefined && Number(port) > 0 && Number(port) <= MAX_PORT
}
