/**
 * Decides whether this entry may use its copy of the configuration, and has the copy confirmed again after the
 * entry was cut off or paused.
 */

import * as environment from './environment.js'
import * as backOff from '../state/back-off.js'
import * as freshness from '../state/freshness.js'

export interface ConfigurationGuard {
  /** False until the copy is first confirmed, and after a cut-off or pause until it is confirmed again. */
  mayServe (): boolean
  /** Whether this process has a copy, one that was confirmed at least once. */
  hasCopy (): boolean
  /** Notes a message from a peer, which shows that this entry is not cut off. */
  noteMessage (): void
  /** Records a confirmation. @param startedAtMs start of its round trip, by `nowMs` of the environment. */
  confirm (startedAtMs: number): void
  /** Sets the function that confirms the copy; it is called again after a back-off until the copy is confirmed. */
  setRecovery (recover: () => Promise<void>): void
}

const CHECK_PERIOD_MS = 250
/** 400 entries without a confirmed copy send the table service at most 800 requests per second in total. */
const RECOVERY_BACK_OFF: backOff.BackOff = { baseMs: 250, maxMs: 1_000 }

export function createConfigurationGuard (
  env: environment.Environment, knowsPeers: () => boolean, signal: AbortSignal
): ConfigurationGuard {
  const state = freshness.createFreshness(env.nowMs())
  let hasCopy = false
  let wasConfirmed = false
  let recover: () => Promise<void> = async () => {}
  let isRecovering = false
  let failures = 0
  let dueAtMs = -Infinity

  environment.every(CHECK_PERIOD_MS, signal, () => {
    if (mayServe() || isRecovering || env.nowMs() < dueAtMs) return
    isRecovering = true
    recover().catch(() => {}).finally(() => {
      isRecovering = false
      failures += 1
      dueAtMs = env.nowMs() + backOff.backOffMs(RECOVERY_BACK_OFF, failures, env.random())
    })
  })
  return {
    mayServe,
    hasCopy: () => hasCopy,
    noteMessage () {
      freshness.noteMessage(state, env.nowMs(), knowsPeers())
      noteTransition()
    },
    confirm (startedAtMs) {
      if (freshness.confirm(state, startedAtMs, env.nowMs(), knowsPeers())) hasCopy = true
      noteTransition()
    },
    setRecovery (recovery) { recover = recovery }
  }

  function mayServe (): boolean {
    freshness.detectInterruption(state, env.nowMs(), knowsPeers())
    noteTransition()
    return state.isConfirmed
  }

  function noteTransition (): void {
    if (state.isConfirmed === wasConfirmed) return
    wasConfirmed = state.isConfirmed
    failures = 0
    dueAtMs = -Infinity
    env.log.emit(wasConfirmed ? 'configurationConfirmed' : 'configurationUnconfirmed')
  }
}
