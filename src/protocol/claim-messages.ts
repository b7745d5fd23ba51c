/**
 * Conversion between claims and the messages that entries exchange about them.
 */

import * as protobuf from '@bufbuild/protobuf'
import * as controlPb from '../gen/bulrush/v1/control_pb.js'
import type * as claims from '../state/claim.js'

type RowInit = protobuf.MessageInitShape<typeof controlPb.ClaimRowSchema>

export function handoverToMessage (number: number, operation: claims.ClaimOperation): controlPb.ClaimHandover {
  const { claim, expectedRevision } = operation.write
  return protobuf.create(controlPb.ClaimHandoverSchema, {
    number: BigInt(number),
    key: operation.key,
    row: rowToMessage({ claim, revision: expectedRevision, operationId: operation.operationId })
  })
}

export function handoverFromMessage (message: controlPb.ClaimHandover): claims.ClaimOperation | undefined {
  if (message.row === undefined) return undefined
  const { claim, revision, operationId } = rowFromMessage(message.row)
  return { key: message.key, operationId, write: { claim, expectedRevision: revision } }
}

export function answerToMessage (number: bigint, result: claims.RowWriteResult): controlPb.ClaimAnswer {
  const held = result.kind === 'conflict' && result.row !== undefined ? { held: rowToMessage(result.row) } : {}
  return protobuf.create(controlPb.ClaimAnswerSchema, { number, result: result.kind, ...held })
}

/** Answer that the write is still in progress; another answer follows. */
export function pendingMessage (number: bigint): controlPb.ClaimAnswer {
  return protobuf.create(controlPb.ClaimAnswerSchema, { number, result: 'pending' })
}

/** A result that this version does not know is treated as `unavailable`. */
export function answerFromMessage (message: controlPb.ClaimAnswer): claims.RowWriteResult {
  if (message.result === 'committed') return { kind: 'committed' }
  if (message.result !== 'conflict') return { kind: 'unavailable' }
  return { kind: 'conflict', row: message.held === undefined ? undefined : rowFromMessage(message.held) }
}

function rowToMessage (row: claims.ClaimRow): RowInit {
  const { attemptId, agentIncarnation, agentAddress, fingerprint, state } = row.claim
  return {
    attemptId,
    agentIncarnation,
    agentAddress,
    fingerprint,
    released: state === 'released',
    operationId: row.operationId,
    revision: BigInt(row.revision)
  }
}

function rowFromMessage (message: controlPb.ClaimRow): claims.ClaimRow {
  const { attemptId, agentIncarnation, agentAddress, fingerprint, operationId } = message
  const state = message.released ? 'released' : 'open'
  return {
    claim: { attemptId, agentIncarnation, agentAddress, fingerprint, state },
    revision: Number(message.revision),
    operationId
  }
}
