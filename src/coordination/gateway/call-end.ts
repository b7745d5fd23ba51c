/**
 * Final responses of requests that are not delivered: what the client may be told follows from whether the request may
 * have run.
 */

import type * as http from 'node:http'
import * as routingTable from '../../state/routing-table.js'
import * as shutdown from './shutdown.js'
import type * as callHistory from './call-history.js'
import type * as callModule from './call.js'
import type * as replies from './reply.js'
import type * as suspectGate from './suspect-gate.js'

/** Ends a request that its client has left, or that is open when the process is about to exit. */
export function endAborted (signal: AbortSignal, reply: replies.Reply, mayHaveRun: boolean, when: string): void {
  if (shutdown.isStopping(signal)) reply.timedOut(mayHaveRun, 'process_stopping')
  else reply.clientGone(when)
}

/** Answers a request whose handling failed with an unexpected error. It may have run. */
export function endFaultyCall (response: http.ServerResponse): void {
  if (response.headersSent) response.destroy()
  else response.writeHead(502, { 'Content-Length': 0, Connection: 'close' }).end()
}

/** Pause after which a client may send a request again that waited for the trial of another one. */
const SUSPECTED_RETRY_AFTER_MS = 300

/** Ends a request that would crash a backend server, or that waited in vain to learn whether it would. */
export function endSuspected (
  call: callModule.Call, history: callHistory.CallHistory, reply: replies.Reply,
  result: Exclude<suspectGate.EnterResult, 'open'>
): void {
  if (result === 'aborted') endWaiting(call, history, reply)
  else if (result === 'too_late') giveUp(call, history, reply, 'suspected', SUSPECTED_RETRY_AFTER_MS)
  else if (history.progress.hasHead) reply.cut('request_crashes_backend_servers')
  else reply.reject(500, 'request_crashes_backend_servers')
}

/** Ends a request that was aborted while it waited for a backend server or for another request. */
export function endWaiting (call: callModule.Call, history: callHistory.CallHistory, reply: replies.Reply): void {
  const hasFailure = shutdown.isStopping(call.signal) && history.failedResponse !== undefined
  if (hasFailure) sendFailure(history, reply)
  else endAborted(call.signal, reply, history.runs > 0, 'while the request waited')
}

/** Ends a request for which no backend server was found. */
export function giveUp (
  call: callModule.Call, history: callHistory.CallHistory, reply: replies.Reply, reason: string, retryAfterMs: number
): void {
  // A repeatable request may be refused even if an earlier attempt may have run: running it again is harmless.
  if (history.runs === 0 || (routingTable.mayRepeat(call.route) && !history.progress.hasHead)) {
    if (history.failedResponse === undefined) {
      reply.refuse(reason, retryAfterMs)
      return
    }
  }
  sendFailure(history, reply, reason)
}

/** @param noAttemptReason why no further backend server was tried. */
export function sendFailure (history: callHistory.CallHistory, reply: replies.Reply, noAttemptReason?: string): void {
  if (history.progress.hasHead) reply.cut(history.lastFailure, noAttemptReason)
  else if (history.failedResponse !== undefined) reply.forwardFailure(history.failedResponse)
  else reply.fail(502, history.lastFailure)
}
