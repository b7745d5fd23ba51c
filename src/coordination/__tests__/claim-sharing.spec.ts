import * as protobuf from '@bufbuild/protobuf'
import * as vitest from 'vitest'
import * as claimSharing from '../claim-sharing.js'
import * as environment from '../environment.js'
import type * as membershipTask from '../membership-task.js'
import * as controlPb from '../../gen/bulrush/v1/control_pb.js'
import type * as platform from '../../protocol/platform.js'
import type * as claims from '../../state/claim.js'
import * as sharingState from '../../state/claim-sharing.js'
import * as membership from '../../state/membership.js'

const self = identityOf('a')
const other = identityOf('b')
let ended: AbortController
let handed: controlPb.ClaimHandover[]
let ownWrites: number
let slotAtMs: number

function identityOf (name: string): membership.EntryIdentity {
  return {
    incarnation: name.repeat(32), host: name, address: name, peerAddress: name, failureDomain: '', region: 'r0'
  }
}

/** Claim sharing of one entry while the other one is the writer, whose stream accepts all messages. */
async function start (shareAbove: number): Promise<claimSharing.ClaimSharing> {
  const real = await environment.createEnvironment({ emit: () => {} }, { count: () => {} } as never)
  const members = membership.createMembership()
  membership.applyHeartbeat(
    members, { identity: other, isDraining: false, isFar: false, inFlight: 0, revision: 0 }, real.nowMs())
  for (slotAtMs = 0; writerOfSlot(real) !== other.incarnation;) slotAtMs += sharingState.WRITER_ROTATION_MS
  const transact = async (): Promise<platform.TransactResult> => {
    ownWrites += 1
    return { kind: 'committed' }
  }
  return claimSharing.createClaimSharing({ ...real, wallClockMs: () => slotAtMs }, {
    self,
    members: { read: async (reader: (held: membership.Membership) => unknown) => reader(members) } as
      unknown as membershipTask.MembershipTask,
    table: { transact } as unknown as platform.TableService,
    sendTo: (_, fields) => {
      handed.push(...fields.claimHandovers ?? [])
      return true
    },
    shareAbove
  }, ended.signal)
}

/** Incarnation of the writer in the rotation slot at `slotAtMs`. */
function writerOfSlot (env: environment.Environment): string {
  const entries = [self.incarnation, other.incarnation]
  return sharingState.chooseWriter(
    sharingState.createClaimSharing(), self.incarnation, entries, 0, 0, slotAtMs, env.hash64)
}

function operation (key: string): claims.ClaimOperation {
  const claim = { attemptId: '1', agentIncarnation: '', agentAddress: '', fingerprint: '', state: 'open' as const }
  return { key, operationId: key, write: { claim, expectedRevision: 0 } }
}

function answerTo (handover: controlPb.ClaimHandover): controlPb.PeerMessage {
  return protobuf.create(controlPb.PeerMessageSchema, {
    claimAnswers: [{ number: handover.number, result: 'committed' }]
  })
}

vitest.beforeEach(() => {
  ended = new AbortController()
  handed = []
  ownWrites = 0
})

vitest.afterEach(() => ended.abort())

// Guards against a small deployment whose claims wait for a shared write that they don't need.
vitest.test('few claims are written without sharing', async () => {
  const sharing = await start(40)
  for (let index = 0; index < 50; index++) await sharing.write(operation(String(index)))
  // The rate is averaged over 5 s and multiplied by the number of entries: 50 claims / 5 s * 2 = 20 claims per second,
  // fewer than the 40 from which claims are shared.
  vitest.expect([handed.length, ownWrites]).toEqual([0, 50])
  const more = Array.from({ length: 100 }, (_, index) => sharing.write(operation(`more-${index}`)))
  await vitest.vi.waitFor(() => vitest.expect(handed.length).toBeGreaterThan(40), { interval: 1 })
  for (const handover of handed) sharing.receive(other.incarnation, answerTo(handover))
  await Promise.all(more)
})

// Guards against callers that wait for the timeout although the writer's stream has ended.
vitest.test('claim is written at once when the stream to the writer ends', async () => {
  const sharing = await start(0)
  const startedAtMs = performance.now()
  const written = sharing.write(operation('lost'))
  await vitest.vi.waitFor(() => vitest.expect(handed.length).toBe(1), { interval: 1 })
  sharing.lose(other.incarnation)
  vitest.expect(await written).toEqual({ kind: 'committed' })
  vitest.expect(performance.now() - startedAtMs).toBeLessThan(100)
  vitest.expect(ownWrites).toBe(1)
})

// Guards against a writer that is avoided, and transactions that are split, because one answer was late.
vitest.test('late answer makes the writer usable again', async () => {
  const sharing = await start(0)
  vitest.expect(await sharing.write(operation('late'))).toEqual({ kind: 'committed' })
  vitest.expect([handed.length, ownWrites]).toEqual([1, 1])
  await sharing.write(operation('avoided'))
  vitest.expect([handed.length, ownWrites]).toEqual([1, 2])
  sharing.receive(other.incarnation, answerTo(handed[0]!))
  const written = sharing.write(operation('again'))
  await vitest.vi.waitFor(() => vitest.expect(handed.length).toBe(2))
  sharing.receive(other.incarnation, answerTo(handed[1]!))
  vitest.expect(await written).toEqual({ kind: 'committed' })
  vitest.expect(ownWrites).toBe(2)
})
