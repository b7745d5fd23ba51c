/**
 * A client that opens its connection a moment before it has something to send.
 */

import * as net from 'node:net'
import * as client from './client.mjs'
import * as loopback from './net.mjs'

/** Delay of the link between clients and hosts, in each direction. */
const LINK_DELAY_MS = 3

let attempts = 0

/** Sends one request that must not be repeated. @returns what was sent and answered; `status` 0 means no answer. */
export async function sendOnOpenConnection (address, { path, openForMs, deadlineMs }) {
  const [host, port] = address.split(':')
  attempts += 1
  const attempt = `b${String(attempts).padStart(6, '0')}`
  const socket = net.connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
  let text = ''
  const answered = new Promise(resolve => {
    socket.on('data', chunk => {
      text += chunk
      if (isWhole(text)) resolve()
    })
    socket.on('error', resolve).on('close', resolve)
  })
  const connectedAtMs = performance.now()
  await loopback.sleep(openForMs)
  const body = 'one voucher'
  const sentAtMs = performance.now()
  socket.write([
    `POST ${path} HTTP/1.1`, `Host: ${client.HOST}`, `Attempt-Id: ${attempt}`, `Deadline-Remaining-Ms: ${deadlineMs}`,
    `Credential: ${client.KEY}`, `Content-Length: ${body.length}`, '', body
  ].join('\r\n'))
  await Promise.race([answered, loopback.sleep(deadlineMs)])
  // The answer reaches the client, and its close the host, with the delay of the link.
  await loopback.sleep(2 * LINK_DELAY_MS)
  socket.destroy()
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0)
  return { attempt, connectedAtMs, sentAtMs, answeredAtMs: performance.now(), status: isWhole(text) ? status : 0 }
}

function isWhole (text) {
  const end = text.indexOf('\r\n\r\n')
  const length = Number(/\r\ncontent-length: (\d+)/i.exec(text.slice(0, end + 2))?.[1] ?? NaN)
  return end >= 0 && text.length >= end + 4 + length
}
