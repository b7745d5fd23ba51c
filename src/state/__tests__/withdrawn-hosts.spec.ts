import * as vitest from 'vitest'
import * as route from '../route.js'
import * as serverView from '../server-view.js'

// Guards against requests that use up their attempts at a stopped host before the reports of its agents arrive.
vitest.test('a withdrawn host is never chosen', () => {
  const view = serverView.createServerView()
  for (const host of ['a', 'b']) {
    serverView.applyReport(view, {
      incarnation: host, host, address: host, failureDomain: 'kista', region: 'r', serves: [{ kind: 'plain', name: 's' }], group: '', rank: 0
    }, { running: 0, waiting: 0, concurrencyLimit: 1, firstByteMs: 0, engineReportAgeMs: 0, status: 'serving' }, 0)
  }
  view.withdrawnHosts = new Set(['a'])
  const query = { target: { kind: 'plain' as const, name: 's' }, excluded: new Set<string>(), nowMs: 0 }
  for (let index = 0; index < 20; index++) {
    const choice = route.chooseServer(view, query, new route.LeastExpectedWork(), Math.random)
    vitest.expect(choice).toMatchObject({ kind: 'chosen', record: { identity: { host: 'b' } } })
  }
})
