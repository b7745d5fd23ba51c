import * as vitest from 'vitest'
import * as rankCall from '../rank-call.js'

const { expect, test } = vitest

const order: rankCall.RankCall = {
  kind: 'order',
  group: 'g0-0',
  epoch: 1,
  term: 4_097,
  order: { kind: 'prepare_changes', version: 5, baseVersion: 4, changes: 'a', digest: 'b' }
}
const counts: rankCall.RankCall & { kind: 'counts' } = { kind: 'counts', sets: 16, windowMs: 228.5 }
const calls: rankCall.RankCall[] = [
  order,
  counts,
  { kind: 'state' },
  { kind: 'placed' },
  { kind: 'lead', group: 'g0-0' },
  { kind: 'sum_counts', agents: ['10.1.0.63:7180'], experts: 258, counts },
  { kind: 'relay', targets: [{ rank: 3, address: '10.1.0.63:7180' }], call: order, timeoutMs: 400 }
]

// Guards against a check of calls that rejects the calls of a lead.
test('all calls of a lead are read as they were sent', () => {
  const lead = { group: 'g0-0', term: 4_097, address: '10.1.0.63:7180' }
  for (const call of calls) {
    for (const sent of [{ call, lead }, { call, lead: undefined }]) {
      expect(rankCall.parseRankCall(JSON.parse(JSON.stringify(sent)))).toEqual(sent)
    }
  }
})
