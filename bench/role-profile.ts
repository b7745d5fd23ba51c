/**
 * Profiles one entry and one agent among many processes of the platform's programs on loopback: which files of this
 * project, and which parts of the runtime, take their processor time.
 */

import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as deployment from '../platform/soak/deployment.js'
import * as harness from '../platform/standins/entry-harness.js'
import type * as experiment from './experiment.js'

const SIZE: deployment.SoakSize = { entries: 35, backends: 8, ranks: 64 }
const LOAD_MS = 12_000
const REQUESTS_PER_SECOND = 70
/** The first agents may lead the group, so one of the last ones is profiled as well as the first. */
const PROFILED = ['entry-5', 'agent-0', 'agent-40']
const SHOWN_PLACES = 25

/** The parts of a V8 profile that are used. Times are in microseconds. */
interface CpuProfile {
  nodes: ProfileNode[]
  samples: number[]
  timeDeltas: number[]
}

interface ProfileNode {
  id: number
  callFrame: { functionName: string, url: string }
  children?: number[]
}

export const roleProfile: experiment.Experiment = {
  name: 'role-profile',
  description: `processor time by function of an entry and two agents, ${SIZE.entries} entries and ${SIZE.ranks} agents`,
  run: async () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'role-profile-'))
    const target = new deployment.SoakDeployment(SIZE, name =>
      PROFILED.includes(name) ? ['--cpu-prof', `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${name}.cpuprofile`] : [])
    try {
      await target.start()
      await sendLoad(target)
      const profiled = [...target.entries, ...target.agents].filter(managed => PROFILED.includes(managed.name))
      await Promise.all(profiled.map(async ({ running }) => {
        running?.kill('SIGTERM')
        await running?.exited
      }))
      const tables = PROFILED.map(name => tableOf(name, JSON.parse(
        fs.readFileSync(path.join(folder, `${name}.cpuprofile`), 'utf8')) as CpuProfile))
      return { tables, conclusions: [] }
    } finally {
      await target.stop()
      fs.rmSync(folder, { recursive: true, force: true })
    }
  }
}

async function sendLoad (target: deployment.SoakDeployment): Promise<void> {
  const agent = new http.Agent({ keepAlive: true })
  const calls: Promise<unknown>[] = []
  const endAtMs = performance.now() + LOAD_MS
  while (performance.now() < endAtMs) {
    const address = target.clientAddresses[calls.length % target.clientAddresses.length]!
    calls.push(harness.sendRequest(address, { path: '/safe/', agent }).catch(() => undefined))
    await timers.setTimeout(1_000 / REQUESTS_PER_SECOND)
  }
  await Promise.all(calls)
  agent.destroy()
}

/**
 * Processor time under load by the function of this project that spent it, itself or in what it called. The start of
 * the process and the time in which it waited are left out.
 */
function tableOf (name: string, profile: CpuProfile): experiment.Table {
  const places = placesOf(profile.nodes)
  const totalUs = profile.timeDeltas.reduce((sum, deltaUs) => sum + deltaUs, 0)
  const timeByPlaceMs = new Map<string, number>()
  let elapsedUs = 0
  let loadMs = 0
  profile.samples.forEach((id, index) => {
    const deltaUs = profile.timeDeltas[index]!
    elapsedUs += deltaUs
    const place = places.get(id)
    if (place === undefined || elapsedUs < totalUs - LOAD_MS * 1_000) return
    timeByPlaceMs.set(place, (timeByPlaceMs.get(place) ?? 0) + deltaUs / 1_000)
    loadMs += deltaUs / 1_000
  })
  const rows = [...timeByPlaceMs].sort((a, b) => b[1] - a[1]).slice(0, SHOWN_PLACES)
    .map(([place, tookMs]) => [place, Math.round(tookMs), `${(100 * tookMs / loadMs).toFixed(1)} %`])
  return { title: `${name}: ${Math.round(loadMs)} ms in ${LOAD_MS} ms`, columns: ['function', 'ms', 'share'], rows }
}

/** The nearest caller of each node that is a function of this project; the node itself if there is none. */
function placesOf (nodes: readonly ProfileNode[]): Map<number, string | undefined> {
  const byId = new Map(nodes.map(node => [node.id, node]))
  const places = new Map<number, string | undefined>()
  const visit = (node: ProfileNode, owner: string | undefined): void => {
    const { functionName, url } = node.callFrame
    const isOwn = url.includes('/dist/') && !url.includes('node_modules')
    const place = isOwn ? `${url.replace(/^.*\/dist\//, '')} ${functionName}` : owner ?? `${url} ${functionName}`
    const isWaiting = functionName === '(idle)' || functionName === '(program)'
    places.set(node.id, isWaiting ? undefined : place)
    for (const child of node.children ?? []) visit(byId.get(child)!, isOwn ? place : owner)
  }
  visit(nodes[0]!, undefined)
  return places
}
