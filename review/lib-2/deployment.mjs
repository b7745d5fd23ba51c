/**
 * Starts the project's programs as processes of their own, with the commands of the deploy file and settings that are
 * filled in from its templates as the platform does it. Each host has a loopback address of its own.
 */

import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')
const EXIT_WAIT_MS = 3_000

/** Bounds of the small deployments in the users' site files. */
const BOUNDS = {
  'contact-threshold-ms': '3000',
  'drain-timeout-ms': '2000',
  'grace-period-s': '8',
  'retry-budget-ratio': '0.2',
  'budget-window-s': '10',
  'retry-budget-extra': '90'
}
const MACHINES = {
  entry: { 'memory-mb': '350', 'file-descriptors': '4100' },
  agent: { 'memory-mb': '218', 'file-descriptors': '1494' }
}

/** @returns that many ports that are free now. */
export async function freePorts (count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = net.createServer()
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, '127.0.0.1', resolve)
    })
    return server
  }))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

export class Deployment {
  #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  #processes = []
  #ports
  #network
  #storeAddress

  /** @param network second and third byte of the hosts' addresses. */
  constructor (storeAddress, network = '77.1') {
    this.#storeAddress = storeAddress
    this.#network = network
  }

  /** @param host number of the host, from 1 on. @param app address of the server beside an agent. */
  async start (role, host, { app, isFirst = true } = {}) {
    this.#ports ??= await freePorts(5)
    const [frontend, ready, directory, internal, metrics] = this.#ports
    const ip = `127.${this.#network}.${host}`
    const fields = {
      'node-name': `${role}-${host}`,
      zone: `zone-${(host - 1) % 3 + 1}`,
      'ip-address': ip,
      'listen-addresses': {
        frontend: `${ip}:${frontend}`, ready: `${ip}:${ready}`, 'directory-service': `${ip}:${directory}`
      },
      'internal-port-range': [String(internal), String(metrics)],
      'seed-nodes': [1, 2, 3].map(seed => `127.${this.#network}.${seed}:${internal}`),
      'is-bootstrap': isFirst,
      limits: MACHINES[role],
      bounds: BOUNDS,
      platform: { address: this.#storeAddress },
      app
    }
    const { run, template } = readRole(role)
    const settings = path.join(this.#folder, `${role}-${host}.conf`)
    fs.writeFileSync(settings, render(fs.readFileSync(path.join(ROOT, template), 'utf8'), fields))
    const logFile = path.join(this.#folder, `${role}-${host}-${this.#processes.length}.log`)
    const output = fs.openSync(logFile, 'w')
    const [program, ...args] = run.split(' ')
    const child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C', BULRUSHROUTE_BOOT: settings },
      stdio: ['ignore', output, output]
    })
    fs.closeSync(output)
    const started = {
      name: `${role}-${host}`,
      pid: child.pid,
      client: fields['listen-addresses'].frontend,
      ready: fields['listen-addresses'].ready,
      directory: fields['listen-addresses']['directory-service'],
      end: undefined,
      kill: signal => { if (started.end === undefined) child.kill(signal) },
      log: () => fs.readFileSync(logFile, 'utf8')
    }
    started.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        started.end = { code, signal, atMs: performance.now() }
        resolve(started.end)
      })
    })
    this.#processes.push(started)
    return started
  }

  /** Ends all processes that were started. */
  async stop () {
    for (const started of this.#processes) started.kill('SIGCONT')
    for (const started of this.#processes) started.kill('SIGKILL')
    const timeout = new Promise(resolve => { setTimeout(resolve, EXIT_WAIT_MS).unref() })
    await Promise.race([Promise.all(this.#processes.map(({ exited }) => exited)), timeout])
    fs.rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Command and template of a role in the deploy file. */
function readRole (role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0]
  const valueOf = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1]
  return { run: valueOf('run'), template: valueOf('template') }
}

/** Fills in a template: values and sections without nesting, which is all that the project's templates use. */
function render (template, fields) {
  const find = name => name.split('.').reduce((value, key) => value?.[key], fields)
  const valueOf = name => {
    const value = find(name)
    return Array.isArray(value) ? value.join(',') : String(value ?? '')
  }
  const isSet = name => find(name) !== undefined && find(name) !== false
  return template
    .replace(/\{\{#([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) => isSet(name) ? inner : '')
    .replace(/\{\{\^([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) => isSet(name) ? '' : inner)
    .replace(/\{\{([\w.-]+)\}\}/g, (_, name) => valueOf(name))
}
