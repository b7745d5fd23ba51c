/**
 * What the gates before backend servers know of a request, and what they need themselves.
 */

import type * as crashSuspects from '../../state/crash-suspects.js'
import type * as peerMessage from '../../protocol/peer-message.js'
import type * as runtime from '../runtime.js'

export interface GatedCall {
  id: string
  service: string
  features: crashSuspects.Features
  /** Aborted when the client disconnects. */
  signal: AbortSignal
}

export interface GateOptions {
  runtime: runtime.Runtime
  broadcast: (message: peerMessage.PeerMessage) => void
  signal: AbortSignal
}
