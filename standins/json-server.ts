/**
 * Minimal HTTP server for the stand-ins: reads whole request bodies and sends JSON responses.
 */

import type * as net from 'node:net'
import * as http from 'node:http'

export interface JsonRequest {
  method: string
  path: string
  query: URLSearchParams
  headers: http.IncomingHttpHeaders
  body: Buffer
  raw: http.IncomingMessage
}

export type JsonHandler = (request: JsonRequest, response: http.ServerResponse) => Promise<void> | void

/**
 * Starts a server; a handler that throws closes its connection without an answer.
 * @param address IP address and port to listen on; port 0 picks a free one.
 * @returns the server with the IP address and port that it listens on.
 */
export async function serveJson (handler: JsonHandler, address = '127.0.0.1:0'): Promise<{ address: string, server: http.Server }> {
  const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    handleRequest(request, response).catch(() => response.destroy())
  })
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  const bound = server.address() as net.AddressInfo
  return { address: `${bound.address}:${bound.port}`, server }

  async function handleRequest (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
    const url = new URL(request.url ?? '/', 'http://standin')
    await handler({
      method: request.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: request.headers,
      body: Buffer.concat(chunks),
      raw: request
    }, response)
  }
}

export function sendJson (response: http.ServerResponse, status: number, document: unknown): void {
  const body = Buffer.from(JSON.stringify(document))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
