/**
 * HTTP server for the metrics of a process, as text.
 */

import * as clientConnections from './client-connections.js'
import type * as clientPool from './client-pool.js'
import type * as textMetrics from './text-metrics.js'

const PATH = '/metrics'

/**
 * @param address IP address and port; when empty, nothing is served.
 * @param pool connections of all listeners of the process.
 */
export async function serveMetrics (
  address: string, metrics: textMetrics.TextMetrics, pool: clientPool.ClientPool, signal: AbortSignal
): Promise<void> {
  if (address === '') return
  const server = clientConnections.createServer({
    handler: (request, response) => {
      if (request.url !== PATH) {
        response.writeHead(404, { 'Content-Length': 0 }).end()
        return
      }
      metrics.render().then(text => {
        const length = Buffer.byteLength(text)
        response.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4', 'Content-Length': length }).end(text)
      }, (error: Error) => { response.writeHead(500).end(error.message) })
    },
    pool
  })
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  signal.addEventListener('abort', () => {
    server.close()
    server.closeAllConnections()
  }, { once: true })
}
