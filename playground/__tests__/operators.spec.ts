import * as vitest from 'vitest'
import * as cluster from '../cluster.js'
import * as operator from '../operator.js'

let deployment: cluster.Cluster

vitest.beforeAll(async () => {
  deployment = new cluster.Cluster({
    failureDomains: ['kista'],
    entries: 2,
    models: [],
    services: [{ name: 'lookup', servers: 1, delayMs: 1, repeatable: true }],
    teams: ['support']
  })
  await deployment.start()
})

vitest.afterAll(() => deployment.stop())

function ctl (args: string[], document?: object): Promise<operator.CtlResult> {
  return operator.ctl(deployment.entries, args, document === undefined ? '' : JSON.stringify(document))
}

// Guards against results of validate, diff and get that differ from what apply would do.
vitest.test('documents are listed, shown, validated and compared', async () => {
  const list = await ctl(['teams', 'list'])
  vitest.expect(list).toMatchObject({ code: 0, document: { entities: [{ name: 'support', revision: 2 }] } })
  vitest.expect((await ctl(['templates', 'get', 'standard'])).document).toMatchObject({ revision: 1, document: { name: 'standard' } })
  vitest.expect((await ctl(['teams', 'get', 'nobody'])).code).toBe(9)
  const invalid = await ctl(['teams', 'validate', '-'], { ...operator.teamDocument('support', 'k'), template: 'missing' })
  vitest.expect(invalid).toMatchObject({ code: 4, document: { valid: false } })
  vitest.expect((await ctl(['teams', 'validate', '-'], operator.teamDocument('support', 'k'))).code).toBe(0)
  const key = cluster.teamKey('support')
  const differences = await ctl(['teams', 'diff', '-'], operator.teamDocument('support', key, 3))
  vitest.expect(differences).toMatchObject({ code: 10, document: { differences: [{ path: 'parameters.priority', after: 3 }] } })
})

// Guards against scripts that mistake a failure for a success.
vitest.test('exit codes distinguish conflict, invalid document, wrong settings and outage', async () => {
  const document = operator.teamDocument('chat', 'chat-key')
  vitest.expect((await ctl(['teams', 'apply', '-', '--expected-revision', '0'], document)).code).toBe(0)
  const conflict = await ctl(['teams', 'apply', '-', '--expected-revision', '0'], document)
  vitest.expect(conflict).toMatchObject({ code: 3, document: { currentRevision: 3, current: {}, yours: {} } })
  vitest.expect((await ctl(['teams', 'apply', '-', '--expected-revision', '3'], { name: 'chat' })).code).toBe(4)
  vitest.expect((await ctl(['status', '--timeout-ms', 'soon'])).code).toBe(2)
  vitest.expect((await ctl(['stop', 'host', 'lookup-0'])).code).toBe(8)
  await deployment.setPlatform('table', { mode: 'down' })
  const down = await ctl(['teams', 'apply', '-', '--expected-revision', '3', '--timeout-ms', '6000'], document)
  vitest.expect(down.code).toBe(5)
  vitest.expect((await ctl(['audit'])).document).toMatchObject({ source: 'entry' })
  await deployment.setPlatform('table', { mode: 'up' })
  vitest.expect((await ctl(['audit'])).document).toMatchObject({ source: 'table', changes: [{}, {}, { operator: 'Åsa' }] })
  vitest.expect((await ctl(['status'])).document).toMatchObject({ revision: 3, tableAvailable: true })
})

// Guards against a refusal or a choice of server that cannot be explained afterwards.
vitest.test('explain collects server choices and refusals from entries and agents', async () => {
  const probe = await operator.probe(deployment.entries[0]!.address, 'lookup', cluster.teamKey('support'))
  const explained = await operator.ctl([deployment.entries[1]!], ['explain', probe.requestId])
  vitest.expect(explained.code).toBe(0)
  const events = explained.document.records.map((record: { event: string, process: string }) =>
    `${record.process.split(' ')[0]!} ${record.event}`)
  vitest.expect(events).toEqual(['entry serverChosen', 'agent attemptStarted', 'entry requestCompleted'])
  vitest.expect(explained.document.records[0].fields).toMatchObject({ host: 'lookup-0', candidates: 1 })
  vitest.expect((await ctl(['explain', 'unknown-request'])).code).toBe(9)
})
