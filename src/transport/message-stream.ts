/**
 * Messages of a bidirectional connect-es stream, read from and written to an HTTP/2 stream. Entries hold about 110
 * streams with a message each second or two, and the whole pipeline of connect-es used about a third of their CPU time
 * for control messages, so this module uses only its envelope codec, without the stages for compression and
 * interceptors.
 */

import * as http2 from 'node:http2'
import * as protobuf from '@bufbuild/protobuf'
import * as connect from '@connectrpc/connect'
// These exports do not follow semantic versioning, so the version of connect-es is pinned.
import * as connectCodec from '@connectrpc/connect/protocol'
import * as connectProtocol from '@connectrpc/connect/protocol-connect'

export const CONTENT_TYPE = connectProtocol.contentTypeStreamProto
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

const MESSAGE_FLAGS = 0
/**
 * With more unread chunks than this, the stream is paused and flow control holds the peer back until the reader has
 * caught up.
 */
const MAX_UNREAD_CHUNKS = 64

/** Envelopes of messages that are sent to several peers; each message is encoded once. */
const encoded = new WeakMap<object, Uint8Array>()

/** The message must not change afterwards. */
function encodeMessage<D extends protobuf.DescMessage> (schema: D, message: protobuf.MessageShape<D>): Uint8Array {
  let envelope = encoded.get(message)
  if (envelope === undefined) {
    envelope = connectCodec.encodeEnvelope(MESSAGE_FLAGS, protobuf.toBinary(schema, message))
    encoded.set(message, envelope)
  }
  return envelope
}

/**
 * Messages that are received until the peer ends its half. The iteration fails when the stream breaks or the peer
 * reports an error. Call this in the same turn of the event loop in which the stream was opened.
 */
export function readMessages<D extends protobuf.DescMessage> (
  stream: http2.Http2Stream, schema: D, onRead: () => void = () => {}
): AsyncGenerator<protobuf.MessageShape<D>> {
  const chunks = readChunks(stream, onRead)
  return decodeMessages(stream, schema, chunks)
}

async function * decodeMessages<D extends protobuf.DescMessage> (
  stream: http2.Http2Stream, schema: D, chunks: AsyncIterableIterator<Uint8Array>
): AsyncGenerator<protobuf.MessageShape<D>> {
  try {
    for await (const { flags, data } of connectCodec.transformSplitEnvelope(MAX_MESSAGE_BYTES)(chunks)) {
      if (flags === connectProtocol.endStreamFlag) {
        const { error } = connectProtocol.endStreamFromJson(data)
        if (error !== undefined) throw error
        return
      }
      if (flags !== MESSAGE_FLAGS) throw new Error(`envelope flags ${flags} are not supported`)
      yield protobuf.fromBinary(schema, data)
    }
  } catch (error) {
    if (!stream.closed) stream.close(http2.constants.NGHTTP2_PROTOCOL_ERROR)
    throw error
  }
}

function readChunks (stream: http2.Http2Stream, onRead: () => void): AsyncIterableIterator<Uint8Array> {
  const unread: Buffer[] = []
  let isEnded = false
  let failure: Error | undefined
  let wake: (() => void) | undefined
  stream.on('data', onData)
  stream.on('error', finish)
  const closedError = (): Error => new Error(`the stream closed with code ${stream.rstCode}`)
  // A reset stream emits `end` as well.
  stream.once('end', () => finish(stream.rstCode ? closedError() : undefined))
  stream.once('close', () => finish(closedError()))
  const iterator: AsyncIterableIterator<Uint8Array> = {
    [Symbol.asyncIterator]: () => iterator,
    next () {
      const value = unread.shift()
      if (value !== undefined) {
        if (unread.length === 0 && stream.isPaused()) stream.resume()
        return Promise.resolve({ done: false, value })
      }
      if (failure !== undefined) return Promise.reject(failure)
      if (isEnded) return Promise.resolve({ done: true, value: undefined })
      return new Promise((resolve, reject) => { wake = () => { iterator.next().then(resolve, reject) } })
    },
    async return () {
      unread.length = 0
      stream.off('data', onData)
      stream.resume()
      finish(undefined)
      return { done: true, value: undefined }
    }
  }
  return iterator

  function onData (chunk: Buffer): void {
    if (isEnded) return
    unread.push(chunk)
    onRead()
    if (unread.length > MAX_UNREAD_CHUNKS) stream.pause()
    wakeReader()
  }

  function finish (error: Error | undefined): void {
    if (isEnded) return
    isEnded = true
    failure = error
    wakeReader()
  }

  function wakeReader (): void {
    const reader = wake
    wake = undefined
    reader?.()
  }
}

/**
 * Writes messages with back-pressure. Ends with the iteration, or with the first message after the stream has closed.
 */
export async function writeMessages<D extends protobuf.DescMessage> (
  stream: http2.Http2Stream, schema: D, messages: AsyncIterable<protobuf.MessageInitShape<D>>
): Promise<void> {
  for await (const message of messages) {
    if (!isWritable(stream)) return
    if (!stream.write(encodeMessage(schema, protobuf.create(schema, message)))) await waitForDrainOrClose(stream)
  }
}

/** Ends a request. */
export function endRequest (stream: http2.ClientHttp2Stream): void {
  if (isWritable(stream)) stream.end()
}

/** Ends a response. @param error failure that is reported to the caller. */
export function endResponse (stream: http2.ServerHttp2Stream, error?: connect.ConnectError): void {
  if (!isWritable(stream)) return
  const end = connectProtocol.endStreamToJson(new Headers(), error, undefined)
  stream.end(connectCodec.encodeEnvelope(connectProtocol.endStreamFlag, Buffer.from(JSON.stringify(end))))
}

function isWritable (stream: http2.Http2Stream): boolean {
  return !stream.destroyed && !stream.closed && !stream.writableEnded
}

function waitForDrainOrClose (stream: http2.Http2Stream): Promise<void> {
  return new Promise(resolve => {
    const done = (): void => {
      stream.off('drain', done)
      stream.off('close', done)
      resolve()
    }
    stream.on('drain', done)
    stream.on('close', done)
  })
}
