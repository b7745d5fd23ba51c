/**
 * Addresses of processes and backend servers, as rows of the store and datagrams state them. Either may come from
 * another writer.
 */

const IP_AND_PORT = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/
const MAX_PORT = 65_535
const MAX_OCTET = 255

/** Whether a text is an IPv4 address and a port. Sockets throw for other ports, and look up other hosts. */
export function isSocketAddress (text: unknown): text is string {
  const [, ip, port] = (typeof text === 'string' ? IP_AND_PORT.exec(text) : null) ?? []
  return ip !== undefined && Number(port) > 0 && Number(port) <= MAX_PORT &&
    ip.split('.').every(octet => Number(octet) <= MAX_OCTET)
}
