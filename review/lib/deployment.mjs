/**
 * Starts the project's own programs as the deploy file does: its command, its settings template, one process a host, on
 * a loopback address of its own.
 */

import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as net from './net.mjs'

const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..')

/** Figures of the small deployments' sheets. */
export const BOUNDS = {
  'contact-threshold-ms': 3_000,
  'drain-timeout-ms': 2_000,
  'grace-period-s': 8,
  'config-propagation-ms': 2_000,
  'retry-budget-ratio': 0.2,
  'retry-budget-extra': 90,
  'budget-window-s': 10
}

export class CannotRun extends Error {}

export class Deployment {
  hosts = []
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  #network = `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`
  #ports
  #storeAddress

  /** @param storeAddress IP address and port of the store, for hosts that have no other one. */
  constructor (storeAddress) {
    this.#storeAddress = storeAddress
  }

  /** Starts hosts with one process each, and waits until the entries among them are ready. */
  async start (hosts) {
    this.#ports ??= await net.freePorts(6)
    for (const host of hosts) {
      this.hosts.push({
        ip: `${this.#network}.${1 + this.hosts.length}`, zone: `z${1 + this.hosts.length % 3}`, isFirstStart: true, ...host
      })
    }
    await Promise.all(this.hosts.filter(host => host.child === undefined).map(host => this.launch(host)))
  }

  clientAddress (host) {
    return `${host.ip}:${this.#ports[0]}`
  }

  /** Starts the process of a host and waits until it is ready. */
  async launch (host) {
    const role = readRole(host.role)
    const settingsFile = path.join(this.#folder, `${host.name}.settings`)
    fs.writeFileSync(settingsFile, render(fs.readFileSync(path.join(ROOT, role.template), 'utf8'), this.#fields(host)))
    const [program, ...args] = role.run.split(' ')
    if (!fs.existsSync(path.join(ROOT, args.at(-1)))) throw new CannotRun(`${args.at(-1)} is not built`)
    const log = fs.openSync(path.join(this.#folder, `${host.name}.log`), 'a')
    host.child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BULRUSHROUTE_BOOT: settingsFile },
      stdio: ['ignore', log, log]
    })
    fs.closeSync(log)
    host.exited = new Promise(resolve => { host.child.once('exit', resolve) })
    host.isFirstStart = false
    if (host.role !== 'entry') return
    const isReady = await net.waitUntil(() => this.isReady(host), 15_000)
    if (!isReady) throw new CannotRun(`${host.name} is not ready: ${this.logOf(host).slice(-500)}`)
  }

  async isReady (host) {
    return await new Promise(resolve => {
      http.get({ host: host.ip, port: this.#ports[1], path: '/readiness', agent: false }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      }).on('error', () => { resolve(false) })
    })
  }

  logOf (host) {
    return fs.readFileSync(path.join(this.#folder, `${host.name}.log`), 'utf8')
  }

  /** Ends only the processes that this deployment started. */
  async stop () {
    await Promise.all(this.hosts.map(async ({ child, exited }) => {
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
      await exited
    }))
    fs.rmSync(this.#folder, { recursive: true, force: true })
  }

  #fields (host) {
    const [client, ready, directory, control, internal, metrics] = this.#ports
    return {
      'node-name': host.name,
      zone: host.zone,
      'ip-address': host.ip,
      'listen-addresses': {
        frontend: `${host.ip}:${client}`,
        ready: `${host.ip}:${ready}`,
        'directory-service': `${host.ip}:${directory}`,
        'control-plane': `${host.ip}:${control}`
      },
      'internal-port-range': [internal, metrics],
      'seed-nodes': this.hosts.filter(({ role }) => role === 'entry').slice(0, 3).map(({ ip }) => `${ip}:${control}`),
      'is-bootstrap': host.isFirstStart,
      platform: { address: host.storeAddress ?? this.#storeAddress },
      app: host.app ?? '',
      bounds: BOUNDS
    }
  }
}

/** Reads the table of a role from the deploy file. */
function readRole (name) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const table = text.split(`[roles.${name}]`)[1].split('\n[')[0]
  return Object.fromEntries([...table.matchAll(/^(\w+) = "(.*)"$/gm)].map(([, key, value]) => [key, value]))
}

/** Fills a settings template with values and with sections for a value that is true or false. */
function render (template, fields) {
  const valueOf = name => name.split('.').reduce((value, part) => value?.[part], fields)
  return template
    .replace(/\{\{([#^])([\w.-]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g, (_, kind, name, inner) =>
      (valueOf(name) === true) === (kind === '#') ? inner : '')
    .replace(/\{\{([\w.-]+)\}\}/g, (_, name) => String(valueOf(name) ?? ''))
}
