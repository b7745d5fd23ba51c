/**
 * Connections for undici on which a reset is always an error. undici takes a body without a length for complete when
 * its connection is reset.
 */

import type * as net from 'node:net'
import * as undici from 'undici'
import * as answerEnd from './answer-end.js'

export function createConnector (options: undici.buildConnector.BuildOptions = {}): undici.buildConnector.connector {
  const connect = undici.buildConnector(options)
  return (target, callback) => {
    connect(target, (...result) => {
      // After an error there is no second argument.
      if (result[0] === null) reportResets(result[1])
      callback(...result)
    })
  }
}

function reportResets (socket: net.Socket): void {
  const push = socket.push.bind(socket)
  const destroy = socket.destroy.bind(socket)
  socket.push = (chunk, encoding) => {
    if (chunk !== null || !answerEnd.isReset(socket)) return push(chunk, encoding)
    destroy(resetError())
    return false
  }
  socket.destroy = error => destroy((error as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET' ? resetError() : error)
}

/** Without the code ECONNRESET, which undici passes over once the head of an answer has arrived. */
function resetError (): Error {
  return new Error('the connection was reset')
}
