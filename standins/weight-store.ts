/**
 * Stand-in for the weight store: S3 GET of one object for each expert. Requests beyond the rate limit are answered 503.
 * Prints one line of JSON with its address once it is ready. Usage: weight-store.js OBJECTS_PER_SECOND OBJECT_BYTES
 */

import * as jsonServer from './json-server.js'

const [objectsPerSecond, objectBytes] = process.argv.slice(2).map(Number) as [number, number]
const body = Buffer.alloc(objectBytes)
const counts = { served: 0, refused: 0 }
let limit = objectsPerSecond
let tokens = limit
let refilledAtMs = performance.now()

const server = await jsonServer.serveJson((request, response) => {
  if (request.path === '/counts') return jsonServer.sendJson(response, 200, counts)
  if (request.method === 'PUT' && request.path === '/limit') {
    limit = Number(request.body.toString('utf8'))
    return jsonServer.sendJson(response, 200, {})
  }
  const nowMs = performance.now()
  tokens = Math.min(limit, tokens + (nowMs - refilledAtMs) / 1_000 * limit)
  refilledAtMs = nowMs
  if (tokens < 1) {
    counts.refused += 1
    response.writeHead(503, { 'retry-after': '1', 'content-type': 'application/xml' })
    response.end('<Error><Code>SlowDown</Code></Error>')
    return
  }
  tokens -= 1
  counts.served += 1
  response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': body.length })
  response.end(body)
})

process.once('SIGTERM', () => process.exit(0))
process.once('SIGINT', () => process.exit(0))
console.log(JSON.stringify({ ready: true, address: server.address }))
