/**
 * Small helpers for sockets on loopback, and a proxy that can cut what passes through it.
 */

import * as net from 'node:net'

export const sleep = ms => new Promise(resolve => { setTimeout(resolve, ms) })

/** @returns IP address and port. */
export async function listen (server, host = '127.0.0.1') {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  return `${host}:${server.address().port}`
}

/** Ports that are free at this moment. */
export async function freePorts (count) {
  const servers = []
  for (let index = 0; index < count; index++) {
    const server = net.createServer()
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, '127.0.0.1', resolve)
    })
    servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

/** @returns undefined when the sender broke off. */
export async function readText (message) {
  const chunks = []
  try {
    for await (const chunk of message) chunks.push(chunk)
  } catch {
    return undefined
  }
  return Buffer.concat(chunks).toString()
}

/** Polls until a condition holds. @returns whether it held in time. */
export async function waitUntil (condition, timeoutMs) {
  const endMs = performance.now() + timeoutMs
  while (performance.now() < endMs) {
    if (await condition()) return true
    await sleep(20)
  }
  return false
}

/** Passes connections on to a target. While it is cut, nothing passes and new connections are not answered. */
export class Proxy {
  address = ''
  #target
  #isCut = false
  #pairs = new Set()
  #server = net.createServer({ allowHalfOpen: true }, client => { this.#accept(client) })

  constructor (target) {
    this.#target = target
  }

  async start () {
    this.address = await listen(this.#server)
  }

  /** Silent, like a partition: open connections stay open, and what arrives meanwhile is lost with them. */
  cut () {
    this.#isCut = true
    for (const { client, target } of this.#pairs) {
      client.pause()
      target.pause()
    }
  }

  /** Connections from before and during the cut are reset; new ones work. */
  heal () {
    this.#isCut = false
    for (const { client, target } of this.#pairs) {
      client.resetAndDestroy()
      target.destroy()
    }
  }

  stop () {
    this.#server.close()
    for (const { client, target } of this.#pairs) {
      client.destroy()
      target.destroy()
    }
  }

  #accept (client) {
    const [host, port] = this.#target.split(':')
    const target = this.#isCut ? new net.Socket() : net.connect({ host, port: Number(port), allowHalfOpen: true })
    const pair = { client, target }
    this.#pairs.add(pair)
    const end = () => {
      this.#pairs.delete(pair)
      client.destroy()
      target.destroy()
    }
    client.on('error', end).on('close', end)
    target.on('error', end).on('close', end)
    if (this.#isCut) client.pause()
    else client.pipe(target).pipe(client)
  }
}
