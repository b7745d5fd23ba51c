import * as vitest from 'vitest'
import * as peerMessage from '../peer-message.js'

const { expect, test } = vitest

const status: peerMessage.PeerMessage = {
  kind: 'status',
  status: {
    address: '10.1.0.40:7340',
    role: 'agent',
    failureDomain: 'domain-one',
    state: 'ready',
    clientAddress: '',
    configurationVersion: 17,
    backendRevision: { era: 2, number: 431 },
    storeEra: 2,
    rank: { group: 'g0-0', rank: 128, address: '10.1.0.40:8443' }
  },
  known: ['10.1.0.41:7340']
}
const load: peerMessage.LoadMessage = {
  kind: 'load',
  rankAddress: '10.1.0.40:8443',
  startedAtUnixMs: 1_774_195_058_109,
  isLeaving: true,
  load: { running: 3, waiting: 1, slots: 0, slowdown: 1.25, cacheTokensUsed: 41_200 },
  step: 812,
  ageMs: 4
}

test('messages are the same after encoding and decoding', () => {
  const without: peerMessage.PeerMessage = { ...status, status: { ...status.status, role: 'entry', rank: undefined } }
  const unstated: peerMessage.LoadMessage = { ...load, startedAtUnixMs: undefined, isLeaving: false }
  const lead: peerMessage.PeerMessage = { kind: 'lead', group: 'g', term: 4, address: '10.1.0.40:7340' }
  for (const message of [status, without, load, unstated, lead]) {
    expect(peerMessage.decodeMessage(peerMessage.encodeMessage(message))).toEqual(message)
  }
})

// Guards against messages of which names take most of the bytes between failure domains.
test('frequent messages are short', () => {
  expect(peerMessage.encodeMessage(load).length).toBeLessThan(100)
  expect(peerMessage.encodeMessage({ ...status, known: [] }).length).toBeLessThan(130)
})

// Guards against a process that stops because of a datagram of another program or of another version.
test('other bytes are no message', () => {
  for (const text of ['', '[]', '["load"]', '["load","a",1,2,3,4,5,6,7,8,"x"]', '["status",1,2]', 'null', '{"kind":"load"}', '7', '["status","a","entry","d","ready","",1,0,0,0,{},[]]']) {
    expect(peerMessage.decodeMessage(Buffer.from(text))).toBeUndefined()
  }
})

test('messages about limits are read back, and malformed ones are not', () => {
  const messages: peerMessage.PeerMessage[] = [
    { kind: 'limits', limits: [['b1', 1, 0.5, 12], ['b2', 1, -1, 3]] },
    { kind: 'permitDemand', service: 's', entry: '10.0.0.1:70', waiting: 2, perSecond: 3.5, sent: [['b1', 1, 40]] },
    {
      kind: 'permitDemand', service: 's', entry: '10.0.0.1:70', waiting: 0, perSecond: 1, sent: [], unused: [['b1', 1, 2]]
    },
    { kind: 'permits', service: 's', waiting: 0, permits: [['b1', 1, 500]] }
  ]
  for (const message of messages) {
    expect(peerMessage.decodeMessage(peerMessage.encodeMessage(message))).toEqual(message)
  }
  for (const text of [
    '{"kind":"limits"}', '{"kind":"limits","limits":[["b1",1,null,2]]}', '{"kind":"limits","limits":[["b1",1,2]]}',
    '{"kind":"permitDemand","service":"s","entry":"here","waiting":1,"perSecond":1,"sent":[]}',
    '{"kind":"permitDemand","service":"s","entry":"10.0.0.1:70","waiting":1,"perSecond":1,"sent":[],"unused":[["b1",1]]}',
    '{"kind":"permits","service":"s","waiting":-1,"permits":[]}'
  ]) expect(peerMessage.decodeMessage(Buffer.from(text))).toBeUndefined()
})
