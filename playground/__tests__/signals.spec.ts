import * as childProcess from 'node:child_process'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as timers from 'node:timers/promises'
import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as operator from '../operator.js'
import * as processRunner from '../process-runner.js'

const { afterEach, expect, test } = vitest

const STREAMS = 6
const STREAM_TOKENS = 400
const START_SIGNALS = 'playground/start-signals.js'
const HANG_UPS = 'SIGHUP@0,SIGHUP@20,SIGHUP@40,SIGHUP@60,SIGUSR2@80,SIGHUP@100,SIGHUP@150,SIGHUP@200,SIGHUP@listen'

let deployment: cluster.Cluster | undefined
let launched: processRunner.LaunchedProcess[] = []

afterEach(async () => {
  for (const running of launched) {
    running.kill('SIGKILL')
    await running.exited
  }
  launched = []
  for (const entry of deployment?.entries ?? []) entry.process.kill('SIGINT')
  await deployment?.stop()
  deployment = undefined
})

async function startCluster (): Promise<cluster.Cluster> {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 1,
    models: [{ name: 'draft-model', servers: 1, stepMs: 5 }],
    services: [],
    teams: ['support'],
    drainTimeoutMs: 20_000
  })
  await deployment.start()
  return deployment
}

// Guards against a signal that ends a drain and cuts streams which were passed on.
test.each(['entry', 'agent'] as const)('streams are delivered when signals follow a SIGTERM of the %s', async role => {
  const { entries, backends } = await startCluster()
  const streams = Promise.all(Array.from({ length: STREAMS }, () =>
    operator.readStream(entries[0]!.address, 'support', 'draft-model', STREAM_TOKENS)))
  await timers.setTimeout(500)
  const stopped = role === 'entry' ? entries[0]!.process : backends[0]!.agent
  for (const signal of ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT', 'SIGUSR2', 'SIGTERM'] as const) {
    stopped.kill(signal)
    await timers.setTimeout(100)
  }
  expect(await streams).toEqual(Array<boolean>(STREAMS).fill(true))
  expect(await stopped.exited).toBe(0)
})

function launch (
  role: 'entry' | 'agent', startSignals: string, platform?: processRunner.RunningProcess
): processRunner.LaunchedProcess {
  const url = (name: string): string => `http://${platform?.ready[name] as string ?? '127.0.0.1:1'}`
  const shared = ['--host', 'h', '--failure-domain', 'kista', '--host-list-url', url('hosts'), '--drain-timeout-ms', '1000']
  const own = role === 'entry'
    ? ['--table-url', url('table'), '--operator-key', 'key']
    : ['--backend-address', '127.0.0.1:1', '--services', 'lookup']
  const running = processRunner.launchProcess(role, `src/bin/bulrush-${role}.js`, [...shared, ...own],
    processRunner.preloadFlags(START_SIGNALS), { START_SIGNALS: startSignals })
  launched.push(running)
  return running
}

async function startPlatform (): Promise<processRunner.RunningProcess> {
  const platform = await processRunner.startProcess('platform', 'standins/platform.js', [])
  launched.push(platform)
  return platform
}

// Guards against a SIGHUP that ends a process before its handler stands, or for want of one.
test.each(['entry', 'agent'] as const)('SIGHUP at any moment of its life does not end an %s', async role => {
  const running = launch(role, HANG_UPS, await startPlatform())
  await running.whenReady
  for (const signal of ['SIGHUP', 'SIGHUP', 'SIGUSR2'] as const) running.kill(signal)
  await timers.setTimeout(200)
  expect(running.hasExited()).toBe(false)
  running.kill('SIGTERM')
  expect(await running.exited).toBe(0)
})

// Guards against a start that a stop ends with an error, or that goes on after the stop. The services are down.
test.each((['entry', 'agent'] as const).flatMap(role =>
  ['0', '100', '200', 'listen'].map(moment => ({ role, moment }))))(
  'SIGTERM at $moment of the start ends an $role with 0', async ({ role, moment }) => {
    const running = launch(role, `SIGTERM@${moment},SIGTERM@300`)
    expect(await running.exited).toBe(0)
  })

// Guards against parts of the demonstration that go on after it has been stopped in series.
test('the demonstration ends its processes when signals come in series', async () => {
  const program = path.join(processRunner.PROGRAM_ROOT, 'playground/demo.js')
  const demo = childProcess.spawn(process.execPath, [program, '--hold'], { stdio: ['ignore', 'pipe', 'inherit'] })
  const exited = new Promise<number | null>(resolve => { demo.once('exit', code => { resolve(code) }) })
  const ready = await new Promise<string>(resolve => {
    readline.createInterface({ input: demo.stdout }).on('line', line => {
      if (line.startsWith('READY ')) resolve(line.slice(6))
    })
  })
  const { processes } = JSON.parse(ready) as { processes: { pid: number }[] }
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    demo.kill(signal)
    await timers.setTimeout(20)
  }
  const code = await exited
  const alive = processes.filter(({ pid }) => isAlive(pid))
  for (const { pid } of alive) process.kill(pid, 'SIGKILL')
  expect(alive).toEqual([])
  expect(code).toBe(0)
})

function isAlive (pid: number): boolean {
  try {
    return process.kill(pid, 0)
  } catch {
    return false
  }
}
