/**
 * State of one rank's expert maps in the engine stand-in: the prepared, held and armed maps and the version in use.
 */

import type * as mapSwitch from '../src/state/map-switch.js'

/** Whether the engine refuses commands with a fencing number below the highest that it has seen. */
export type Fencing = 'enforced' | 'ignored'

/**
 * A map version is first prepared, then armed for a step, and in use from that step on. A hold stops the rank after the
 * hold's step, until the held version is armed or released.
 */
export class EngineMaps {
  groupIncarnation: string
  step = 0
  version = 0
  prepared: number | undefined
  hold: mapSwitch.ArmedMap | undefined
  armed: mapSwitch.ArmedMap | undefined
  fencingNumber = 0
  readonly #fencing: Fencing
  readonly #holdSteps: number

  /** @param holdSteps number of steps that the rank still runs after a `hold` command. */
  constructor (groupIncarnation: string, fencing: Fencing, holdSteps: number) {
    this.groupIncarnation = groupIncarnation
    this.#fencing = fencing
    this.#holdSteps = holdSteps
  }

  get snapshot (): mapSwitch.EngineSnapshot {
    const { groupIncarnation, step, version, prepared, hold, armed, fencingNumber } = this
    return { groupIncarnation, step, version, prepared, hold, armed, fencingNumber }
  }

  canStep (): boolean {
    return this.hold === undefined || this.step < this.hold.step
  }

  /** Runs one step. @returns the map version that the step used. */
  advance (): number {
    this.step += 1
    if (this.armed?.step === this.step) {
      this.version = this.armed.version
      this.armed = undefined
      this.prepared = undefined
    }
    return this.version
  }

  apply (command: mapSwitch.EngineCommand): mapSwitch.EngineResult {
    const reason = this.#refusal(command)
    if (reason !== undefined) return { kind: 'refused', reason, snapshot: this.snapshot }
    if (this.#fencing === 'enforced') this.fencingNumber = Math.max(this.fencingNumber, command.fencingNumber)
    switch (command.type) {
      case 'prepare':
        this.prepared = command.version
        break
      case 'hold':
        this.hold ??= { version: command.version, step: this.step + this.#holdSteps }
        break
      case 'arm':
        this.armed = { version: command.version, step: command.step }
        if (this.hold?.version === command.version) this.hold = undefined
        break
      case 'seal':
        // Without fencing, dropping the prepared map is the only way to make the engine refuse a later `arm`.
        if (this.#fencing === 'ignored' && this.prepared === command.version) this.prepared = undefined
        break
      case 'release':
        if (this.prepared === command.version) this.prepared = undefined
        if (this.hold?.version === command.version) this.hold = undefined
    }
    return { kind: 'done', snapshot: this.snapshot }
  }

  #refusal (command: mapSwitch.EngineCommand): mapSwitch.EngineRefusal | undefined {
    if (command.groupIncarnation !== this.groupIncarnation) return 'other_group'
    if (this.#fencing === 'enforced' && command.fencingNumber < this.fencingNumber) return 'fenced'
    if (this.armed !== undefined) {
      const isSame = command.type === 'arm' && command.version === this.armed.version && command.step === this.armed.step
      return isSame ? undefined : 'armed'
    }
    if (command.type === 'hold' && this.prepared !== command.version) return 'not_prepared'
    if (command.type === 'arm') {
      if (this.prepared !== command.version) return 'not_prepared'
      if (command.step <= this.step) return 'step_passed'
    }
    return undefined
  }
}
